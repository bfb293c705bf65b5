#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without cuts, restart and newcomer.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rosearch ] || { echo "target/rosearch isn't built"; exit 2; }
timeout 115 python3 -B case.py &
trap 'kill -TERM $!; wait $!; exit 2' TERM INT
wait $!
case $? in
0) exit 0 ;;
42) exit 1 ;;
*) exit 2 ;;
esac
