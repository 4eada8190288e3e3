"""Failures are put down to the task or to the worker that is the cause."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import jobs


def test_workers_are_not_avoided_for_tasks_that_fail_everywhere() -> None:
    """Guards against quarantines of sound workers for a task's own fault.

    A job whose tasks fail wherever they run put each worker that ran three of
    them in quarantine, so that others had no room for 2 s and more.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(f'w{n}') for n in range(3))
        )
        cell.run_ms = lambda name: 50
        cell.outcome = lambda name, run: (
            jobs.EndKind.FAILED
            if name.job.startswith('bad')
            else jobs.EndKind.DONE
        )
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(node)
        for number in range(4):
            id = f'bad{number}'
            await owner_operations.submit(
                ownership, job_cells.make_job_spec(id, job_cells.make_step(12))
            )
            assert await job_cells.wait_until(
                cell,
                lambda id=id: (  # type: ignore[misc]
                    job_views.get_state(node, id) is jobs.JobState.FAILED
                ),
            )
        began_ms = cell.clock.now_ms()
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('good', job_cells.make_step(12))
        )
        assert await job_cells.wait_until(
            cell,
            lambda: (
                job_views.get_state(node, 'good') is jobs.JobState.COMPLETED
            ),
        )
        assert cell.clock.now_ms() - began_ms < 500

    job_cells.run(script)


def test_a_worker_that_fails_all_that_it_starts_is_avoided() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(
            loop, *(job_cells.make_worker(f'w{n}') for n in range(3))
        )
        cell.run_ms = lambda name: 50
        cell.outcome = lambda name, run: (
            jobs.EndKind.FAILED
            if any(
                start.worker == 'w0' and start.name == name and start.run == run
                for start in cell.starts
            )
            else jobs.EndKind.DONE
        )
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        ownership = job_views.get_ownership(node)
        for number in range(8):
            await owner_operations.submit(
                ownership,
                job_cells.make_job_spec(f'j{number}', job_cells.make_step(3)),
            )
        assert await job_cells.wait_until(
            cell,
            lambda: all(
                job_views.get_state(node, f'j{number}')
                is jobs.JobState.COMPLETED
                for number in range(8)
            ),
        )
        info = ownership.cluster.workers_by_id['w0']
        assert info.quarantine_until_ms > 0

    job_cells.run(script)
