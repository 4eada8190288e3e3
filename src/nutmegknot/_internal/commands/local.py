"""Command local: a whole cell with stand-ins in one process."""

import asyncio

from nutmegknot._internal.cli import errors
from nutmegknot._internal.cli import exit_codes
from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.commands import registry
from nutmegknot._internal.commands import signalling
from nutmegknot._internal.telemetry import logs
from nutmegknot_standins import cells


async def run_cell(command: registry.Local) -> errors.CommandError | None:
    """Runs three instances, the stand-ins and six workers."""
    logs.set_up('warning' if command.demo else 'info')
    cell = await cells.start(instances=3, workers=6)
    if isinstance(cell, str):
        return errors.CommandError(exit_codes.ExitCode.PORT_TAKEN, cell)
    try:
        if command.demo:
            return await _demonstrate(cell)
        print(f'instances: {", ".join(cell.addresses)}')
        print(f'key of team demo: {cells.KEY_TEXT}')
        print(
            f'state: nutmegknot dump --server {cell.addresses[0]}', flush=True
        )
        stopped = asyncio.Event()
        signalling.handle_signals(stopped, cell.dump_wanted)
        await stopped.wait()
    finally:
        await cells.stop(cell)
    return None


async def _demonstrate(cell: cells.Cell) -> errors.CommandError | None:
    rows = await demonstration.run(cell.addresses)
    print(demonstration.format_table(rows))
    if all(row.is_as_promised for row in rows):
        return None
    return errors.CommandError(
        exit_codes.ExitCode.FAILED, 'an outcome is not as promised'
    )
