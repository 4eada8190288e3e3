"""Unexpected errors and pauses of the owner must not cost a worker its runs."""

import asyncio
import dataclasses

from lib import job_cells
from lib import job_views
from lib import virtual_time

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers


def is_completed(node: nodes.Node, *ids: str) -> bool:
    return all(
        job_views.get_state(node, id) is jobs.JobState.COMPLETED for id in ids
    )


def break_polls(node: nodes.Node, count: int) -> None:
    """Lets the next polls of the worker w1 raise an unexpected error."""
    ownership = job_views.get_ownership(node)
    poll = ownership.runners.poll
    left = count

    async def poll_or_fail(
        worker: workers.Worker,
        token: int,
        acknowledged_end: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> runners.PollResult:
        nonlocal left
        if worker.id == 'w1' and left > 0:
            left -= 1
            raise RuntimeError('unexpected')
        return await poll(
            worker, token, acknowledged_end, until_ms, wait_ms, timeout_ms
        )

    ownership.runners = dataclasses.replace(
        ownership.runners, poll=poll_or_fail
    )


def test_an_error_in_one_session_ends_neither_it_nor_the_process() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        break_polls(node, 3)
        for id in ('a', 'b'):
            await owner_operations.submit(
                job_views.get_ownership(node),
                job_cells.make_job_spec(id, job_cells.make_step(4)),
            )
        assert await job_cells.wait_until(
            cell, lambda: is_completed(node, 'a', 'b')
        )
        assert not job_views.get_ownership(node).tasks.first_error.done()
        assert len(cell.starts) == 8
        assert cell.violations == []

    job_cells.run(script)


def test_a_start_that_fails_unexpectedly_runs_elsewhere() -> None:
    """The task is not left in the state of starting for good."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(node)
        start = ownership.runners.start
        failures = 1

        async def start_or_fail(
            worker: workers.Worker,
            command: runners.StartCommand,
            timeout_ms: int,
        ) -> runners.CommandResult:
            nonlocal failures
            if failures:
                failures -= 1
                raise RuntimeError('unexpected')
            return await start(worker, command, timeout_ms)

        ownership.runners = dataclasses.replace(
            ownership.runners, start=start_or_fail
        )
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step())
        )
        assert await job_cells.wait_until(
            cell, lambda: is_completed(node, 'a'), 3_000
        )
        assert cell.violations == []

    job_cells.run(script)


def test_workers_keep_their_runs_through_an_owner_that_is_late() -> None:
    """Guards against workers that pay for the delays of their owner.

    An owner on a slow processor answered itself too late: its time-outs were
    shorter than its own delay. It took 149 workers for silent, let their leases
    expire and started their runs again.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        assert isinstance(loop, virtual_time.VirtualLoop)
        listed = [job_cells.make_worker(f'w{n}') for n in range(4)]
        cell = job_cells.make_cell(loop, *listed)
        cell.run_ms = lambda name: 9_000
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        await owner_operations.submit(
            ownership,
            job_cells.make_job_spec(
                'a', job_cells.make_step(4, estimate_ms=9_000)
            ),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        poll = ownership.runners.poll

        async def poll_late(
            worker: workers.Worker,
            token: int,
            acknowledged_end: int,
            until_ms: int | None,
            wait_ms: int,
            timeout_ms: int,
        ) -> runners.PollResult:
            result = await poll(
                worker, token, acknowledged_end, until_ms, wait_ms, timeout_ms
            )
            if timeout_ms - wait_ms <= 700:
                # The answer is read only after the time-out.
                return runners.Unanswered('late')
            return result

        ownership.runners = dataclasses.replace(
            ownership.runners, poll=poll_late
        )
        until_ms = cell.clock.now_ms() + 8_000
        while cell.clock.now_ms() < until_ms:
            ownership.lag.peak_ms = 350
            await asyncio.sleep(0.05)
        assert await job_cells.wait_until(cell, lambda: is_completed(node, 'a'))
        assert len(cell.starts) == 4
        assert cell.violations == []

    job_cells.run(script)


def test_a_lease_is_renewed_at_once_after_a_pause_of_the_owner() -> None:
    """One unanswered call after a pause says nothing about the worker."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        assert isinstance(loop, virtual_time.VirtualLoop)
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 30_000
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step()),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 1)
        await asyncio.sleep(1)
        target = cell.targets['w1']
        target.is_silent = True
        await asyncio.sleep(0.4)
        # The loop stands still for longer than the renewal window.
        loop.virtual.passed_s += 1.5
        target.is_silent = False
        paused_until_ms = cell.clock.now_ms()
        await asyncio.sleep(0.15)
        assert (
            target.until_ms
            >= paused_until_ms + node.limits.worker_lease_ms - 150
        )
        assert cell.violations == []

    job_cells.run(script)


def test_no_run_counts_as_lost_while_further_ends_are_unlisted() -> None:
    """A worker lists no more than some ends; others may be of listed runs.

    In a long outage of the store ends can't be acknowledged, so they add up. A
    run whose end was cut off was taken for lost and started again.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(node)
        poll = ownership.runners.poll
        hides_ends = True

        async def poll_without_ends(
            worker: workers.Worker,
            token: int,
            acknowledged_end: int,
            until_ms: int | None,
            wait_ms: int,
            timeout_ms: int,
        ) -> runners.PollResult:
            result = await poll(
                worker, token, acknowledged_end, until_ms, wait_ms, timeout_ms
            )
            if hides_ends and isinstance(result, runners.Inventory):
                await asyncio.sleep(0.05)
                return dataclasses.replace(
                    result, ends=[], has_more_ends=bool(result.ends)
                )
            return result

        ownership.runners = dataclasses.replace(
            ownership.runners, poll=poll_without_ends
        )
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('a', job_cells.make_step())
        )
        await asyncio.sleep(2)
        hides_ends = False
        assert await job_cells.wait_until(cell, lambda: is_completed(node, 'a'))
        assert len(cell.starts) == 1
        assert cell.violations == []

    job_cells.run(script)
