"""Tests of request operations, report processing and retention."""

import asyncio
import dataclasses

from lib import ledger_partitions
from lib import makers
import pytest

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import retention
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports

KEY = 't/job'
FAILED = reports.Returned('failed', 'exit 1', may_have_run=True)


async def submit(
    owner: ledger_partitions.PartitionOwner, name: str = 'job', **fields: object
) -> object:
    req = makers.make_request(name, **fields)
    return await request_operations.submit(
        owner.ledger, owner.context, req, 1_000
    )


async def report(
    owner: ledger_partitions.PartitionOwner,
    attempt: int,
    update: reports.Returned,
    epoch: int,
) -> bool:
    received = reports.Report(
        KEY, attempt, ledger_partitions.FLEET_PARTITION, epoch, update
    )
    return await report_processing.process_reports(
        owner.ledger, owner.context, [received]
    )


async def test_submit_outcomes() -> None:
    environment = ledger_partitions.Environment()
    environment.time.at_ms = 5_000
    owner = await ledger_partitions.take_over(environment)
    assert await submit(owner) == outcomes.Accepted(KEY)
    assert await submit(owner) == outcomes.Accepted(KEY)
    assert await submit(owner, run_ms=7) == outcomes.Conflict(KEY)
    expired = await submit(owner, 'late', deadline_ms=4_000)
    assert isinstance(expired, outcomes.Refused)
    assert expired.reason is outcomes.RefusalReason.DEADLINE_PASSED
    owner.ledger.journal.max_waiting_bytes = 0
    full = await submit(owner, 'full')
    assert isinstance(full, outcomes.Refused)
    assert full.reason is outcomes.RefusalReason.OVERLOADED
    environment.may_act = False
    unconfirmed = await submit(owner, 'barred')
    assert isinstance(unconfirmed, outcomes.Unknown)
    await ledger_partitions.stop(owner)
    assert list(owner.ledger.entries) == [KEY]
    environment.may_act = True
    owner.ledger.journal.max_waiting_bytes = 1
    assert await submit(owner, 'fenced') == journals.Fenced()


async def test_copy_that_waits_longer_keeps_acceptance() -> None:
    """A time-out withdraws no acceptance that another call waits for."""
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    environment.table.faults = ['down'] * 3
    req = makers.make_request('job')
    longer_call = asyncio.create_task(
        request_operations.submit(owner.ledger, owner.context, req, 60_000)
    )
    await asyncio.sleep(0)
    shorter_outcome = await request_operations.submit(
        owner.ledger, owner.context, req, 0
    )
    assert isinstance(shorter_outcome, outcomes.Unknown)
    assert await longer_call == outcomes.Accepted(KEY)
    await ledger_partitions.stop(owner)


async def test_attempts_are_bounded() -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    await submit(owner)
    for attempt in range(4):
        assert await report(owner, attempt, FAILED, 1)
        assert await report(owner, attempt, FAILED, 1)
    outcome = request_operations.get_outcome(owner.ledger, KEY)
    assert outcome == outcomes.Failed(
        outcomes.FailureReason.TASK_FAILED, 'exit 1', started=True
    )
    await ledger_partitions.stop(owner)


@pytest.mark.parametrize('has_run', [False, True])
async def test_passed_deadline_ends_returned_request(has_run: bool) -> None:
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await submit(owner, deadline_ms=100)
    environment.time.at_ms = 101
    update = reports.Returned('deadline', 'passed', has_run)
    await report(owner, 0, update, 1)
    outcome = request_operations.get_outcome(owner.ledger, KEY)
    assert outcome == outcomes.Failed(
        outcomes.FailureReason.DEADLINE_PASSED, 'passed', started=has_run
    )
    await ledger_partitions.stop(owner)


async def test_report_of_earlier_fleet_epoch_is_not_taken() -> None:
    """A confirmed report would let workers delete state that is still needed.

    The new owner of the fleet partition asks the workers for that state.
    """
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    await submit(owner)
    owner.ledger.fleet_epochs[ledger_partitions.FLEET_PARTITION] = 2
    update = reports.Returned('handover', '', may_have_run=False)
    assert not await report(owner, 0, update, 1)
    assert owner.ledger.entries[KEY].attempt == 0
    assert await report(owner, 0, update, 2)
    assert owner.ledger.entries[KEY].attempt == 1
    await ledger_partitions.stop(owner)


