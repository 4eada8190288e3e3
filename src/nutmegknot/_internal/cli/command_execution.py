"""Runs the function of a command and turns its result into an exit code."""

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


def run_command(function: Callable[[Any], Any], command: object) -> int:
    """Runs a command's function and returns its exit code.

    Args:
      function: Function of the command, which may be a coroutine function. It
        returns an errors.CommandError if the command failed.
      command: Parsed arguments, which are passed to the function.
    """
    try:
        result = _call(function, command)
    except KeyboardInterrupt:
        return int(exit_codes.ExitCode.FAILED)
    except Exception as error:  # noqa: BLE001 - any exception gets an exit code
        _log_broken_invariant(error)
        return int(exit_codes.ExitCode.BROKEN_INVARIANT)
    if isinstance(result, errors.CommandError):
        print(errors.format_error(result), file=sys.stderr)
        return int(result.code)
    return int(exit_codes.ExitCode.OK)


def _call(function: Callable[[Any], Any], command: object) -> object:
    if inspect.iscoroutinefunction(function):
        # The commands set up logging and signal handlers themselves.
        with aiomisc.entrypoint(
            loop_factory=uvloop.new_event_loop,
            log_config=False,
            catch_signals=(),
        ) as loop:
            return loop.run_until_complete(function(command))
    return function(command)


def _log_broken_invariant(error: Exception) -> None:
    """Logs an unexpected exception as one line with file and line number."""
    location = errors.find_location(error)
    if not logging.getLogger().handlers:
        logs.set_up('info')
    logger.critical(
        'broken_invariant', extra={'why': repr(error), 'where': location}
    )
