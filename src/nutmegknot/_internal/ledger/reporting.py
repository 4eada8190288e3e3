"""Taking the reports of fleet partitions into a ledger partition."""

import asyncio

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports


async def take_reports(
    ledger: ledgers.Ledger,
    context: accepting.Context,
    given: list[reports.Report],
) -> bool:
    """Makes the news durable and acts on it.

    Reports of an attempt that is over change nothing, so that taking the same
    report twice is harmless.

    Returns:
      Whether all news is durable.
    """
    batches = [_take_report(ledger, context, report) for report in given]
    written = [
        await asyncio.shield(batch.written)
        for batch in batches
        if batch is not None
    ]
    return all(isinstance(one, journals.Durable) for one in written)


def _take_report(
    ledger: ledgers.Ledger, context: accepting.Context, report: reports.Report
) -> journals.Batch | None:
    """Starts the write of a report's news.

    Returns:
      The write to wait for, or None if there is nothing new.
    """
    entry = ledger.entries.get(report.request_key)
    if entry is not None and entry.ending is not None:
        return entry.ending
    step = _choose_step(ledger, context, report)
    if entry is None or step is None:
        return None
    record = records.Record(report.request_key, context.clock.wall_ms(), step)
    batch = journals.append(ledger.journal, [record])
    if isinstance(step, records.End | records.Assign):
        entry.ending = batch
    batch.written.add_done_callback(
        lambda done: _apply(ledger, record, done.result())
    )
    return batch


def _choose_step(
    ledger: ledgers.Ledger, context: accepting.Context, report: reports.Report
) -> records.Step | None:
    entry = ledger.entries.get(report.request_key)
    if entry is None or entry.outcome is not None:
        return None
    if report.attempt != entry.attempt or report.fleet != entry.fleet:
        return None
    match report.news:
        case reports.Running(workers):
            if entry.workers == workers:
                return None
            return records.Start(report.attempt, workers)
        case reports.Ended(outcome):
            return records.End(outcome)
        case reports.Returned():
            return _choose_after_return(entry, context, report.news)


def _choose_after_return(
    entry: ledgers.Entry,
    context: accepting.Context,
    news: reports.Returned,
) -> records.Step | None:
    started = news.may_have_run or bool(entry.workers)
    if entry.cancelled:
        return records.End(outcomes.Cancelled(started))
    if started and not entry.req.repeatable:
        return records.End(outcomes.MayHaveRun(news.detail))
    if news.reason == 'rejected':
        reason = outcomes.FailureReason.NEVER_RUNNABLE
        return records.End(outcomes.Failed(reason, news.detail, started))
    avoid = frozenset({entry.fleet})
    choice = context.choose_fleet(entry.req, avoid)
    if isinstance(choice, outcomes.Refused):
        choice = context.choose_fleet(entry.req, frozenset())
    if isinstance(choice, outcomes.Refused):
        reason = outcomes.FailureReason.NEVER_RUNNABLE
        return records.End(outcomes.Failed(reason, choice.detail, started))
    return records.Assign(
        choice.fleet, choice.epoch, entry.attempt + 1, news.reason
    )


def _apply(
    ledger: ledgers.Ledger, record: records.Record, written: journals.Written
) -> None:
    entry = ledger.entries.get(record.request_key)
    if entry is None:
        return
    if isinstance(record.step, records.End | records.Assign):
        entry.ending = None
    if not isinstance(written, journals.Durable):
        return
    ledgers.apply_record(ledger, record)
    if isinstance(record.step, records.Assign):
        ledgers.queue_assignment(ledger, entry)
