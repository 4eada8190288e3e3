"""Order in which requests for advice are sent."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import tasks


def test_a_request_is_sent_although_more_urgent_ones_never_end() -> None:
    """Guards against stages that wait for advice for ever.

    While workers crashed and were replaced, urgent stages asked about the new
    ones again and again. 54 tasks of less urgent jobs had no advice for 38 s,
    with most of the workers' room free. Found in the day of issue 25 on the
    site coopbien-rfp.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        # Only the adviser of this test is asked.
        await tasks.cancel_all(ownership.tasks)
        asked: list[str] = []

        def ask(id: str, priority: int) -> None:
            step = job_cells.make_step()
            stage = jobs.make_stage(0, 0, step)
            rank = advice_requests.Rank(priority, 0, 0)
            job = jobs.Job(job_cells.make_job_spec(id, step))
            advice_calls.queue_request(
                ownership,
                advice_requests.AdviceRequest(rank, job, stage, ['w1']),
            )

        async def advise(
            stage: str, ids: list[str], timeout_ms: int
        ) -> advisers.Advised | advisers.Unadvised:
            asked.append(stage.partition('.')[0])
            await asyncio.sleep(0.05)
            ask(f'urgent{len(asked)}', 0)
            return advisers.Advised({}, 2_000)

        for number in range(20):
            ask(f'first{number}', 0)
        ask('patient', 2)
        calls = tasks.TaskSet()
        tasks.spawn(
            calls, advice_calls.run_adviser_calls(ownership, advise), 'advise'
        )
        assert await job_cells.wait_until(
            cell, lambda: 'patient' in asked, 5_000
        )
        # What is urgent and has not waited for long still goes first.
        assert len(asked) > 20
        await tasks.cancel_all(calls)

    job_cells.run(script)


def test_a_request_of_a_stage_that_can_not_start_is_withdrawn() -> None:
    """Guards against advice for a customer that has reached its limit since."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        settings = job_cells.make_settings(
            job_cells.make_queue(needs_tickets=True),
            customers=(
                job_settings.Customer('team', limit=resources.Resources(1_000)),
            ),
        )
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), settings=settings
        )
        cell.run_ms = lambda name: 60_000
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        step = job_cells.make_step(estimate_ms=60_000)
        for number in range(40):
            await owner_operations.submit(
                ownership,
                job_cells.make_job_spec(f'j{number}', step, customer='team'),
            )
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 1)
        # A scheduling pass later no request is left, and none is added.
        await asyncio.sleep(0.5)
        assert ownership.advice_queue.waiting == {}
        asked = len(cell.asked)
        await asyncio.sleep(5.0)
        assert len(cell.asked) == asked
        assert cell.violations == []

    job_cells.run(script)
