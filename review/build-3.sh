#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python files, which need
# what the build of the deploy file has put into target/deps, and nothing more.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review/lib3 python3 -m compileall -q review/lib3 &&
    PYTHONPATH=target/deps:review/lib3 python3 -c 'import standins'
