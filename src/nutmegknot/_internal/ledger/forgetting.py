"""Forgetting outcomes that are older than the retention time."""

import asyncio
import itertools

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import records
from nutmegknot._internal.utils import clock as clock_lib

CHECK_MS = 10_000
MAX_BATCH = 500


async def keep_forgetting(
    ledger: ledgers.Ledger, clock: clock_lib.Clock, retention_ms: int
) -> None:
    """Forgets old outcomes at intervals, until fenced or cancelled."""
    while not ledger.journal.fenced:
        await asyncio.sleep(clock_lib.to_seconds(CHECK_MS))
        while not journals.is_full(ledger.journal):
            batch = forget(ledger, clock.wall_ms(), retention_ms)
            if batch is None:
                break
            await asyncio.shield(batch.written)


def forget(
    ledger: ledgers.Ledger, now_ms: int, retention_ms: int
) -> journals.Batch | None:
    """Starts the write that forgets some old outcomes.

    Args:
      ledger: The partition.
      now_ms: Wall clock instant in ms.
      retention_ms: How long outcomes are kept in ms.

    Returns:
      The write, or None if there is nothing to forget.
    """
    old = (
        key
        for key, entry in ledger.entries.items()
        if entry.outcome is not None and entry.ended_ms + retention_ms <= now_ms
    )
    keys = list(itertools.islice(old, MAX_BATCH))
    if not keys or ledger.journal.fenced:
        return None
    added = [records.Record(key, now_ms, records.Forget()) for key in keys]
    return journals.append(ledger.journal, added)
