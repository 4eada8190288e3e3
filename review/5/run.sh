#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="../../target/deps:../lib" PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
