"""Snapshots: the state of a ledger partition after a segment."""

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

# Entries encoded or applied before other tasks get their turn.
ENTRIES_AT_ONCE = 200


@dataclasses.dataclass(slots=True)
class Image:
    """The durable part of an entry; its fields are those of ledgers.Entry."""

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
    outcome: outcomes.Final | None
    ended_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Capture:
    """A consistent copy of a partition's state.

    Attributes:
      partition: Name of the partition.
      link: The place in the chain that it is the state of.
      entries: Images of the entries by request key.
    """

    partition: str
    link: segments.Link
    entries: dict[str, Image]


# Reads all fields at once, since nothing else can run during a capture.
_read_fields = operator.attrgetter(
    *(field.name for field in dataclasses.fields(Image))
)


def capture(ledger: ledgers.Ledger) -> Capture:
    """Copies the state.

    Durable records change it in the same step in which the journal takes note
    of their segment, so that it belongs to the journal's last segment at any
    time.
    """
    entries = {k: Image(*_read_fields(e)) for k, e in ledger.entries.items()}
    return Capture(ledger.name, ledger.journal.last, entries)


async def encode(captured: Capture) -> bytes:
    """Returns the content of a snapshot, giving way to other tasks."""
    message = journal_pb2.Snapshot(
        partition=captured.partition,
        sequence=captured.link.sequence,
        previous=captured.link.hash,
    )
    for number, (key, entry) in enumerate(captured.entries.items()):
        message.entries.append(_encode_entry(key, entry))
        if number % ENTRIES_AT_ONCE == 0:
            await asyncio.sleep(0)
    return message.SerializeToString()


def _encode_entry(key: str, entry: Image) -> journal_pb2.SnapshotEntry:
    return journal_pb2.SnapshotEntry(
        request_key=key,
        records=[
            record_codec.encode_record(records.Record(key, at_ms, step))
            for at_ms, step in _list_steps(entry)
        ],
        failures=entry.failures,
        started=entry.started,
        rejected=sorted(entry.rejected),
    )


def _list_steps(entry: Image) -> list[tuple[int, records.Step]]:
    """Returns the fewest steps that lead to the state of an entry."""
    at_ms = entry.accepted_ms
    steps: list[tuple[int, records.Step]] = [
        (at_ms, records.Accept(entry.req, entry.fleet, entry.fleet_epoch))
    ]
    if entry.attempt:
        assign = records.Assign(
            entry.fleet, entry.fleet_epoch, entry.attempt, entry.reason
        )
        steps.append((at_ms, assign))
    if entry.workers:
        steps.append((at_ms, records.Start(entry.attempt, entry.workers)))
    if entry.cancelled:
        steps.append((at_ms, records.Cancel()))
    if entry.outcome is not None:
        steps.append((entry.ended_ms, records.End(entry.outcome)))
    return steps


async def apply(
    ledger: ledgers.Ledger, content: bytes, link: segments.Link
) -> segments.Damaged | None:
    """Brings an empty partition to the state of a snapshot.

    It gives way to other tasks now and then.

    Args:
      ledger: The partition.
      content: The snapshot.
      link: The place in the chain that it is to be the state of.
    """
    try:
        message = journal_pb2.Snapshot.FromString(content)
    except message_lib.DecodeError:
        return segments.Damaged(link.sequence, 'the snapshot does not parse')
    if message.partition != ledger.name:
        return segments.Damaged(
            link.sequence, 'the snapshot is of another partition'
        )
    if segments.Link(message.sequence, message.previous) != link:
        return segments.Damaged(
            link.sequence, 'the snapshot is of another segment'
        )
    try:
        for number, one in enumerate(message.entries):
            _apply_entry(ledger, one)
            if number % ENTRIES_AT_ONCE == 0:
                await asyncio.sleep(0)
    except ValueError as error:
        return segments.Damaged(
            link.sequence, f'a snapshot entry does not parse: {error}'
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
