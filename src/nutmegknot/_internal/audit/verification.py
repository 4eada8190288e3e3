"""Finding changed or missing records."""

import dataclasses

from nutmegknot._internal.audit import histories
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class Verified:
    """Every segment is as it was written, from the first one on.

    Attributes:
      last: The place in the chain after the last segment.
      segments: Number of segments.
      records: Number of records in them.
    """

    last: segments.Link
    segments: int
    records: int


async def verify(
    store: recovery.Store,
    partition: str,
    head: segments.Link | None = None,
) -> Verified | segments.Damaged | tables.Unavailable:
    """Follows the hash chain of a partition's history back to its beginning.

    Args:
      store: The platform's services.
      partition: The ledger partition.
      head: A place that the chain is known to have reached, for example as the
        owner's journal names it or as an earlier verification gave it. Without
        it, nothing shows that the newest segments have been removed.
    """
    last: segments.Link | None = None
    is_reached = head is None or head == segments.Link()
    count = 0
    record_count = 0
    async for part in histories.read_parts(partition, store):
        if not isinstance(part, histories.Part):
            return part
        links = [part.after, *(one.link for one in part.segments)]
        last = last or links[-1]
        for link in links:
            if head is not None and link.sequence == head.sequence:
                if link != head:
                    return segments.Damaged(
                        head.sequence, 'the segment was changed'
                    )
                is_reached = True
        count += len(part.segments)
        record_count += sum(len(one.records) for one in part.segments)
    if not is_reached and head is not None:
        return segments.Damaged(head.sequence, 'the segment is missing')
    fault = await _check_snapshot(store, partition)
    if fault is not None:
        return fault
    return Verified(last or segments.Link(), count, record_count)


async def _check_snapshot(
    store: recovery.Store, partition: str
) -> segments.Damaged | tables.Unavailable | None:
    """Compares the snapshot with the hash in the pointer row."""
    pointer = await recovery.read_pointer(partition, store)
    if not isinstance(pointer, pointers.Pointer):
        return pointer
    if not pointer.snapshot.name:
        return None
    content = await recovery.read_object(store, pointer.snapshot)
    if isinstance(content, bytes):
        return None
    again = await recovery.read_pointer(partition, store)
    if again != pointer:
        # A newer snapshot has replaced the one that was looked for.
        return await _check_snapshot(store, partition)
    return content
