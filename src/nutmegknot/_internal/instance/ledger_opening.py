"""Opens a ledger partition that this instance has just acquired."""

import asyncio
import functools
import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.instance import assignment_sender
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import replicas
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import retention
from nutmegknot._internal.ledger import segment_writer
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

BYTES_PER_KIB = 1024
# Unwritten full segments beyond which new requests are refused.
MAX_UNWRITTEN_SEGMENTS = 16
# A released partition is acquired again at once. The delay limits the calls to
# the store that a damaged partition causes.
DAMAGED_RELEASE_DELAY_MS = 1_000


async def open_ledger(
    inst: instances.Instance, name: str, fence: tables.Condition
) -> None:
    """Recovers a ledger partition and starts its tasks.

    The partition is released if it is damaged or the store does not answer.
    """
    ledger = _make_ledger(inst, name, fence)
    store = make_store(inst)
    epochs = await _read_owner_epochs(store)
    recovered: recovery.RecoveryResult
    if isinstance(epochs, tables.Unavailable):
        recovered = epochs
    else:
        ledger.fleet_epochs = epochs
        recovered = await recovery.recover(ledger, store)
    match recovered:
        case recovery.Recovered():
            _start_serving(inst, ledger, store, recovered)
        case segments.Damaged(sequence, reason):
            logger.error(
                'ledger_damaged',
                extra={'partition': name, 'sequence': sequence, 'why': reason},
            )
            await asyncio.sleep(clock.to_seconds(DAMAGED_RELEASE_DELAY_MS))
            await partition_ownership.release(inst.membership, name)
        case tables.Unavailable():
            await partition_ownership.release(inst.membership, name)


def make_store(inst: instances.Instance) -> recovery.Store:
    """Returns the table and object store in which journals are kept."""
    return recovery.Store(
        inst.platform.table,
        inst.platform.objects,
        inst.settings.platform.timeout_ms,
    )


def _make_ledger(
    inst: instances.Instance, name: str, fence: tables.Condition
) -> ledgers.Ledger:
    epoch = views.get_epoch(inst.membership.view, name)
    segment_bytes = inst.settings.ledger.segment_kib * BYTES_PER_KIB
    journal = journals.Journal(
        name, epoch, fence, MAX_UNWRITTEN_SEGMENTS * segment_bytes
    )
    return ledgers.Ledger(name, epoch, journal)


async def _read_owner_epochs(
    store: recovery.Store,
) -> dict[str, int] | tables.Unavailable:
    """Reads the epoch of each partition from the owner rows.

    An earlier owner of the ledger partition may have sent assignments to any
    owner named there. Reports and requests for starts that come
    from an earlier epoch must therefore be rejected.
    """
    scanned = await store.table.scan(rows.OWNER_PREFIX, store.timeout_ms)
    if isinstance(scanned, tables.Unavailable):
        return scanned
    owners = [table_pb2.OwnerRow.FromString(row.value) for row in scanned]
    return {owner.partition: owner.epoch for owner in owners}


def _start_serving(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    store: recovery.Store,
    recovered: recovery.Recovered,
) -> None:
    """Starts the tasks of a recovered ledger partition."""
    name = ledger.name
    partition_tasks = tasks.TaskSet(first_error=inst.tasks.first_error)
    inst.ledgers[name] = ledger
    inst.partition_tasks[name] = partition_tasks
    signals.notify(inst.membership.view.routes_changed)
    writer = _make_writer(inst, ledger, store)
    snapshotter = _make_snapshotter(inst, ledger, store, recovered)
    retention_ms = inst.settings.ledger.retention_ms
    coroutines = {
        'write': segment_writer.run_writer_loop(ledger.journal, writer),
        'snapshot': snapshot_creation.run_snapshot_loop(snapshotter),
        'forget': retention.run_retention_loop(
            ledger, inst.clock, retention_ms
        ),
        'keep': replicas.run_replica_loop(inst, ledger),
    }
    for fleet in partition_ownership.list_partitions(inst.settings):
        if fleet.startswith('fleet-'):
            coroutines[f'assign {fleet}'] = (
                assignment_sender.run_assignment_loop(inst, ledger, fleet)
            )
    for task_name, coroutine in coroutines.items():
        tasks.spawn(partition_tasks, coroutine, f'{name} {task_name}')
    logger.info(
        'ledger_opened',
        extra={
            'partition': name,
            'epoch': ledger.epoch,
            'entries': len(ledger.entries),
        },
    )


def _make_writer(
    inst: instances.Instance, ledger: ledgers.Ledger, store: recovery.Store
) -> segment_writer.Context:
    settings = inst.settings.ledger
    return segment_writer.Context(
        table=store.table,
        rng=inst.rng,
        clock=inst.clock,
        min_write_interval_ms=settings.commit_ms,
        timeout_ms=store.timeout_ms,
        max_segment_bytes=settings.segment_kib * BYTES_PER_KIB,
        apply_record=functools.partial(ledgers.apply_record, ledger),
    )


def _make_snapshotter(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    store: recovery.Store,
    recovered: recovery.Recovered,
) -> snapshot_creation.Snapshotter:
    return snapshot_creation.Snapshotter(
        ledger,
        store,
        inst.rng,
        inst.settings.ledger.snapshot_segments,
        recovered.pointer,
        recovered.snapshot_bytes,
    )
