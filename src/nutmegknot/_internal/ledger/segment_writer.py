"""Writer of a journal: group commit of waiting batches into segments.

Each segment is written by a transaction with the owner row as a condition, so
that an instance that has lost the partition can't write (fencing).
"""

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
    """Dependencies and settings of the writer.

    Attributes:
      table: The table service.
      rng: Source of jitter for the backoff.
      clock: Source of time.
      min_write_interval_ms: Minimum time between the starts of two writes in
        ms.
      timeout_ms: Time limit of a call to the table service in ms.
      max_segment_bytes: Maximum size of the records in a segment in bytes. A
        segment that consists of a single batch may exceed it.
      apply_record: Updates the partition's state with a record that is durable.
    """

    table: tables.Table
    rng: random.Random
    clock: clock_lib.Clock
    min_write_interval_ms: int
    timeout_ms: int
    max_segment_bytes: int
    apply_record: Callable[[records.Record], None]


@dataclasses.dataclass(slots=True, frozen=True)
class SegmentWrite:
    """A segment that is being written.

    Attributes:
      batches: The batches in the segment.
      segment_row: The row to write it to, with the version before the write.
      end_position: The chain position after the segment.
      content: The encoded segment.
    """

    batches: list[journals.Batch]
    segment_row: journals.SegmentRow
    end_position: segments.ChainPosition
    content: bytes


async def run_writer_loop(journal: journals.Journal, context: Context) -> None:
    """Writes waiting batches until the writer is fenced or cancelled.

    Batches that are queued during a write or an outage of the table service are
    combined into the next segments. The rate of writes is therefore bounded,
    however many batches wait.
    """
    backoff = retries.Backoff(context.rng)
    started_ms = context.clock.now_ms() - context.min_write_interval_ms
    try:
        while not journal.fenced:
            await journal.work_available.wait()
            delay_ms = (
                started_ms
                + context.min_write_interval_ms
                - context.clock.now_ms()
            )
            await asyncio.sleep(clock_lib.to_seconds(max(0, delay_ms)))
            started_ms = context.clock.now_ms()
            batches = journals.take_batches(journal, context.max_segment_bytes)
            if batches:
                await _write(journal, context, backoff, batches)
    finally:
        journals.close(journal)


async def _write(
    journal: journals.Journal,
    context: Context,
    backoff: retries.Backoff,
    batches: list[journals.Batch],
) -> None:
    segment_write = _make_segment_write(journal, batches)
    key = segments.get_key(journal.partition, segment_write.segment_row.number)
    transaction = tables.Transaction(
        (
            journal.fence,
            tables.Condition(key, segment_write.segment_row.version),
        ),
        (tables.Write(key, segment_write.content),),
    )
    may_be_written = False
    while True:
        result = await context.table.transact(transaction, context.timeout_ms)
        match result:
            case tables.Committed(versions):
                retries.reset_backoff(backoff)
                _complete_write(journal, context, segment_write, versions[key])
                return
            case tables.ConditionFailed():
                await _resolve_failed_conditions(
                    journal, context, segment_write, may_be_written
                )
                return
            case tables.Unavailable() if not may_be_written:
                journals.requeue_batches(journal, batches)
                await _pause(backoff)
                return
            case tables.Uncertain():
                may_be_written = True
        await _pause(backoff)


async def _pause(backoff: retries.Backoff) -> None:
    await asyncio.sleep(clock_lib.to_seconds(retries.advance_backoff(backoff)))


def _make_segment_write(
    journal: journals.Journal, batches: list[journals.Batch]
) -> SegmentWrite:
    segment_row = (
        journal.free_rows[0]
        if journal.free_rows
        else journals.SegmentRow(journal.next_row_number)
    )
    message = journal_pb2.Segment(
        partition=journal.partition,
        sequence=journal.head.sequence + 1,
        epoch=journal.epoch,
        nonce=uuid.uuid4().hex,
        records=[
            record_message
            for batch in batches
            for record_message in batch.messages
        ],
        previous=journal.head.hash,
    )
    content = message.SerializeToString()
    position = segments.ChainPosition(
        message.sequence, segments.compute_hash(content)
    )
    return SegmentWrite(batches, segment_row, position, content)


async def _resolve_failed_conditions(
    journal: journals.Journal,
    context: Context,
    segment_write: SegmentWrite,
    may_be_written: bool,
) -> None:
    """Finds out why the conditions of a segment's write do not hold.

    Either an earlier call for the same segment took effect, or the partition
    has a new owner, or both. In each case no call for the segment can take
    effect any more, because a row never gets an earlier version again. A new
    owner may have overwritten the row, though.

    Args:
      journal: The journal.
      context: Dependencies and settings of the writer.
      segment_write: The segment.
      may_be_written: Whether the answer to an earlier call was lost.
    """
    key = segments.get_key(journal.partition, segment_write.segment_row.number)
    reads = (key, journal.fence.key)
    rows = await _read(context, reads)
    row = rows.get(key)
    if row is not None and row.value == segment_write.content:
        _complete_write(journal, context, segment_write, row.version)
    fence = rows.get(journal.fence.key)
    version = fence.version if fence else tables.ABSENT
    if journal.in_flight or version != journal.fence.version:
        logger.warning('journal_fenced', extra={'partition': journal.partition})
        if not may_be_written:
            journals.resolve_batches(journal.in_flight, journals.Fenced())
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


def _complete_write(
    journal: journals.Journal,
    context: Context,
    segment_write: SegmentWrite,
    version: int,
) -> None:
    """Updates the journal and the partition's state after a written segment.

    Both change without an await in between, so that a snapshot always sees the
    state after the newest segment.
    """
    number = segment_write.segment_row.number
    if journal.free_rows and journal.free_rows[0].number == number:
        del journal.free_rows[0]
    else:
        journal.next_row_number = number + 1
    journal.head = segment_write.end_position
    segment_row = journals.SegmentRow(number, version)
    segment = journals.RetainedSegment(
        segment_write.end_position.sequence, segment_write.content, segment_row
    )
    journals.retain_segment(journal, segment)
    journal.in_flight = []
    for batch in segment_write.batches:
        for record in batch.records:
            context.apply_record(record)
    journals.resolve_batches(segment_write.batches, journals.Durable())
    signals.notify(journal.segment_written)
