#!/bin/sh
# Runs this case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs the same without the disruption; the rule has to hold then.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
timeout -k 2 110 java -Xmx512m -cp "$root/review/target" RefusedLongBodies "$root" "$here" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
