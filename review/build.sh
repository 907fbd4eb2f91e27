#!/bin/sh
# Builds the stand-ins of all cases, with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -Xlint:all -d target */*.java
