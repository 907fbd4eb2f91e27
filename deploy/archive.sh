#!/bin/sh
# Makes the class-data archive that `run` maps, by letting one sidecar start, warm up and end. Without the archive the
# program runs all the same, only slower to start; so this never fails the build.
cd "$(dirname "$0")/.." || exit 0
archive=target/ivybank.jsa
rm -f "$archive"
EDGE_CONTROL=127.0.0.1:0 EDGE_CONFIG=deploy/archive.json java -XX:ArchiveClassesAtExit="$archive" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -jar target/ivybank.jar serve > target/archive.log 2>&1 &
sidecar=$!
sleep 4
kill -TERM "$sidecar"
wait "$sidecar"
[ -f "$archive" ] || echo "no class-data archive was made: see target/archive.log" >&2
exit 0
