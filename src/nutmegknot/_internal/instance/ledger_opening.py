"""Opening a ledger partition that this instance has just acquired."""

import asyncio
import functools
import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.instance import assigning
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import replicas
from nutmegknot._internal.ledger import forgetting
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.ledger import writing
from nutmegknot._internal.membership import owning
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

BYTES_PER_KIB = 1024
# Full segments that may wait before requests are refused as too many.
MAX_WAITING_SEGMENTS = 16
# Released, a damaged partition is acquired again at once; the pause bounds the
# calls to the store.
DAMAGED_PAUSE_MS = 1_000


async def open_ledger(
    inst: instances.Instance, name: str, fence: tables.Condition
) -> None:
    """Recovers a ledger partition and starts its tasks, or releases it."""
    ledger = _make_ledger(inst, name, fence)
    store = make_store(inst)
    epochs = await _read_epochs(store)
    recovered: recovery.Recovering
    if isinstance(epochs, tables.Unavailable):
        recovered = epochs
    else:
        ledger.fleet_epochs = epochs
        recovered = await recovery.recover(ledger, store)
    match recovered:
        case recovery.Recovered():
            _serve(inst, ledger, store, recovered)
        case segments.Damaged(sequence, reason):
            logger.error(
                'ledger_damaged',
                extra={'partition': name, 'sequence': sequence, 'why': reason},
            )
            await asyncio.sleep(clock_lib.to_seconds(DAMAGED_PAUSE_MS))
            await owning.release(inst.membership, name)
        case tables.Unavailable():
            await owning.release(inst.membership, name)


def make_store(inst: instances.Instance) -> recovery.Store:
    """Returns the platform's services that keep journals."""
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
        name, epoch, fence, MAX_WAITING_SEGMENTS * segment_bytes
    )
    return ledgers.Ledger(name, epoch, journal)


async def _read_epochs(
    store: recovery.Store,
) -> dict[str, int] | tables.Unavailable:
    """Reads the epoch of each partition from the owner rows.

    An earlier owner of the ledger partition may have sent assignments to any
    owner named there, so nothing of an earlier epoch may be believed.
    """
    scanned = await store.table.scan(rows.OWNER_PREFIX, store.timeout_ms)
    if isinstance(scanned, tables.Unavailable):
        return scanned
    found = [table_pb2.OwnerRow.FromString(row.value) for row in scanned]
    return {owner.partition: owner.epoch for owner in found}


def _serve(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    store: recovery.Store,
    recovered: recovery.Recovered,
) -> None:
    """Starts the tasks of a recovered ledger partition."""
    name = ledger.name
    part = tasks.Tasks(broken=inst.tasks.broken)
    inst.ledgers[name] = ledger
    inst.part_tasks[name] = part
    signals.notify(inst.membership.view.routes)
    writer = _make_writer(inst, ledger, store)
    snapshotter = _make_snapshotter(inst, ledger, store, recovered)
    retention_ms = inst.settings.ledger.retention_ms
    work = {
        'write': writing.keep_writing(ledger.journal, writer),
        'snapshot': snapshotting.keep_snapshotting(snapshotter),
        'forget': forgetting.keep_forgetting(ledger, inst.clock, retention_ms),
        'keep': replicas.keep_services(inst, ledger),
    }
    for fleet in owning.list_partitions(inst.settings):
        if fleet.startswith('fleet-'):
            work[f'assign {fleet}'] = assigning.keep_assigning(
                inst, ledger, fleet
            )
    for task_name, coroutine in work.items():
        tasks.spawn(part, coroutine, f'{name} {task_name}')
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
) -> writing.Context:
    settings = inst.settings.ledger
    return writing.Context(
        table=store.table,
        rng=inst.rng,
        clock=inst.clock,
        commit_ms=settings.commit_ms,
        timeout_ms=store.timeout_ms,
        segment_bytes=settings.segment_kib * BYTES_PER_KIB,
        apply=functools.partial(ledgers.apply_record, ledger),
    )


def _make_snapshotter(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    store: recovery.Store,
    recovered: recovery.Recovered,
) -> snapshotting.Snapshotter:
    return snapshotting.Snapshotter(
        ledger,
        store,
        inst.rng,
        inst.settings.ledger.snapshot_segments,
        recovered.pointer,
        recovered.snapshot_bytes,
    )
