#!/bin/sh
# Prepares what the scripts of cases 4 to 6 start beside target/rosearch: stand-ins in Python, with its standard
# library alone, so there is nothing to compile.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'END'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
for path in ("stand_ins_2.py", "4/case.py", "5/case.py", "6/case.py"):
    with open(path) as source:
        ast.parse(source.read(), path)
END
