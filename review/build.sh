#!/bin/sh
# The stand-ins of the scripts are Python programs that use the standard library only, so there is
# nothing to compile. The programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else 1)'
test -x target/rosearch
