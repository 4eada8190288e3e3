"""Runs the function of a command and makes an exit code of what it returns."""

from collections.abc import Callable
import inspect
import logging
import sys
from typing import Any

import aiomisc
import uvloop

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.telemetry import logs

logger = logging.getLogger(__name__)


def run(function: Callable[[Any], Any], command: object) -> int:
    """Runs a command's function and returns its exit code."""
    try:
        result = _call(function, command)
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
