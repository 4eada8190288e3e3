"""Tests the owner of the jobs under difficult load patterns."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import sessions
from nutmegknot._internal.jobs import task_scheduling
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

URGENT = job_cells.make_queue(
    'urgent', priority=0, objective_factor=1.5, objective_base_ms=250
)
LOW_PRIORITY = job_cells.make_queue('patient', priority=2, objective_factor=4.0)
ADVISED = job_cells.make_queue(
    'large', priority=1, needs_tickets=True, advice_base_ms=50.0
)


async def submit(node: nodes.Node, spec: jobs.JobSpec) -> None:
    assert node.ownership is not None
    await owner_operations.submit(node.ownership, spec)


def list_first_starts(cell: job_cells.Cell, job_id: str) -> list[int]:
    """Returns when each task of a job first started, in ms."""
    first: dict[jobs.TaskName, int] = {}
    for start in cell.starts:
        if start.name.job == job_id:
            first.setdefault(start.name, start.at_ms)
    return sorted(first.values())


def test_urgent_tasks_evict_low_priority_ones_with_checkpoints() -> None:
    """A burst of urgent tasks finds all workers full of low-priority ones.

    The latter make checkpoints, so they can be stopped without losing work.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            *(job_cells.make_worker(f'w{n}') for n in range(3)),
            settings=job_cells.make_settings(URGENT, LOW_PRIORITY),
        )
        cell.run_ms = lambda name: 600 if name.job == 'u' else 8_000
        node = await job_cells.start_owner(cell, 'one')
        low_priority = job_cells.make_step(
            6, 2_000, makes_checkpoints=True, estimate_ms=8_000
        )
        await submit(
            node, job_cells.make_job_spec('p', low_priority, queue='patient')
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 6)
        await asyncio.sleep(1.0)
        began_ms = cell.clock.now_ms()
        urgent = job_cells.make_step(4, 1_000, estimate_ms=600)
        await submit(node, job_cells.make_job_spec('u', urgent, queue='urgent'))
        assert await job_cells.wait_until(
            cell, lambda: len(list_first_starts(cell, 'u')) == 4
        )
        assert cell.clock.now_ms() - began_ms < 600
        started = {s.name for s in cell.starts if s.name.job == 'p'}
        assert len(started) == 6
        assert cell.violations == []

    job_cells.run(script)


def test_tasks_without_checkpoints_are_not_evicted() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            job_cells.make_worker('w1'),
            settings=job_cells.make_settings(URGENT, LOW_PRIORITY),
        )
        cell.run_ms = lambda name: 3_000
        node = await job_cells.start_owner(cell, 'one')
        low_priority = job_cells.make_step(4, estimate_ms=3_000)
        await submit(
            node, job_cells.make_job_spec('p', low_priority, queue='patient')
        )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        await asyncio.sleep(1.0)
        urgent = job_cells.make_step(1, estimate_ms=600)
        await submit(node, job_cells.make_job_spec('u', urgent, queue='urgent'))
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 5)
        runs = [s for s in cell.starts if s.name.job == 'p']
        assert len(runs) == 4

    job_cells.run(script)


