"""Command attach: runs one instance on the users' platform."""

import asyncio
import dataclasses
import sys

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import signal_handlers
from nutmegknot._internal.platform import instance_process
from nutmegknot._internal.platform import process_settings
from nutmegknot._internal.telemetry import log_sinks
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Options of the command when it runs without the command line library.

    nutmegknot.attach starts an instance in this way, because the library takes
    memory and start time.

    Attributes:
      level: Lowest level that is logged.
    """

    level: str = 'info'


async def run_instance(command: Options) -> errors.CommandError | None:
    """Runs an instance until SIGTERM or SIGINT."""
    settings = process_settings.read_settings()
    if isinstance(settings, process_settings.InvalidSettings):
        return errors.CommandError(
            exit_codes.ExitCode.BAD_SETTINGS,
            settings.detail,
            f'set {process_settings.SETTINGS_VARIABLE} to the settings file',
        )
    sink = log_sinks.LogSink(sys.stdout.fileno(), clock.make_system_clock())
    log_sinks.set_up(command.level, sink)
    log_writer = asyncio.create_task(log_sinks.run_log_writer(sink))
    stop_requested = asyncio.Event()
    operator_signals = instance_process.OperatorSignals()
    signal_handlers.handle_signals(
        stop_requested, operator_signals.dump, operator_signals.reload
    )
    try:
        result = await instance_process.run(
            settings, stop_requested, operator_signals
        )
    finally:
        await tasks.cancel(log_writer)
    if isinstance(result, instance_process.AddressUnavailable):
        return errors.CommandError(
            exit_codes.ExitCode.PORT_TAKEN,
            result.detail,
            'end the process that listens there, or change the settings',
        )
    return None
