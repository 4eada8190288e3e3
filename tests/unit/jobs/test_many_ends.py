"""Workers that have more ends of runs than they list at a time."""

import asyncio

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

RUN_MS = 2_000


def are_completed(node: nodes.Node, ids: list[str]) -> bool:
    return all(
        job_views.get_state(node, id) is jobs.JobState.COMPLETED for id in ids
    )


def make_cell(loop: asyncio.AbstractEventLoop, count: int) -> job_cells.Cell:
    """Returns a cell whose two workers have room for half of the tasks each."""
    half = resources.Resources(count // 2, 1_000_000)
    cell = job_cells.make_cell(
        loop,
        job_cells.make_worker('w1', capacity=half),
        job_cells.make_worker('w2', capacity=half),
    )
    cell.run_ms = lambda name: RUN_MS
    return cell


async def run_jobs(
    cell: job_cells.Cell, owner: nodes.Node, ids: list[str], task_count: int
) -> None:
    """Submits jobs and waits until all their tasks run."""
    ownership = job_views.get_ownership(owner)
    step = job_cells.make_step(task_count, 1)
    await asyncio.gather(
        *(
            owner_operations.submit(
                ownership, job_cells.make_job_spec(id, step)
            )
            for id in ids
        )
    )
    assert await job_cells.wait_until(
        cell, lambda: len(cell.starts) == len(ids) * task_count
    )


@pytest.mark.parametrize(
    ('job_count', 'task_count', 'answer_ms'),
    [
        pytest.param(3, 800, 0, id='three jobs'),
        # The next page of ends is listed after the end of the leases that the
        # earlier owner gave.
        pytest.param(1_600, 1, 550, id='one job a task and a slow store'),
    ],
)
def test_tasks_with_ends_on_a_later_page_do_not_start_again(
    job_count: int, task_count: int, answer_ms: int
) -> None:
    """Guards against a task that is done and starts again (review/3, TWICE).

    A worker lists 500 ends at a time. A new owner took those that it had not
    read yet for runs that were over without an end.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        count = job_count * task_count
        cell = make_cell(loop, count)
        first = await job_cells.start_owner(cell, 'one')
        ids = [f'{n:016}' for n in range(job_count)]
        await run_jobs(cell, first, ids, task_count)
        for target in cell.targets.values():
            assert len(target.runs) > job_cells.MAX_LISTED_ENDS
        await owner_election.end_ownership(first)
        await asyncio.sleep(RUN_MS / 1_000)
        cell.table.answer_ms = answer_ms
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell, lambda: are_completed(second, ids)
        )
        assert len(cell.starts) == count
        assert cell.violations == []

    job_cells.run(script)


def test_a_worker_lost_with_unread_ends_does_not_hold_up_the_takeover() -> None:
    """Guards against jobs that wait for good for a worker's further ends."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop, 1_600)
        first = await job_cells.start_owner(cell, 'one')
        ids = [f'{n:016}' for n in range(1_600)]
        await run_jobs(cell, first, ids, 1)
        await owner_election.end_ownership(first)
        await asyncio.sleep(RUN_MS / 1_000)
        cell.table.answer_ms = 550
        second = await job_cells.start_owner(cell, 'two')
        await asyncio.sleep(1.0)
        cell.targets['w1'].is_cut = True
        cell.table.answer_ms = 0
        assert await job_cells.wait_until(
            cell, lambda: are_completed(second, ids)
        )
        assert cell.violations == []

    job_cells.run(script)
