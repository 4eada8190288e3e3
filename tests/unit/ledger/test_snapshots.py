"""Tests of snapshots and recovery."""

import asyncio

from lib import fakes
from lib import ledger_partitions
from lib import makers
import pytest

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.models import outcomes


async def fill(owner: ledger_partitions.PartitionOwner, names: range) -> None:
    """Submits requests one by one, so that each gets its own segment."""
    for name in names:
        req = makers.make_request(str(name))
        outcome = await request_operations.submit(
            owner.ledger, owner.context, req, 1_000
        )
        assert outcome == outcomes.Accepted(f't/{name}')


def count_rows(environment: ledger_partitions.Environment) -> int:
    prefix = segments.get_prefix(ledger_partitions.PARTITION_NAME)
    return sum(key.startswith(prefix) for key in environment.table.rows)


async def recover(
    environment: ledger_partitions.Environment,
) -> recovery.RecoveryResult:
    ledger = ledger_partitions.acquire(environment)
    return await recovery.recover(
        ledger, ledger_partitions.make_store(environment)
    )


async def test_rows_are_overwritten_after_snapshot() -> None:
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await fill(owner, range(0, 6))
    assert snapshot_creation.is_due(owner.snapshotter)
    assert await snapshot_creation.take_snapshot(owner.snapshotter)
    assert not snapshot_creation.is_due(owner.snapshotter)
    # Two rows are kept for reuse (min_segments); the others are deleted.
    assert count_rows(environment) == 2
    await fill(owner, range(6, 8))
    assert count_rows(environment) == 2
    await ledger_partitions.stop(owner)
    new_owner = await ledger_partitions.take_over(environment)
    assert set(new_owner.ledger.entries) == {f't/{n}' for n in range(8)}
    assert new_owner.ledger.journal.head == owner.ledger.journal.head
    await fill(new_owner, range(8, 12))
    await ledger_partitions.stop(new_owner)
    assert isinstance(await recover(environment), recovery.Recovered)


async def test_capture_does_not_follow_later_changes() -> None:
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    await fill(owner, range(3))
    captured = snapshots.capture(owner.ledger)
    before = await snapshots.encode(captured)
    await request_operations.cancel(owner.ledger, owner.context, 't/1', 1_000)
    assert await snapshots.encode(captured) == before
    await ledger_partitions.stop(owner)


async def test_delayed_duplicate_of_write_to_deleted_row_is_harmless() -> None:
    """The write creates the row again, since it requires only its absence.

    The row must neither replace a newer segment nor disturb recovery.
    """
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await fill(owner, range(0, 4))
    environment.table.faults = ['late']
    await fill(owner, range(4, 6))
    assert await snapshot_creation.take_snapshot(owner.snapshotter)
    fakes.apply_late(environment.table)
    assert count_rows(environment) == 3
    await fill(owner, range(6, 12))
    await ledger_partitions.stop(owner)
    new_owner = await ledger_partitions.take_over(environment)
    assert set(new_owner.ledger.entries) == {f't/{n}' for n in range(12)}
    await ledger_partitions.stop(new_owner)


@pytest.mark.parametrize('fault', ['down', 'lost', 'late'])
async def test_snapshot_survives_faults(fault: str) -> None:
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await fill(owner, range(3))
    environment.objects.faults = [fault]
    environment.table.faults = [fault, fault]
    assert await snapshot_creation.take_snapshot(owner.snapshotter)
    await ledger_partitions.stop(owner)
    environment.table.faults = []
    new_owner = await ledger_partitions.take_over(environment)
    assert new_owner.snapshotter.pointer == owner.snapshotter.pointer
    assert len(new_owner.ledger.entries) == 3
    await ledger_partitions.stop(new_owner)


async def test_paused_owner_can_not_replace_newer_snapshot() -> None:
    environment = ledger_partitions.Environment()
    old = await ledger_partitions.take_over(environment)
    await fill(old, range(3))
    put_was_called = asyncio.Event()
    put_may_continue = asyncio.Event()
    objects = old.snapshotter.store.objects

    async def put(
        name: str, value: bytes, timeout_ms: int
    ) -> object_store.PutResult:
        put_was_called.set()
        await put_may_continue.wait()
        return await objects.put(name, value, timeout_ms)

    old.snapshotter.store = recovery.Store(
        old.snapshotter.store.table,
        object_store.ObjectStore(put, objects.get, objects.delete),
        100,
    )
    taking = asyncio.create_task(
        snapshot_creation.take_snapshot(old.snapshotter)
    )
    await put_was_called.wait()
    new = await ledger_partitions.take_over(environment)
    await fill(new, range(3, 6))
    assert await snapshot_creation.take_snapshot(new.snapshotter)
    put_may_continue.set()
    assert not await taking
    await ledger_partitions.stop(old)
    await ledger_partitions.stop(new)
    new_owner = await ledger_partitions.take_over(environment)
    assert set(new_owner.ledger.entries) == {f't/{n}' for n in range(6)}
    await ledger_partitions.stop(new_owner)


@pytest.mark.parametrize('kind', ['snapshot', 'journal', 'pointer'])
@pytest.mark.parametrize('is_missing', [False, True])
async def test_recovery_detects_damage(kind: str, is_missing: bool) -> None:
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    await fill(owner, range(4))
    await snapshot_creation.take_snapshot(owner.snapshotter)
    await fill(owner, range(4, 7))
    await ledger_partitions.stop(owner)
    if kind == 'snapshot':
        contents = environment.objects.contents
        name = next(n for n in contents if n.startswith('snapshot'))
        contents[name] = contents[name][:-1]
        if is_missing:
            del contents[name]
    else:
        prefix = 'journal/' if kind == 'journal' else 'snapshot/'
        key = min(k for k in environment.table.rows if k.startswith(prefix))
        row = environment.table.rows.pop(key)
        if not is_missing:
            changed = tables.Row(key, row.value[:-1], row.version)
            environment.table.rows[key] = changed
    assert isinstance(await recover(environment), segments.Damaged)


async def test_recovery_reports_unavailable_table() -> None:
    environment = ledger_partitions.Environment()
    environment.table.faults = ['down']
    recovered = await recover(environment)
    assert isinstance(recovered, tables.Unavailable)
