"""Archives: objects that keep old segments for the audit.

When a snapshot is taken, the segments that it covers are copied into an archive
in the object store, since their rows will be overwritten.
"""

from collections.abc import Iterable
import dataclasses

from google.protobuf import message as message_lib

from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.schema import journal_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class Archive:
    """The segments between two consecutive snapshots.

    Attributes:
      segment_contents: Encoded segments, oldest first.
      earlier: Reference to the archive before this one.
    """

    segment_contents: tuple[bytes, ...]
    earlier: pointers.ObjectReference


def encode(
    partition: str, contents: Iterable[bytes], earlier: pointers.ObjectReference
) -> bytes:
    """Encodes an archive."""
    return journal_pb2.Archive(
        partition=partition,
        segments=contents,
        earlier=earlier.name,
        earlier_hash=earlier.hash,
    ).SerializeToString()


def decode(partition: str, content: bytes) -> Archive | segments.Damaged:
    """Decodes an archive of a partition."""
    try:
        message = journal_pb2.Archive.FromString(content)
    except message_lib.DecodeError:
        return segments.Damaged(0, 'an archive does not parse')
    if message.partition != partition:
        return segments.Damaged(0, 'an archive is of another partition')
    return Archive(
        tuple(message.segments),
        pointers.ObjectReference(message.earlier, message.earlier_hash),
    )
