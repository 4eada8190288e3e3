"""Requests from submission to outcome in one local cell."""

from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.network import clients
from nutmegknot_standins import local_cells


async def test_demonstration_is_as_promised() -> None:
    cell = await local_cells.start(instances=3, workers=6)
    assert isinstance(cell, local_cells.LocalCell)
    try:
        rows = await demonstration.run(cell.addresses)
    finally:
        await local_cells.stop(cell)
    assert [row for row in rows if not row.is_as_promised] == []
    assert cell.platform.history.violations == []


async def test_repeat_after_graceful_stop_finds_first_outcome() -> None:
    cell = await local_cells.start(instances=3, workers=6)
    assert isinstance(cell, local_cells.LocalCell)
    first = clients.connect(cell.addresses[0])
    second = clients.connect(cell.addresses[1])
    call = demonstration.make_submit_call('r-1', repeatable=False)
    try:
        await demonstration.wait_until_ready(first)
        await demonstration.wait_until_ready(second)
        outcome = await demonstration.submit_and_wait(first, call)
        cell.stop_events[0].set()
        await cell.instance_tasks[0]
        again = await demonstration.submit_and_wait(second, call)
    finally:
        clients.close(first)
        clients.close(second)
        await local_cells.stop(cell)
    assert outcome.finished.answers == [b'done r-1']
    assert again == outcome
    starts = [r for r in cell.platform.history.records if r.event == 'start']
    assert sum(r.task.startswith('demo/r-1#') for r in starts) == 1
