"""Pointer rows: references to a ledger partition's snapshot and archive.

The partition has one such row in the table service. A new snapshot takes effect
when the row is changed to refer to it.
"""

import dataclasses

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.schema import journal_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectReference:
    """Name and content hash of a stored object; both empty for no object."""

    name: str = ''
    hash: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Pointer:
    """Content of the pointer row, from which recovery and the audit start.

    Attributes:
      position: The chain position up to which the snapshot covers the journal.
      snapshot: The newest snapshot.
      archive: The newest archive; its last segment is the one before that
        position.
      version: Version of the row; ABSENT if it does not exist.
    """

    position: segments.ChainPosition = segments.ChainPosition()
    snapshot: ObjectReference = ObjectReference()
    archive: ObjectReference = ObjectReference()
    version: int = tables.ABSENT


def get_key(partition: str) -> str:
    """Returns the key of a partition's pointer row."""
    return f'snapshot/{partition}'


def encode(partition: str, pointer: Pointer) -> bytes:
    """Encodes the value of a pointer row."""
    return journal_pb2.PointerRow(
        partition=partition,
        sequence=pointer.position.sequence,
        previous=pointer.position.hash,
        snapshot=pointer.snapshot.name,
        snapshot_hash=pointer.snapshot.hash,
        archive=pointer.archive.name,
        archive_hash=pointer.archive.hash,
    ).SerializeToString()


def decode(
    partition: str, row: tables.Row | None
) -> Pointer | segments.Damaged:
    """Decodes a pointer row; returns an empty pointer if there is no row."""
    if row is None:
        return Pointer()
    try:
        message = journal_pb2.PointerRow.FromString(row.value)
    except message_lib.DecodeError:
        return segments.Damaged(0, 'the pointer row does not parse')
    if message.partition != partition:
        return segments.Damaged(0, 'the pointer row is of another partition')
    return Pointer(
        segments.ChainPosition(message.sequence, message.previous),
        ObjectReference(message.snapshot, message.snapshot_hash),
        ObjectReference(message.archive, message.archive_hash),
        row.version,
    )
