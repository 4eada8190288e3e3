"""Throttles opportunistic tasks where they slow down latency-sensitive tasks.

An opportunistic task uses processor time that other tasks leave idle. Its pace
is the percentage of its work that it may do. A latency-sensitive task serves
users and has a target for the tail latency of its responses.

Load pattern: opportunistic and latency-sensitive tasks share a worker, and the
tail latency of the latter rises for seconds at a time.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import command_queues
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

logger = logging.getLogger(__name__)

# Tail latency, as a part of its target, below which the pace rises again.
RESUME_BELOW_RATIO = 0.7
# The pace drops to the next lower one of these while a target is exceeded.
PACE_STEPS_DOWN_PERCENT = (50, 20, 0)
# Added to the pace with each inventory of the worker while the latency is low.
PACE_STEP_UP_PERCENT = 20
FULL_PACE_PERCENT = 100


def adjust_pace(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    inventory: runners.Inventory,
) -> None:
    """Sets the pace of opportunistic tasks on a worker.

    It drops after the tail latency of a task there has been over its target for
    some time, and rises again when all are well below their targets.
    """
    if not info.opportunistic_runs:
        return
    tail_ratio = (
        _compute_max_tail_ratio(ownership.cluster, inventory)
        if info.latency_sensitive_runs
        else 0.0
    )
    now_ms = ownership.clock.now_ms()
    previous_pace = info.pace_percent
    if tail_ratio > 1.0:
        if info.over_target_since_ms is None:
            info.over_target_since_ms = now_ms
        if (
            now_ms - info.over_target_since_ms
            >= ownership.limits.throttle_delay_ms
        ):
            info.pace_percent = next(
                (p for p in PACE_STEPS_DOWN_PERCENT if p < info.pace_percent), 0
            )
    else:
        info.over_target_since_ms = None
        if tail_ratio < RESUME_BELOW_RATIO:
            info.pace_percent = min(
                FULL_PACE_PERCENT, info.pace_percent + PACE_STEP_UP_PERCENT
            )
    if info.pace_percent != previous_pace:
        logger.info(
            'worker_paced',
            extra={
                'worker': info.worker.id,
                'percent': info.pace_percent,
                'before': previous_pace,
                'pressure': round(tail_ratio, 2),
            },
        )
    _update_run_paces(ownership, info)


def _compute_max_tail_ratio(
    cluster: cluster_state.ClusterState, inventory: runners.Inventory
) -> float:
    """Returns the largest ratio of a task's tail latency to its target."""
    largest = 0.0
    for row in inventory.runs:
        stage = cluster_state.find_stage(cluster, row.name)
        if stage is not None and stage.step.tail_latency_target_ms:
            largest = max(largest, row.load / stage.step.tail_latency_target_ms)
    return largest


def _update_run_paces(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    for name, task in info.runs.items():
        stage = cluster_state.find_stage(ownership.cluster, name)
        is_running = task.phase is jobs.TaskPhase.RUNNING
        if stage is None or not stage.step.is_opportunistic or not is_running:
            continue
        if task.pace_percent == info.pace_percent:
            continue
        task.pace_percent = info.pace_percent
        _queue_throttle_command(ownership, info, name, task, info.pace_percent)


def _queue_throttle_command(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    task: jobs.Task,
    percent: int,
) -> None:
    run = task.run

    async def send() -> None:
        if not ownerships.may_act(ownership):
            _forget_pace(task, run)
            return
        result = await ownership.runners.throttle(
            info.worker,
            name,
            run,
            percent,
            ownership.cluster.epoch,
            ownership.limits.max_call_timeout_ms,
        )
        if not isinstance(result, runners.Taken):
            # Not repeated here, but after the next inventory: workers do not
            # list the pace in force.
            _forget_pace(task, run)
            logger.info(
                'pace_not_taken',
                extra={
                    'task': jobs.format_task(name),
                    'worker': info.worker.id,
                    'result': type(result).__name__,
                },
            )

    commands = ownership.commands_by_worker.get(info.worker.id)
    if commands is not None:
        command_queues.add_command(commands, send)


def _forget_pace(task: jobs.Task, run: int) -> None:
    """Records that the pace of a run is not known, so that it is set again."""
    if task.run == run:
        task.pace_percent = None
