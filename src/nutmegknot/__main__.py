"""Runs the command line with python -m nutmegknot."""

import sys

from nutmegknot._internal.cli import main

if __name__ == '__main__':
    sys.exit(main.run(sys.argv[1:]))
