"""Verifies the hash chain of a ledger partition's journal."""

import dataclasses

from nutmegknot._internal.audit import histories
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments


@dataclasses.dataclass(slots=True, frozen=True)
class VerifiedChain:
    """Every segment is as it was written, from the first one on.

    Attributes:
      last: Position in the hash chain after the last segment.
      segments: Number of segments.
      records: Number of records in them.
    """

    last: segments.ChainPosition
    segments: int
    records: int


async def verify(
    store: recovery.Store,
    partition: str,
    head: segments.ChainPosition | None = None,
) -> VerifiedChain | segments.Damaged | tables.Unavailable:
    """Verifies a partition's journal back to its first segment.

    The newest snapshot is compared with its recorded hash too.

    Args:
      store: Table service and object store that keep the journal.
      partition: The ledger partition.
      head: A position that the hash chain is known to have reached, for example
        the newest one in the owner's journal or the result of an earlier
        verification. Without it, the removal of the newest segments is not
        detected.
    """
    last: segments.ChainPosition | None = None
    is_head_found = head is None or head == segments.ChainPosition()
    segment_count = 0
    record_count = 0
    async for part in histories.read_parts(partition, store):
        if not isinstance(part, histories.HistoryPart):
            return part
        positions = [
            part.start_position,
            *(segment.end_position for segment in part.segments),
        ]
        last = last or positions[-1]
        for position in positions:
            if head is not None and position.sequence == head.sequence:
                if position != head:
                    return segments.Damaged(
                        head.sequence, 'the segment was changed'
                    )
                is_head_found = True
        segment_count += len(part.segments)
        record_count += sum(len(segment.records) for segment in part.segments)
    if not is_head_found and head is not None:
        return segments.Damaged(head.sequence, 'the segment is missing')
    fault = await _check_snapshot(store, partition)
    if fault is not None:
        return fault
    return VerifiedChain(
        last or segments.ChainPosition(), segment_count, record_count
    )


async def _check_snapshot(
    store: recovery.Store, partition: str
) -> segments.Damaged | tables.Unavailable | None:
    """Compares the newest snapshot with its hash in the pointer row."""
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
        # A newer snapshot has replaced this one, which may have been deleted.
        return await _check_snapshot(store, partition)
    return content
