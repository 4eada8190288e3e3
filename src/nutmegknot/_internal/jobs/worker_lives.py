"""Lives of workers: what changes when one has restarted or was replaced."""

import dataclasses
import logging

from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.jobs import worker_crashes
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Largest number of runs of a restarted worker that are logged with it.
MAX_LOGGED_RUNS = 8


def reset_for_new_life(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    worker: workers.Worker,
    why: str,
    life: int = 0,
) -> None:
    """Resets what is known of a worker that has restarted.

    Args:
      ownership: The ownership of the jobs.
      info: The worker as it was known.
      worker: The worker as it is listed now.
      why: Cause for the log.
      life: Number of the worker's new life, which rises with each restart; 0
        to take that of `worker`.
    """
    logger.warning(
        'worker_began_anew',
        extra={
            'worker': worker.id,
            'life': life or worker.life,
            'before': info.worker.life,
            'why': why,
        },
    )
    _log_restart(ownership, info, why)
    worker_crashes.record_restart(ownership, info, why, life or worker.life)
    info.is_described = not life
    if life:
        worker = dataclasses.replace(worker, life=life)
        signals.notify(ownership.list_needed)
    leases.begin_life(info, ownership)
    info.worker = worker
    info.alive_clock_ms = 0
    info.is_life_recorded = False
    info.persisted_end = info.processed_end = 0
    info.unpersisted_ends.clear()
    info.is_claimed = False
    info.has_unread_ends = True
    info.pace_percent = 100
    worker_speeds.forget_worker(info)
    # Other runs are kept until the first inventory of the new life: a start
    # command that arrived after the restart may have started one of them.
    for name, task in info.runs.items():
        task.started_clock_ms = 0
        task.progress = None
        if task.phase is jobs.TaskPhase.STOPPING:
            stops.queue_stop(ownership, info, name, task.run)


def _log_restart(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo, why: str
) -> None:
    """Logs the runs that were on a worker that has restarted.

    The run that started last comes first.
    """
    if not info.runs:
        return
    now_ms = ownership.clock.now_ms()
    newest = sorted(
        info.runs.items(),
        key=lambda item: item[1].start_decided_ms,
        reverse=True,
    )
    logger.warning(
        'worker_restarted',
        extra={
            'worker': info.worker.id,
            'state': info.worker.state.value,
            'why': why,
            'silent_ms': now_ms - (info.unanswered_since_ms or now_ms),
            'runs': len(newest),
            'newest': ' '.join(
                f'{jobs.format_task(name)}#{task.run}'
                f'@{now_ms - task.start_decided_ms}'
                for name, task in newest[:MAX_LOGGED_RUNS]
            ),
        },
    )


def mark_replaced(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Marks a worker as replaced: another one answers at its address."""
    is_known = info.is_replaced
    info.is_claimed = False
    info.is_replaced = True
    signals.notify(ownership.worker_claimed)
    if info.unanswered_since_ms is None:
        info.unanswered_since_ms = ownership.clock.now_ms()
    _log_restart(ownership, info, 'address_taken')
    if not is_known:
        worker_crashes.record_restart(ownership, info, 'address_taken')
    for name in list(info.runs):
        reconciliation.mark_run_lost(ownership, name, 'address_taken')
