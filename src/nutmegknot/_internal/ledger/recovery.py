"""Recovery of a ledger partition by its new owner.

The state is rebuilt from the newest snapshot and the segments after it.
"""

import dataclasses

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """The platform's services in which ledger partitions are stored.

    Attributes:
      table: The table service, for segments and pointer rows.
      objects: The object store, for snapshots and archives.
      timeout_ms: Time limit of each call in ms.
    """

    table: tables.Table
    objects: object_store.ObjectStore
    timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Recovered:
    """The partition was recovered up to its newest segment.

    Attributes:
      pointer: Content of its pointer row.
      snapshot_bytes: Size of its snapshot in bytes; 0 if it has none.
    """

    pointer: pointers.Pointer
    snapshot_bytes: int


RecoveryResult = Recovered | segments.Damaged | tables.Unavailable


async def recover(ledger: ledgers.Ledger, store: Store) -> RecoveryResult:
    """Recovers a partition that this instance has just acquired.

    Every write of an earlier owner fails by now, since the owner row has
    changed. So the segments that are read are complete. Afterwards the journal
    is ready to write the next segment.
    """
    pointer = await read_pointer(ledger.name, store)
    if not isinstance(pointer, pointers.Pointer):
        return pointer
    snapshot_bytes = await _apply_snapshot(ledger, store, pointer)
    if not isinstance(snapshot_bytes, int):
        return snapshot_bytes
    damage = await _apply_segments(ledger, store, pointer)
    if damage is not None:
        return damage
    ledgers.finish_recovery(ledger)
    return Recovered(pointer, snapshot_bytes)


async def read_pointer(
    partition: str, store: Store
) -> pointers.Pointer | segments.Damaged | tables.Unavailable:
    """Reads the pointer row of a partition."""
    key = pointers.get_key(partition)
    result = await store.table.transact(
        tables.Transaction(reads=(key,)), store.timeout_ms
    )
    if not isinstance(result, tables.Committed):
        return tables.Unavailable('the pointer row was not read')
    return pointers.decode(partition, result.rows.get(key))


async def read_object(
    store: Store, reference: pointers.ObjectReference
) -> bytes | segments.Damaged | tables.Unavailable:
    """Reads an object and verifies its hash."""
    content = await store.objects.get(reference.name, store.timeout_ms)
    match content:
        case object_store.Missing():
            return segments.Damaged(0, f'object {reference.name} is missing')
        case tables.Unavailable():
            return content
        case _:
            if segments.compute_hash(content) != reference.hash:
                return segments.Damaged(
                    0, f'object {reference.name} was changed'
                )
            return content


async def _apply_snapshot(
    ledger: ledgers.Ledger, store: Store, pointer: pointers.Pointer
) -> int | segments.Damaged | tables.Unavailable:
    """Applies the snapshot, if there is one; returns its size in bytes."""
    if not pointer.snapshot.name:
        return 0
    content = await read_object(store, pointer.snapshot)
    if not isinstance(content, bytes):
        return content
    damage = await snapshots.apply(ledger, content, pointer.position)
    return len(content) if damage is None else damage


async def _apply_segments(
    ledger: ledgers.Ledger, store: Store, pointer: pointers.Pointer
) -> segments.Damaged | tables.Unavailable | None:
    prefix = segments.get_prefix(ledger.name)
    rows = await store.table.scan(prefix, store.timeout_ms)
    if isinstance(rows, tables.Unavailable):
        return rows
    contents = [row.value for row in rows]
    chain = await segments.decode_chain(ledger.name, contents, pointer.position)
    if isinstance(chain, segments.Damaged):
        return chain
    for segment in chain:
        for record in segment.records:
            ledgers.apply_record(ledger, record)
    return _prepare_journal(ledger.journal, rows, chain, pointer.position)


def _prepare_journal(
    journal: journals.Journal,
    rows: list[tables.Row],
    chain: list[segments.Segment],
    start: segments.ChainPosition,
) -> segments.Damaged | None:
    """Prepares the journal for writing after the last segment of the chain.

    Args:
      journal: The journal.
      rows: All segment rows of the partition.
      chain: The segments after the snapshot, oldest first.
      start: The chain position of the snapshot.
    """
    prefix = segments.get_prefix(journal.partition)
    rows_by_content = {}
    for row in rows:
        number = row.key.removeprefix(prefix)
        if not number.isdecimal():
            return segments.Damaged(0, f'row {row.key} is not a segment row')
        rows_by_content[row.value] = journals.SegmentRow(
            int(number), row.version
        )
    for segment in chain:
        segment_row = rows_by_content.pop(segment.content)
        retained = journals.RetainedSegment(
            segment.end_position.sequence, segment.content, segment_row
        )
        journals.retain_segment(journal, retained)
    used_numbers = {int(row.key.removeprefix(prefix)) for row in rows}
    journal.next_row_number = max(used_numbers, default=-1) + 1
    journal.free_rows = sorted(
        rows_by_content.values(), key=lambda row: row.number
    )
    journal.head = chain[-1].end_position if chain else start
    return None
