"""Workers that come back under their ids with other labels or capacity."""

import asyncio

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

SMALL = resources.Resources(1_000, 4_000)
# Longest interval between two readings of the list of workers, in ms.
LIST_INTERVAL_MS = 700


@pytest.mark.parametrize('at_ms', range(0, LIST_INTERVAL_MS, 70))
@pytest.mark.parametrize(
    'changes',
    [
        {'labels': frozenset(('slow', 'r1')), 'kind': 'slow'},
        {'capacity': SMALL},
    ],
    ids=['label', 'capacity'],
)
def test_nothing_starts_on_a_restarted_worker_by_its_earlier_description(
    changes: dict[str, object], at_ms: int
) -> None:
    """Guards against starts without the label or the capacity (ROUTE, LIMIT).

    A poll showed the new life of a worker before the list did, and tasks
    started on it by the labels or the capacity of the earlier one (review/10).
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.binds_calls = True
        cell.run_ms = lambda name: 40
        node = await job_cells.start_owner(cell, 'one')
        step = job_cells.make_step(400, 900, required_label='plain')
        await owner_operations.submit(
            job_views.get_ownership(node), job_cells.make_job_spec('a', step)
        )
        await asyncio.sleep(1.0 + at_ms / 1_000)
        job_cells.restart(cell, cell.targets['w1'], **changes)
        count = len(cell.starts)
        await asyncio.sleep(2.0)
        assert cell.violations == []
        # The worker is used again as what it is now.
        assert (len(cell.starts) > count) == ('capacity' in changes)

    job_cells.run(script)


def test_a_restarted_worker_waits_for_one_reading_of_the_list() -> None:
    """The list is read at once, not only when that is due."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.binds_calls = True
        cell.run_ms = lambda name: 30
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(400, 900)),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) > 50)
        target = cell.targets['w1']
        job_cells.restart(cell, target)
        info = job_views.get_ownership(node).cluster.workers_by_id['w1']
        assert await job_cells.wait_until(
            cell, lambda: info.worker.life == target.worker.life
        )
        known_ms = cell.clock.now_ms()
        assert await job_cells.wait_until(
            cell, lambda: cell.starts[-1].life == target.worker.life
        )
        assert cell.clock.now_ms() - known_ms < LIST_INTERVAL_MS // 2
        task = job_views.get_ownership(node).cluster.jobs['a']
        assert task.state is jobs.JobState.RUNNING
        assert cell.violations == []

    job_cells.run(script)
