"""Recovery of a ledger partition from its snapshot and segments."""

import dataclasses

from nutmegknot._internal.backing import objects
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """The platform's services that keep a journal.

    Attributes:
      table: The table service.
      objects: The object store.
      timeout_ms: Time limit of each call in ms.
    """

    table: tables.Table
    objects: objects.Objects
    timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Recovered:
    """The partition has the state after the last segment.

    Attributes:
      pointer: Its pointer row.
      snapshot_bytes: Size of its snapshot in bytes; 0 if it has none.
    """

    pointer: pointers.Pointer
    snapshot_bytes: int


Recovering = Recovered | segments.Damaged | tables.Unavailable


async def recover(ledger: ledgers.Ledger, store: Store) -> Recovering:
    """Reads a partition that this instance has just acquired.

    The fence keeps earlier owners from writing, so that what is read is all.
    The journal is left ready to write the next segment.
    """
    pointer = await read_pointer(ledger.name, store)
    if not isinstance(pointer, pointers.Pointer):
        return pointer
    size = await _apply_snapshot(ledger, store, pointer)
    if not isinstance(size, int):
        return size
    fault = await _apply_segments(ledger, store, pointer)
    if fault is not None:
        return fault
    ledgers.finish_recovery(ledger)
    return Recovered(pointer, size)


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
    store: Store, reference: pointers.Reference
) -> bytes | segments.Damaged | tables.Unavailable:
    """Reads an object and compares it with the hash of its reference."""
    content = await store.objects.get(reference.name, store.timeout_ms)
    match content:
        case objects.Missing():
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
    """Applies the snapshot, if there is one, and returns its size in bytes."""
    if not pointer.snapshot.name:
        return 0
    content = await read_object(store, pointer.snapshot)
    if not isinstance(content, bytes):
        return content
    fault = await snapshots.apply(ledger, content, pointer.link)
    return len(content) if fault is None else fault


async def _apply_segments(
    ledger: ledgers.Ledger, store: Store, pointer: pointers.Pointer
) -> segments.Damaged | tables.Unavailable | None:
    prefix = segments.get_prefix(ledger.name)
    rows = await store.table.scan(prefix, store.timeout_ms)
    if isinstance(rows, tables.Unavailable):
        return rows
    contents = [row.value for row in rows]
    found = await segments.sort_segments(ledger.name, contents, pointer.link)
    if isinstance(found, segments.Damaged):
        return found
    for segment in found:
        for record in segment.records:
            ledgers.apply_record(ledger, record)
    return _set_journal(ledger.journal, rows, found, pointer.link)


def _set_journal(
    journal: journals.Journal,
    rows: list[tables.Row],
    found: list[segments.Segment],
    start: segments.Link,
) -> segments.Damaged | None:
    """Readies the journal to write after the segments found."""
    prefix = segments.get_prefix(journal.partition)
    slots = {}
    for row in rows:
        number = row.key.removeprefix(prefix)
        if not number.isdecimal():
            return segments.Damaged(0, f'row {row.key} is not a segment row')
        slots[row.value] = journals.Slot(int(number), row.version)
    for one in found:
        slot = slots.pop(one.content)
        held = journals.Held(one.link.sequence, one.content, slot)
        journals.hold(journal, held)
    used = {int(row.key.removeprefix(prefix)) for row in rows}
    journal.slots = max(used, default=-1) + 1
    journal.free = sorted(slots.values(), key=lambda slot: slot.number)
    journal.last = found[-1].link if found else start
    return None
