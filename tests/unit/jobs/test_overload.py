"""Tests the owner of the jobs while the workers have too little capacity."""

import asyncio

from lib import job_cells
from lib import job_views

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes

URGENT = job_cells.make_queue(
    'urgent', priority=0, objective_factor=1.5, objective_base_ms=250
)
CUSTOMERS = (
    job_settings.Customer('usual', weight=4.0),
    job_settings.Customer('hot', weight=4.0),
)
RUN_MS = 500


def make_cell(loop: asyncio.AbstractEventLoop) -> job_cells.Cell:
    cell = job_cells.make_cell(
        loop,
        *(job_cells.make_worker(f'w{n}') for n in range(4)),
        settings=job_cells.make_settings(URGENT, customers=CUSTOMERS),
    )
    cell.run_ms = lambda name: RUN_MS
    return cell


async def submit(
    node: nodes.Node, id: str, count: int = 4, customer: str = 'usual'
) -> owner_operations.SubmitOutcome:
    spec = job_cells.make_job_spec(
        id, job_cells.make_step(count), queue='urgent', customer=customer
    )
    return await owner_operations.submit(job_views.get_ownership(node), spec)


def is_on_time(job: jobs.Job) -> bool:
    objective_ms = int(1.5 * RUN_MS) + 250
    return (
        job.state is jobs.JobState.COMPLETED
        and job.ended_ms - job.spec.accepted_ms <= objective_ms
    )


def test_an_overload_refuses_new_jobs_and_no_repeats() -> None:
    """A backlog far beyond the value of its results met no refusal at all.

    A refused job never runs, and a repeat of an accepted one is accepted.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        results = {}
        for number in range(60):
            results[f'j{number}'] = await submit(node, f'j{number}', 8)
            await asyncio.sleep(0.05)
        refused = [
            id
            for id, result in results.items()
            if isinstance(result, outcomes.Refused)
        ]
        assert refused
        for id in refused:
            result = results[id]
            assert isinstance(result, outcomes.Refused)
            assert result.reason is outcomes.RefusalReason.OVERLOADED
            assert result.retry_after_ms >= 1_000
        accepted = [id for id in results if id not in refused]
        for id in accepted:
            assert isinstance(await submit(node, id, 8), outcomes.Accepted)
        cluster = job_views.get_ownership(node).cluster
        assert await job_cells.wait_until(
            cell,
            lambda: all(
                cluster.jobs[id].persisted_final_state for id in accepted
            ),
            60_000,
        )
        assert not {start.name.job for start in cell.starts} & set(refused)
        assert cell.violations == []
        assert isinstance(await submit(node, 'after'), outcomes.Accepted)

    job_cells.run(script)


def test_a_customer_above_its_rate_does_not_delay_the_others() -> None:
    """One customer submits many times its usual for 4 s."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        for number in range(16):
            await submit(node, f'u{number}', 2)
            for copy in range(6):
                await submit(node, f'h{number}.{copy}', 4, 'hot')
            await asyncio.sleep(0.25)
        await asyncio.sleep(3.0)
        cluster = job_views.get_ownership(node).cluster
        usual = [job for id, job in cluster.jobs.items() if id[0] == 'u']
        assert len(usual) == 16
        assert sum(map(is_on_time, usual)) >= 13
        assert cell.violations == []

    job_cells.run(script)


def test_a_new_owner_keeps_the_marks_of_jobs_above_the_rate() -> None:
    """A change of owner gave a customer its allowance once more."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        for number in range(40):
            await submit(node, f'h{number}', 1, 'hot')
            await asyncio.sleep(0.01)
        before = job_views.get_ownership(node)
        marks = {id: job.is_excess for id, job in before.cluster.jobs.items()}
        assert any(marks.values())
        assert not all(marks.values())
        await owner_election.end_ownership(node)
        successor = await job_cells.start_owner(cell, 'two')
        after = job_views.get_ownership(successor)
        assert {
            id: job.is_excess for id, job in after.cluster.jobs.items()
        } == marks
        assert len(after.rates.accepted_ms['hot']) == len(
            before.rates.accepted_ms['hot']
        )

    job_cells.run(script)
