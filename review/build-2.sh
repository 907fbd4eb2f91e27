#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: javac alone, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -cp target/ivybank.jar -d target/review-2 review/stand-2/src/*.java
