"""Starts the command line.

Unsupported Python versions must be able to parse this module, so that they
print an error message instead of a syntax error.
"""

import sys

MIN_PYTHON_VERSION = (3, 11)
BAD_ENVIRONMENT_EXIT_CODE = 3


def run() -> int:
    """Checks the Python version, then runs the command line.

    Returns the exit code.
    """
    if sys.version_info < MIN_PYTHON_VERSION:
        required = '.'.join(str(part) for part in MIN_PYTHON_VERSION)
        current = '.'.join(str(part) for part in sys.version_info[:2])
        sys.stderr.write(
            f'nutmegknot: error: needs Python {required}, this is {current}\n'
        )
        return BAD_ENVIRONMENT_EXIT_CODE
    # Imported here, as it contains syntax that older versions cannot parse.
    from nutmegknot._internal.cli import main

    return main.run(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(run())
