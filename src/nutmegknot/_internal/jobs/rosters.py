"""List of the workers on which runs may be, as the owner keeps it in the table.

The next owner reads it. It compares the lives there with those that it finds.
"""

import dataclasses

from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.utils import signals


def write_roster(ownership: ownerships.Ownership) -> int:
    """Queues a write of the workers that may have runs.

    Returns:
      The number of the write.
    """
    return writers.queue_write(
        ownership.writer,
        rows.ROSTER_KEY,
        lambda: _encode_roster(ownership),
    )


def _encode_roster(ownership: ownerships.Ownership) -> bytes:
    now_ms = ownership.clock.now_ms()
    return rows.encode_roster(
        dataclasses.replace(
            info.worker, life=leases.get_recorded_life(info, now_ms)
        )
        for info in ownership.cluster.workers_by_id.values()
    )


def record_life(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Queues a write of the present life of a worker once that is due."""
    is_due = ownership.clock.now_ms() >= info.lease.latest_end_ms
    if is_due and not info.is_life_recorded:
        info.is_life_recorded = True
        write_roster(ownership)


def mark_registered_workers(ownership: ownerships.Ownership) -> None:
    """Lets tasks start on workers that the store's roster names now."""
    signals.notify(ownership.write_completed)
    for info in ownership.cluster.workers_by_id.values():
        if not info.is_registered and writers.is_durable(
            ownership.writer, info.registration_write, rows.ROSTER_KEY
        ):
            info.is_registered = True
            signals.notify(ownership.scheduling_needed)
