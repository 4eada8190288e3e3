"""Retention of outcomes: removal of requests that ended long enough ago."""

import asyncio
import itertools

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import records
from nutmegknot._internal.utils import clock as clock_lib

# Interval in ms at which the loop looks for expired outcomes.
CHECK_INTERVAL_MS = 10_000
# Maximum number of outcomes that one batch removes.
MAX_RECORDS_PER_BATCH = 500


async def run_retention_loop(
    ledger: ledgers.Ledger, clock: clock_lib.Clock, retention_ms: int
) -> None:
    """Removes expired outcomes at intervals, until fenced or cancelled."""
    while not ledger.journal.fenced:
        await asyncio.sleep(clock_lib.to_seconds(CHECK_INTERVAL_MS))
        while not journals.is_full(ledger.journal):
            batch = expire_outcomes(ledger, clock.wall_ms(), retention_ms)
            if batch is None:
                break
            await asyncio.shield(batch.completion)


def expire_outcomes(
    ledger: ledgers.Ledger, now_ms: int, retention_ms: int
) -> journals.Batch | None:
    """Queues the removal of expired outcomes, up to a maximum per batch.

    Args:
      ledger: The ledger partition.
      now_ms: Current wall clock time in ms.
      retention_ms: Retention period of outcomes in ms.

    Returns:
      The queued batch, or None if no outcome has expired or the partition was
      lost.
    """
    expired_keys = (
        key
        for key, entry in ledger.entries.items()
        if entry.outcome is not None and entry.ended_ms + retention_ms <= now_ms
    )
    keys = list(itertools.islice(expired_keys, MAX_RECORDS_PER_BATCH))
    if not keys or ledger.journal.fenced:
        return None
    expirations = [
        records.Record(key, now_ms, records.Forget()) for key in keys
    ]
    return journals.append(ledger.journal, expirations)
