"""Writing of a journal: group commit into fenced segments."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random
import uuid

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """What the writer works with.

    Attributes:
      table: The table service.
      rng: Source of jitter.
      clock: Source of time.
      commit_ms: Shortest time between the starts of two writes in ms.
      timeout_ms: Time limit of a write in ms.
      segment_bytes: Size that a segment of several batches keeps below.
      apply: Brings the partition's state to that after a durable record.
    """

    table: tables.Table
    rng: random.Random
    clock: clock_lib.Clock
    commit_ms: int
    timeout_ms: int
    segment_bytes: int
    apply: Callable[[records.Record], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One segment on its way into a row.

    Attributes:
      taken: The batches in it.
      slot: The row as it was before.
      link: The place in the chain after it.
      content: The segment.
    """

    taken: list[journals.Batch]
    slot: journals.Slot
    link: segments.Link
    content: bytes


async def keep_writing(journal: journals.Journal, context: Context) -> None:
    """Writes queued records until the writer is fenced or cancelled.

    Records that come while a write is under way or the store is down share the
    next segments, so that the store sees a bounded rate whatever has piled up.
    """
    backoff = retries.Backoff(context.rng)
    started_ms = context.clock.now_ms() - context.commit_ms
    try:
        while not journal.fenced:
            await journal.wake.wait()
            rest_ms = started_ms + context.commit_ms - context.clock.now_ms()
            await asyncio.sleep(clock_lib.to_seconds(max(0, rest_ms)))
            started_ms = context.clock.now_ms()
            taken = journals.take(journal, context.segment_bytes)
            if taken:
                await _write(journal, context, backoff, taken)
    finally:
        journals.close(journal)


async def _write(
    journal: journals.Journal,
    context: Context,
    backoff: retries.Backoff,
    taken: list[journals.Batch],
) -> None:
    attempt = _make_attempt(journal, taken)
    key = segments.get_key(journal.partition, attempt.slot.number)
    transaction = tables.Transaction(
        (journal.fence, tables.Condition(key, attempt.slot.version)),
        (tables.Write(key, attempt.content),),
    )
    uncertain = False
    while True:
        result = await context.table.transact(transaction, context.timeout_ms)
        match result:
            case tables.Committed(versions):
                retries.reset(backoff)
                _settle(journal, context, attempt, versions[key])
                return
            case tables.ConditionFailed():
                await _settle_failed(journal, context, attempt, uncertain)
                return
            case tables.Unavailable() if not uncertain:
                journals.put_back(journal, taken)
                await _pause(backoff)
                return
            case tables.Uncertain():
                uncertain = True
        await _pause(backoff)


async def _pause(backoff: retries.Backoff) -> None:
    await asyncio.sleep(clock_lib.to_seconds(retries.take_wait(backoff)))


def _make_attempt(
    journal: journals.Journal, taken: list[journals.Batch]
) -> Attempt:
    slot = journal.free[0] if journal.free else journals.Slot(journal.slots)
    message = journal_pb2.Segment(
        partition=journal.partition,
        sequence=journal.last.sequence + 1,
        epoch=journal.epoch,
        nonce=uuid.uuid4().hex,
        records=[one for batch in taken for one in batch.messages],
        previous=journal.last.hash,
    )
    content = message.SerializeToString()
    link = segments.Link(message.sequence, segments.compute_hash(content))
    return Attempt(taken, slot, link, content)


async def _settle_failed(
    journal: journals.Journal,
    context: Context,
    attempt: Attempt,
    uncertain: bool,
) -> None:
    """Settles a segment whose conditions do not hold.

    Either an earlier attempt took effect, or the partition has a new owner, or
    both. In each case no attempt can take effect any more, as versions never
    return; a new owner may have used the row again, though.
    """
    key = segments.get_key(journal.partition, attempt.slot.number)
    reads = (key, journal.fence.key)
    rows = await _read(context, reads)
    row = rows.get(key)
    if row is not None and row.value == attempt.content:
        _settle(journal, context, attempt, row.version)
    fence = rows.get(journal.fence.key)
    version = fence.version if fence else tables.ABSENT
    if journal.in_flight or version != journal.fence.version:
        logger.warning('journal_fenced', extra={'partition': journal.partition})
        if not uncertain:
            journals.answer(journal.in_flight, journals.Fenced())
        journals.close(journal)


async def _read(
    context: Context, keys: tuple[str, ...]
) -> dict[str, tables.Row]:
    backoff = retries.Backoff(context.rng)
    while True:
        result = await context.table.transact(
            tables.Transaction(reads=keys), context.timeout_ms
        )
        if isinstance(result, tables.Committed):
            return result.rows
        await _pause(backoff)


def _settle(
    journal: journals.Journal,
    context: Context,
    attempt: Attempt,
    version: int,
) -> None:
    """Takes note of a durable segment; the state follows at once."""
    number = attempt.slot.number
    if journal.free and journal.free[0].number == number:
        del journal.free[0]
    else:
        journal.slots = number + 1
    journal.last = attempt.link
    slot = journals.Slot(number, version)
    held = journals.Held(attempt.link.sequence, attempt.content, slot)
    journals.hold(journal, held)
    journal.in_flight = []
    for batch in attempt.taken:
        for record in batch.records:
            context.apply(record)
    journals.answer(attempt.taken, journals.Durable())
    signals.notify(journal.written)
