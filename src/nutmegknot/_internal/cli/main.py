"""Entry point of the command line."""

from collections.abc import Sequence
import sys

import cappa

from nutmegknot._internal.cli import calling
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry


def run(args: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    try:
        parsed = cappa.parse(
            registry.Nutmegknot,
            argv=list(sys.argv[1:] if args is None else args),
            completion=False,
        )
    except cappa.Exit as ended:
        # The library has printed the help or what is wrong already.
        code = exit_codes.ExitCode
        return int(code.BAD_USAGE if ended.code else code.OK)
    command = registry.find_command(parsed)
    return calling.run(registry.load(command), command)
