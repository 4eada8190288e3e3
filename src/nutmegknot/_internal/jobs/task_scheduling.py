"""Opens the stages of jobs that can run, and starts and evicts their tasks.

A stage is one step of one occurrence of a job.
"""

import logging

from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.jobs import ceiling_updates
from nutmegknot._internal.jobs import overload
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import starts
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

MAX_PASS_INTERVAL_MS = 100
MIN_PASS_INTERVAL_MS = 8
# Multiple of a pass's duration that passes are apart at least, so that an owner
# on a slow processor has time left for calls.
PASS_DURATION_FACTOR = 2
# Interval between two searches for stuck runs.
STUCK_CHECK_INTERVAL_MS = 250
# Interval after which the reason why a stage waits is logged again.
HELD_LOG_INTERVAL_MS = 5_000


async def run_scheduling_loop(ownership: ownerships.Ownership) -> None:
    """Runs a scheduling pass whenever something has changed."""
    count = -1
    stuck_check_ms = 0
    while True:
        count = await signals.wait_with_timeout(
            ownership.scheduling_needed, count, MAX_PASS_INTERVAL_MS
        )
        began_ms = ownership.clock.now_ms()
        open_due_occurrences(ownership)
        _open_stages_in_outage(ownership)
        if ownerships.may_act(ownership):
            if began_ms >= stuck_check_ms:
                stuck_check_ms = began_ms + STUCK_CHECK_INTERVAL_MS
                _stop_stuck_runs(ownership)
            overload.update_backlog(ownership)
            _start_and_evict(ownership)
        pass_ms = ownership.clock.now_ms() - began_ms
        await clock.sleep(compute_pass_interval(pass_ms))


def compute_pass_interval(pass_ms: int) -> int:
    """Returns the pause in ms after a scheduling pass that took pass_ms."""
    return min(
        MAX_PASS_INTERVAL_MS,
        max(MIN_PASS_INTERVAL_MS, PASS_DURATION_FACTOR * pass_ms),
    )


def _stop_stuck_runs(ownership: ownerships.Ownership) -> None:
    """Stops runs that take far too long; their tasks start elsewhere."""
    cluster, now_ms = ownership.cluster, ownership.clock.now_ms()
    found = [
        (name, 'stuck') for name in outliers.find_stuck_runs(cluster, now_ms)
    ]
    found += [
        (name, 'slow') for name in outliers.find_slow_runs(cluster, now_ms)
    ]
    for name, why in found:
        stage = cluster_state.find_stage(cluster, name)
        if stage is None:
            continue
        task = stage.tasks[name.index]
        stage.stuck_runs += 1
        reconciliation.record_bad_run(
            ownership, cluster.workers_by_id[task.worker], name, stage
        )
        stops.stop_run(ownership, name, task, why)


def _start_and_evict(ownership: ownerships.Ownership) -> None:
    ceiling_updates.check_found_runs(ownership)
    plan = task_placement.plan_starts(
        ownership.cluster,
        ownership.clock.now_ms(),
        ownership.clock.wall_ms(),
        ownership.eligibility,
        int(ownership.lag.peak_ms),
        # Trials are written before they start.
        allows_trials=not _is_store_unavailable(ownership),
        idle_advisers=ownership.advice_queue.idle_advisers,
    )
    gang_runs: dict[int, int] = {}
    for placement in plan.placed:
        stage = placement.stage
        task = stage.tasks[placement.index]
        if stage.step.is_gang:
            if id(stage) not in gang_runs:
                gang_runs[id(stage)] = starts.choose_run_number(
                    ownership.cluster, stage.tasks
                )
            run = gang_runs[id(stage)]
        else:
            run = starts.choose_run_number(ownership.cluster, [task])
        starts.start_run(
            ownership,
            starts.StartDecision(
                placement.info,
                placement.job,
                stage,
                task,
                run,
                placement.ticket,
                placement.info.worker.life,
            ),
        )
    for key, stage in list(ownership.cluster.waiting_stages.items()):
        if not any(
            task.phase is jobs.TaskPhase.WAITING for task in stage.tasks
        ):
            del ownership.cluster.waiting_stages[key]
    ownership.cluster.full_pools = {
        cluster_state.get_queue(ownership.cluster, ranked.job.spec).pool
        for ranked, reason in plan.blocked
        if reason in task_placement.CAPACITY_REASONS
    }
    ceiling_updates.update_ceilings(ownership, plan.needed_usage)
    _log_waiting_stages(ownership, plan)
    for name in plan.evicted:
        evicted_stage = cluster_state.find_stage(ownership.cluster, name)
        if evicted_stage is not None:
            stops.stop_run(
                ownership, name, evicted_stage.tasks[name.index], 'evicted'
            )
    for ranked in plan.at_limit:
        advice_calls.withdraw_request(ownership, ranked.job, ranked.stage)
    for request in plan.advice_requests:
        advice_calls.queue_request(ownership, request)


