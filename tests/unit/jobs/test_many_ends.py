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
        large = resources.Resources(count // 2, 1_000_000)
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker('w1', capacity=large),
            job_cells.make_worker('w2', capacity=large),
        )
        cell.run_ms = lambda name: RUN_MS
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        ids = [f'{n:016}' for n in range(job_count)]
        await asyncio.gather(
            *(
                owner_operations.submit(
                    ownership,
                    job_cells.make_job_spec(
                        id, job_cells.make_step(task_count, 1)
                    ),
                )
                for id in ids
            )
        )
        assert await job_cells.wait_until(
            cell, lambda: len(cell.starts) == count
        )
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
