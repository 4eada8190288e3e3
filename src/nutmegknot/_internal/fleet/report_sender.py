"""Sends reports to ledger partitions until they are durable there."""

import asyncio

from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import reports
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

# Bounds the size of one call; the remaining reports go into the next call.
MAX_REPORTS_PER_CALL = 500


async def run_report_loop(
    fleet: fleets.Fleet, context: contexts.Context, ledger: str
) -> None:
    """Sends the reports for one ledger partition, oldest first."""
    outbox = fleet.outboxes.setdefault(ledger, fleets.Outbox())
    backoff = retries.Backoff(context.rng)
    while True:
        count = outbox.send_needed.count
        if not outbox.unsent_reports:
            await signals.wait_for_notification(outbox.send_needed, count)
            continue
        batch = outbox.unsent_reports[:MAX_REPORTS_PER_CALL]
        if await context.send_reports(ledger, batch):
            del outbox.unsent_reports[: len(batch)]
            _forget_ended(fleet, context, batch)
            retries.reset_backoff(backoff)
        else:
            wait_ms = retries.advance_backoff(backoff)
            await asyncio.sleep(clock.to_seconds(wait_ms))


def _forget_ended(
    fleet: fleets.Fleet,
    context: contexts.Context,
    batch: list[reports.Report],
) -> None:
    now_ms = context.clock.now_ms()
    for report in batch:
        if not isinstance(report.update, reports.Running):
            assigned_requests.forget(fleet, report, now_ms)
