"""Journal of a ledger partition: queue of records and state of the writer.

Records are queued in batches. The writer combines waiting batches into
segments, and writes each segment into one row of the table service.
"""

import asyncio
import collections
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2
from nutmegknot._internal.utils import signals

# Reports are accepted up to this multiple of max_waiting_bytes, while new
# requests are refused at max_waiting_bytes itself: reports end requests, which
# reduces the load.
REPORT_QUEUE_FACTOR = 2
# Default of Journal.max_waiting_bytes in bytes.
DEFAULT_MAX_WAITING_BYTES = 4 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class Durable:
    """The records were written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fenced:
    """The writer lost the partition; the records were not written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Indeterminate:
    """The writer lost the partition; the records may have been written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawn:
    """The records were removed from the queue; they were not written."""


BatchOutcome = Durable | Fenced | Indeterminate | Withdrawn


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """Records that are written in the same segment.

    Attributes:
      records: The records.
      messages: The encoded records.
      size: Size of the messages in bytes.
      completion: Future of the outcome of the write.
    """

    records: list[records.Record]
    messages: list[journal_pb2.Record]
    size: int
    completion: asyncio.Future[BatchOutcome]


@dataclasses.dataclass(slots=True, frozen=True)
class SegmentRow:
    """A row of the table service for a segment.

    Attributes:
      number: Number of the row, which is part of its key.
      version: Version of the row; ABSENT if it does not exist.
    """

    number: int
    version: int = tables.ABSENT


@dataclasses.dataclass(slots=True, frozen=True)
class RetainedSegment:
    """A written segment that no snapshot covers yet.

    Attributes:
      sequence: Number of the segment.
      content: The encoded segment, to be archived later.
      row: The row that holds it.
    """

    sequence: int
    content: bytes
    row: SegmentRow


@dataclasses.dataclass(slots=True)
class Journal:
    """Queue and write state of a ledger partition's journal.

    Attributes:
      partition: Name of the ledger partition.
      epoch: Ownership epoch under which segments are written.
      fence: Key and version of the owner row. Every write has it as a
        condition, so that it fails once another instance owns the partition.
      max_waiting_bytes: Size of waiting batches, in bytes, from which new
        requests are refused.
      head: The chain position after the newest segment.
      retained: Segments that no snapshot covers yet, oldest first.
      retained_bytes: Their size in bytes.
      free_rows: Rows whose segments a snapshot covers, to be overwritten.
      next_row_number: Number for the next new row. No row with this or a higher
        number has been written under this epoch.
      waiting: Batches that were certainly not written yet, in order. A dict
        serves as an ordered set.
      waiting_bytes: Their size in bytes.
      in_flight: Batches whose write is in progress, or of which it is not known
        whether they were written.
      work_available: Set when batches wait or the journal was closed.
      segment_written: Notified after each written segment and by close().
      fenced: Whether the writer has lost the partition or was stopped.
    """

    partition: str
    epoch: int
    fence: tables.Condition
    max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES
    head: segments.ChainPosition = dataclasses.field(
        default_factory=segments.ChainPosition
    )
    retained: collections.deque[RetainedSegment] = dataclasses.field(
        default_factory=collections.deque
    )
    retained_bytes: int = 0
    free_rows: list[SegmentRow] = dataclasses.field(default_factory=list)
    next_row_number: int = 0
    waiting: dict[Batch, None] = dataclasses.field(default_factory=dict)
    waiting_bytes: int = 0
    in_flight: list[Batch] = dataclasses.field(default_factory=list)
    work_available: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    segment_written: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    fenced: bool = False


def append(journal: Journal, added: list[records.Record]) -> Batch:
    """Queues records as one batch and returns it."""
    messages = [record_codec.encode_record(record) for record in added]
    size = sum(message.ByteSize() for message in messages)
    future = asyncio.get_running_loop().create_future()
    batch = Batch(added, messages, size, future)
    if journal.fenced:
        batch.completion.set_result(Fenced())
        return batch
    journal.waiting[batch] = None
    journal.waiting_bytes += size
    journal.work_available.set()
    return batch


def withdraw(journal: Journal, batch: Batch) -> bool:
    """Removes a batch from the queue if it still waits.

    Returns:
      Whether it was removed. A batch in flight is not removed, since it may
      have been written.
    """
    if batch not in journal.waiting:
        return False
    _remove(journal, batch)
    batch.completion.set_result(Withdrawn())
    return True


def _remove(journal: Journal, batch: Batch) -> None:
    del journal.waiting[batch]
    journal.waiting_bytes -= batch.size


def take_batches(journal: Journal, max_bytes: int) -> list[Batch]:
    """Takes the oldest waiting batches, which are then in flight.

    Args:
      journal: The journal.
      max_bytes: Maximum total size of the batches in bytes. A single batch may
        exceed it.
    """
    batches: list[Batch] = []
    size = 0
    for batch in journal.waiting:
        size += batch.size
        if batches and size > max_bytes:
            break
        batches.append(batch)
    for batch in batches:
        _remove(journal, batch)
    if not journal.waiting:
        journal.work_available.clear()
    journal.in_flight = batches
    return batches


def requeue_batches(journal: Journal, batches: list[Batch]) -> None:
    """Puts batches back at the front of the queue; they were not written."""
    journal.in_flight = []
    journal.waiting = dict.fromkeys(batches) | journal.waiting
    journal.waiting_bytes += sum(batch.size for batch in batches)
    journal.work_available.set()


def close(journal: Journal) -> None:
    """Stops the journal and sets the outcome of all remaining batches.

    Those in flight may have been written; those that wait were not.
    """
    journal.fenced = True
    resolve_batches(journal.in_flight, Indeterminate())
    resolve_batches(list(journal.waiting), Fenced())
    journal.in_flight = []
    journal.waiting = {}
    journal.waiting_bytes = 0
    journal.work_available.set()
    signals.notify(journal.segment_written)


def resolve_batches(batches: list[Batch], outcome: BatchOutcome) -> None:
    """Sets the outcome of batches that have none yet."""
    for batch in batches:
        if not batch.completion.done():
            batch.completion.set_result(outcome)


def is_full(journal: Journal, factor: int = 1) -> bool:
    """Tells whether the waiting batches reach factor * max_waiting_bytes."""
    return journal.waiting_bytes >= factor * journal.max_waiting_bytes


def has_unwritten_records(journal: Journal) -> bool:
    """Tells whether any batch waits or is in flight; False once fenced."""
    return not journal.fenced and bool(journal.waiting or journal.in_flight)


def retain_segment(journal: Journal, segment: RetainedSegment) -> None:
    """Adds a written segment that no snapshot covers yet."""
    journal.retained.append(segment)
    journal.retained_bytes += len(segment.content)


def release_rows(journal: Journal, sequence: int) -> None:
    """Makes the rows of segments that a snapshot covers available again.

    Args:
      journal: The journal.
      sequence: Number of the last segment that the snapshot covers.
    """
    while journal.retained and journal.retained[0].sequence <= sequence:
        segment = journal.retained.popleft()
        journal.retained_bytes -= len(segment.content)
        journal.free_rows.append(segment.row)
