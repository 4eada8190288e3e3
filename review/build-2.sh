#!/bin/sh
# Checks that the stand-ins in review/lib2 can be loaded. They are Python modules
# that need only what the build of deploy/system.toml puts under target/deps.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
PYTHONPATH="$root/target/deps:$root" python3 -c '
from review.lib2 import cases
from review.lib2 import platform
from review.lib2 import records
from review.lib2 import workers
'
