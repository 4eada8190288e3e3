"""Jobs from acceptance to their end, also across a change of the owner."""

import asyncio
import dataclasses

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


def test_steps_run_one_after_the_other() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        spec = job_cells.make_job_spec(
            'a',
            job_cells.make_step(3),
            job_cells.make_step(2, depends_on=(0,)),
        )
        accepted = await owner_operations.submit(
            job_views.get_ownership(node), spec
        )
        assert accepted == outcomes.Accepted('a')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        starts = job_views.list_runs(cell, 'a')
        assert len(starts) == 5
        first = [s.at_ms for s in starts if s.name.step == 0]
        second = [s.at_ms for s in starts if s.name.step == 1]
        assert min(second) >= max(first) + 500
        assert cell.violations == []

    job_cells.run(script)


def test_a_new_owner_adopts_runs_and_repeats_none() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.run_ms = lambda name: 1_500 + 300 * name.index
        first = await job_cells.start_owner(cell, 'one')
        spec = job_cells.make_job_spec('a', job_cells.make_step(6))
        await owner_operations.submit(job_views.get_ownership(first), spec)
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 6)
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(second, 'a') is jobs.JobState.COMPLETED,
        )
        assert len(job_views.list_runs(cell, 'a')) == 6
        assert cell.violations == []

    job_cells.run(script)


def test_a_new_owner_waits_for_the_lease_of_a_worker_it_cannot_reach() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        cell.run_ms = lambda name: 20_000
        first = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', job_cells.make_step(1, 3_000)),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 1)
        await asyncio.sleep(1.0)
        cell.targets[cell.starts[0].worker].is_cut = True
        await owner_election.end_ownership(first)
        cell.run_ms = lambda name: 500
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(second, 'a') is jobs.JobState.COMPLETED,
        )
        assert len(job_views.list_runs(cell, 'a')) == 2
        assert cell.violations == []

    job_cells.run(script)


def test_run_numbers_rise_across_a_takeover() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.outcome = lambda name, run: jobs.EndKind.LEASE_EXPIRED
        first = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', job_cells.make_step()),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        await owner_election.end_ownership(first)
        cell.outcome = lambda name, run: jobs.EndKind.DONE
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(second, 'a') is jobs.JobState.COMPLETED,
        )
        runs = [s.run for s in cell.starts]
        assert runs[0] == 1
        assert runs == sorted(set(runs))

    job_cells.run(script)


def test_a_gang_with_a_refused_member_is_restarted_as_a_whole() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), job_cells.make_worker('w2')
        )
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        cell.targets['w2'].refusals = [runners.Refusal.NO_ROOM]
        step = job_cells.make_step(2, 3_000, is_gang=True)
        await owner_operations.submit(
            job_views.get_ownership(node), job_cells.make_job_spec('a', step)
        )
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        last = max(s.run for s in cell.starts)
        members = {s.name.index for s in cell.starts if s.run == last}
        assert members == {0, 1}
        assert cell.violations == []

    job_cells.run(script)


def test_failed_runs_are_counted_across_a_takeover() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.outcome = lambda name, run: jobs.EndKind.FAILED
        first = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', job_cells.make_step()),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 2)
        await asyncio.sleep(0.1)
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(second, 'a') is jobs.JobState.FAILED,
        )
        await asyncio.sleep(2.0)
        assert len(cell.starts) == 3

    job_cells.run(script)


def test_a_cancelled_job_stops_its_runs_and_starts_no_more() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 10_000
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(8)),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        cancelled = await owner_operations.cancel(
            job_views.get_ownership(node), jobs.JobReference('a')
        )
        assert isinstance(cancelled, outcomes.Cancelled)
        await asyncio.sleep(3.0)
        assert job_views.get_state(node, 'a') is jobs.JobState.CANCELLED
        assert len(cell.starts) == 4
        assert cell.targets['w1'].runs == {}
        assert (
            job_views.get_ownership(node).cluster.workers_by_id['w1'].used
            == resources.ZERO
        )

    job_cells.run(script)


def test_a_repeated_submission_finds_the_job_at_a_new_owner() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        spec = job_cells.make_job_spec('a', job_cells.make_step())
        first = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(job_views.get_ownership(first), spec)
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        again = await owner_operations.submit(
            job_views.get_ownership(second), spec
        )
        assert again == outcomes.Accepted('a')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(second, 'a') is jobs.JobState.COMPLETED,
        )
        assert len(cell.starts) == 1

    job_cells.run(script)


def test_a_customer_stays_within_its_limit() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        customer = job_settings.Customer(
            'team', limit=resources.Resources(millicores=2_500)
        )
        settings = job_cells.make_settings(customers=(customer,))
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), settings=settings
        )
        node = await job_cells.start_owner(cell, 'one')
        spec = job_cells.make_job_spec(
            'a', job_cells.make_step(6), customer='team'
        )
        await owner_operations.submit(job_views.get_ownership(node), spec)
        max_runs = 0

        def is_completed() -> bool:
            nonlocal max_runs
            max_runs = max(max_runs, len(cell.targets['w1'].runs))
            state = job_views.get_state(node, 'a', 'team')
            return state is jobs.JobState.COMPLETED

        assert await job_cells.wait_until(cell, is_completed)
        assert max_runs == 2

    job_cells.run(script)


