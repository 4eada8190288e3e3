"""Starts the command line; also understood by Python versions not supported."""

import sys

LEAST_VERSION = (3, 11)
BAD_ENVIRONMENT = 3


def run() -> int:
    """Checks the Python version, then runs the command line."""
    if sys.version_info < LEAST_VERSION:
        needed = '.'.join(str(part) for part in LEAST_VERSION)
        found = '.'.join(str(part) for part in sys.version_info[:2])
        sys.stderr.write(
            f'nutmegknot: error: needs Python {needed}, this is {found}\n'
        )
        return BAD_ENVIRONMENT
    # Imported here, as it has syntax that older versions can't read.
    from nutmegknot._internal.cli import main

    return main.run(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(run())