def _log_waiting_stages(
    ownership: ownerships.Ownership, plan: plans.Plan
) -> None:
    """Logs why stages wait, when the reason changes and at intervals."""
    now_ms = ownership.clock.now_ms()
    for turn, reason in plan.blocked:
        stage = turn.stage
        if (
            reason == stage.logged_blocker
            and now_ms - stage.blocker_logged_ms < HELD_LOG_INTERVAL_MS
        ):
            continue
        stage.logged_blocker = reason
        stage.blocker_logged_ms = now_ms
        fitting, roomy = _count_fitting_workers(ownership, plan, turn)
        logger.info(
            'stage_held',
            extra={
                'stage': jobs.format_stage(turn.job.spec.id, stage),
                'by': reason,
                'waited_ms': now_ms - (stage.ready_ms or now_ms),
                'priority': turn.rank.priority,
                'band': turn.rank.urgency_band,
                'suited': len(stage.advice.tickets),
                'asking': stage.advice.is_asking,
                'requests': len(ownership.advice_queue.waiting),
                'fitting': fitting,
                'roomy': roomy,
            },
        )


def _count_fitting_workers(
    ownership: ownerships.Ownership,
    plan: plans.Plan,
    ranked: plans.RankedStage,
) -> tuple[int, int]:
    """Counts the workers on which a task of a stage fits.

    Returns:
      The number of workers on which it fits after what the plan starts, holds
      and reserves for other stages, and the number without that.
    """
    cluster, step = ownership.cluster, ranked.stage.step
    pool = cluster_state.get_queue(cluster, ranked.job.spec).pool
    infos = plans.find_eligible(plan, pool, step).infos
    needed = jobs.get_reserved(step)
    fitting = sum(
        plans.can_start_task(plan, step, info.worker.id, {}) for info in infos
    )
    roomy = sum(
        resources.fits(needed, cluster_state.get_free(info)) for info in infos
    )
    return fitting, roomy


def open_due_occurrences(ownership: ownerships.Ownership) -> None:
    """Opens the occurrences of timed jobs that have come due."""
    wall_ms = ownership.clock.wall_ms()
    for job_id in list(ownership.timed_jobs):
        job = ownership.cluster.jobs.get(job_id)
        if job is None or jobs.is_final(job):
            ownership.timed_jobs.discard(job_id)
            continue
        due_ms = stage_ranking.compute_due_ms(
            job.spec, find_next_occurrence(job)
        )
        is_written = job.is_durable and ownerships.is_written(ownership, job)
        if (
            is_written
            and wall_ms >= due_ms + ownership.limits.due_time_margin_ms
        ):
            open_ready_stages(ownership, job)


