"""Command serve: runs one instance with the settings of a file."""

import asyncio

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import registry
from nutmegknot._internal.commands import signal_handlers
from nutmegknot._internal.instance import instance_lifecycle
from nutmegknot._internal.network import tls
from nutmegknot._internal.settings import reader
from nutmegknot._internal.telemetry import logs
from nutmegknot._internal.utils import signals


async def run_instance(command: registry.Serve) -> errors.CommandError | None:
    """Runs an instance until SIGTERM or SIGINT."""
    settings = reader.read_file(command.config)
    if isinstance(settings, reader.InvalidSettings):
        return errors.CommandError(
            exit_codes.ExitCode.BAD_SETTINGS,
            settings.detail,
            'docs/OPERATIONS.md lists every key with its unit and bounds',
        )
    logs.set_up(settings.telemetry.level)
    stop_requested = asyncio.Event()
    dump_requested = signals.Signal()
    signal_handlers.handle_signals(stop_requested, dump_requested)
    return make_error(
        await instance_lifecycle.run(settings, stop_requested, dump_requested)
    )


def make_error(
    result: instance_lifecycle.StartFailure | None,
) -> errors.CommandError | None:
    """Returns the error of a command whose instance could not start.

    Args:
      result: Why the instance could not start; None if it ran and stopped.
    """
    match result:
        case instance_lifecycle.AddressUnavailable(detail):
            return errors.CommandError(
                exit_codes.ExitCode.PORT_TAKEN,
                detail,
                'end the process that listens there, or change the settings',
            )
        case instance_lifecycle.TableServiceUnreachable(detail):
            return errors.CommandError(
                exit_codes.ExitCode.PLATFORM_UNREACHED,
                detail,
                'check platform.table_url, and that the table service runs',
            )
        case tls.InvalidTlsFiles(detail):
            return errors.CommandError(
                exit_codes.ExitCode.BAD_SETTINGS,
                detail,
                'check the files that the settings name',
            )
    return None
