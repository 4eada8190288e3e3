"""Start commands that wait in a worker's queue of commands."""

import asyncio
import dataclasses

from lib import job_cells
from lib import job_views

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

TASKS = 150
SLOW_START_S = 0.025


def answer_starts_slowly(ownership: ownerships.Ownership, id: str) -> None:
    """Has each start command to a worker take SLOW_START_S."""
    start = ownership.runners.start

    async def start_slowly(
        worker: workers.Worker, command: runners.StartCommand, timeout_ms: int
    ) -> runners.CommandResult:
        if worker.id == id:
            await asyncio.sleep(SLOW_START_S)
        return await start(worker, command, timeout_ms)

    ownership.runners = dataclasses.replace(
        ownership.runners, start=start_slowly
    )


def test_a_start_that_waits_is_not_sent_to_a_draining_worker() -> None:
    """Guards against tasks that start on a worker long after it drains.

    Starts that waited in its queue of commands were sent without a look at
    what the worker said of itself meanwhile.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        size = resources.Resources(TASKS * 1_000, 1_000_000)
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker('w1', capacity=size),
            job_cells.make_worker('w2', capacity=size),
        )
        cell.run_ms = lambda name: 100_000
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        answer_starts_slowly(ownership, 'w1')
        step = job_cells.make_step(TASKS, estimate_ms=100_000)
        accepted = await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', step)
        )
        assert accepted == outcomes.Accepted('a')
        await asyncio.sleep(0.2)
        target = cell.targets['w1']
        assert target.runs
        target.worker = dataclasses.replace(
            target.worker, state=workers.TargetState.LEAVING
        )
        info = ownership.cluster.workers_by_id['w1']
        leaving = workers.TargetState.LEAVING
        assert await job_cells.wait_until(
            cell, lambda: info.worker.state is leaving
        )
        started = len(target.runs)
        await asyncio.sleep(5.0)
        assert len(target.runs) <= started + 1
        running = len(target.runs) + len(cell.targets['w2'].runs)
        assert running == TASKS
        assert cell.violations == []

    job_cells.run(script)
