"""Reads the whole journal of a ledger partition for audits.

The newest segments are rows of the table; older ones are in archives in the
object store, each of which names the archive before it.
"""

from collections.abc import AsyncIterator
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import archives
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryPart:
    """Consecutive segments of a journal, verified to form a hash chain.

    Attributes:
      start_position: Position in the hash chain before the first segment.
      segments: The segments, oldest first.
    """

    start_position: segments.ChainPosition
    segments: list[segments.Segment]


ReadResult = HistoryPart | segments.Damaged | tables.Unavailable


async def read_parts(
    partition: str, store: recovery.Store
) -> AsyncIterator[ReadResult]:
    """Reads the segments in the table, then the archives, newest first.

    One part is held in memory at a time, so that a long history needs little
    memory. The segment rows are read before the pointer row, which names the
    snapshot and the newest archive. A snapshot that is taken between the two
    reads moves segments to an archive, where they are then found; in the other
    order these segments would be reported as missing.

    Args:
      partition: The ledger partition.
      store: Table service and object store that keep the journal.

    Yields:
      Parts, newest first; the segments of each part end where the part yielded
      before it starts. If a part is damaged or cannot be read, the last item
      is Damaged or Unavailable, and no older part follows.
    """
    rows = await store.table.scan(
        segments.get_prefix(partition), store.timeout_ms
    )
    if isinstance(rows, tables.Unavailable):
        yield rows
        return
    pointer = await recovery.read_pointer(partition, store)
    if not isinstance(pointer, pointers.Pointer):
        yield pointer
        return
    contents = [row.value for row in rows]
    decoded = await segments.decode_chain(partition, contents, pointer.position)
    if isinstance(decoded, segments.Damaged):
        yield decoded
        return
    yield HistoryPart(pointer.position, decoded)
    end_position = pointer.position
    reference = pointer.archive
    while reference.name:
        archive = await _read_archive(partition, store, reference, end_position)
        if not isinstance(archive, archives.Archive):
            yield archive
            return
        part = await _check_archive(partition, archive, end_position)
        yield part
        if isinstance(part, segments.Damaged):
            return
        end_position = part.start_position
        reference = archive.earlier
    if end_position != segments.ChainPosition():
        yield segments.Damaged(
            end_position.sequence, 'the archive of it is missing'
        )


async def _read_archive(
    partition: str,
    store: recovery.Store,
    reference: pointers.ObjectReference,
    end_position: segments.ChainPosition,
) -> archives.Archive | segments.Damaged | tables.Unavailable:
    content = await recovery.read_object(store, reference)
    match content:
        case bytes():
            return archives.decode(partition, content)
        case segments.Damaged(_, reason):
            return segments.Damaged(end_position.sequence, reason)
        case _:
            return content


async def _check_archive(
    partition: str,
    archive: archives.Archive,
    end_position: segments.ChainPosition,
) -> HistoryPart | segments.Damaged:
    """Returns the segments of an archive after verifying their hash chain.

    Args:
      partition: The ledger partition.
      archive: The archive.
      end_position: Position in the hash chain that the last segment must have.

    Returns:
      The segments, or Damaged if one of them is changed or missing or if the
      chain does not end at end_position.
    """
    if not archive.segment_contents:
        return segments.Damaged(end_position.sequence, 'the archive is empty')
    first = segments.decode(partition, archive.segment_contents[0])
    if isinstance(first, segments.Damaged):
        return first
    start_position = segments.ChainPosition(first.sequence - 1, first.previous)
    decoded = await segments.decode_chain(
        partition, archive.segment_contents, start_position
    )
    if isinstance(decoded, segments.Damaged):
        return decoded
    if decoded[-1].end_position != end_position or len(decoded) != len(
        archive.segment_contents
    ):
        return segments.Damaged(
            end_position.sequence,
            'the archive does not lead to what follows it',
        )
    return HistoryPart(start_position, decoded)
