#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# STORE=0 plays the same without a store. The clients' listening socket is descriptor 0 of all that is started here.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/review-2/UpgradeWithStore.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec perl -e 'use Socket; socket(my $s, PF_INET, SOCK_STREAM, 0) or exit 2;
    bind($s, sockaddr_in(0, INADDR_LOOPBACK)) && listen($s, 1024) or exit 2;
    $ENV{HELD_PORT} = (sockaddr_in(getsockname($s)))[0];
    open(STDIN, q(<&), $s) or exit 2;
    exec @ARGV or exit 2;' java -cp ../../target/review-2 UpgradeWithStore "$PWD"
