"""Entry point of the command line."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import inspect
import sys
from typing import Any

import cappa
import uvloop

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry


def run(args: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    try:
        command = cappa.parse(
            registry.Nutmegknot,
            argv=list(sys.argv[1:] if args is None else args),
            completion=False,
        )
    except cappa.Exit as parsed:
        return _end_parsing(parsed)
    function = registry.load(command.command)
    result = _call(function, command.command)
    if isinstance(result, errors.CommandError):
        print(errors.format_error(result), file=sys.stderr)
        return int(result.code)
    return int(exit_codes.ExitCode.OK)


def _call(function: Callable[[Any], Any], command: object) -> object:
    if inspect.iscoroutinefunction(function):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(function(command))
    return function(command)


def _end_parsing(parsed: cappa.Exit) -> int:
    if parsed.message is not None:
        cappa.Output().exit(parsed)
    return int(parsed.code or 0)
