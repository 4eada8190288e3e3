"""Jobs that callers name by an id that they have chosen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.jobs import early_cancels
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_calls
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes

WAIT_MS = 1_000
SPEC = job_cells.make_job_spec('a', job_cells.make_step(), customer='c')


@pytest.mark.parametrize(
    ('customer', 'queue'), [('c', 'other'), ('another', 'queue')]
)
def test_the_id_of_another_job_is_refused(customer: str, queue: str) -> None:
    """Guards against a job that is acknowledged and never stored.

    The id of a known job was taken for a repetition of its call, at whatever
    queue and for whatever customer it came.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        settings = job_cells.make_settings(
            job_cells.make_queue(), job_cells.make_queue('other')
        )
        cell = job_cells.make_cell(
            loop, job_cells.make_worker('w1'), settings=settings
        )
        cell.run_ms = lambda name: 100_000
        node = await job_cells.start_owner(cell, 'one')
        accepted = outcomes.Accepted('a')
        assert await owner_calls.submit(node, SPEC, WAIT_MS) == accepted
        refused = await owner_calls.submit(
            node,
            dataclasses.replace(SPEC, customer=customer, queue=queue),
            WAIT_MS,
        )
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.ID_IN_USE
        reference = jobs.JobReference('a', customer, queue)
        missing = outcomes.NotFound('a')
        shown = await owner_calls.get_job_state(node, reference, WAIT_MS)
        assert shown == missing
        cancelled = await owner_calls.cancel(node, reference, WAIT_MS)
        assert cancelled == missing
        assert await owner_calls.submit(node, SPEC, WAIT_MS) == accepted
        assert (
            job_views.get_state(node, 'a', 'c') is not jobs.JobState.CANCELLED
        )

    job_cells.run(script)


def test_a_job_is_found_after_its_queue_was_renamed() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 100_000
        node = await job_cells.start_owner(cell, 'one')
        accepted = outcomes.Accepted('a')
        assert await owner_calls.submit(node, SPEC, WAIT_MS) == accepted
        cluster = job_views.get_ownership(node).cluster
        renamed = job_cells.make_queue('renamed')
        cluster.settings = job_cells.make_settings(renamed)
        spec = dataclasses.replace(SPEC, queue='renamed')
        assert await owner_calls.submit(node, spec, WAIT_MS) == accepted
        reference = jobs.JobReference('a', 'c', 'renamed')
        shown = await owner_calls.get_job_state(node, reference, WAIT_MS)
        assert isinstance(shown, jobs.JobState)

    job_cells.run(script)


def test_a_job_that_was_cancelled_before_it_came_is_refused() -> None:
    """Guards against a job that runs unasked after its caller has left.

    Its call is under way at an instance that is frozen, and its caller, who no
    longer waits, gets 410 for a DELETE.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        reference = jobs.JobReference('a', 'c', 'queue')
        cancelled = await owner_calls.cancel(node, reference, WAIT_MS)
        assert cancelled == outcomes.NotFound('a')
        await asyncio.sleep(3.5)
        refused = await owner_calls.submit(node, SPEC, WAIT_MS)
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.CANCELLED
        assert refused.retry_after_ms == 0
        other = dataclasses.replace(SPEC, customer='another')
        accepted = outcomes.Accepted('a')
        assert await owner_calls.submit(node, other, WAIT_MS) == accepted

    job_cells.run(script)


def _end_by_release(cell: job_cells.Cell, node: nodes.Node) -> Awaitable[None]:
    return _release(node)


async def _release(node: nodes.Node) -> None:
    await owner_election.release_ownership(job_views.get_ownership(node).writer)
    await owner_election.end_ownership(node)


def _end_by_kill(cell: job_cells.Cell, node: nodes.Node) -> Awaitable[None]:
    return owner_election.end_ownership(node)


@pytest.mark.parametrize(
    'ends',
    [[_end_by_release], [_end_by_kill], [_end_by_release, _end_by_release]],
    ids=['hand-over', 'kill', 'two hand-overs'],
)
def test_a_cancel_of_an_unknown_job_outlasts_its_owner(
    ends: list[Callable[[job_cells.Cell, nodes.Node], Awaitable[None]]],
) -> None:
    """Guards against a cancel that was acknowledged and not stored.

    The call with the job reaches the next owner, or the one after it.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        reference = jobs.JobReference('a', 'c', 'queue')
        cancelled = await owner_calls.cancel(node, reference, WAIT_MS)
        assert cancelled == outcomes.NotFound('a')
        for number, end in enumerate(ends):
            await end(cell, node)
            node = await job_cells.start_owner(cell, f'next{number}')
        refused = await owner_calls.submit(node, SPEC, WAIT_MS)
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.CANCELLED
        assert not cell.starts

    job_cells.run(script)