def test_a_large_task_gets_its_only_suited_worker_among_small_ones() -> None:
    """Small tasks fill all workers while one worker suits a large task."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        capacity = resources.Resources(32_000, 64_000, 8)
        cell = job_cells.make_cell(
            loop,
            *(
                job_cells.make_worker(f'w{n}', capacity=capacity)
                for n in range(4)
            ),
            settings=job_cells.make_settings(ADVISED, LOW_PRIORITY),
        )
        cell.suited = {'w1'}
        cell.run_ms = lambda name: 1_000 + 130 * (name.index % 9)
        node = await job_cells.start_owner(cell, 'one')
        small = job_cells.make_step(
            60, size=resources.Resources(1_000, 100, 1), estimate_ms=1_500
        )
        for number in range(4):
            await submit(
                node,
                job_cells.make_job_spec(f's{number}', small, queue='patient'),
            )
        await asyncio.sleep(0.8)
        large = job_cells.make_step(
            1, size=resources.Resources(15_000, 32_000, 8), estimate_ms=3_000
        )
        began_ms = cell.clock.now_ms()
        await submit(node, job_cells.make_job_spec('l', large, queue='large'))
        assert await job_cells.wait_until(
            cell, lambda: bool(list_first_starts(cell, 'l'))
        )
        # It waits for the longest running small task at most, as no others
        # start in its place.
        assert cell.clock.now_ms() - began_ms < 3_500
        assert cell.violations == []

    job_cells.run(script)


def test_a_worker_that_fails_every_run_fails_no_job() -> None:
    """One of three workers fails every run at once.

    Runs there must not use up the attempts of jobs.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            *(job_cells.make_worker(f'w{n}') for n in range(3)),
            settings=job_cells.make_settings(URGENT),
        )

        def find_outcome(name: jobs.TaskName, run: int) -> jobs.EndKind:
            starts = [s for s in cell.starts if s.name == name]
            is_bad = starts[-1].worker == 'w1'
            return jobs.EndKind.FAILED if is_bad else jobs.EndKind.DONE

        cell.outcome = find_outcome
        cell.run_ms = lambda name: (
            50
            if [s for s in cell.starts if s.name == name][-1:]
            and [s for s in cell.starts if s.name == name][-1].worker == 'w1'
            else 500
        )
        node = await job_cells.start_owner(cell, 'one')
        for number in range(10):
            step = job_cells.make_step(6)
            await submit(
                node,
                job_cells.make_job_spec(f'u{number}', step, queue='urgent'),
            )
        assert node.ownership is not None
        jobs_by_id = node.ownership.cluster.jobs

        def are_final() -> bool:
            return all(
                job.persisted_final_state is not None
                for job in jobs_by_id.values()
            )

        assert await job_cells.wait_until(cell, are_final)
        assert {job.state for job in jobs_by_id.values()} == {
            jobs.JobState.COMPLETED
        }
        failed_starts = sum(s.worker == 'w1' for s in cell.starts)
        assert failed_starts < 30

    job_cells.run(script)


def test_a_stuck_task_starts_elsewhere() -> None:
    """Tasks on one worker make no progress, while it answers calls normally."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop,
            *(job_cells.make_worker(f'w{n}') for n in range(3)),
            settings=job_cells.make_settings(URGENT),
        )
        node = await job_cells.start_owner(cell, 'one')
        step = job_cells.make_step(9)
        await submit(node, job_cells.make_job_spec('u', step, queue='urgent'))
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 9)
        for run in cell.targets['w1'].runs.values():
            run.end_ms += 60_000
        assert node.ownership is not None
        job = node.ownership.cluster.jobs['u']
        began_ms = cell.clock.now_ms()
        assert await job_cells.wait_until(
            cell, lambda: job.persisted_final_state is jobs.JobState.COMPLETED
        )
        assert cell.clock.now_ms() - began_ms < 3_000
        assert cell.violations == []

    job_cells.run(script)


def test_passes_leave_a_slow_owner_time_for_its_calls() -> None:
    """A pass that takes long is followed by a pause of twice its duration.

    Passes at a fixed interval took all of a slow processor, so that the owner
    answered neither its peers nor its workers in time.
    """
    intervals = [
        task_scheduling.compute_pass_interval(ms) for ms in (0, 3, 20, 400)
    ]
    assert intervals == [8, 8, 40, 100]


def test_idle_polls_do_not_grow_with_the_number_of_workers() -> None:
    """Guards against an owner that spends its time on polls without a result.

    There were 628 polls a second at 271 workers for about 190 ended runs. Found
    in quiet-1 of the site mvhd-sched-large.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        limits = ownership.limits
        infos = ownership.cluster.workers_by_id
        for count in (25, 176, 271, 940):
            for number in range(count):
                worker = job_cells.make_worker(f'w{number}')
                infos[worker.id] = cluster_state.WorkerInfo(worker)
            wait_ms = sessions.choose_busy_poll_wait(ownership)
            assert wait_ms <= limits.poll_wait_ms
            if wait_ms < limits.poll_wait_ms:
                polls_per_s = count * 1_000 / wait_ms
                assert polls_per_s <= sessions.MAX_IDLE_POLLS_PER_S + 1
        # Few workers, or answers that are being lost: ends are known early.
        ownership.last_lost_answer_ms = cell.clock.now_ms()
        wait_ms = sessions.choose_busy_poll_wait(ownership)
        assert wait_ms == limits.busy_poll_wait_ms
        infos.clear()
        ownership.last_lost_answer_ms = 0
        wait_ms = sessions.choose_busy_poll_wait(ownership)
        assert wait_ms == limits.busy_poll_wait_ms

    job_cells.run(script)
