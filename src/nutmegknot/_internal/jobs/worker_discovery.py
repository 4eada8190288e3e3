"""Discovery of workers: reads the platform's list, opens sessions with them."""

import dataclasses
import logging

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import sessions
from nutmegknot._internal.jobs import worker_crashes
from nutmegknot._internal.jobs import worker_lives
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

LIST_TIMEOUT_MS = 800
LIST_RETRY_DELAY_MS = 200


@dataclasses.dataclass(slots=True)
class ListAvailability:
    """Whether the platform's list of workers can be read.

    Attributes:
      last_failure_ms: When a reading failed last, by this instance's clock;
        None if none did.
      is_failing: Whether the last reading failed.
    """

    last_failure_ms: int | None = None
    is_failing: bool = False


async def poll_worker_list(
    ownership: ownerships.Ownership,
    source: listings.Listings,
    availability: ListAvailability,
) -> None:
    """Reads the list of workers at a fixed interval, or when it is needed.

    Between the readings it checks whether all runs of earlier owners are known.
    """
    while True:
        requests = ownership.list_needed.count
        result = await source.list_workers(LIST_TIMEOUT_MS)
        claims = ownership.worker_claimed.count
        now_ms = ownership.clock.now_ms()
        if isinstance(result, tables.Unavailable):
            record_failure(availability, now_ms, result.detail)
            await clock.sleep(LIST_RETRY_DELAY_MS)
            continue
        if availability.is_failing:
            availability.is_failing = False
            logger.info('list_regained', extra={'workers': len(result.workers)})
        apply_worker_list(
            ownership, result, _is_complete(ownership, availability, now_ms)
        )
        due_ms = now_ms + ownership.limits.list_interval_ms
        while now_ms < due_ms and ownership.list_needed.count == requests:
            _update_settled_time(ownership, now_ms)
            claims = await signals.wait_with_timeout(
                ownership.worker_claimed,
                claims,
                _choose_settled_check(ownership, due_ms) - now_ms,
            )
            now_ms = ownership.clock.now_ms()


def record_failure(
    availability: ListAvailability, now_ms: int, detail: str
) -> None:
    """Records that the list could not be read."""
    if not availability.is_failing:
        logger.warning('list_lost', extra={'why': detail})
    availability.is_failing = True
    availability.last_failure_ms = now_ms


def _is_complete(
    ownership: ownerships.Ownership, availability: ListAvailability, now_ms: int
) -> bool:
    """Tells whether the list is complete again after a store outage.

    Workers that fell out of the list during the outage come back after it, so
    until then a worker that is not listed does not count as removed.
    """
    if availability.last_failure_ms is None:
        return True
    return (
        now_ms - availability.last_failure_ms
        >= ownership.limits.relisting_delay_ms
    )


def apply_worker_list(
    ownership: ownerships.Ownership,
    listed: listings.WorkerList,
    is_complete: bool,
) -> None:
    """Opens sessions with new workers and updates the known ones."""
    infos = ownership.cluster.workers_by_id
    for id, worker in listed.workers.items():
        info = infos.get(id)
        if info is None:
            logger.info(
                'worker_listed',
                extra={
                    'worker': id,
                    'pool': worker.pool,
                    'domain': worker.domain,
                    'life': worker.life,
                },
            )
            worker_crashes.record_replacements(ownership, worker)
            sessions.open_session(ownership, worker)
            continue
        info.is_listed = True
        if worker == info.worker and info.is_described:
            continue
        if worker.life > info.worker.life:
            worker_lives.reset_for_new_life(ownership, info, worker, 'listed')
        elif worker.life == info.worker.life:
            _log_state_change(info.worker, worker)
            info.worker = worker
            info.is_described = True
        signals.notify(ownership.scheduling_needed)
    for id, info in list(infos.items()):
        if id not in listed.workers and is_complete and info.is_listed:
            info.is_listed = False
            logger.info(
                'worker_unlisted',
                extra={'worker': id, 'runs': len(info.runs)},
            )


def _log_state_change(before: workers.Worker, now: workers.Worker) -> None:
    """Logs the state that the platform lists for a worker if it has changed."""
    if now.state is not before.state:
        logger.info(
            'worker_state',
            extra={'worker': now.id, 'state': now.state.value},
        )


def _choose_settled_check(ownership: ownerships.Ownership, due_ms: int) -> int:
    """Returns when to check next whether the runs of earlier owners are known.

    Args:
      ownership: The ownership of the jobs.
      due_ms: When the list of workers is read again.
    """
    cluster = ownership.cluster
    if cluster.is_takeover_complete or cluster.takeover_complete_ms is None:
        return due_ms
    return min(due_ms, cluster.takeover_complete_ms)


def _may_hold_lease(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    now_ms: int,
) -> bool:
    """Tells whether a worker may hold a lease that this owner has given."""
    return info.is_claimed and (
        info.unanswered_since_ms is None
        or now_ms < leases.compute_expiry(info, ownership)
    )


def _compute_last_expiry(
    ownership: ownerships.Ownership, ids: list[str], now_ms: int
) -> int:
    """Returns when no run of an earlier owner can be left on some workers."""
    infos = ownership.cluster.workers_by_id
    return max(
        (
            leases.compute_earlier_runs_expiry(infos[id], ownership)
            for id in ids
        ),
        default=now_ms,
    )


def _update_settled_time(ownership: ownerships.Ownership, now_ms: int) -> None:
    """Updates the time from which no unknown run of an earlier owner is left.

    That time is now if all workers have answered this owner, with all ends of
    runs that they had, or are gone. Otherwise it is the end of the last lease
    that an earlier owner can have given to a worker. A worker that has answered
    with a part of its ends has its lease renewed by this owner, so that there
    is no such time before it has listed the others or that lease has ended.
    """
    cluster = ownership.cluster
    if cluster.is_takeover_complete:
        return
    unanswered = [
        id
        for id, info in cluster.workers_by_id.items()
        if not info.is_replaced
        and (info.has_unread_ends or not info.is_claimed)
    ]
    partly_answered = [
        id
        for id in unanswered
        if _may_hold_lease(ownership, cluster.workers_by_id[id], now_ms)
    ]
    expiry_ms = _compute_last_expiry(ownership, unanswered, now_ms)
    if partly_answered or (unanswered and now_ms < expiry_ms):
        if not cluster.has_unsettled_runs:
            cluster.has_unsettled_runs = True
            logger.info(
                'runs_unsettled',
                extra={
                    'epoch': cluster.epoch,
                    'workers': len(cluster.workers_by_id),
                    'unanswered': len(unanswered),
                    'partly_answered': ' '.join(partly_answered),
                    'for_ms': expiry_ms - now_ms,
                },
            )
        cluster.takeover_complete_ms = None if partly_answered else expiry_ms
        return
    cluster.is_takeover_complete = True
    cluster.takeover_complete_ms = now_ms
    logger.info(
        'runs_settled',
        extra={
            'epoch': cluster.epoch,
            'why': 'lease_lapsed' if unanswered else 'all_answered',
            'after_ms': now_ms - cluster.owned_since_ms,
            'workers': len(cluster.workers_by_id),
            'unanswered': ' '.join(unanswered),
        },
    )
    signals.notify(ownership.scheduling_needed)
