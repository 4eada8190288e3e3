"""Workers that restart under their ids: their clocks, leases and runs."""

import asyncio

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import tasks


@pytest.mark.parametrize('dark_ms', [300, 700, 1_000, 2_300, 2_800])
@pytest.mark.parametrize('before_ms', [500, 600, 700, 800])
@pytest.mark.parametrize('run_ms', [80, 6_000])
def test_a_restart_that_the_list_shows_first_does_not_lose_new_runs(
    run_ms: int,
    before_ms: int,
    dark_ms: int,
) -> None:
    """Guards against two runs of a task at once, or after it is done (TWICE).

    A worker took a start after its restart. The list of workers showed the
    restart before the poll did, and its new life had no lease yet, which
    counted as one that has expired.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.run_ms = lambda name: run_ms
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(before_ms / 1_000)
        cell.targets['w1'].is_cut = True
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(3, 900)),
        )
        await asyncio.sleep(dark_ms / 1_000)
        cell.targets['w1'].is_cut = False
        job_cells.restart(cell, cell.targets['w1'])
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('dark_ms', [300, 1_000, 2_000])
def test_tasks_of_a_worker_that_restarted_and_is_lost_start_elsewhere(
    dark_ms: int,
) -> None:
    """Guards against a lease that never ends, so that tasks never run (LOST).

    A start that waited in the queue of commands extended the lease of the
    worker's new life before its clock was known.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 60_000
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.6)
        cell.targets['w1'].is_cut = True
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(4)),
        )
        await asyncio.sleep(dark_ms / 1_000)
        job_cells.restart(cell, cell.targets['w1'])
        await asyncio.sleep(1.0)
        cell.targets['w1'].is_cut = False
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) >= 4)
        await asyncio.sleep(1.0)
        worker = job_cells.make_worker('w2')
        cell.targets['w2'] = job_cells.FakeTarget(worker)
        cell.targets['w1'].is_cut = True
        cell.unlisted.add('w1')
        assert await job_cells.wait_until(
            cell, lambda: len(cell.targets['w2'].runs) == 4
        )
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('cut_after_ms', [100, 400, 1_000, 2_500])
def test_runs_of_a_restarted_worker_start_elsewhere_only_after_its_lease(
    cut_after_ms: int,
) -> None:
    """Guards against two runs of a task at once (TWICE).

    The call that showed the new life of a worker named the end of the lease by
    the clock of the earlier one, so that the worker took the longest lease. The
    owner expected the usual one, and the worker was cut off.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.unlisted.add('w2')
        cell.run_ms = lambda name: 30_000
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(4)),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        await asyncio.sleep(1.0)
        job_cells.restart(cell, cell.targets['w1'])
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 8)
        await asyncio.sleep(cut_after_ms / 1_000)
        cell.unlisted.discard('w2')
        cell.targets['w1'].is_cut = True
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 12)
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('cut_after_ms', [0, 100, 300])
@pytest.mark.parametrize('killed_after_ms', [100, 300, 600, 1_700])
@pytest.mark.parametrize('dark_ms', [300, 600, 1_000])
def test_runs_of_a_restarted_worker_outlast_a_change_of_owner(
    dark_ms: int, killed_after_ms: int, cut_after_ms: int
) -> None:
    """Guards against two runs of a task at once (TWICE).

    The next life of a worker took a start with the end of the lease by the
    clock of the earlier life, and with it the longest lease. The owner was
    killed and the worker cut off, and the next owner waited for the usual lease
    only.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.run_ms = lambda name: 30_000
        first = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.8)
        cell.targets['w1'].is_cut = True
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', job_cells.make_step(4)),
        )
        await asyncio.sleep(dark_ms / 1_000)
        job_cells.restart(cell, cell.targets['w1'])
        cell.targets['w1'].is_cut = False
        # A worker that joins has the list in the table written again.
        worker = job_cells.make_worker('w3')
        cell.targets['w3'] = job_cells.FakeTarget(worker)
        await asyncio.sleep(killed_after_ms / 1_000)
        await tasks.cancel_all(job_views.get_ownership(first).tasks)
        await asyncio.sleep(cut_after_ms / 1_000)
        cell.targets['w1'].is_cut = True
        await asyncio.sleep(0.5)
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: all(
                task.phase is jobs.TaskPhase.RUNNING
                for task in job_views.get_ownership(second)
                .cluster.jobs['a']
                .stages[0, 0]
                .tasks
            ),
        )
        assert cell.violations == []

    job_cells.run(script)