def test_a_job_that_fits_no_worker_is_refused_at_once() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        refused = await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(1, 5_000)),
        )
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.NEVER_RUNNABLE
        for count in (0, -1):
            refused = await owner_operations.submit(
                job_views.get_ownership(node),
                job_cells.make_job_spec('b', job_cells.make_step(count)),
            )
            assert isinstance(refused, outcomes.Refused)
            assert refused.reason is outcomes.RefusalReason.BAD_REQUEST

    job_cells.run(script)


def test_nothing_starts_in_a_closed_domain() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        settings = dataclasses.replace(
            job_cells.make_settings(), closed_domains=frozenset('a')
        )
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker('w1'),
            job_cells.make_worker('w2', domain='b'),
            settings=settings,
        )
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(4)),
        )
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert {s.worker for s in cell.starts} == {'w2'}

    job_cells.run(script)


def test_a_stage_that_needs_advice_runs_on_suited_workers_only() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        queue = job_cells.make_queue(needs_tickets=True)
        cell = job_cells.make_cell(
            loop,
            *(job_cells.make_worker(f'w{n}') for n in range(4)),
            settings=job_cells.make_settings(queue),
        )
        cell.suited = {'w2'}
        node = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', job_cells.make_step(6)),
        )
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert {s.worker for s in cell.starts} == {'w2'}

    job_cells.run(script)


@pytest.mark.parametrize('has_new_owner', [False, True])
def test_a_job_of_a_removed_queue_with_advice_goes_on(
    has_new_owner: bool,
) -> None:
    """Guards against a job that never goes on (LOST).

    Its queue was removed while a step was to come. The step's starts carried no
    ticket, and the workers refused them for ever.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        queue = job_cells.make_queue(needs_tickets=True)
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker('w1'),
            settings=job_cells.make_settings(queue),
        )
        cell.requires_tickets = True
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        await owner_operations.submit(
            ownership,
            job_cells.make_job_spec(
                'a',
                job_cells.make_step(2),
                job_cells.make_step(2, depends_on=(0,)),
            ),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 2)
        cell.settings = job_cells.make_settings(job_cells.make_queue('other'))
        ownership.cluster.settings = cell.settings
        if has_new_owner:
            await owner_election.end_ownership(node)
            node = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: job_views.get_state(node, 'a') is jobs.JobState.COMPLETED,
        )
        assert len(cell.starts) == 4
        assert cell.violations == []

    job_cells.run(script)


def test_opportunistic_tasks_are_throttled_above_the_latency_target() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 60_000
        node = await job_cells.start_owner(cell, 'one')
        latency_sensitive = job_cells.make_step(
            1,
            is_long_running=True,
            tail_latency_target_ms=100,
            max_unavailable=0,
        )
        opportunistic = job_cells.make_step(2, is_opportunistic=True)
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('a', latency_sensitive),
        )
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('b', opportunistic),
        )
        target = cell.targets['w1']
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 3)
        target.tail_ms = 150.0

        def is_throttled() -> bool:
            return all(
                run.pace == 0
                for name, run in target.runs.items()
                if name.job == 'b'
            )

        assert await job_cells.wait_until(cell, is_throttled, most_ms=3_000)
        target.tail_ms = 20.0
        assert await job_cells.wait_until(
            cell, lambda: all(r.pace == 100 for r in target.runs.values())
        )

    job_cells.run(script)


def test_pace_commands_are_sent_only_when_the_pace_changes() -> None:
    """Guards against progress that is taken for the pace in force.

    Each list of a worker then caused a command for each opportunistic run. A
    command that failed has to be sent again, and a new owner does not know the
    pace.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 60_000
        sent = []
        fails = False

        def record_paces(node: nodes.Node) -> None:
            ownership = job_views.get_ownership(node)
            throttle = ownership.runners.throttle

            async def record(
                worker: workers.Worker,
                name: jobs.TaskName,
                run: int,
                percent: int,
                *rest: int,
            ) -> runners.CommandResult:
                sent.append(percent)
                if fails:
                    return runners.Unanswered('lost')
                return await throttle(worker, name, run, percent, *rest)

            ownership.runners = dataclasses.replace(
                ownership.runners, throttle=record
            )

        node = await job_cells.start_owner(cell, 'one')
        record_paces(node)
        opportunistic = job_cells.make_step(1, is_opportunistic=True)
        await owner_operations.submit(
            job_views.get_ownership(node),
            job_cells.make_job_spec('b', opportunistic),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 1)
        await asyncio.sleep(5)
        assert sent == []
        info = job_views.get_ownership(node).cluster.workers_by_id['w1']
        fails, info.pace_percent = True, 40
        assert await job_cells.wait_until(cell, lambda: len(sent) == 3)
        fails = False
        await asyncio.sleep(5)
        assert sent == [60, 80, 100, 100]
        await owner_election.end_ownership(node)
        node = await job_cells.start_owner(cell, 'two')
        record_paces(node)
        await asyncio.sleep(5)
        assert sent == [60, 80, 100, 100, 100]
        assert cell.violations == []

    job_cells.run(script)


def test_a_new_owner_starts_tasks_once_all_workers_have_answered() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 2_000
        first = await job_cells.start_owner(cell, 'one')
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', job_cells.make_step(8)),
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        await owner_election.end_ownership(first)
        await asyncio.sleep(3.0)
        second = await job_cells.start_owner(cell, 'two')
        began_ms = cell.clock.now_ms()
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 8)
        assert cell.clock.now_ms() - began_ms < second.limits.list_interval_ms
        assert cell.violations == []

    job_cells.run(script)
