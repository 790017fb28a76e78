#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and use what the build
# line of deploy/system.toml has put below target/deps, so nothing is fetched;
# run that line first. This checks that all of them can be loaded.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || {
  echo 'target/deps is missing: run the build line of deploy/system.toml' >&2
  exit 1
}
PYTHONPATH=target/deps python3 -S -B - <<'CHECK'
import glob

import aiohttp.web

for path in sorted(glob.glob('review/*.py') + glob.glob('review/*/*.py')):
    with open(path) as source:
        compile(source.read(), path, 'exec')
CHECK
