#!/usr/bin/env bash
# Builds the stand-ins of the scripts: compiles them against the libraries that
# the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp'
python3 -m compileall -q review/lib
