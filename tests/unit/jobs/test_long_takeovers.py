"""Takeovers beside a backlog that takes long to load."""

import asyncio
import functools

from lib import job_cells
from lib import job_views

from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import work_slices

JOBS = 200
STEPS = 60


def test_a_takeover_lets_its_ownership_be_renewed_while_it_loads_jobs() -> None:
    """Guards against owners that are replaced before they serve (LOST).

    Loading a large backlog took longer than the lease on the ownership, and the
    task that renews it did not run meanwhile. No owner lasted (review/2).
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        first = await job_cells.start_owner(cell, 'one')
        writer = job_views.get_ownership(first).writer
        steps = tuple(
            job_cells.make_step(depends_on=(n - 1,) if n else ())
            for n in range(STEPS)
        )
        for number in range(JOBS):
            id = f'{number:016}'
            job = jobs.Job(jobs.JobSpec(id, 'queue', '', '', steps))
            writers.queue_write(
                writer,
                rows.get_job_key(id),
                functools.partial(rows.encode_job, job),
            )
        await writers.wait_durable(writer)
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        # Once to load the jobs, once to open their stages.
        least = 2 * JOBS * STEPS // (work_slices.MAX_SLICE_UNITS + STEPS + 1)
        second = await job_cells.start_owner(cell, 'two')
        counting.cancel()
        assert len(job_views.get_ownership(second).cluster.jobs) == JOBS
        assert turns > least

    job_cells.run(script)
