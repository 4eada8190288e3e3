"""Workers whose capacity shrinks and grows again while work runs there."""

import asyncio
import dataclasses
import random

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# A worker says anew what it has at this interval.
HEARTBEAT_MS = 1_500
# After this time and one heartbeat, a change of capacity counts.
CONTACT_MS = 3_000
FULL = resources.Resources(4_000, 16_000)


def resize(
    cell: job_cells.Cell, id: str, capacity: resources.Resources
) -> None:
    target = cell.targets[id]
    target.worker = dataclasses.replace(target.worker, capacity=capacity)


async def submit(node: nodes.Node, id: str, *steps: jobs.Step) -> None:
    await owner_operations.submit(
        job_views.get_ownership(node), job_cells.make_job_spec(id, *steps)
    )


async def wait_until_counted(cell: job_cells.Cell) -> None:
    await asyncio.sleep((CONTACT_MS + HEARTBEAT_MS) / 1000)
    cell.violations.clear()


@pytest.mark.parametrize(
    ('small', 'has_room'),
    [
        (resources.Resources(1_000, 16_000), True),
        (resources.Resources(4_000, 100), True),
        (resources.ZERO, False),
    ],
)
def test_nothing_starts_over_a_capacity_that_has_shrunk(
    small: resources.Resources, has_room: bool
) -> None:
    """LIMIT: not while runs from before the change go on, nor as they end."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w0'), job_cells.make_worker('w1')
        )
        cell.run_ms = lambda name: 700 + 900 * (name.index % 7)
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        await submit(node, 'a', job_cells.make_step(60))
        await asyncio.sleep(0.5)
        resize(cell, 'w0', small)
        await wait_until_counted(cell)
        before = len(cell.starts)
        await asyncio.sleep(6.0)
        shrunk = [s for s in cell.starts[before:] if s.worker == 'w0']
        assert cell.violations == []
        assert bool(shrunk) == has_room
        resize(cell, 'w0', FULL)
        grown = len(cell.starts)
        await asyncio.sleep(6.0)
        assert sum(s.worker == 'w0' for s in cell.starts[grown:]) > 4
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert cell.violations == []

    job_cells.run(script)


def test_runs_that_are_being_stopped_still_count() -> None:
    """LIMIT: urgent work evicts what is there, and waits for its end."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        settings = job_cells.make_settings(
            job_cells.make_queue('queue', priority=2),
            job_cells.make_queue('urgent', priority=0),
        )
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w0'), settings=settings
        )
        cell.run_ms = lambda name: 20_000
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        await submit(node, 'a', job_cells.make_step(4, makes_checkpoints=True))
        await asyncio.sleep(1.0)
        resize(cell, 'w0', resources.Resources(3_000, 16_000))
        await wait_until_counted(cell)
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec(
                'b', job_cells.make_step(2), queue='urgent'
            ),
        )
        assert await job_cells.wait_until(
            cell, lambda: any(s.name.job == 'b' for s in cell.starts)
        )
        assert cell.violations == []

    job_cells.run(script)


def test_a_new_owner_starts_nothing_over_a_capacity_that_has_shrunk() -> None:
    """It adopts more than the worker has room for now."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w0'))
        cell.run_ms = lambda name: 1_000 if name.job == 'b' else 8_000
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        await submit(node, 'a', job_cells.make_step(4))
        await asyncio.sleep(0.5)
        resize(cell, 'w0', resources.Resources(2_000, 16_000))
        await owner_election.end_ownership(node)
        await asyncio.sleep(1.0)
        node = await job_cells.start_owner(cell, 'two')
        await submit(node, 'b', job_cells.make_step(4))
        await wait_until_counted(cell)
        assert not any(s.name.job == 'b' for s in cell.starts)
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'b') is jobs.JobState.COMPLETED,
        )
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('seed', range(10))
def test_capacities_that_change_again_and_again(seed: int) -> None:
    """LIMIT, with a change of some worker each few seconds."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        rng = random.Random(seed)
        ids = [f'w{number}' for number in range(4)]
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(id) for id in ids)
        )
        cell.run_ms = lambda name: 300 + 700 * (name.index % 5)
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        for number in range(6):
            for size in (500, 1_000, 1_500):
                step = job_cells.make_step(12, size, is_gang=rng.random() < 0.2)
                await submit(node, f'j{number}-{size}', step)
            id = rng.choice(ids)
            resize(
                cell,
                id,
                resources.Resources(
                    rng.choice((500, 1_500, 2_500, 6_000)), 16_000
                ),
            )
            await wait_until_counted(cell)
            await asyncio.sleep(rng.random() * 2)
            assert cell.violations == []

    job_cells.run(script)
