#!/bin/sh
# Plays the case of claim.txt. It needs the build of the deploy file and review/build-3.sh. It exits
# with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x target/buckthorndrum && test -x target/standin-3 || { echo "build first"; exit 2; }
TROUBLE=${TROUBLE:-1}
export TROUBLE
timeout 110 target/standin-3 drain "$here/record.txt"
end=$?
case $end in 0 | 1) exit $end ;; *) exit 2 ;; esac
