"""Entry point of the command line."""

from collections.abc import Sequence
import sys

import cappa

from nutmegknot._internal.cli import command_execution
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry


def run(args: Sequence[str] | None = None) -> int:
    """Runs the command that the arguments name and returns its exit code.

    Args:
      args: Arguments without the program name; None for those of the process.
    """
    try:
        parsed = cappa.parse(
            registry.Nutmegknot,
            argv=list(sys.argv[1:] if args is None else args),
            completion=False,
        )
    except cappa.Exit as library_exit:
        # cappa has already printed the help text or the usage error.
        code = exit_codes.ExitCode
        return int(code.BAD_USAGE if library_exit.code else code.OK)
    command = registry.find_command(parsed)
    return command_execution.run_command(
        registry.import_function(command), command
    )
