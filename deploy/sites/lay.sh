#!/bin/sh
# Lays beside the site variants what a play of them needs and what is not this project's: deploy/sites/lay.sh FOLDER, where
# FOLDER has real.json, wire.json and unlock.txt. They stay out of version control.
set -eu
from=${1:?"usage: deploy/sites/lay.sh FOLDER, the folder that has real.json, wire.json and unlock.txt"}
to=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    [ -r "$from/$file" ] || { echo "lay.sh: $from/$file is missing: nothing is laid" >&2; exit 1; }
done
for file in real.json wire.json unlock.txt; do
    cp -f "$from/$file" "$to/$file"
    chmod u+w "$to/$file"
done
