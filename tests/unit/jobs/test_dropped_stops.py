"""Stop commands that are due while they can't be sent."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

TASKS = 4
# How long after the cancelling a task may be at work, by the users' rules.
MAX_GONE_MS = 3_400
# So slow that one command after the other, to all tasks of a large job, takes
# longer than MAX_GONE_MS.
SLOW_COMMAND_S = 0.025
MANY_TASKS = 400


async def start_job(cell: job_cells.Cell) -> nodes.Node:
    """Returns the owner of a job whose tasks all run."""
    cell.run_ms = lambda name: 100_000
    node = await job_cells.start_owner(cell, 'one')
    accepted = await owner_operations.submit(
        job_views.get_ownership(node),
        job_cells.make_job_spec('a', job_cells.make_step(TASKS)),
    )
    assert accepted == outcomes.Accepted('a')
    assert await job_cells.wait_until(cell, lambda: len(cell.starts) == TASKS)
    await asyncio.sleep(1.0)
    return node


def drop_stops(
    ownership: ownerships.Ownership,
    drop: Callable[[], runners.CommandResult],
) -> None:
    """Has the first stop command for each run dropped.

    Args:
      ownership: The ownership of the jobs.
      drop: Returns what comes in place of the worker's answer, or raises.
    """
    dropped: set[tuple[jobs.TaskName, int]] = set()
    stop = ownership.runners.stop

    async def stop_second_time(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        if (name, run) not in dropped:
            dropped.add((name, run))
            return drop()
        return await stop(worker, name, run, token, timeout_ms)

    ownership.runners = dataclasses.replace(
        ownership.runners, stop=stop_second_time
    )


def answer_starts_slowly(ownership: ownerships.Ownership) -> None:
    """Has each start command take SLOW_COMMAND_S."""
    start = ownership.runners.start

    async def start_slowly(
        worker: workers.Worker, command: runners.StartCommand, timeout_ms: int
    ) -> runners.CommandResult:
        await asyncio.sleep(SLOW_COMMAND_S)
        return await start(worker, command, timeout_ms)

    ownership.runners = dataclasses.replace(
        ownership.runners, start=start_slowly
    )


def answer_stops_slowly(ownership: ownerships.Ownership) -> None:
    """Has each stop command take SLOW_COMMAND_S."""
    stop = ownership.runners.stop

    async def stop_slowly(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        await asyncio.sleep(SLOW_COMMAND_S)
        return await stop(worker, name, run, token, timeout_ms)

    ownership.runners = dataclasses.replace(ownership.runners, stop=stop_slowly)


def fail_to_send() -> runners.CommandResult:
    raise RuntimeError('the session is closed')


def answer_falsely() -> runners.CommandResult:
    return runners.Taken(1)


@pytest.mark.parametrize('outage_ms', [900, 1_600, 4_200])
def test_tasks_cancelled_in_an_outage_of_the_store_stop_after_it(
    outage_ms: int,
) -> None:
    """Guards against tasks of cancelled jobs that run on (review/5, UNASKED).

    A stop command that was due while the owner might not act was dropped.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await start_job(cell)
        cell.table.is_down = True
        await asyncio.sleep((outage_ms - 10) / 1_000)
        cancelling = asyncio.create_task(
            owner_operations.cancel(
                job_views.get_ownership(node), jobs.JobReference('a')
            )
        )
        await asyncio.sleep(0.01)
        cell.table.is_down = False
        assert await cancelling == outcomes.Cancelled(True)
        assert await job_cells.wait_until(
            cell, lambda: not cell.targets['w1'].runs, MAX_GONE_MS
        )
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('drop', [fail_to_send, answer_falsely])
@pytest.mark.parametrize('has_new_owner', [False, True])
def test_a_stop_is_sent_again_while_its_run_is_listed(
    drop: Callable[[], runners.CommandResult], has_new_owner: bool
) -> None:
    """Guards against a stop command that is sent only once.

    That held for runs that the owner knows and for those that it finds on
    workers when it has become the owner.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await start_job(cell)
        ownership = job_views.get_ownership(node)
        cancel = functools.partial(
            owner_operations.cancel, ownership, jobs.JobReference('a')
        )
        if has_new_owner:
            cell.targets['w1'].is_cut = True
            await cancel()
            await owner_election.end_ownership(node)
            node = await job_cells.start_owner(cell, 'two')
            drop_stops(job_views.get_ownership(node), drop)
            cell.targets['w1'].is_cut = False
        else:
            drop_stops(ownership, drop)
            await cancel()
        assert await job_cells.wait_until(
            cell, lambda: not cell.targets['w1'].runs, MAX_GONE_MS
        )
        assert cell.violations == []

    job_cells.run(script)


def test_a_stop_does_not_wait_behind_the_starts_of_a_large_job() -> None:
    """Guards against tasks of cancelled jobs that run on behind starts.

    Stop commands waited in one queue with the starts, which are sent one at a
    time. A stop that overtakes the start of its own run bars that run.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker(
                'w1', capacity=resources.Resources(1_000_000, 1_000_000)
            ),
        )
        node = await start_job(cell)
        ownership = job_views.get_ownership(node)
        answer_starts_slowly(ownership)
        step = job_cells.make_step(MANY_TASKS)
        for id in ('large', 'next'):
            await owner_operations.submit(
                ownership, job_cells.make_job_spec(id, step)
            )
        await asyncio.sleep(0.5)
        for id in ('a', 'next'):
            await owner_operations.cancel(ownership, jobs.JobReference(id))
        target = cell.targets['w1']
        await asyncio.sleep(MAX_GONE_MS / 1_000)
        assert {name.job for name in target.runs} == {'large'}
        assert await job_cells.wait_until(
            cell, lambda: len(target.runs) == MANY_TASKS
        )
        assert {name.job for name in target.runs} == {'large'}
        assert cell.violations == []

    job_cells.run(script)


def test_the_stops_of_a_large_job_do_not_wait_for_each_other() -> None:
    """Guards against tasks of a cancelled job that run on behind its stops.

    Stop commands to one worker were sent one at a time. Found in review/5 on a
    machine with twice as much to do as it has processors.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker(
                'w1', capacity=resources.Resources(1_000_000, 1_000_000)
            ),
        )
        cell.run_ms = lambda name: 100_000
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        step = job_cells.make_step(MANY_TASKS)
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('large', step)
        )
        target = cell.targets['w1']
        assert await job_cells.wait_until(
            cell, lambda: len(target.runs) == MANY_TASKS
        )
        await asyncio.sleep(0.5)
        answer_stops_slowly(ownership)
        await owner_operations.cancel(ownership, jobs.JobReference('large'))
        await asyncio.sleep(MAX_GONE_MS / 1_000)
        assert not target.runs
        assert cell.violations == []

    job_cells.run(script)