def test_a_cancel_that_is_not_stored_is_not_acknowledged() -> None:
    """Guards against a 410 that the next owner would know nothing of."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        cell.table.is_down = True
        reference = jobs.JobReference('a', 'c', 'queue')
        cancelled = await owner_calls.cancel(node, reference, WAIT_MS)
        assert isinstance(cancelled, outcomes.Unknown)

    job_cells.run(script)


def test_a_cancel_right_after_a_submission_finds_the_job() -> None:
    """Guards against a job that is accepted after its cancel found no job.

    The owner checked for cancels before it knew the job, and the cancel came
    between the two.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        reference = jobs.JobReference('a', 'c', 'queue')
        _, cancelled = await asyncio.gather(
            owner_calls.submit(node, SPEC, WAIT_MS),
            owner_calls.cancel(node, reference, WAIT_MS),
        )
        assert isinstance(cancelled, outcomes.Cancelled)
        await asyncio.sleep(1)
        assert not cell.starts

    job_cells.run(script)


def test_a_job_that_was_cancelled_and_withdrawn_stays_cancelled() -> None:
    """Guards against a cancel that is lost with a job that was not stored.

    The store takes no writes, so the job is refused and forgotten, and its
    cancel, which was waiting for the same store, is acknowledged later.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        cell.table.is_down = True
        reference = jobs.JobReference('a', 'c', 'queue')
        submission = asyncio.create_task(
            owner_calls.submit(node, SPEC, 3 * WAIT_MS)
        )
        await asyncio.sleep(0.05)
        cancellation = asyncio.create_task(
            owner_calls.cancel(node, reference, 3 * WAIT_MS)
        )
        refused = await submission
        assert isinstance(refused, outcomes.Refused)
        cell.table.is_down = False
        await cancellation
        refused = await owner_calls.submit(node, SPEC, WAIT_MS)
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.CANCELLED
        assert not any('progress/a' in key for key in cell.table.rows)

    job_cells.run(script)


def test_expired_cancels_are_removed_from_the_table() -> None:
    """Guards against rows that are never removed."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))

        def list_cancels() -> list[str]:
            prefix = rows.EARLY_CANCEL_PREFIX
            return [key for key in cell.table.rows if key.startswith(prefix)]

        node = await job_cells.start_owner(cell, 'one')
        reference = jobs.JobReference('a', 'c', 'queue')
        await owner_calls.cancel(node, reference, WAIT_MS)
        assert len(list_cancels()) == 1
        await _release(node)
        second = await job_cells.start_owner(cell, 'two')
        await asyncio.sleep(early_cancels.REMEMBERED_MS / 1000 + 10)
        assert not list_cancels()
        accepted = outcomes.Accepted('a')
        assert await owner_calls.submit(second, SPEC, WAIT_MS) == accepted

    job_cells.run(script)


def test_early_cancels_are_bounded() -> None:
    """Guards against memory for cancels, and against the loss of earlier ones.

    The cancels that were recorded first have been acknowledged, so they are
    kept and further ones are not recorded.
    """
    cancels = early_cancels.EarlyCancels()
    for number in range(early_cancels.MAX_CANCELS):
        assert early_cancels.record_cancel(cancels, str(number), 1_000)
    assert not early_cancels.record_cancel(cancels, 'next', 1_001)
    assert early_cancels.record_cancel(cancels, '1', 1_001)
    assert len(cancels.until_ms) == early_cancels.MAX_CANCELS
    assert not early_cancels.is_cancelled(cancels, 'next', 1_001)
    assert early_cancels.is_cancelled(cancels, '0', 1_001)
    late_ms = 1_001 + early_cancels.REMEMBERED_MS
    assert not early_cancels.is_cancelled(cancels, '0', late_ms)
    assert early_cancels.is_cancelled(cancels, '1', late_ms)
    assert len(early_cancels.remove_expired(cancels, late_ms, 10)) == 10
    early_cancels.remove_expired(cancels, late_ms, early_cancels.MAX_CANCELS)
    assert list(cancels.until_ms) == ['1']
    assert early_cancels.record_cancel(cancels, 'next', late_ms)


def test_an_id_that_names_a_part_of_another_row_is_refused() -> None:
    """Guards against a job that the next owner can't read.

    Its row was continued by that of a job whose id names a further row of it.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.run_ms = lambda name: 100_000
        first = await job_cells.start_owner(cell, 'one')
        accepted = outcomes.Accepted('a')
        assert await owner_calls.submit(first, SPEC, WAIT_MS) == accepted
        other = dataclasses.replace(SPEC, id='a/part/0001', customer='another')
        refused = await owner_calls.submit(first, other, WAIT_MS)
        assert isinstance(refused, outcomes.Refused)
        assert refused.reason is outcomes.RefusalReason.BAD_REQUEST
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        shown = job_views.get_state(second, 'a', 'c')
        assert isinstance(shown, jobs.JobState)

    job_cells.run(script)
