"""Command local: runs a whole cell in one process, for trials.

The platform's services and the workers are replaced by stand-ins.
"""

import asyncio

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.commands import registry
from nutmegknot._internal.commands import signal_handlers
from nutmegknot._internal.telemetry import logs
from nutmegknot_standins import local_cells


async def run_cell(command: registry.Local) -> errors.CommandError | None:
    """Runs three instances, stand-ins of the platform, and six workers.

    It runs until SIGTERM or SIGINT, or until the demonstration ends.
    """
    logs.set_up('warning' if command.demo else 'info')
    cell = await local_cells.start(instances=3, workers=6)
    if isinstance(cell, str):
        return errors.CommandError(exit_codes.ExitCode.PORT_TAKEN, cell)
    try:
        if command.demo:
            return await _run_demonstration(cell)
        print(f'instances: {", ".join(cell.addresses)}')
        print(f'key of team demo: {local_cells.KEY_TEXT}')
        print(
            f'state: nutmegknot dump --server {cell.addresses[0]}', flush=True
        )
        stop_requested = asyncio.Event()
        signal_handlers.handle_signals(stop_requested, cell.dump_wanted)
        await stop_requested.wait()
    finally:
        await local_cells.stop(cell)
    return None


async def _run_demonstration(
    cell: local_cells.LocalCell,
) -> errors.CommandError | None:
    results = await demonstration.run(cell.addresses)
    print(demonstration.format_table(results))
    if all(result.is_as_promised for result in results):
        return None
    return errors.CommandError(
        exit_codes.ExitCode.FAILED, 'an outcome is not as promised'
    )
