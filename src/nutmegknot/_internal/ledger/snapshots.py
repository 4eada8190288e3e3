"""Snapshots: encoding of a ledger partition's state at a chain position."""

import asyncio
import dataclasses
import operator

from google.protobuf import message as message_lib

from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import requests
from nutmegknot._internal.schema import journal_pb2

# Number of entries encoded or applied before yielding to other tasks.
ENTRIES_PER_YIELD = 200


@dataclasses.dataclass(slots=True)
class EntryState:
    """The durable fields of a ledgers.Entry, under the same names."""

    req: requests.Request
    accepted_ms: int
    fleet: str
    fleet_epoch: int
    attempt: int
    reason: str
    workers: tuple[str, ...]
    started: bool
    failures: int
    rejected: frozenset[str]
    cancelled: bool
    outcome: outcomes.FinalOutcome | None
    ended_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CapturedState:
    """A consistent copy of a partition's state.

    Attributes:
      partition: Name of the partition.
      position: The chain position up to which records are applied in it.
      entries: Copies of the entries by request key.
    """

    partition: str
    position: segments.ChainPosition
    entries: dict[str, EntryState]


# attrgetter reads all fields in one call. Speed matters here, because a capture
# blocks the event loop.
_read_fields = operator.attrgetter(
    *(field.name for field in dataclasses.fields(EntryState))
)


def capture(ledger: ledgers.Ledger) -> CapturedState:
    """Copies the state of a partition.

    The writer applies a segment's records and moves the end of the chain
    without an await in between, so that the state always belongs to the newest
    segment.
    """
    entries = {
        key: EntryState(*_read_fields(entry))
        for key, entry in ledger.entries.items()
    }
    return CapturedState(ledger.name, ledger.journal.head, entries)


async def encode(captured: CapturedState) -> bytes:
    """Encodes a snapshot, yielding to other tasks regularly."""
    message = journal_pb2.Snapshot(
        partition=captured.partition,
        sequence=captured.position.sequence,
        previous=captured.position.hash,
    )
    for number, (key, entry) in enumerate(captured.entries.items()):
        message.entries.append(_encode_entry(key, entry))
        if number % ENTRIES_PER_YIELD == 0:
            await asyncio.sleep(0)
    return message.SerializeToString()


def _encode_entry(key: str, entry: EntryState) -> journal_pb2.SnapshotEntry:
    return journal_pb2.SnapshotEntry(
        request_key=key,
        records=[
            record_codec.encode_record(records.Record(key, at_ms, event))
            for at_ms, event in _list_events(entry)
        ],
        failures=entry.failures,
        started=entry.started,
        rejected=sorted(entry.rejected),
    )


def _list_events(entry: EntryState) -> list[tuple[int, records.RequestEvent]]:
    """Returns the shortest series of events that leads to an entry's state.

    Each event comes with its wall clock time in ms.
    """
    at_ms = entry.accepted_ms
    events: list[tuple[int, records.RequestEvent]] = [
        (at_ms, records.Accept(entry.req, entry.fleet, entry.fleet_epoch))
    ]
    if entry.attempt:
        assign = records.Assign(
            entry.fleet, entry.fleet_epoch, entry.attempt, entry.reason
        )
        events.append((at_ms, assign))
    if entry.workers:
        events.append((at_ms, records.Start(entry.attempt, entry.workers)))
    if entry.cancelled:
        events.append((at_ms, records.Cancel()))
    if entry.outcome is not None:
        events.append((entry.ended_ms, records.End(entry.outcome)))
    return events


async def apply(
    ledger: ledgers.Ledger, content: bytes, position: segments.ChainPosition
) -> segments.Damaged | None:
    """Loads a snapshot into an empty partition.

    Yields to other tasks regularly.

    Args:
      ledger: The partition.
      content: The encoded snapshot.
      position: The chain position that the snapshot must have.

    Returns:
      Damaged if the snapshot is not the expected one, else None.
    """
    try:
        message = journal_pb2.Snapshot.FromString(content)
    except message_lib.DecodeError:
        return segments.Damaged(
            position.sequence, 'the snapshot does not parse'
        )
    if message.partition != ledger.name:
        return segments.Damaged(
            position.sequence, 'the snapshot is of another partition'
        )
    if segments.ChainPosition(message.sequence, message.previous) != position:
        return segments.Damaged(
            position.sequence, 'the snapshot is of another segment'
        )
    try:
        for number, entry_message in enumerate(message.entries):
            _apply_entry(ledger, entry_message)
            if number % ENTRIES_PER_YIELD == 0:
                await asyncio.sleep(0)
    except ValueError as error:
        return segments.Damaged(
            position.sequence, f'a snapshot entry does not parse: {error}'
        )
    return None


def _apply_entry(
    ledger: ledgers.Ledger, message: journal_pb2.SnapshotEntry
) -> None:
    for record in message.records:
        ledgers.apply_record(ledger, record_codec.decode_record(record))
    entry = ledger.entries.get(message.request_key)
    if entry is None:
        raise ValueError(f'no acceptance of {message.request_key}')
    entry.failures = message.failures
    entry.started = message.started
    entry.rejected = frozenset(message.rejected)
