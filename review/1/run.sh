#!/bin/sh
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 the
# disruption is left out. The rig gives up after 110 s, and what it started is killed when it ends, however it ends.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/cometrack && test -x bin/review || { echo "build the project and review/build.sh first"; exit 2; }
disruption=with
test "${TROUBLE:-1}" = 0 && disruption=without
bin/review reload review/1 $disruption &
rig=$!
trap 'kill -TERM $rig' HUP INT TERM
wait $rig
code=$?
while kill -0 $rig 2>/dev/null; do # a signal ended the wait
	wait $rig
	code=$?
done
case $code in
0 | 1) exit $code ;;
esac
exit 2
