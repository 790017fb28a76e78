#!/bin/sh
# The stand-ins of cases 4 to 8 are Python 3.11: those of case 6 need what the
# build of the deploy file has put below target/deps, the others nothing more.
# This checks that they compile; the nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for source in standins2.py casework.py case_crowd.py ../tests/standins/*.py [4-8]/case.py; do
    [ ! -f "$source" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
