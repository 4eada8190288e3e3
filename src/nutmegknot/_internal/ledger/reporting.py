"""Taking the reports of fleet partitions into a ledger partition."""

import asyncio
import dataclasses

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports


@dataclasses.dataclass(slots=True, frozen=True)
class Outdated:
    """The report is of an epoch after which the fleet partition has a new one.

    The new owner learns the truth from the workers, so the old one must not
    let them forget anything on the strength of this report.
    """


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
    if journals.is_full(ledger.journal, journals.REPORT_FACTOR):
        return False
    taken = [take_report(ledger, context, report) for report in given]
    written = [
        await asyncio.shield(one.written)
        for one in taken
        if isinstance(one, journals.Batch)
    ]
    is_current = not any(isinstance(one, Outdated) for one in taken)
    return is_current and all(
        isinstance(one, journals.Durable) for one in written
    )


def take_report(
    ledger: ledgers.Ledger, context: accepting.Context, report: reports.Report
) -> journals.Batch | Outdated | None:
    """Starts the write of a report's news.

    Returns:
      The write to wait for, or None if there is nothing new.
    """
    if report.fleet_epoch < ledger.fleet_epochs.get(report.fleet, 0):
        return Outdated()
    entry = ledger.entries.get(report.request_key)
    if entry is None or entry.outcome is not None:
        return None
    if report.attempt != entry.attempt or report.fleet != entry.fleet:
        return None
    if entry.ending is not None:
        return entry.ending
    match report.news:
        case reports.Running(workers):
            return _take_start(ledger, context, entry, workers)
        case reports.Ended(outcome):
            step: records.End | records.Assign = records.End(outcome)
        case reports.Returned():
            step = _choose_after_return(entry, context, report.news)
    return append_step(ledger, context, entry, step)


def _take_start(
    ledger: ledgers.Ledger,
    context: accepting.Context,
    entry: ledgers.Entry,
    workers: tuple[str, ...],
) -> journals.Batch | None:
    start = records.Start(entry.attempt, workers)
    if entry.starting is not None:
        if entry.starting.records[0].step == start:
            return entry.starting
    elif entry.workers == workers:
        return None
    return append_step(ledger, context, entry, start)


def append_step(
    ledger: ledgers.Ledger,
    context: accepting.Context,
    entry: ledgers.Entry,
    step: records.Start | records.End | records.Assign,
) -> journals.Batch:
    """Starts the write of a step, and marks the entry until it is durable."""
    key = ledgers.get_key(entry)
    record = records.Record(key, context.clock.wall_ms(), step)
    batch = journals.append(ledger.journal, [record])
    if isinstance(step, records.Start):
        entry.starting = batch
    else:
        entry.ending = batch

    def settle(_: asyncio.Future[journals.Written]) -> None:
        if entry.starting is batch:
            entry.starting = None
        if entry.ending is batch:
            entry.ending = None

    batch.written.add_done_callback(settle)
    return batch


def _choose_after_return(
    entry: ledgers.Entry,
    context: accepting.Context,
    news: reports.Returned,
) -> records.End | records.Assign:
    """Returns what follows an attempt that is over without an outcome."""
    has_run = news.may_have_run or bool(entry.workers)
    started = has_run or entry.started or entry.starting is not None
    if entry.cancelled or entry.cancelling is not None:
        return records.End(outcomes.Cancelled(started))
    if started and not entry.req.repeatable:
        return records.End(outcomes.MayHaveRun(news.detail))
    reason = _find_failure(entry, context, news)
    if reason is not None:
        return records.End(outcomes.Failed(reason, news.detail, started))
    choice = _choose_next(entry, context, news)
    if choice is None:
        reason = outcomes.FailureReason.NEVER_RUNNABLE
        return records.End(outcomes.Failed(reason, news.detail, started))
    return records.Assign(
        choice.fleet, choice.epoch, entry.attempt + 1, news.reason, has_run
    )


def _find_failure(
    entry: ledgers.Entry,
    context: accepting.Context,
    news: reports.Returned,
) -> outcomes.FailureReason | None:
    """Returns why there is no next attempt, or None."""
    if news.reason == ledgers.FAILED and entry.failures + 1 >= context.attempts:
        return outcomes.FailureReason.TASK_FAILED
    if 0 < entry.req.deadline_ms <= context.clock.wall_ms():
        return outcomes.FailureReason.DEADLINE_PASSED
    return None


def _choose_next(
    entry: ledgers.Entry,
    context: accepting.Context,
    news: reports.Returned,
) -> accepting.Choice | None:
    """Returns the next fleet partition, or None if the request fits none.

    While no failure domain is open it stays where it is.
    """
    avoid = frozenset({entry.fleet}) | entry.rejected
    choice = context.choose_fleet(entry.req, avoid)
    if not isinstance(choice, outcomes.Refused):
        return choice
    any_choice = context.choose_fleet(entry.req, frozenset())
    if isinstance(any_choice, outcomes.Refused):
        return accepting.Choice(entry.fleet, entry.fleet_epoch)
    return None if news.reason == ledgers.REJECTED else any_choice
