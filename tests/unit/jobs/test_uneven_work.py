"""Tests the owner of the jobs with uneven work on uneven workers."""

import asyncio
import collections

from lib import job_cells
from lib import job_views

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import worker_lives
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

SLOW_WORKER = 'w2'


def find_run_ms(cell: job_cells.Cell, name: jobs.TaskName) -> int:
    """Returns 700 ms for an estimate of 500, more for some tasks and w2."""
    factor = 7.0 if name.job.startswith('long') and not name.index else 1.0
    if cell.starts[-1].worker == SLOW_WORKER:
        factor *= 10 if name.job == 'degraded' else 1.3
    return int(700 * factor)


async def complete(
    cell: job_cells.Cell, node: nodes.Node, id: str
) -> list[int]:
    """Runs a job of 9 or 12 tasks; returns how often they started, in order.

    The first run of the job 'hung' hangs at 40 %, on a worker that answers.
    """
    ownership = job_views.get_ownership(node)
    is_degraded = id == 'degraded'
    step = job_cells.make_step(
        12 if is_degraded else 9, makes_checkpoints=is_degraded
    )
    await owner_operations.submit(ownership, job_cells.make_job_spec(id, step))
    if id == 'hung':
        assert await job_cells.wait_until(
            cell, lambda: cell.starts[-1].name.job == id
        )
        start = cell.starts[-1]
        run = cell.targets[start.worker].runs[start.name]
        run.hung_percent = 40
        run.end_ms += 60_000
    job = ownership.cluster.jobs[id]
    assert await job_cells.wait_until(
        cell, lambda: job.persisted_final_state is jobs.JobState.COMPLETED
    )
    names = [start.name for start in cell.starts if start.name.job == id]
    return sorted(collections.Counter(names).values())


def estimate_ms(cluster: cluster_state.ClusterState) -> int:
    return run_times.estimate_quantile_ms(
        cluster.run_times, 'queue', 0, 500, 0.5
    )


def test_long_tasks_run_once_and_what_is_learned_is_relearned() -> None:
    """Guards against work that is thrown away, and against a wrong new owner.

    Runs that took seven times as long as their siblings were stopped as stuck,
    again and again. Runs that hang, or have checkpoints on a worker far below
    its speed, are moved.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(f'w{n}') for n in range(3))
        )
        cell.run_ms = lambda name: find_run_ms(cell, name)
        node = await job_cells.start_owner(cell, 'one')
        cluster = job_views.get_ownership(node).cluster
        assert await complete(cell, node, 'long') == [1] * 9
        assert await complete(cell, node, 'hung') == [1] * 8 + [2]
        for number in range(10):
            await complete(cell, node, f'a{number}')
        ratios = {
            id: worker_speeds.get_run_time_ratio(cluster, info)
            for id, info in cluster.workers_by_id.items()
        }
        assert ratios[SLOW_WORKER] > 1.15 * max(ratios['w0'], ratios['w1'])
        assert 650 < estimate_ms(cluster) < 800
        # The tasks on the worker that is now slower by 10 move.
        assert await complete(cell, node, 'degraded') == [1] * 8 + [2] * 4
        await owner_election.end_ownership(node)
        node = await job_cells.start_owner(cell, 'two')
        assert estimate_ms(job_views.get_ownership(node).cluster) == 500
        assert await complete(cell, node, 'long2') == [1] * 9
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
        spec = job_cells.make_job_spec('a', job_cells.make_step())
        await owner_operations.submit(ownership, spec)
        (task,) = ownership.cluster.jobs['a'].stages[0, 0].tasks
        assert await job_cells.wait_until(cell, lambda: bool(task.progress))
        info = ownership.cluster.workers_by_id['w1']
        info.run_time_ratio, info.recent_ratios = 3.0, [3.0]
        worker_lives.reset_for_new_life(
            ownership, info, info.worker, 'test', info.worker.life + 1
        )
        assert task.progress is None
        assert info.recent_ratios == []
        assert worker_speeds.get_run_time_ratio(ownership.cluster, info) == 1

    job_cells.run(script)