async def test_rejected_request_goes_to_other_fleet_partitions() -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    avoided_sets: list[frozenset[str]] = []

    def choose(
        req: object, avoid: frozenset[str]
    ) -> request_operations.FleetChoice | outcomes.Refused:
        avoided_sets.append(avoid)
        left = sorted({ledger_partitions.FLEET_PARTITION, 'fleet-e-0'} - avoid)
        if left:
            return request_operations.FleetChoice(left[0], 1)
        reason = outcomes.RefusalReason.UNAVAILABLE
        return outcomes.Refused(reason, 'none')

    owner.context = dataclasses.replace(owner.context, choose_fleet=choose)
    await submit(owner)
    update = reports.Returned('rejected', 'too large', may_have_run=False)
    await report(owner, 0, update, 1)
    entry = owner.ledger.entries[KEY]
    assert (entry.fleet, entry.attempt) == ('fleet-e-0', 1)
    received = reports.Report(KEY, 1, 'fleet-e-0', 1, update)
    await report_processing.process_reports(
        owner.ledger, owner.context, [received]
    )
    assert entry.outcome == outcomes.Failed(
        outcomes.FailureReason.NEVER_RUNNABLE, 'too large', started=False
    )
    await ledger_partitions.stop(owner)


async def test_cancellations_share_a_segment() -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    names = [f'job-{number}' for number in range(50)]
    await asyncio.gather(*(submit(owner, name) for name in names))
    before = owner.ledger.journal.head.sequence
    cancels = [
        request_operations.cancel(
            owner.ledger, owner.context, f't/{name}', 1_000
        )
        for name in names
    ]
    await asyncio.gather(*cancels)
    assert owner.ledger.journal.head.sequence == before + 1
    assert (
        len(owner.ledger.unsent_withdrawals[ledger_partitions.FLEET_PARTITION])
        == 50
    )
    entry = owner.ledger.entries['t/job-0']
    assert ledgers.make_assignment(owner.ledger, entry).cancelled
    await ledger_partitions.stop(owner)


async def test_return_during_cancellation_ends_the_request() -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    await submit(owner)
    cancelling = asyncio.create_task(
        request_operations.cancel(owner.ledger, owner.context, KEY, 1_000)
    )
    await asyncio.sleep(0)
    assert not owner.ledger.entries[KEY].cancelled
    update = reports.Returned('handover', '', may_have_run=False)
    assert await report(owner, 0, update, 1)
    await cancelling
    outcome = request_operations.get_outcome(owner.ledger, KEY)
    assert outcome == outcomes.Cancelled(started=False)
    await ledger_partitions.stop(owner)


async def test_old_outcomes_are_forgotten() -> None:
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await submit(owner)
    await submit(owner, 'open')
    update = reports.Ended(outcomes.Finished((b'',)))
    received = reports.Report(
        KEY, 0, ledger_partitions.FLEET_PARTITION, 1, update
    )
    await report_processing.process_reports(
        owner.ledger, owner.context, [received]
    )
    assert retention.expire_outcomes(owner.ledger, 1_000, 1_000) is None
    batch = retention.expire_outcomes(owner.ledger, 1_001, 1_000)
    assert batch is not None
    await batch.completion
    assert list(owner.ledger.entries) == ['t/open']
    await ledger_partitions.stop(owner)


async def test_cancellation_written_after_the_end_changes_nothing() -> None:
    """An end that still waits for the table is written before a cancellation.

    The request has ended by the time the cancellation takes effect. So it isn't
    cancelled, and there is nothing to withdraw from its fleet partition.
    """
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    assert await submit(owner) == outcomes.Accepted(KEY)
    environment.table.faults = ['down'] * 3
    finished = outcomes.Finished((b'answer',))
    ended = reports.Report(
        KEY, 0, ledger_partitions.FLEET_PARTITION, 1, reports.Ended(finished)
    )
    reporting = asyncio.create_task(
        report_processing.process_reports(owner.ledger, owner.context, [ended])
    )
    await asyncio.sleep(0)
    cancelled = await request_operations.cancel(
        owner.ledger, owner.context, KEY, 60_000
    )
    assert await reporting
    assert cancelled == finished
    entry = owner.ledger.entries[KEY]
    assert not entry.cancelled
    assert not owner.ledger.unsent_withdrawals
    await ledger_partitions.stop(owner)
