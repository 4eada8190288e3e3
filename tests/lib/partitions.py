"""A ledger partition on fake platform services.

Used by tests and benchmarks.
"""

import asyncio
import dataclasses
import functools
import random

from lib import fakes

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.ledger import writing
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import clock as clock_lib

NAME = 'ledger-0'
FLEET = 'fleet-d-0'
OWNER_KEY = f'owner/{NAME}'


@dataclasses.dataclass(slots=True)
class Cell:
    """Fake platform services and the other inputs of the partition.

    Attributes:
      table: The table service.
      objects: The object store.
      time: Time that the clocks show.
      fleet_epoch: Epoch of the only fleet partition.
      may_act: Whether the owner currently holds the authority to act.
    """

    table: fakes.FakeTable = dataclasses.field(default_factory=fakes.FakeTable)
    objects: fakes.FakeObjects = dataclasses.field(
        default_factory=fakes.FakeObjects
    )
    time: clock_lib.ManualTime = dataclasses.field(
        default_factory=lambda: clock_lib.ManualTime(1)
    )
    fleet_epoch: int = 1
    may_act: bool = True


@dataclasses.dataclass(slots=True)
class Owner:
    """An instance's ownership of the partition.

    Attributes:
      ledger: State of the partition.
      context: Dependencies of the callers' operations.
      snapshotter: Writes snapshots of the partition.
      writer: asyncio task that writes the journal.
    """

    ledger: ledgers.Ledger
    context: accepting.Context
    snapshotter: snapshotting.Snapshotter
    writer: asyncio.Task[None]


def make_store(cell: Cell) -> recovery.Store:
    """Returns clients of the fake services."""
    table = fakes.connect_table(cell.table)
    return recovery.Store(table, fakes.connect_objects(cell.objects), 100)


def make_context(cell: Cell) -> accepting.Context:
    """Returns the dependencies of the operations that callers request."""

    def choose(
        req: requests.Request, avoid: frozenset[str]
    ) -> accepting.Choice | outcomes.Refused:
        if FLEET in avoid:
            reason = outcomes.RefusalReason.UNAVAILABLE
            return outcomes.Refused(reason, 'no other')
        return accepting.Choice(FLEET, cell.fleet_epoch)

    clock = clock_lib.make_manual_clock(cell.time)
    return accepting.Context(clock, lambda: cell.may_act, choose, 4)


def acquire(cell: Cell) -> ledgers.Ledger:
    """Writes the owner row for a new epoch, which fences the earlier owner.

    Returns:
      An empty ledger; recovery fills it.
    """
    cell.table.last_version += 1
    version = cell.table.last_version
    cell.table.rows[OWNER_KEY] = tables.Row(OWNER_KEY, b'', version)
    fence = tables.Condition(OWNER_KEY, version)
    return ledgers.Ledger(NAME, version, journals.Journal(NAME, version, fence))


def make_writer(
    cell: Cell, ledger: ledgers.Ledger, store: recovery.Store
) -> writing.Context:
    """Returns the dependencies of the journal's writer."""
    return writing.Context(
        table=store.table,
        rng=random.Random(1),
        clock=clock_lib.make_manual_clock(cell.time),
        commit_ms=0,
        timeout_ms=store.timeout_ms,
        segment_bytes=1 << 18,
        apply=functools.partial(ledgers.apply_record, ledger),
    )


def serve(
    cell: Cell, ledger: ledgers.Ledger, recovered: recovery.Recovered
) -> Owner:
    """Starts the writer of a recovered partition."""
    store = make_store(cell)
    snapshotter = snapshotting.Snapshotter(
        ledger,
        store,
        random.Random(1),
        2,
        recovered.pointer,
        recovered.snapshot_bytes,
    )
    work = writing.keep_writing(
        ledger.journal, make_writer(cell, ledger, store)
    )
    writer = asyncio.create_task(work)
    return Owner(ledger, make_context(cell), snapshotter, writer)


async def take_over(cell: Cell) -> Owner:
    """Acquires and recovers the partition, and starts its writer."""
    ledger = acquire(cell)
    recovered = await recovery.recover(ledger, make_store(cell))
    assert isinstance(recovered, recovery.Recovered), recovered
    return serve(cell, ledger, recovered)


async def stop(owner: Owner) -> None:
    """Ends an owner's writer at once."""
    owner.writer.cancel()
    await asyncio.gather(owner.writer, return_exceptions=True)


def get_pointer(cell: Cell) -> pointers.Pointer:
    """Returns the partition's pointer row, decoded."""
    row = cell.table.rows.get(pointers.get_key(NAME))
    pointer = pointers.decode(NAME, row)
    assert isinstance(pointer, pointers.Pointer)
    return pointer
