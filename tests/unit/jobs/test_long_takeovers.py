"""Takeovers beside a backlog that takes long to load."""

import asyncio
import functools

from lib import job_cells
from lib import job_views

from nutmegknot._internal.jobs import lifecycle
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import takeover
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import work_slices

JOBS = 200
STEPS = 60


def fill_store(writer: writers.Writer) -> None:
    """Queues the rows of many jobs of many steps."""
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


def test_an_instance_that_is_stopped_in_a_takeover_releases_the_jobs() -> None:
    """Guards against an owner that ends without a release.

    The stop found no ownership yet, and the takeover went on until the process
    ended. The next owner had to wait for the end of the lease.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        first = await job_cells.start_owner(cell, 'one')
        writer = job_views.get_ownership(first).writer
        fill_store(writer)
        await writers.wait_durable(writer)
        await owner_election.end_ownership(first)
        second = job_cells.make_node(cell, 'two')
        table = second.backends.table
        found = await takeover.read_owner(table, 100)
        assert found is not None
        owner = await takeover.take_over(
            table, found, second.id, second.address, 100
        )
        assert owner is not None
        starting = asyncio.create_task(
            owner_election.start_ownership(second, owner, cell.clock.now_ms())
        )
        await asyncio.sleep(0)
        assert not starting.done()
        await lifecycle.hand_over(second)
        await starting
        assert second.ownership is None
        left = await takeover.read_owner(table, 100)
        assert left is not None
        assert not left.row.holder

    job_cells.run(script)


def test_a_takeover_lets_its_ownership_be_renewed_while_it_loads_jobs() -> None:
    """Guards against owners that are replaced before they serve (LOST).

    Loading a large backlog took longer than the lease on the ownership, and the
    task that renews it did not run meanwhile. No owner lasted (review/2).
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        first = await job_cells.start_owner(cell, 'one')
        writer = job_views.get_ownership(first).writer
        fill_store(writer)
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
