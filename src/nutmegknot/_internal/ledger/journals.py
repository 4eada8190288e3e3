"""Journal of a ledger partition: group commit into fenced segments."""

import asyncio
import dataclasses
import hashlib
import logging
import random
import uuid

from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.models import records
from nutmegknot._internal.platform import tables
from nutmegknot._internal.schema import journal_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries

logger = logging.getLogger(__name__)

SEQUENCE_DIGITS = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Durable:
    """The records are in the journal."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fenced:
    """Another instance owns the partition; nothing more can be written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawn:
    """The records were taken back before any attempt to write them."""


Written = Durable | Fenced | Withdrawn


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """Records that are written together, and who waits for them."""

    records: list[records.Record]
    written: asyncio.Future[Written]


@dataclasses.dataclass(slots=True)
class Journal:
    """State of the writer.

    Attributes:
      partition: Name of the ledger partition.
      epoch: Epoch under which it writes.
      fence: Key and version that every write demands.
      sequence: Number of the last segment.
      previous: Hash of the last segment.
      waiting: Batches that no attempt has been made to write.
      writing: Whether a segment is being written.
      wake: Set when there is something to write.
      fenced: Whether the writer has lost the partition.
    """

    partition: str
    epoch: int
    fence: tables.Condition
    sequence: int = 0
    previous: bytes = b''
    waiting: list[Batch] = dataclasses.field(default_factory=list)
    writing: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    fenced: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """What the writer works with.

    Attributes:
      table: The table service.
      rng: Source of jitter.
      commit_ms: Time in ms for which a segment gathers records.
      timeout_ms: Time limit of a write in ms.
    """

    table: tables.Table
    rng: random.Random
    commit_ms: int
    timeout_ms: int


def get_prefix(partition: str) -> str:
    """Returns the prefix of a partition's segment rows."""
    return f'journal/{partition}/'


def get_key(partition: str, sequence: int) -> str:
    """Returns the key of a segment row."""
    return f'{get_prefix(partition)}{sequence:0{SEQUENCE_DIGITS}d}'


def append(journal: Journal, added: list[records.Record]) -> Batch:
    """Queues records; the batch's future tells when they are durable."""
    batch = Batch(added, asyncio.get_running_loop().create_future())
    if journal.fenced:
        batch.written.set_result(Fenced())
        return batch
    journal.waiting.append(batch)
    journal.wake.set()
    return batch


def withdraw(journal: Journal, batch: Batch) -> bool:
    """Takes a batch back; False if a write of it may have taken effect."""
    if batch not in journal.waiting:
        return False
    journal.waiting.remove(batch)
    batch.written.set_result(Withdrawn())
    return True


async def keep_writing(journal: Journal, context: Context) -> None:
    """Writes queued records until the writer is fenced or cancelled."""
    while not journal.fenced:
        await journal.wake.wait()
        await asyncio.sleep(clock_lib.to_seconds(context.commit_ms))
        journal.wake.clear()
        taken, journal.waiting = journal.waiting, []
        if taken:
            journal.writing = True
            await _write(journal, context, taken)
            journal.writing = False


async def _write(
    journal: Journal, context: Context, taken: list[Batch]
) -> None:
    segment = make_segment(journal, taken)
    content = segment.SerializeToString()
    key = get_key(journal.partition, segment.sequence)
    transaction = tables.Transaction(
        (journal.fence, tables.Condition(key, tables.ABSENT)),
        (tables.Write(key, content),),
    )
    backoff = retries.Backoff(context.rng)
    while True:
        result = await context.table.transact(transaction, context.timeout_ms)
        match result:
            case tables.Committed():
                _settle(journal, taken, content, Durable())
                return
            case tables.ConditionFailed(failed_key, row):
                if failed_key == key and row and row.value == content:
                    _settle(journal, taken, content, Durable())
                    return
                if await _is_written(context, key, content):
                    _settle(journal, taken, content, Durable())
                _fence(journal, taken)
                return
            case _:
                await asyncio.sleep(
                    clock_lib.to_seconds(retries.take_wait(backoff))
                )


async def _is_written(context: Context, key: str, content: bytes) -> bool:
    """Tells whether a write whose answer was lost took effect."""
    backoff = retries.Backoff(context.rng)
    while True:
        result = await context.table.transact(
            tables.Transaction(reads=(key,)), context.timeout_ms
        )
        if isinstance(result, tables.Committed):
            row = result.rows.get(key)
            return row is not None and row.value == content
        await asyncio.sleep(clock_lib.to_seconds(retries.take_wait(backoff)))


def make_segment(journal: Journal, taken: list[Batch]) -> journal_pb2.Segment:
    """Returns the segment after the last one, with a nonce of its own."""
    return journal_pb2.Segment(
        partition=journal.partition,
        sequence=journal.sequence + 1,
        epoch=journal.epoch,
        nonce=uuid.uuid4().hex,
        records=[
            record_codec.encode_record(record)
            for batch in taken
            for record in batch.records
        ],
        previous=journal.previous,
    )


def compute_hash(content: bytes) -> bytes:
    """Returns the hash that the next segment carries."""
    return hashlib.sha256(content).digest()


def _settle(
    journal: Journal, taken: list[Batch], content: bytes, written: Written
) -> None:
    journal.sequence += 1
    journal.previous = compute_hash(content)
    _answer(taken, written)


def _fence(journal: Journal, taken: list[Batch]) -> None:
    journal.fenced = True
    logger.warning('journal_fenced', extra={'partition': journal.partition})
    _answer(taken + journal.waiting, Fenced())
    journal.waiting = []


def _answer(batches: list[Batch], written: Written) -> None:
    for batch in batches:
        if not batch.written.done():
            batch.written.set_result(written)


async def recover(
    journal: Journal, context: Context
) -> list[records.Record] | tables.Unavailable:
    """Reads all segments, and leaves the journal ready to write the next.

    Returns:
      All records in the order in which they were written.
    """
    rows = await context.table.scan(
        get_prefix(journal.partition), context.timeout_ms
    )
    if isinstance(rows, tables.Unavailable):
        return rows
    found = []
    for row in rows:
        segment = journal_pb2.Segment.FromString(row.value)
        found += [record_codec.decode_record(r) for r in segment.records]
        journal.sequence = segment.sequence
        journal.previous = compute_hash(row.value)
    return found


def is_busy(journal: Journal) -> bool:
    """Tells whether anything is queued or being written."""
    return not journal.fenced and (bool(journal.waiting) or journal.writing)