def _open_stages_in_outage(ownership: ownerships.Ownership) -> None:
    """Opens stages during an outage of the store.

    The ends of the tasks that they depend on can't be written then. But workers
    list ended runs until these are written, so a new owner learns of them too.
    """
    if not _is_store_unavailable(ownership):
        return
    for job_id in list(ownership.unsaved_jobs):
        job = ownership.cluster.jobs.get(job_id)
        if job is not None and job.is_durable:
            open_ready_stages(ownership, job)


def _is_store_unavailable(ownership: ownerships.Ownership) -> bool:
    return (
        writers.compute_store_failure_ms(ownership.writer)
        > writers.MAX_STORE_FAILURE_MS
    )


def find_next_occurrence(job: jobs.Job) -> int:
    """Returns the number of the first occurrence that has not been opened.

    A stage of which a worker has listed a task may exist before its occurrence
    is opened.
    """
    for occurrence in range(jobs.count_occurrences(job.spec)):
        for number, step in enumerate(job.spec.steps):
            stage = job.stages.get((occurrence, number))
            is_opened = stage is not None and (
                bool(step.depends_on)
                or stage.ready_ms is not None
                or stage.done_count == len(stage.tasks)
            )
            if not is_opened:
                return occurrence
    return jobs.count_occurrences(job.spec)


def open_ready_stages(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Opens the stages of a job that can run.

    A stage waits until the ends of the tasks that it depends on are in the
    store, except while the store does not take writes.
    """
    if jobs.is_final(job):
        return
    wall_ms = ownership.clock.wall_ms()
    for occurrence in range(jobs.count_occurrences(job.spec)):
        due_ms = stage_ranking.compute_due_ms(job.spec, occurrence)
        if (
            jobs.has_schedule(job.spec)
            and wall_ms < due_ms + ownership.limits.due_time_margin_ms
        ):
            break
        for number, step in enumerate(job.spec.steps):
            stage = job.stages.get((occurrence, number))
            if stage is None:
                stage = jobs.make_stage(occurrence, number, step)
                job.stages[occurrence, number] = stage
            _open_if_ready(ownership, job, stage)


def _open_if_ready(
    ownership: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    if stage.ready_ms is not None or stage.done_count == len(stage.tasks):
        return
    if (
        stage.step.depends_on
        and not ownerships.is_written(ownership, job)
        and not ownerships.is_progress_rejected(ownership, job)
        and not _is_store_unavailable(ownership)
    ):
        # The ends of tasks that it depends on may not be in the store yet.
        return
    for number in stage.step.depends_on:
        dependency = job.stages.get((stage.occurrence, number))
        if dependency is None or dependency.done_count < len(dependency.tasks):
            return
    now_ms = ownership.clock.now_ms()
    stage.ready_ms = now_ms
    for task in stage.tasks:
        task.waiting_since_ms = now_ms
    key = (job.spec.id, stage.occurrence, stage.number)
    ownership.cluster.waiting_stages[key] = stage
    signals.notify(ownership.scheduling_needed)


def process_durable_jobs(ownership: ownerships.Ownership) -> None:
    """Handles jobs whose newest state was written to the store.

    Callers now see the final state of a job that has ended. The stages of other
    jobs that can run are opened.
    """
    for job_id in list(ownership.unsaved_jobs):
        job = ownership.cluster.jobs.get(job_id)
        if job is None:
            ownership.unsaved_jobs.discard(job_id)
            continue
        if not job.is_durable and writers.is_durable(
            ownership.writer,
            job.acceptance_write,
            rows.get_job_key(job.spec.id),
        ):
            job.is_durable = True
            open_ready_stages(ownership, job)
        if not ownerships.is_written(ownership, job):
            if job.is_durable and ownerships.is_progress_rejected(
                ownership, job
            ):
                # The workers keep the ends that can't be written.
                open_ready_stages(ownership, job)
            continue
        ownership.unsaved_jobs.discard(job_id)
        if jobs.is_final(job):
            job.persisted_final_state = job.state
        else:
            open_ready_stages(ownership, job)
