"""Keeps the ceilings of customers' usage in the table up to date.

See models/usage_ceilings.py for what they are for.
"""

from collections.abc import Mapping
import logging

from nutmegknot._internal.decisions import usage_bounds
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import usage_ceilings
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Interval between two comparisons of the ceilings with the usage, unless tasks
# wait for higher ones.
CHECK_INTERVAL_MS = 100
# Interval between two computations of what tasks of earlier owners may use.
UNLOCATED_INTERVAL_MS = 250
# Shortest interval between two writes that only lower ceilings.
LOWERING_INTERVAL_MS = 1_000


def apply_completed_write(ownership: ownerships.Ownership) -> None:
    """Lets usage grow to the ceilings that are in the table now."""
    ceilings = ownership.cluster.ceilings
    if ceilings.pending is not None and writers.is_durable(
        ownership.writer, ceilings.pending_write, rows.CEILINGS_KEY
    ):
        ceilings.stored = ceilings.pending
        ceilings.pending = None
        signals.notify(ownership.scheduling_needed)


def check_found_runs(ownership: ownerships.Ownership) -> None:
    """Checks whether unknown runs of earlier owners can be left.

    Such a run is on a worker that has not answered this owner, or it is an
    unexpected one, which is being stopped. A run that goes on for longer than a
    lease after it was to be stopped was not started by an owner.
    """
    cluster = ownership.cluster
    if cluster.ceilings.inherited is None:
        return
    now_ms = ownership.clock.now_ms()
    if not cluster.is_takeover_complete:
        _update_unlocated(cluster, now_ms)
        return
    settled_ms = cluster.takeover_complete_ms or 0
    unexpected = [
        info.worker.id
        for info in cluster.workers_by_id.values()
        if info.unexpected_runs
    ]
    if unexpected and now_ms < settled_ms + ownership.limits.worker_lease_ms:
        return
    logger.info(
        'usage_known',
        extra={
            'epoch': cluster.epoch,
            'after_ms': now_ms - cluster.owned_since_ms,
            'unexpected': ' '.join(unexpected),
            **_describe_unfound(cluster),
        },
    )
    usage_ceilings.record_all_found(cluster.ceilings)
    for job in cluster.jobs.values():
        if job.inherited_stopping != resources.ZERO:
            job.inherited_stopping = resources.ZERO
            ownerships.queue_progress_write(ownership, job)


def _update_unlocated(cluster: cluster_state.ClusterState, now_ms: int) -> None:
    """Computes anew what tasks of earlier owners may use, if that is due."""
    ceilings = cluster.ceilings
    if ceilings.unlocated is not None and (
        now_ms - ceilings.located_ms < UNLOCATED_INTERVAL_MS
    ):
        return
    ceilings.located_ms = now_ms
    ceilings.unlocated = usage_bounds.compute_unlocated(cluster)


def _describe_unfound(cluster: cluster_state.ClusterState) -> dict[str, str]:
    """Returns what was taken for used by unknown runs, for the log."""
    parts = []
    for name, customer in sorted(cluster.settings.customers.items()):
        unfound = usage_bounds.compute_unfound(
            cluster.ceilings, name, customer.limit
        )
        parts.append(f'{name}={resources.format_amount(unfound)}')
    return {'unfound': ' '.join(parts)}


def update_ceilings(
    ownership: ownerships.Ownership, needed: Mapping[str, resources.Resources]
) -> None:
    """Queues a write of ceilings that suit the present usage, if it is due.

    Args:
      ownership: The ownership of the jobs.
      needed: Usage with tasks that could start if the ceilings allowed it, by
        customer.
    """
    cluster, now_ms = ownership.cluster, ownership.clock.now_ms()
    ceilings = cluster.ceilings
    is_due = needed or now_ms - ceilings.checked_ms >= CHECK_INTERVAL_MS
    if ceilings.pending is not None or not is_due:
        return
    ceilings.checked_ms = now_ms
    inherited = ceilings.inherited
    chosen = usage_bounds.choose_ceilings(
        {
            name: customer
            for name, customer in cluster.settings.customers.items()
            if inherited is None or name in inherited
        },
        usage_bounds.compute_bounds(cluster),
        needed,
        ceilings.stored,
    )
    if chosen == ceilings.stored or (
        now_ms - ceilings.queued_ms < LOWERING_INTERVAL_MS
        and not _has_raised(ceilings.stored, chosen)
    ):
        return
    ceilings.queued_ms = now_ms
    ceilings.pending = chosen
    ceilings.pending_write = writers.queue_write(
        ownership.writer,
        rows.CEILINGS_KEY,
        lambda: rows.encode_ceilings(chosen),
        is_hurried=bool(needed),
    )


def _has_raised(
    before: usage_ceilings.Ceilings, after: usage_ceilings.Ceilings
) -> bool:
    """Tells whether a ceiling is higher than before, or new."""
    return any(
        name not in before or not resources.fits(ceiling, before[name])
        for name, ceiling in after.items()
    )
