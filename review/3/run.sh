#!/bin/sh
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. With TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/aiohttp ] || exit 2
PYTHONPATH=target/deps exec python3 -S -B review/3/play.py
