"""Reading the whole history of a ledger partition, newest part first."""

from collections.abc import AsyncIterator
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import archives
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """Some segments in a row.

    Attributes:
      after: The place in the chain before the first of them.
      segments: The segments, oldest first.
    """

    after: segments.Link
    segments: list[segments.Segment]


Reading = Part | segments.Damaged | tables.Unavailable


async def read_parts(
    partition: str, store: recovery.Store
) -> AsyncIterator[Reading]:
    """Reads the segments in the table, then archive after archive.

    One part is held at a time, so that a long history needs little memory. The
    rows are read before the pointer row: a snapshot taken in between only adds
    segments to the archives.

    Args:
      partition: The ledger partition.
      store: The platform's services.

    Yields:
      Parts, the newest one first, each of which continues the next one; or at
      the end Damaged or Unavailable, if there was no reading on.
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
    found = await segments.sort_segments(partition, contents, pointer.link)
    if isinstance(found, segments.Damaged):
        yield found
        return
    yield Part(pointer.link, found)
    until = pointer.link
    reference = pointer.archive
    while reference.name:
        archive = await _read_archive(partition, store, reference, until)
        if not isinstance(archive, archives.Archive):
            yield archive
            return
        part = await _check_archive(partition, archive, until)
        yield part
        if isinstance(part, segments.Damaged):
            return
        until = part.after
        reference = archive.earlier
    if until != segments.Link():
        yield segments.Damaged(until.sequence, 'the archive of it is missing')


async def _read_archive(
    partition: str,
    store: recovery.Store,
    reference: pointers.Reference,
    until: segments.Link,
) -> archives.Archive | segments.Damaged | tables.Unavailable:
    content = await recovery.read_object(store, reference)
    match content:
        case bytes():
            return archives.decode(partition, content)
        case segments.Damaged(_, reason):
            return segments.Damaged(until.sequence, reason)
        case _:
            return content


async def _check_archive(
    partition: str, archive: archives.Archive, until: segments.Link
) -> Part | segments.Damaged:
    """Returns an archive's segments if they are whole and lead to a place."""
    if not archive.contents:
        return segments.Damaged(until.sequence, 'the archive is empty')
    first = segments.decode(partition, archive.contents[0])
    if isinstance(first, segments.Damaged):
        return first
    after = segments.Link(first.sequence - 1, first.previous)
    found = await segments.sort_segments(partition, archive.contents, after)
    if isinstance(found, segments.Damaged):
        return found
    if found[-1].link != until or len(found) != len(archive.contents):
        return segments.Damaged(
            until.sequence, 'the archive does not lead to what follows it'
        )
    return Part(after, found)
