"""Taking snapshots, and freeing the segments that they replace."""

import asyncio
import dataclasses
import logging
import random
import uuid

from nutmegknot._internal.backing import objects
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import archives
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

SEQUENCE_DIGITS = 12
# Bound on the segments that wait for the journal to outgrow the snapshot.
MAX_FACTOR = 20
# Rows deleted by one transaction.
MAX_DELETES = 100


@dataclasses.dataclass(slots=True)
class Snapshotter:
    """State of the task that takes a partition's snapshots.

    Attributes:
      ledger: The partition.
      store: The platform's services.
      rng: Source of jitter.
      min_segments: Fewest segments that a snapshot replaces.
      pointer: The pointer row.
      size: Size of the last snapshot in bytes; 0 if not known.
    """

    ledger: ledgers.Ledger
    store: recovery.Store
    rng: random.Random
    min_segments: int
    pointer: pointers.Pointer
    size: int = 0


async def keep_snapshotting(snapshotter: Snapshotter) -> None:
    """Takes a snapshot whenever one is due, until fenced or cancelled."""
    journal = snapshotter.ledger.journal
    count = -1
    while not journal.fenced:
        count = await signals.wait_beyond(journal.written, count)
        if is_due(snapshotter):
            await take_snapshot(snapshotter)


def is_due(snapshotter: Snapshotter) -> bool:
    """Tells whether the journal has outgrown the last snapshot.

    Waiting until the segments are as large as the snapshot keeps the bytes
    written below twice those of the journal, and the bytes that recovery reads
    below twice those of the snapshot.
    """
    journal = snapshotter.ledger.journal
    count = len(journal.held)
    if journal.fenced or count < snapshotter.min_segments:
        return False
    return (
        journal.held_bytes >= snapshotter.size
        or count >= MAX_FACTOR * snapshotter.min_segments
    )


async def take_snapshot(snapshotter: Snapshotter) -> bool:
    """Stores a snapshot and an archive, then points to them.

    Returns:
      False if the partition was lost before.
    """
    journal = snapshotter.ledger.journal
    captured = snapshots.capture(snapshotter.ledger)
    held = [h for h in journal.held if h.sequence <= captured.link.sequence]
    content = await snapshots.encode(captured)
    name = _make_name(journal, 'snapshot', captured.link.sequence)
    snapshot = await _put(snapshotter, name, content)
    name = _make_name(journal, 'archive', captured.link.sequence)
    earlier = snapshotter.pointer.archive
    archived = archives.encode(
        journal.partition, (h.content for h in held), earlier
    )
    archive = await _put(snapshotter, name, archived)
    if snapshot is None or archive is None:
        return False
    replaced = snapshotter.pointer.snapshot
    pointer = pointers.Pointer(captured.link, snapshot, archive)
    if not await _write_pointer(snapshotter, pointer):
        return False
    snapshotter.size = len(content)
    journals.free_segments(journal, captured.link.sequence)
    logger.info(
        'snapshot_taken',
        extra={
            'partition': journal.partition,
            'sequence': captured.link.sequence,
            'entries': len(captured.entries),
            'bytes': len(content),
        },
    )
    await delete_surplus(snapshotter)
    if replaced.name:
        store = snapshotter.store
        await store.objects.delete(replaced.name, store.timeout_ms)
    return True


def _make_name(journal: journals.Journal, kind: str, sequence: int) -> str:
    """Returns an object name that no other writer uses."""
    number = f'{sequence:0{SEQUENCE_DIGITS}d}'
    nonce = uuid.uuid4().hex
    return f'{kind}/{journal.partition}/{number}-{journal.epoch}-{nonce}'


async def _put(
    snapshotter: Snapshotter, name: str, content: bytes
) -> pointers.Reference | None:
    """Stores an object; None if the partition was lost before."""
    backoff = retries.Backoff(snapshotter.rng)
    store = snapshotter.store
    while not snapshotter.ledger.journal.fenced:
        result = await store.objects.put(name, content, store.timeout_ms)
        if isinstance(result, objects.Stored):
            return pointers.Reference(name, segments.compute_hash(content))
        await _pause(backoff)
    return None


async def _pause(backoff: retries.Backoff) -> None:
    await asyncio.sleep(clock_lib.to_seconds(retries.take_wait(backoff)))


async def _write_pointer(
    snapshotter: Snapshotter, pointer: pointers.Pointer
) -> bool:
    journal = snapshotter.ledger.journal
    key = pointers.get_key(journal.partition)
    value = pointers.encode(journal.partition, pointer)
    condition = tables.Condition(key, snapshotter.pointer.version)
    version = await _commit(snapshotter, condition, value)
    if version is None:
        return False
    snapshotter.pointer = dataclasses.replace(pointer, version=version)
    return True


async def _commit(
    snapshotter: Snapshotter, condition: tables.Condition, value: bytes
) -> int | None:
    """Writes a row under the fence; None if the partition was lost before."""
    store = snapshotter.store
    transaction = tables.Transaction(
        (snapshotter.ledger.journal.fence, condition),
        (tables.Write(condition.key, value),),
    )
    backoff = retries.Backoff(snapshotter.rng)
    while True:
        result = await store.table.transact(transaction, store.timeout_ms)
        match result:
            case tables.Committed(versions):
                return versions[condition.key]
            case tables.ConditionFailed():
                return await _find_version(snapshotter, condition.key, value)
        await _pause(backoff)


async def _find_version(
    snapshotter: Snapshotter, key: str, value: bytes
) -> int | None:
    """Returns the version of a row if it has a value, else None."""
    store = snapshotter.store
    backoff = retries.Backoff(snapshotter.rng)
    while True:
        result = await store.table.transact(
            tables.Transaction(reads=(key,)), store.timeout_ms
        )
        if isinstance(result, tables.Committed):
            row = result.rows.get(key)
            return row.version if row and row.value == value else None
        await _pause(backoff)


async def delete_surplus(snapshotter: Snapshotter) -> None:
    """Deletes rows beyond those that the journal will soon use again.

    An outage of the object store makes the journal grow by many rows; each is
    read at every recovery, so they do not stay. The numbers of deleted rows are
    not used again: a late copy of the write that made such a row would find it
    absent as it was then, and take effect once more.
    """
    journal = snapshotter.ledger.journal
    while not journal.fenced:
        surplus = journal.free[snapshotter.min_segments :][:MAX_DELETES]
        if not surplus:
            return
        journal.free = [slot for slot in journal.free if slot not in surplus]
        await _delete_rows(snapshotter, surplus)


async def _delete_rows(
    snapshotter: Snapshotter, surplus: list[journals.Slot]
) -> None:
    """Deletes free rows; the versions keep a late call from doing harm."""
    store = snapshotter.store
    journal = snapshotter.ledger.journal
    keys = [segments.get_key(journal.partition, s.number) for s in surplus]
    conditions = [
        tables.Condition(key, slot.version)
        for key, slot in zip(keys, surplus, strict=True)
    ]
    transaction = tables.Transaction(
        (journal.fence, *conditions),
        tuple(tables.Write(key, None) for key in keys),
    )
    backoff = retries.Backoff(snapshotter.rng)
    while not journal.fenced:
        result = await store.table.transact(transaction, store.timeout_ms)
        match result:
            case tables.Committed() | tables.ConditionFailed():
                # The only writer is this one: if a condition fails, either a
                # lost answer was that of the deletion, or the partition has a
                # new owner.
                return
        await _pause(backoff)
