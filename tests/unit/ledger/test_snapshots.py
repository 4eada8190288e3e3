"""Tests of ledger/snapshots.py, snapshotting.py and recovery.py."""

import asyncio

from lib import fakes
from lib import makers
from lib import partitions
import pytest

from nutmegknot._internal.backing import objects as object_lib
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.models import outcomes


async def fill(owner: partitions.Owner, names: range) -> None:
    """Has one segment written for each request."""
    for name in names:
        req = makers.make_request(str(name))
        outcome = await accepting.submit(
            owner.ledger, owner.context, req, 1_000
        )
        assert outcome == outcomes.Accepted(f't/{name}')


def count_rows(cell: partitions.Cell) -> int:
    prefix = segments.get_prefix(partitions.NAME)
    return sum(key.startswith(prefix) for key in cell.table.rows)


async def recover(cell: partitions.Cell) -> recovery.Recovering:
    ledger = partitions.acquire(cell)
    return await recovery.recover(ledger, partitions.make_store(cell))


async def test_rows_are_used_again() -> None:
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await fill(owner, range(0, 6))
    assert snapshotting.is_due(owner.snapshotter)
    assert await snapshotting.take_snapshot(owner.snapshotter)
    assert not snapshotting.is_due(owner.snapshotter)
    # Two rows stay to be used again; the surplus is deleted.
    assert count_rows(cell) == 2
    await fill(owner, range(6, 8))
    assert count_rows(cell) == 2
    await partitions.stop(owner)
    after = await partitions.take_over(cell)
    assert set(after.ledger.entries) == {f't/{n}' for n in range(8)}
    assert after.ledger.journal.last == owner.ledger.journal.last
    await fill(after, range(8, 12))
    await partitions.stop(after)
    assert isinstance(await recover(cell), recovery.Recovered)


async def test_capture_is_of_one_instant() -> None:
    owner = await partitions.take_over(partitions.Cell())
    await fill(owner, range(3))
    captured = snapshots.capture(owner.ledger)
    before = await snapshots.encode(captured)
    await accepting.cancel(owner.ledger, owner.context, 't/1', 1_000)
    assert await snapshots.encode(captured) == before
    await partitions.stop(owner)


async def test_late_copy_of_deleted_row_does_no_harm() -> None:
    """The row it would make is absent again, as it was when it was sent."""
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await fill(owner, range(0, 4))
    cell.table.faults = ['late']
    await fill(owner, range(4, 6))
    assert await snapshotting.take_snapshot(owner.snapshotter)
    fakes.apply_late(cell.table)
    assert count_rows(cell) == 3
    await fill(owner, range(6, 12))
    await partitions.stop(owner)
    after = await partitions.take_over(cell)
    assert set(after.ledger.entries) == {f't/{n}' for n in range(12)}
    await partitions.stop(after)


@pytest.mark.parametrize('fault', ['down', 'lost', 'late'])
async def test_snapshot_survives_faults(fault: str) -> None:
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await fill(owner, range(3))
    cell.objects.faults = [fault]
    cell.table.faults = [fault, fault]
    assert await snapshotting.take_snapshot(owner.snapshotter)
    await partitions.stop(owner)
    cell.table.faults = []
    after = await partitions.take_over(cell)
    assert after.snapshotter.pointer == owner.snapshotter.pointer
    assert len(after.ledger.entries) == 3
    await partitions.stop(after)


async def test_paused_owner_can_not_replace_newer_snapshot() -> None:
    cell = partitions.Cell()
    old = await partitions.take_over(cell)
    await fill(old, range(3))
    stored = asyncio.Event()
    resumed = asyncio.Event()
    objects = old.snapshotter.store.objects

    async def put(
        name: str, value: bytes, timeout_ms: int
    ) -> object_lib.PutResult:
        stored.set()
        await resumed.wait()
        return await objects.put(name, value, timeout_ms)

    old.snapshotter.store = recovery.Store(
        old.snapshotter.store.table,
        object_lib.Objects(put, objects.get, objects.delete),
        100,
    )
    taking = asyncio.create_task(snapshotting.take_snapshot(old.snapshotter))
    await stored.wait()
    new = await partitions.take_over(cell)
    await fill(new, range(3, 6))
    assert await snapshotting.take_snapshot(new.snapshotter)
    resumed.set()
    assert not await taking
    await partitions.stop(old)
    await partitions.stop(new)
    after = await partitions.take_over(cell)
    assert set(after.ledger.entries) == {f't/{n}' for n in range(6)}
    await partitions.stop(after)


@pytest.mark.parametrize('kind', ['snapshot', 'journal', 'pointer'])
@pytest.mark.parametrize('is_missing', [False, True])
async def test_damage_is_told(kind: str, is_missing: bool) -> None:
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    await fill(owner, range(4))
    await snapshotting.take_snapshot(owner.snapshotter)
    await fill(owner, range(4, 7))
    await partitions.stop(owner)
    if kind == 'snapshot':
        contents = cell.objects.contents
        name = next(n for n in contents if n.startswith('snapshot'))
        contents[name] = contents[name][:-1]
        if is_missing:
            del contents[name]
    else:
        prefix = 'journal/' if kind == 'journal' else 'snapshot/'
        key = min(k for k in cell.table.rows if k.startswith(prefix))
        row = cell.table.rows.pop(key)
        if not is_missing:
            changed = tables.Row(key, row.value[:-1], row.version)
            cell.table.rows[key] = changed
    assert isinstance(await recover(cell), segments.Damaged)


async def test_unavailable_recovery_is_told() -> None:
    cell = partitions.Cell()
    cell.table.faults = ['down']
    recovered = await recover(cell)
    assert isinstance(recovered, tables.Unavailable)
