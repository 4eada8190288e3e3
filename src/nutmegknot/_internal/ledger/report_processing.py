"""Processing of the reports that fleet partitions send about assignments.

A report says that an attempt of a request runs, has an outcome, or is over
without one. In the last case the request ends or gets another attempt.
"""

import asyncio
import dataclasses

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports


@dataclasses.dataclass(slots=True, frozen=True)
class OutdatedReport:
    """The report was sent by an earlier owner of the fleet partition.

    The new owner asks the workers for the state of their runs. So the earlier
    owner must not be told that its report was accepted: it would then allow the
    workers to delete that state.
    """


async def process_reports(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    received: list[reports.Report],
) -> bool:
    """Processes reports and waits until their effects are durable.

    Reports about an attempt that is over change nothing, so that it does no
    harm to process a report twice.

    Returns:
      Whether all reports are current and their effects durable. If not, the
      sender must not treat any of them as processed.
    """
    if journals.is_full(ledger.journal, journals.REPORT_QUEUE_FACTOR):
        return False
    results = [process_report(ledger, context, report) for report in received]
    batch_outcomes = [
        await asyncio.shield(result.completion)
        for result in results
        if isinstance(result, journals.Batch)
    ]
    is_current = not any(
        isinstance(result, OutdatedReport) for result in results
    )
    return is_current and all(
        isinstance(outcome, journals.Durable) for outcome in batch_outcomes
    )


def process_report(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    report: reports.Report,
) -> journals.Batch | OutdatedReport | None:
    """Queues the event that follows from a report.

    Returns:
      The batch to wait for, OutdatedReport, or None if the report changes
      nothing.
    """
    if report.fleet_epoch < ledger.fleet_epochs.get(report.fleet, 0):
        return OutdatedReport()
    entry = ledger.entries.get(report.request_key)
    if entry is None or entry.outcome is not None:
        return None
    if report.attempt != entry.attempt or report.fleet != entry.fleet:
        return None
    if entry.ending is not None:
        return entry.ending
    match report.update:
        case reports.Running(workers):
            return _process_start(ledger, context, entry, workers)
        case reports.Ended(outcome):
            event: records.End | records.Assign = records.End(outcome)
        case reports.Returned():
            event = _choose_next_event(entry, context, report.update)
    return append_event(ledger, context, entry, event)


def _process_start(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    entry: ledgers.Entry,
    workers: tuple[str, ...],
) -> journals.Batch | None:
    start = records.Start(entry.attempt, workers)
    if entry.starting is not None:
        if entry.starting.records[0].event == start:
            return entry.starting
    elif entry.workers == workers:
        return None
    return append_event(ledger, context, entry, start)


def append_event(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    entry: ledgers.Entry,
    event: records.Start | records.End | records.Assign,
) -> journals.Batch:
    """Queues an event; the entry refers to the batch until it is written."""
    key = ledgers.get_key(entry)
    record = records.Record(key, context.clock.wall_ms(), event)
    batch = journals.append(ledger.journal, [record])
    if isinstance(event, records.Start):
        entry.starting = batch
    else:
        entry.ending = batch

    def clear_pending(_: asyncio.Future[journals.BatchOutcome]) -> None:
        if entry.starting is batch:
            entry.starting = None
        if entry.ending is batch:
            entry.ending = None

    batch.completion.add_done_callback(clear_pending)
    return batch


def _choose_next_event(
    entry: ledgers.Entry,
    context: request_operations.Context,
    update: reports.Returned,
) -> records.End | records.Assign:
    """Returns the event that follows from an attempt without an outcome."""
    has_run = update.may_have_run or bool(entry.workers)
    started = has_run or entry.started or entry.starting is not None
    if entry.cancelled or entry.cancelling is not None:
        return records.End(outcomes.Cancelled(started))
    if started and not entry.req.repeatable:
        return records.End(outcomes.MayHaveRun(update.detail))
    reason = _find_failure_reason(entry, context, update)
    if reason is not None:
        return records.End(outcomes.Failed(reason, update.detail, started))
    choice = _choose_next_fleet(entry, context, update)
    if choice is None:
        reason = outcomes.FailureReason.NEVER_RUNNABLE
        return records.End(outcomes.Failed(reason, update.detail, started))
    return records.Assign(
        choice.fleet, choice.epoch, entry.attempt + 1, update.reason, has_run
    )


def _find_failure_reason(
    entry: ledgers.Entry,
    context: request_operations.Context,
    update: reports.Returned,
) -> outcomes.FailureReason | None:
    """Returns why the request fails, or None if it gets another attempt."""
    if (
        update.reason == ledgers.REASON_FAILED
        and entry.failures + 1 >= context.max_failed_attempts
    ):
        return outcomes.FailureReason.TASK_FAILED
    if 0 < entry.req.deadline_ms <= context.clock.wall_ms():
        return outcomes.FailureReason.DEADLINE_PASSED
    return None


def _choose_next_fleet(
    entry: ledgers.Entry,
    context: request_operations.Context,
    update: reports.Returned,
) -> request_operations.FleetChoice | None:
    """Returns the next fleet partition, or None if the request fits none.

    The current fleet partition, and those that have rejected the request, are
    chosen only if there is no other. While no failure domain is open, the
    request keeps its fleet partition.
    """
    avoid = frozenset({entry.fleet}) | entry.rejected
    choice = context.choose_fleet(entry.req, avoid)
    if not isinstance(choice, outcomes.Refused):
        return choice
    any_choice = context.choose_fleet(entry.req, frozenset())
    if isinstance(any_choice, outcomes.Refused):
        return request_operations.FleetChoice(entry.fleet, entry.fleet_epoch)
    return None if update.reason == ledgers.REASON_REJECTED else any_choice
