"""Stops runs: sends stop commands to workers until the runs are gone.

A command may be dropped or lost, so that its sending proves nothing. Each list
of a worker's runs is compared with the runs that are to be stopped, and the
command is sent again for those that the worker still lists.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import command_queues
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import refusals
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Between attempts to stop a run whose worker does not answer.
RETRY_INTERVAL_MS = 300
# How long a worker may list a run after it has answered the stop command. Then
# the command is sent again.
ENDING_MS = 1_000
# Largest number of stop commands that are on their way to one worker.
MAX_STOP_SENDERS = 8


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
    """Queues a stop command for a worker, unless it is queued already."""
    commands = ownership.commands_by_worker.get(info.worker.id)
    key = command_queues.StopKey(name, run, info.worker.life)
    if commands is None or key in commands.open_stops:
        return
    commands.open_stops.add(key)
    commands.stops.append(key)
    if commands.stop_senders < MAX_STOP_SENDERS:
        commands.stop_senders += 1
        tasks.spawn(
            ownership.tasks,
            _send_stops(ownership, info, commands),
            f'stop {info.worker.id}',
        )


def repeat_stop(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Queues the stop of a run again that its worker still lists.

    A run that the worker is ending is left alone for ENDING_MS.
    """
    commands = ownership.commands_by_worker.get(info.worker.id)
    key = command_queues.StopKey(name, run, info.worker.life)
    if commands is None or key in commands.open_stops:
        return
    answered_ms = commands.answered_stops.get(key)
    now_ms = ownership.clock.now_ms()
    if answered_ms is not None and now_ms < answered_ms + ENDING_MS:
        return
    logger.warning(
        'stop_repeated',
        extra={
            'task': jobs.format_task(name),
            'run': run,
            'worker': info.worker.id,
            'answered': answered_ms is not None,
        },
    )
    queue_stop(ownership, info, name, run)


def forget_answered_stops(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    listed: set[jobs.TaskName],
) -> None:
    """Forgets the answers to stop commands for runs that are gone.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      listed: Tasks of the runs that it lists.
    """
    commands = ownership.commands_by_worker.get(info.worker.id)
    if commands is None or not commands.answered_stops:
        return
    commands.answered_stops = {
        key: answered_ms
        for key, answered_ms in commands.answered_stops.items()
        if key.name in listed
    }


async def _send_stops(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    commands: command_queues.CommandQueue,
) -> None:
    """Sends the stop commands that wait for a worker."""
    try:
        while commands.stops:
            key = commands.stops.popleft()
            try:
                await _send_stop(ownership, info, commands, key)
            except Exception as error:
                logger.exception(
                    'stop_failed',
                    extra={
                        'task': jobs.format_task(key.name),
                        'run': key.run,
                        'worker': info.worker.id,
                        'why': repr(error),
                    },
                )
    finally:
        commands.stop_senders -= 1


async def _send_stop(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    commands: command_queues.CommandQueue,
    key: command_queues.StopKey,
) -> None:
    """Sends a stop command until the worker answers it or has restarted.

    While this instance may not act as the owner, the command waits.
    """
    attempt = 0
    try:
        while info.worker.life == key.life and ownerships.has_session(
            ownership, info
        ):
            if ownerships.may_act(ownership):
                result = await ownership.runners.stop(
                    info.worker,
                    key.name,
                    key.run,
                    ownership.cluster.epoch,
                    ownerships.compute_call_timeout(ownership, attempt),
                )
                attempt += 1
                if _is_stop_answered(ownership, info, result):
                    _mark_stop_confirmed(ownership, info, commands, key)
                    return
            await clock.sleep(RETRY_INTERVAL_MS)
    finally:
        commands.open_stops.discard(key)


def _is_stop_answered(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    result: runners.CommandResult,
) -> bool:
    """Tells whether a run is ending or gone, and can't start any more."""
    match result:
        case runners.Taken():
            return True
        case runners.Refused(reason):
            refusals.handle_refusal(ownership, info, reason)
            return reason in (
                runners.Refusal.STALE_RUN,
                runners.Refusal.FENCED,
            )
        case _:
            return False


def _mark_stop_confirmed(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    commands: command_queues.CommandQueue,
    key: command_queues.StopKey,
) -> None:
    """Records that the run is ending and can't start any more."""
    now_ms = ownership.clock.now_ms()
    commands.answered_stops[key] = now_ms
    task = info.runs.get(key.name)
    if task is not None and task.run == key.run:
        task.confirmed_ms = now_ms
