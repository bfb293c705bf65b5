#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the restart.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rosearch ] || { echo "target/rosearch isn't built"; exit 2; }
python3 -B case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
