"""Occurrences that a new owner's clock doesn't take for due yet."""

import asyncio
import dataclasses

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.utils import clock

BEHIND_MS = 5_000
INTERVAL_MS = 3_000
MAX_JOB_MS = 90_000


def turn_clock_back(cell: job_cells.Cell) -> None:
    """Sets back the time of day for the instances that start from now on."""
    read_ms, read_wall_ms = cell.clock.now_ms, cell.clock.wall_ms
    cell.clock = clock.Clock(read_ms, lambda: read_wall_ms() - BEHIND_MS)


@pytest.mark.parametrize('run_ms', [400, 12_000])
@pytest.mark.parametrize('steps', [1, 2])
def test_an_occurrence_that_an_earlier_owner_started_is_kept(
    run_ms: int, steps: int
) -> None:
    """Guards against runs of early occurrences that are stopped or repeated.

    The new owner took a listed run for unknown and stopped it, and dropped the
    end of one, after which the task started again.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: run_ms
        node = await job_cells.start_owner(cell, 'one')
        chain = [
            job_cells.make_step(
                estimate_ms=run_ms, depends_on=(number - 1,) if number else ()
            )
            for number in range(steps)
        ]
        accepted = await owner_operations.submit(
            job_views.get_ownership(node),
            dataclasses.replace(
                job_cells.make_job_spec('a', *chain),
                start_at_ms=cell.clock.wall_ms() + 1_000,
                interval_ms=INTERVAL_MS,
                occurrences=2,
            ),
        )
        assert accepted == outcomes.Accepted('a')
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 1)
        cell.targets['w1'].is_cut = True
        await owner_election.end_ownership(node)
        turn_clock_back(cell)
        node = await job_cells.start_owner(cell, 'two')
        cell.targets['w1'].is_cut = False
        ownership = job_views.get_ownership(node)
        assert await job_cells.wait_until(
            cell,
            lambda: (
                ownership.cluster.jobs['a'].state is jobs.JobState.COMPLETED
            ),
            MAX_JOB_MS,
        )
        assert len(cell.starts) == 2 * steps
        assert cell.violations == []

    job_cells.run(script)
