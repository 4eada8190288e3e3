"""A ledger partition on fake platform services.

Used by tests and benchmarks.
"""

import asyncio
import dataclasses
import functools
import random

from lib import fakes

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import segment_writer
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import clock as clock_lib

PARTITION_NAME = 'ledger-0'
FLEET_PARTITION = 'fleet-d-0'
OWNER_KEY = f'owner/{PARTITION_NAME}'


@dataclasses.dataclass(slots=True)
class Environment:
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
class PartitionOwner:
    """An instance's ownership of the partition.

    Attributes:
      ledger: State of the partition.
      context: Dependencies of the callers' operations.
      snapshotter: Writes snapshots of the partition.
      writer: asyncio task that writes the journal.
    """

    ledger: ledgers.Ledger
    context: request_operations.Context
    snapshotter: snapshot_creation.Snapshotter
    writer: asyncio.Task[None]


def make_store(environment: Environment) -> recovery.Store:
    """Returns clients of the fake services."""
    table = fakes.connect_table(environment.table)
    return recovery.Store(
        table, fakes.connect_objects(environment.objects), 100
    )


def make_context(environment: Environment) -> request_operations.Context:
    """Returns the dependencies of the operations that callers request."""

    def choose(
        req: requests.Request, avoid: frozenset[str]
    ) -> request_operations.FleetChoice | outcomes.Refused:
        if FLEET_PARTITION in avoid:
            reason = outcomes.RefusalReason.UNAVAILABLE
            return outcomes.Refused(reason, 'no other')
        return request_operations.FleetChoice(
            FLEET_PARTITION, environment.fleet_epoch
        )

    clock = clock_lib.make_manual_clock(environment.time)
    return request_operations.Context(
        clock, lambda: environment.may_act, choose, 4
    )


def acquire(environment: Environment) -> ledgers.Ledger:
    """Writes the owner row for a new epoch, which fences the earlier owner.

    Returns:
      An empty ledger; recovery fills it.
    """
    environment.table.last_version += 1
    version = environment.table.last_version
    environment.table.rows[OWNER_KEY] = tables.Row(OWNER_KEY, b'', version)
    fence = tables.Condition(OWNER_KEY, version)
    return ledgers.Ledger(
        PARTITION_NAME,
        version,
        journals.Journal(PARTITION_NAME, version, fence),
    )


def make_writer(
    environment: Environment, ledger: ledgers.Ledger, store: recovery.Store
) -> segment_writer.Context:
    """Returns the dependencies of the journal's writer."""
    return segment_writer.Context(
        table=store.table,
        rng=random.Random(1),
        clock=clock_lib.make_manual_clock(environment.time),
        min_write_interval_ms=0,
        timeout_ms=store.timeout_ms,
        max_segment_bytes=1 << 18,
        apply_record=functools.partial(ledgers.apply_record, ledger),
    )


def serve(
    environment: Environment,
    ledger: ledgers.Ledger,
    recovered: recovery.Recovered,
) -> PartitionOwner:
    """Starts the writer of a recovered partition."""
    store = make_store(environment)
    snapshotter = snapshot_creation.Snapshotter(
        ledger,
        store,
        random.Random(1),
        2,
        recovered.pointer,
        recovered.snapshot_bytes,
    )
    work = segment_writer.run_writer_loop(
        ledger.journal, make_writer(environment, ledger, store)
    )
    writer = asyncio.create_task(work)
    return PartitionOwner(
        ledger, make_context(environment), snapshotter, writer
    )


async def take_over(environment: Environment) -> PartitionOwner:
    """Acquires and recovers the partition, and starts its writer."""
    ledger = acquire(environment)
    recovered = await recovery.recover(ledger, make_store(environment))
    assert isinstance(recovered, recovery.Recovered), recovered
    return serve(environment, ledger, recovered)


async def stop(owner: PartitionOwner) -> None:
    """Ends an owner's writer at once."""
    owner.writer.cancel()
    await asyncio.gather(owner.writer, return_exceptions=True)


def get_pointer(environment: Environment) -> pointers.Pointer:
    """Returns the partition's pointer row, decoded."""
    row = environment.table.rows.get(pointers.get_key(PARTITION_NAME))
    pointer = pointers.decode(PARTITION_NAME, row)
    assert isinstance(pointer, pointers.Pointer)
    return pointer
