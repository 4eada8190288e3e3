"""Order in which requests for advice are sent."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import jobs
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
