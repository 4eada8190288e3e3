"""Tests of ledger/accepting.py, reporting.py and forgetting.py."""

import asyncio
import dataclasses

from lib import makers
from lib import partitions
import pytest

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import forgetting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports

KEY = 't/job'
FAILED = reports.Returned('failed', 'exit 1', may_have_run=True)


async def submit(
    owner: partitions.Owner, name: str = 'job', **fields: object
) -> object:
    req = makers.make_request(name, **fields)
    return await accepting.submit(owner.ledger, owner.context, req, 1_000)


async def report(
    owner: partitions.Owner, attempt: int, news: reports.Returned, epoch: int
) -> bool:
    given = reports.Report(KEY, attempt, partitions.FLEET, epoch, news)
    return await reporting.take_reports(owner.ledger, owner.context, [given])


async def test_submit_is_told_apart() -> None:
    cell = partitions.Cell()
    cell.time.at_ms = 5_000
    owner = await partitions.take_over(cell)
    assert await submit(owner) == outcomes.Accepted(KEY)
    assert await submit(owner) == outcomes.Accepted(KEY)
    assert await submit(owner, run_ms=7) == outcomes.Conflict(KEY)
    late = await submit(owner, 'late', deadline_ms=4_000)
    assert isinstance(late, outcomes.Refused)
    assert late.reason is outcomes.RefusalReason.DEADLINE_PASSED
    owner.ledger.journal.max_waiting_bytes = 0
    full = await submit(owner, 'full')
    assert isinstance(full, outcomes.Refused)
    assert full.reason is outcomes.RefusalReason.OVERLOADED
    cell.may_act = False
    barred = await submit(owner, 'barred')
    assert isinstance(barred, outcomes.Refused)
    await partitions.stop(owner)
    assert list(owner.ledger.entries) == [KEY]
    cell.may_act = True
    owner.ledger.journal.max_waiting_bytes = 1
    assert await submit(owner, 'fenced') == journals.Fenced()


async def test_copy_that_waits_longer_keeps_the_acceptance() -> None:
    """The deadline of one copy does not take back what another waits for."""
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    cell.table.faults = ['down'] * 3
    req = makers.make_request('job')
    patient = asyncio.create_task(
        accepting.submit(owner.ledger, owner.context, req, 60_000)
    )
    await asyncio.sleep(0)
    hasty = await accepting.submit(owner.ledger, owner.context, req, 0)
    assert isinstance(hasty, outcomes.Unknown)
    assert await patient == outcomes.Accepted(KEY)
    await partitions.stop(owner)


async def test_attempts_are_bounded() -> None:
    owner = await partitions.take_over(partitions.Cell())
    await submit(owner)
    for attempt in range(4):
        assert await report(owner, attempt, FAILED, 1)
        assert await report(owner, attempt, FAILED, 1)
    outcome = accepting.describe(owner.ledger, KEY)
    assert outcome == outcomes.Failed(
        outcomes.FailureReason.TASK_FAILED, 'exit 1', started=True
    )
    await partitions.stop(owner)


@pytest.mark.parametrize('has_run', [False, True])
async def test_passed_deadline_ends_what_is_not_running(has_run: bool) -> None:
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await submit(owner, deadline_ms=100)
    cell.time.at_ms = 101
    news = reports.Returned('deadline', 'passed', has_run)
    await report(owner, 0, news, 1)
    outcome = accepting.describe(owner.ledger, KEY)
    assert outcome == outcomes.Failed(
        outcomes.FailureReason.DEADLINE_PASSED, 'passed', started=has_run
    )
    await partitions.stop(owner)


async def test_report_of_earlier_fleet_epoch_is_not_taken() -> None:
    """Its sender must not let workers forget what the new owner looks for."""
    owner = await partitions.take_over(partitions.Cell())
    await submit(owner)
    owner.ledger.fleet_epochs[partitions.FLEET] = 2
    news = reports.Returned('handover', '', may_have_run=False)
    assert not await report(owner, 0, news, 1)
    assert owner.ledger.entries[KEY].attempt == 0
    assert await report(owner, 0, news, 2)
    assert owner.ledger.entries[KEY].attempt == 1
    await partitions.stop(owner)


async def test_rejection_asks_the_other_fleet_partitions() -> None:
    owner = await partitions.take_over(partitions.Cell())
    asked: list[frozenset[str]] = []

    def choose(
        req: object, avoid: frozenset[str]
    ) -> accepting.Choice | outcomes.Refused:
        asked.append(avoid)
        left = sorted({partitions.FLEET, 'fleet-e-0'} - avoid)
        if left:
            return accepting.Choice(left[0], 1)
        reason = outcomes.RefusalReason.UNAVAILABLE
        return outcomes.Refused(reason, 'none')

    owner.context = dataclasses.replace(owner.context, choose_fleet=choose)
    await submit(owner)
    news = reports.Returned('rejected', 'too large', may_have_run=False)
    await report(owner, 0, news, 1)
    entry = owner.ledger.entries[KEY]
    assert (entry.fleet, entry.attempt) == ('fleet-e-0', 1)
    given = reports.Report(KEY, 1, 'fleet-e-0', 1, news)
    await reporting.take_reports(owner.ledger, owner.context, [given])
    assert entry.outcome == outcomes.Failed(
        outcomes.FailureReason.NEVER_RUNNABLE, 'too large', started=False
    )
    await partitions.stop(owner)


async def test_cancellations_share_a_segment() -> None:
    owner = await partitions.take_over(partitions.Cell())
    names = [f'job-{number}' for number in range(50)]
    await asyncio.gather(*(submit(owner, name) for name in names))
    before = owner.ledger.journal.last.sequence
    cancels = [
        accepting.cancel(owner.ledger, owner.context, f't/{name}', 1_000)
        for name in names
    ]
    await asyncio.gather(*cancels)
    assert owner.ledger.journal.last.sequence == before + 1
    assert len(owner.ledger.withdrawals[partitions.FLEET]) == 50
    entry = owner.ledger.entries['t/job-0']
    assert ledgers.make_assignment(owner.ledger, entry).cancelled
    await partitions.stop(owner)


async def test_return_during_cancellation_ends_the_request() -> None:
    owner = await partitions.take_over(partitions.Cell())
    await submit(owner)
    cancelling = asyncio.create_task(
        accepting.cancel(owner.ledger, owner.context, KEY, 1_000)
    )
    await asyncio.sleep(0)
    assert not owner.ledger.entries[KEY].cancelled
    news = reports.Returned('handover', '', may_have_run=False)
    assert await report(owner, 0, news, 1)
    await cancelling
    outcome = accepting.describe(owner.ledger, KEY)
    assert outcome == outcomes.Cancelled(started=False)
    await partitions.stop(owner)


async def test_old_outcomes_are_forgotten() -> None:
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await submit(owner)
    await submit(owner, 'open')
    news = reports.Ended(outcomes.Finished((b'',)))
    given = reports.Report(KEY, 0, partitions.FLEET, 1, news)
    await reporting.take_reports(owner.ledger, owner.context, [given])
    assert forgetting.forget(owner.ledger, 1_000, 1_000) is None
    batch = forgetting.forget(owner.ledger, 1_001, 1_000)
    assert batch is not None
    await batch.written
    assert list(owner.ledger.entries) == ['t/open']
    await partitions.stop(owner)
