"""Tests the owner of the jobs with uneven work on uneven workers."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import worker_lives
from nutmegknot._internal.models import jobs

SLOW_WORKER = 'w2'


def find_run_ms(cell: job_cells.Cell, name: jobs.TaskName) -> int:
    """Returns 700 ms for an estimate of 500, more for some tasks and w2."""
    factor = 7.0 if name.job.startswith('long') and not name.index else 1.0
    if cell.starts[-1].worker == SLOW_WORKER:
        factor *= 1.3
    return int(700 * factor)


async def complete(
    cell: job_cells.Cell, node: nodes.Node, id: str, *, hangs: bool = False
) -> dict[jobs.TaskName, int]:
    """Runs a job of 9 tasks; returns the number of starts of each task.

    Args:
      cell: The cell.
      node: The owner of the jobs.
      id: Id of the job.
      hangs: Whether its first run hangs at 40 %, on a worker that answers.
    """
    ownership = job_views.get_ownership(node)
    spec = job_cells.make_job_spec(id, job_cells.make_step(9))
    await owner_operations.submit(ownership, spec)

    def list_starts() -> list[job_cells.StartedRun]:
        return [start for start in cell.starts if start.name.job == id]

    if hangs:
        assert await job_cells.wait_until(cell, lambda: bool(list_starts()))
        start = list_starts()[0]
        run = cell.targets[start.worker].runs[start.name]
        run.hung_percent = 40
        run.end_ms += 60_000
    job = ownership.cluster.jobs[id]
    assert await job_cells.wait_until(
        cell, lambda: job.persisted_final_state is jobs.JobState.COMPLETED
    )
    counts: dict[jobs.TaskName, int] = {}
    for start in list_starts():
        counts[start.name] = counts.get(start.name, 0) + 1
    return counts


def test_long_tasks_run_once_and_what_is_learned_is_relearned() -> None:
    """Guards against work that is thrown away, and against a wrong new owner.

    Runs that took seven times as long as their siblings were stopped as stuck,
    again and again. Runs that hang are still moved.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(f'w{n}') for n in range(3))
        )
        cell.run_ms = lambda name: find_run_ms(cell, name)
        node = await job_cells.start_owner(cell, 'one')
        cluster = job_views.get_ownership(node).cluster
        assert set((await complete(cell, node, 'long')).values()) == {1}
        hung = await complete(cell, node, 'hung', hangs=True)
        assert sorted(hung.values()) == [1] * 8 + [2]
        for number in range(10):
            await complete(cell, node, f'a{number}')
        ratios = {
            id: worker_speeds.get_run_time_ratio(cluster, info)
            for id, info in cluster.workers_by_id.items()
        }
        assert ratios[SLOW_WORKER] > 1.15 * max(ratios['w0'], ratios['w1'])
        learned_ms = run_times.estimate_quantile_ms(
            cluster.run_times, 'queue', 0, 500, 0.5
        )
        assert 650 < learned_ms < 800
        await owner_election.end_ownership(node)
        node = await job_cells.start_owner(cell, 'two')
        cluster = job_views.get_ownership(node).cluster
        assert (
            run_times.estimate_quantile_ms(
                cluster.run_times, 'queue', 0, 500, 0.5
            )
            == 500
        )
        assert set((await complete(cell, node, 'long2')).values()) == {1}
        assert cell.violations == []

    job_cells.run(script)


def test_a_degraded_worker_loses_runs_with_checkpoints() -> None:
    """Guards against a job that waits for a worker far below its speed."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(f'w{n}') for n in range(3))
        )
        cell.run_ms = lambda name: (
            40_000 if cell.starts[-1].worker == SLOW_WORKER else 4_000
        )
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        step = job_cells.make_step(
            12, estimate_ms=4_000, makes_checkpoints=True
        )
        spec = job_cells.make_job_spec('a', step)
        await owner_operations.submit(ownership, spec)
        job = ownership.cluster.jobs['a']
        began_ms = cell.clock.now_ms()
        assert await job_cells.wait_until(
            cell, lambda: job.persisted_final_state is jobs.JobState.COMPLETED
        )
        assert cell.clock.now_ms() - began_ms < 20_000
        assert cell.violations == []

    job_cells.run(script)


def test_what_is_known_of_a_worker_ends_with_its_life() -> None:
    """Guards against speed and progress of the machine that was there before.

    A run that starts again in a new life would not grow until it has done more
    than the one before.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 2_000
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        infos = ownership.cluster.workers_by_id
        spec = job_cells.make_job_spec('a', job_cells.make_step())
        await owner_operations.submit(ownership, spec)
        assert await job_cells.wait_until(
            cell,
            lambda: any(
                task.progress
                for info in infos.values()
                for task in info.runs.values()
            ),
        )
        info = infos['w1']
        (task,) = info.runs.values()
        info.run_time_ratio, info.recent_ratios = 3.0, [3.0]
        worker_lives.reset_for_new_life(
            ownership, info, info.worker, 'test', info.worker.life + 1
        )
        assert task.progress is None
        assert info.recent_ratios == []
        assert worker_speeds.get_run_time_ratio(ownership.cluster, info) == 1

    job_cells.run(script)
