"""Entry point of the command line."""

from collections.abc import Callable
from collections.abc import Sequence
import inspect
import logging
import sys
from typing import Any

import aiomisc
import cappa
import uvloop

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry
from nutmegknot._internal.telemetry import logs

logger = logging.getLogger(__name__)


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
    try:
        result = _call(registry.load(command), command)
    except KeyboardInterrupt:
        return int(exit_codes.ExitCode.FAILED)
    except Exception as error:  # noqa: BLE001 - nothing else may end it
        _log_broken(error)
        return int(exit_codes.ExitCode.BROKEN_INVARIANT)
    if isinstance(result, errors.CommandError):
        print(errors.format_error(result), file=sys.stderr)
        return int(result.code)
    return int(exit_codes.ExitCode.OK)


def _call(function: Callable[[Any], Any], command: object) -> object:
    if inspect.iscoroutinefunction(function):
        # Signals and logs are handled by the commands themselves.
        with aiomisc.entrypoint(
            loop_factory=uvloop.new_event_loop,
            log_config=False,
            catch_signals=(),
        ) as loop:
            return loop.run_until_complete(function(command))
    return function(command)


def _log_broken(error: Exception) -> None:
    """Logs a broken invariant as one line, with where it was found."""
    place = errors.find_place(error)
    if not logging.getLogger().handlers:
        logs.set_up('info')
    logger.critical(
        'broken_invariant', extra={'why': repr(error), 'where': place}
    )
