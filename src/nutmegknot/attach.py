"""Starts an instance on the users' platform without the command line.

Does the same as the command "attach" with its default options. The command-line
library takes 6 MB of memory and a fifth of the start-up time, which matters on
small instances.
"""

import sys

from nutmegknot._internal.cli import command_execution
from nutmegknot._internal.commands import attach


def run() -> int:
    """Runs an instance and returns its exit code."""
    return command_execution.run_command(attach.run_instance, attach.Options())


if __name__ == '__main__':
    sys.exit(run())
