"""Stops runs: sends stop commands to workers until they are answered."""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import refusals
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

# Between attempts to stop a run whose worker does not answer.
RETRY_INTERVAL_MS = 300


def stop_run(
    ownership: ownerships.Ownership,
    name: jobs.TaskName,
    task: jobs.Task,
    why: str,
) -> None:
    """Stops a run; its resources stay reserved until it has ended."""
    if task.phase is jobs.TaskPhase.STOPPING:
        return
    instruments.increment(ownership.metrics.stops, why)
    info = ownership.cluster.workers_by_id.get(task.worker)
    logger.info(
        'run_stopping',
        extra={
            'task': jobs.format_task(name),
            'run': task.run,
            'worker': task.worker,
            'why': why,
        },
    )
    if task.phase is not jobs.TaskPhase.DONE:
        task.phase = jobs.TaskPhase.STOPPING
    # Set in the future, as a start without an answer may still take effect: a
    # run that its worker does not list counts as lost only after this time, or
    # once the stop is answered.
    task.confirmed_ms = (
        ownership.clock.now_ms() + ownership.limits.lost_command_ms
    )
    if info is not None:
        queue_stop(ownership, info, name, task.run)


def stop_unknown_run(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Stops a run that a worker lists and the owner does not know."""
    job = ownership.cluster.jobs.get(name.job)
    logger.warning(
        'run_unwanted',
        extra={
            'task': jobs.format_task(name),
            'run': run,
            'worker': info.worker.id,
            'customer': '' if job is None else job.spec.customer,
            'state': 'unknown' if job is None else job.state.value,
        },
    )
    queue_stop(ownership, info, name, run)


def queue_stop(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Queues a stop command for a worker."""
    commands = ownership.command_queues.get(info.worker.id)
    if commands is not None:
        commands.queue.put_nowait(
            lambda: _send_stop(ownership, info, name, run)
        )


async def _send_stop(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Sends a stop command until the worker answers it or has restarted."""
    life = info.worker.life
    attempt = 0
    while info.worker.life == life and ownerships.may_act(ownership):
        result = await ownership.runners.stop(
            info.worker,
            name,
            run,
            ownership.cluster.epoch,
            ownerships.compute_call_timeout(ownership, attempt),
        )
        attempt += 1
        match result:
            case runners.Taken():
                _mark_stop_confirmed(ownership, info, name, run)
                return
            case runners.Refused(reason):
                refusals.handle_refusal(ownership, info, reason)
                if reason in (
                    runners.Refusal.STALE_RUN,
                    runners.Refusal.FENCED,
                ):
                    _mark_stop_confirmed(ownership, info, name, run)
                    return
            case runners.Unanswered() | runners.Unreached():
                pass
        if ownership.cluster.workers_by_id.get(info.worker.id) is not info:
            return
        await clock.sleep(RETRY_INTERVAL_MS)


def _mark_stop_confirmed(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Records that the run is ending and can't start any more."""
    task = info.runs.get(name)
    if task is not None and task.run == run:
        task.confirmed_ms = ownership.clock.now_ms()
