"""Command attach: runs one instance on the users' platform."""

import asyncio
import dataclasses
import sys

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import signalling
from nutmegknot._internal.platform import assembling
from nutmegknot._internal.platform import boots
from nutmegknot._internal.telemetry import sinks
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Options of the command, also where the command line is not loaded.

    Attributes:
      level: Lowest level that is logged.
    """

    level: str = 'info'


async def run_instance(command: Options) -> errors.CommandError | None:
    """Runs an instance until SIGTERM or SIGINT."""
    boot = boots.read_boot()
    if isinstance(boot, boots.BadBoot):
        return errors.CommandError(
            exit_codes.ExitCode.BAD_SETTINGS,
            boot.detail,
            f'set {boots.SETTINGS_VARIABLE} to the settings file',
        )
    sink = sinks.Sink(sys.stdout.fileno(), clock_lib.make_system_clock())
    sinks.set_up(command.level, sink)
    writing = asyncio.create_task(sinks.keep_writing(sink))
    stopped = asyncio.Event()
    wanted = assembling.Wanted()
    signalling.handle_signals(stopped, wanted.dump, wanted.reload)
    try:
        ended = await assembling.run(boot, stopped, wanted)
    finally:
        await tasks.cancel(writing)
    if isinstance(ended, assembling.PortTaken):
        return errors.CommandError(
            exit_codes.ExitCode.PORT_TAKEN,
            ended.detail,
            'end the process that listens there, or change the settings',
        )
    return None
