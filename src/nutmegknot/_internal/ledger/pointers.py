"""Pointer rows: the newest snapshot and archive of a ledger partition."""

import dataclasses

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.schema import journal_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class Reference:
    """An object and the hash of its content; empty for none."""

    name: str = ''
    hash: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Pointer:
    """Where recovery and the audit of a partition begin.

    Attributes:
      link: The place in the chain that the snapshot is the state of.
      snapshot: The snapshot.
      archive: The newest archive; it ends with the segment before that place.
      version: Version of the row; ABSENT if there is none.
    """

    link: segments.Link = segments.Link()
    snapshot: Reference = Reference()
    archive: Reference = Reference()
    version: int = tables.ABSENT


def get_key(partition: str) -> str:
    """Returns the key of a partition's pointer row."""
    return f'snapshot/{partition}'


def encode(partition: str, pointer: Pointer) -> bytes:
    """Returns the value of a pointer row."""
    return journal_pb2.PointerRow(
        partition=partition,
        sequence=pointer.link.sequence,
        previous=pointer.link.hash,
        snapshot=pointer.snapshot.name,
        snapshot_hash=pointer.snapshot.hash,
        archive=pointer.archive.name,
        archive_hash=pointer.archive.hash,
    ).SerializeToString()


def decode(
    partition: str, row: tables.Row | None
) -> Pointer | segments.Damaged:
    """Returns the pointer of a row; an empty one if there is no row."""
    if row is None:
        return Pointer()
    try:
        message = journal_pb2.PointerRow.FromString(row.value)
    except message_lib.DecodeError:
        return segments.Damaged(0, 'the pointer row does not parse')
    if message.partition != partition:
        return segments.Damaged(0, 'the pointer row is of another partition')
    return Pointer(
        segments.Link(message.sequence, message.previous),
        Reference(message.snapshot, message.snapshot_hash),
        Reference(message.archive, message.archive_hash),
        row.version,
    )
