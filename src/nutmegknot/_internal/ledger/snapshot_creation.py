"""Creation of snapshots, and reuse of the rows of segments they cover.

A snapshot bounds the number of segments that recovery has to read.
"""

import asyncio
import dataclasses
import logging
import random
import uuid

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import archives
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Number of digits of the sequence number in the names of objects.
OBJECT_NAME_DIGITS = 12
# A snapshot is taken at this many times min_segments at the latest, even if the
# segments are smaller than the last snapshot.
MAX_SEGMENTS_FACTOR = 20
# Maximum number of rows that one transaction deletes.
MAX_ROWS_PER_DELETION = 100


@dataclasses.dataclass(slots=True)
class Snapshotter:
    """State of the task that takes snapshots of a ledger partition.

    Attributes:
      ledger: The ledger partition.
      store: The services that the partition is stored in.
      rng: Source of jitter for the backoff.
      min_segments: Minimum number of segments that a snapshot covers, and
        number of their rows that are kept for reuse.
      pointer: Current content of the pointer row.
      snapshot_bytes: Size of the last snapshot in bytes; 0 if there is none.
    """

    ledger: ledgers.Ledger
    store: recovery.Store
    rng: random.Random
    min_segments: int
    pointer: pointers.Pointer
    snapshot_bytes: int = 0


async def run_snapshot_loop(snapshotter: Snapshotter) -> None:
    """Takes a snapshot whenever it is due, until fenced or cancelled."""
    journal = snapshotter.ledger.journal
    count = -1
    while not journal.fenced:
        count = await signals.wait_for_notification(
            journal.segment_written, count
        )
        if is_due(snapshotter):
            await take_snapshot(snapshotter)


def is_due(snapshotter: Snapshotter) -> bool:
    """Tells whether the next snapshot is due.

    It is due once the segments after the last snapshot are as large as that
    snapshot. So the bytes written for the journal and snapshots together stay
    below twice those of the journal, and recovery reads less than twice the
    bytes of the snapshot. A maximum number of segments applies in any case.
    """
    journal = snapshotter.ledger.journal
    count = len(journal.retained)
    if journal.fenced or count < snapshotter.min_segments:
        return False
    return (
        journal.retained_bytes >= snapshotter.snapshot_bytes
        or count >= MAX_SEGMENTS_FACTOR * snapshotter.min_segments
    )


async def take_snapshot(snapshotter: Snapshotter) -> bool:
    """Stores a snapshot and an archive, then makes the pointer refer to them.

    Afterwards the rows of the covered segments can be overwritten, and the
    previous snapshot is deleted.

    Returns:
      False if the partition was lost before the pointer was changed.
    """
    journal = snapshotter.ledger.journal
    captured = snapshots.capture(snapshotter.ledger)
    covered = [
        segment
        for segment in journal.retained
        if segment.sequence <= captured.position.sequence
    ]
    content = await snapshots.encode(captured)
    name = _make_name(journal, 'snapshot', captured.position.sequence)
    snapshot = await _put_object(snapshotter, name, content)
    name = _make_name(journal, 'archive', captured.position.sequence)
    earlier = snapshotter.pointer.archive
    archive_content = archives.encode(
        journal.partition, (segment.content for segment in covered), earlier
    )
    archive = await _put_object(snapshotter, name, archive_content)
    if snapshot is None or archive is None:
        return False
    replaced = snapshotter.pointer.snapshot
    pointer = pointers.Pointer(captured.position, snapshot, archive)
    if not await _write_pointer(snapshotter, pointer):
        return False
    snapshotter.snapshot_bytes = len(content)
    journals.release_rows(journal, captured.position.sequence)
    logger.info(
        'snapshot_taken',
        extra={
            'partition': journal.partition,
            'sequence': captured.position.sequence,
            'entries': len(captured.entries),
            'bytes': len(content),
        },
    )
    await delete_surplus_rows(snapshotter)
    if replaced.name:
        store = snapshotter.store
        await store.objects.delete(replaced.name, store.timeout_ms)
    return True


def _make_name(journal: journals.Journal, kind: str, sequence: int) -> str:
    """Makes a unique object name."""
    number = f'{sequence:0{OBJECT_NAME_DIGITS}d}'
    nonce = uuid.uuid4().hex
    return f'{kind}/{journal.partition}/{number}-{journal.epoch}-{nonce}'


async def _put_object(
    snapshotter: Snapshotter, name: str, content: bytes
) -> pointers.ObjectReference | None:
    """Stores an object, with retries; None if the partition was lost first."""
    backoff = retries.Backoff(snapshotter.rng)
    store = snapshotter.store
    while not snapshotter.ledger.journal.fenced:
        result = await store.objects.put(name, content, store.timeout_ms)
        if isinstance(result, object_store.Stored):
            return pointers.ObjectReference(
                name, segments.compute_hash(content)
            )
        await _pause(backoff)
    return None


async def _pause(backoff: retries.Backoff) -> None:
    await asyncio.sleep(clock.to_seconds(retries.advance_backoff(backoff)))


async def _write_pointer(
    snapshotter: Snapshotter, pointer: pointers.Pointer
) -> bool:
    journal = snapshotter.ledger.journal
    key = pointers.get_key(journal.partition)
    value = pointers.encode(journal.partition, pointer)
    condition = tables.Condition(key, snapshotter.pointer.version)
    version = await _commit_row(snapshotter, condition, value)
    if version is None:
        return False
    snapshotter.pointer = dataclasses.replace(pointer, version=version)
    return True


async def _commit_row(
    snapshotter: Snapshotter, condition: tables.Condition, value: bytes
) -> int | None:
    """Writes a row, with retries, if this instance still owns the partition.

    Args:
      snapshotter: State of the task.
      condition: Key and expected version of the row.
      value: Value to write.

    Returns:
      The new version, or None if the partition was lost first.
    """
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
                return await _find_committed_version(
                    snapshotter, condition.key, value
                )
        await _pause(backoff)


async def _find_committed_version(
    snapshotter: Snapshotter, key: str, value: bytes
) -> int | None:
    """Returns the version of a row if it has the given value, else None."""
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


async def delete_surplus_rows(snapshotter: Snapshotter) -> None:
    """Deletes the free rows beyond min_segments.

    During an outage of the object store the journal grows by many rows. They
    are deleted afterwards because every recovery reads all rows.

    The number of a deleted row is not used again under this epoch. The write
    that created the row was conditional on its absence, so that a delayed
    duplicate of that write can take effect after the deletion and create the
    row again.
    """
    journal = snapshotter.ledger.journal
    while not journal.fenced:
        surplus = journal.free_rows[snapshotter.min_segments :][
            :MAX_ROWS_PER_DELETION
        ]
        if not surplus:
            return
        journal.free_rows = [
            row for row in journal.free_rows if row not in surplus
        ]
        await _delete_rows(snapshotter, surplus)


async def _delete_rows(
    snapshotter: Snapshotter, surplus: list[journals.SegmentRow]
) -> None:
    """Deletes free rows.

    The deletion is conditional on the versions of the rows, so that a delayed
    duplicate of the call has no effect.
    """
    store = snapshotter.store
    journal = snapshotter.ledger.journal
    keys = [segments.get_key(journal.partition, row.number) for row in surplus]
    conditions = [
        tables.Condition(key, row.version)
        for key, row in zip(keys, surplus, strict=True)
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
                # Nobody else writes these rows. If a condition fails, either
                # an earlier call deleted them and its answer was lost, or the
                # partition has a new owner.
                return
        await _pause(backoff)
