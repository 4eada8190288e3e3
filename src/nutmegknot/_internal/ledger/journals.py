"""Journal of a ledger partition: records that wait to be written."""

import asyncio
import collections
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2
from nutmegknot._internal.utils import signals

# Reports may fill the journal beyond the bound of new requests, since what
# they end makes room.
REPORT_FACTOR = 2
DEFAULT_WAITING_BYTES = 4 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class Durable:
    """The records are in the journal."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fenced:
    """The writer lost the partition; the records surely aren't written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unsettled:
    """The writer lost the partition; the records may be in the journal."""


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawn:
    """The records were taken back; they surely aren't written."""


Written = Durable | Fenced | Unsettled | Withdrawn


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """Records that are written together.

    Attributes:
      records: The records.
      messages: Their messages.
      size: Size of the messages in bytes.
      written: What became of them.
    """

    records: list[records.Record]
    messages: list[journal_pb2.Record]
    size: int
    written: asyncio.Future[Written]


@dataclasses.dataclass(slots=True, frozen=True)
class Slot:
    """A row that holds, or may hold, a segment.

    Attributes:
      number: Number of the row.
      version: Version of the row; ABSENT if it does not exist.
    """

    number: int
    version: int = tables.ABSENT


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """A segment that no snapshot replaces yet.

    Attributes:
      sequence: Number of the segment.
      content: The segment, for the archive.
      slot: The row that holds it.
    """

    sequence: int
    content: bytes
    slot: Slot


@dataclasses.dataclass(slots=True)
class Journal:
    """State of the writer.

    Attributes:
      partition: Name of the ledger partition.
      epoch: Epoch under which it writes.
      fence: Key and version that every write demands.
      max_waiting_bytes: Size of waiting records from which no new request is
        accepted, in bytes.
      last: The place in the chain after the last segment.
      held: Segments that no snapshot replaces yet, oldest first.
      held_bytes: Their size in bytes.
      free: Rows whose segments a snapshot replaces, to be used again.
      slots: The lowest number that no row has had under this epoch.
      waiting: Batches of which no write can have taken effect, in order.
      waiting_bytes: Their size in bytes.
      in_flight: Batches whose write is under way or not settled.
      wake: Set when there is something to write.
      written: Notified after each segment.
      fenced: Whether the writer has lost the partition.
    """

    partition: str
    epoch: int
    fence: tables.Condition
    max_waiting_bytes: int = DEFAULT_WAITING_BYTES
    last: segments.Link = dataclasses.field(default_factory=segments.Link)
    held: collections.deque[Held] = dataclasses.field(
        default_factory=collections.deque
    )
    held_bytes: int = 0
    free: list[Slot] = dataclasses.field(default_factory=list)
    slots: int = 0
    waiting: dict[Batch, None] = dataclasses.field(default_factory=dict)
    waiting_bytes: int = 0
    in_flight: list[Batch] = dataclasses.field(default_factory=list)
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    written: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    fenced: bool = False


def append(journal: Journal, added: list[records.Record]) -> Batch:
    """Queues records; the batch's future tells when they are durable."""
    messages = [record_codec.encode_record(one) for one in added]
    size = sum(message.ByteSize() for message in messages)
    future = asyncio.get_running_loop().create_future()
    batch = Batch(added, messages, size, future)
    if journal.fenced:
        batch.written.set_result(Fenced())
        return batch
    journal.waiting[batch] = None
    journal.waiting_bytes += size
    journal.wake.set()
    return batch


def withdraw(journal: Journal, batch: Batch) -> bool:
    """Takes a batch back; False if a write of it may have taken effect."""
    if batch not in journal.waiting:
        return False
    _remove(journal, batch)
    batch.written.set_result(Withdrawn())
    return True


def _remove(journal: Journal, batch: Batch) -> None:
    del journal.waiting[batch]
    journal.waiting_bytes -= batch.size


def take(journal: Journal, max_bytes: int) -> list[Batch]:
    """Takes the oldest batches that fit into a segment, but at least one."""
    taken: list[Batch] = []
    size = 0
    for batch in journal.waiting:
        size += batch.size
        if taken and size > max_bytes:
            break
        taken.append(batch)
    for batch in taken:
        _remove(journal, batch)
    if not journal.waiting:
        journal.wake.clear()
    journal.in_flight = taken
    return taken


def put_back(journal: Journal, taken: list[Batch]) -> None:
    """Queues batches again whose write surely had no effect."""
    journal.in_flight = []
    journal.waiting = dict.fromkeys(taken) | journal.waiting
    journal.waiting_bytes += sum(batch.size for batch in taken)
    journal.wake.set()


def close(journal: Journal) -> None:
    """Ends the writing and tells all who wait what is known."""
    journal.fenced = True
    answer(journal.in_flight, Unsettled())
    answer(list(journal.waiting), Fenced())
    journal.in_flight = []
    journal.waiting = {}
    journal.waiting_bytes = 0
    journal.wake.set()
    signals.notify(journal.written)


def answer(batches: list[Batch], written: Written) -> None:
    """Tells those who wait for batches what became of them."""
    for batch in batches:
        if not batch.written.done():
            batch.written.set_result(written)


def is_full(journal: Journal, factor: int = 1) -> bool:
    """Tells whether so much waits that no more should be added."""
    return journal.waiting_bytes >= factor * journal.max_waiting_bytes


def is_busy(journal: Journal) -> bool:
    """Tells whether anything is queued or being written."""
    return not journal.fenced and bool(journal.waiting or journal.in_flight)


def hold(journal: Journal, held: Held) -> None:
    """Takes note of a segment that no snapshot replaces yet."""
    journal.held.append(held)
    journal.held_bytes += len(held.content)


def free_segments(journal: Journal, sequence: int) -> None:
    """Frees the rows of all segments up to one that a snapshot replaces."""
    while journal.held and journal.held[0].sequence <= sequence:
        held = journal.held.popleft()
        journal.held_bytes -= len(held.content)
        journal.free.append(held.slot)
