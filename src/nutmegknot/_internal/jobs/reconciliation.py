"""Applies what workers report to the owner's state of jobs and tasks.

A worker reports its running runs (the inventory) and the runs that ended.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.decisions import run_progress
from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import usage_ceilings
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Weight of a new run in the moving average of run time against estimate.
RUN_TIME_SMOOTHING_FACTOR = 0.05


def apply_end(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    end: runners.ReportedEnd,
) -> None:
    """Applies one ended run that a worker has listed."""
    cluster = ownership.cluster
    stage = (
        None
        if end.name is None
        else cluster_state.find_or_make_stage(cluster, end.name)
    )
    if stage is None or end.name is None:
        logger.info(
            'end_of_unknown_task',
            extra={'worker': info.worker.id, 'number': end.number},
        )
        return
    instruments.increment(ownership.metrics.runs_ended, end.kind.value)
    job = cluster.jobs[end.name.job]
    task = stage.tasks[end.name.index]
    logger.info(
        'run_ended',
        extra={
            'task': jobs.format_task(end.name),
            'run': end.run,
            'how': end.kind.value,
            'worker': info.worker.id,
            'number': end.number,
        },
    )
    is_current_run = task.worker == info.worker.id and task.run == end.run
    if end.kind is jobs.EndKind.DONE and not stage.step.is_long_running:
        _update_run_time_ratio(
            cluster, info, stage, end.name, end.run, ownership.clock.now_ms()
        )
        _complete_task(ownership, job, stage, end.name, end.run)
        return
    if end.kind is jobs.EndKind.FAILED:
        _record_failure(ownership, info, job, stage, end.name, end.run)
    if end.checkpoint and task.phase is not jobs.TaskPhase.DONE:
        _save_checkpoint(ownership, job, stage, task, end.checkpoint)
    if is_current_run:
        release_run(ownership, job, stage, end.name)


def release_run(
    ownership: ownerships.Ownership,
    job: jobs.Job,
    stage: jobs.Stage,
    name: jobs.TaskName,
) -> None:
    """Releases the resources of a run that is over, and queues its task."""
    task = stage.tasks[name.index]
    was_trial = task.trial is not None
    was_stopping = jobs.is_final(job) or task.phase is jobs.TaskPhase.DONE
    cluster_state.release_run(ownership.cluster, name, ownership.clock.now_ms())
    if was_stopping or was_trial:
        # The next owner takes what the row names to be in progress.
        ownerships.queue_progress_write(ownership, job)
    requeue_stage(ownership, job, stage)


def requeue_stage(
    ownership: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    """Queues a stage's waiting tasks for starting, if it still has to run."""
    if jobs.is_final(job) or stage.ready_ms is None:
        return
    key = (job.spec.id, stage.occurrence, stage.number)
    ownership.cluster.waiting_stages[key] = stage
    signals.notify(ownership.scheduling_needed)


def _save_checkpoint(
    ownership: ownerships.Ownership,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    checkpoint: str,
) -> None:
    """Stores a checkpoint of a task.

    The tasks of a gang run only together, and share the newest checkpoint.
    """
    members = stage.tasks if stage.step.is_gang else [task]
    for member in members:
        member.checkpoint = checkpoint
    ownerships.queue_progress_write(ownership, job)


def _record_failure(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    job: jobs.Job,
    stage: jobs.Stage,
    name: jobs.TaskName,
    run: int,
) -> None:
    record_bad_run(ownership, info, name, stage)
    task = stage.tasks[name.index]
    if stage.step.is_long_running or run in task.failed_runs:
        return
    task.failed_runs.add(run)
    ownerships.queue_progress_write(ownership, job)
    attempts = max(
        1, cluster_state.get_queue(ownership.cluster, job.spec).max_failed_runs
    )
    if count_failures(stage, task) >= attempts and not jobs.is_final(job):
        finish_job(ownership, job, jobs.JobState.FAILED, 'attempts_used')
        if len(task.avoided_workers) > 1:
            _discount_failures(ownership, job)


def _discount_failures(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Takes the failures of a job off the workers on which it failed."""
    for info in outliers.discount_failures(ownership.cluster, job.spec.id):
        logger.info(
            'worker_released',
            extra={'worker': info.worker.id, 'job': job.spec.id},
        )


def record_bad_run(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    stage: jobs.Stage,
) -> None:
    """Records that a run failed or was stuck on a worker.

    The task avoids the worker from then on. After several such runs, nothing is
    started on the worker for a while (a quarantine).
    """
    stage.tasks[name.index].avoided_workers.add(info.worker.id)
    now_ms = ownership.clock.now_ms()
    if outliers.record_run_end(
        info,
        name.job,
        True,
        now_ms,
        succeeds_elsewhere=stage.done_count > 0,
    ):
        logger.warning(
            'worker_rests',
            extra={
                'worker': info.worker.id,
                'for_ms': info.quarantine_until_ms - now_ms,
                'rests': info.consecutive_quarantines,
            },
        )


def count_failures(stage: jobs.Stage, task: jobs.Task) -> int:
    """Returns how many runs of a task have failed.

    For a task of a gang, the runs of all its tasks count.
    """
    if not stage.step.is_gang:
        return len(task.failed_runs)
    return len(set().union(*(member.failed_runs for member in stage.tasks)))


def _complete_task(
    ownership: ownerships.Ownership,
    job: jobs.Job,
    stage: jobs.Stage,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Marks a task as done, or all tasks of the gang that it belongs to."""
    members = stage.tasks if stage.step.is_gang else [stage.tasks[name.index]]
    for member in members:
        if member.phase is jobs.TaskPhase.DONE:
            continue
        member_name = cluster_state.make_task_name(job, stage, member.index)
        if member.worker and member.run != run:
            stops.stop_run(
                ownership, member_name, member, 'done_by_another_run'
            )
        member.phase = jobs.TaskPhase.DONE
        member.checkpoint = ''
        stage.done_count += 1
        if member.worker and (member.run == run):
            cluster_state.release_run(
                ownership.cluster, member_name, ownership.clock.now_ms()
            )
    stage.has_started = job.has_started = True
    if stage.done_count == len(stage.tasks):
        stage_ranking.record_stage_time(ownership.cluster, job, stage)
        key = (job.spec.id, stage.occurrence, stage.number)
        ownership.cluster.waiting_stages.pop(key, None)
        worker_speeds.record_stage(ownership.cluster, job.spec.queue, stage)
    ownerships.queue_progress_write(ownership, job)
    if not jobs.is_final(job) and _are_all_stages_done(job):
        finish_job(ownership, job, jobs.JobState.COMPLETED, 'all_done')
    signals.notify(ownership.scheduling_needed)


def _are_all_stages_done(job: jobs.Job) -> bool:
    expected_stages = jobs.count_occurrences(job.spec) * len(job.spec.steps)
    return len(job.stages) == expected_stages and all(
        stage.done_count == len(stage.tasks) for stage in job.stages.values()
    )


def finish_job(
    ownership: ownerships.Ownership,
    job: jobs.Job,
    state: jobs.JobState,
    why: str,
) -> None:
    """Ends a job in memory; callers see its end once that is in the store."""
    job.state = state
    job.ended_ms = ownership.clock.wall_ms()
    after_ms = job.ended_ms - job.spec.accepted_ms
    objective_ms = stage_ranking.compute_objective_ms(ownership.cluster, job)
    instruments.increment(
        ownership.metrics.jobs_ended, job.spec.queue, state.value
    )
    if state is jobs.JobState.COMPLETED and not jobs.has_schedule(job.spec):
        percent = 100 * after_ms // max(1, objective_ms)
        instruments.record(
            ownership.metrics.job_percent, percent, job.spec.queue
        )
    logger.info(
        'job_ended',
        extra={
            'job': job.spec.id,
            'state': state.value,
            'why': why,
            'after_ms': after_ms,
            'objective_ms': objective_ms,
        },
    )
    for stage in job.stages.values():
        key = (job.spec.id, stage.occurrence, stage.number)
        ownership.cluster.waiting_stages.pop(key, None)
        for task in stage.tasks:
            if task.worker and task.phase is not jobs.TaskPhase.DONE:
                name = cluster_state.make_task_name(job, stage, task.index)
                stops.stop_run(ownership, name, task, why)
    ownerships.queue_progress_write(ownership, job, is_hurried=True)


def _update_run_time_ratio(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    stage: jobs.Stage,
    name: jobs.TaskName,
    run: int,
    now_ms: int,
) -> None:
    """Records a completed run and updates the ratio of its kind of worker.

    The ratio is the moving average of run time against the callers' estimate.
    """
    outliers.record_run_end(info, name.job, False, now_ms)
    task = stage.tasks[name.index]
    if not task.start_decided_ms:
        return
    stage.durations_ms.append(now_ms - task.start_decided_ms)
    if not stage.step.estimate_ms:
        return
    key = (info.worker.pool, info.worker.kind)
    ratio = (now_ms - task.start_decided_ms) / stage.step.estimate_ms
    mean_ratio = cluster.run_time_ratios.get(key, 1.0)
    cluster.run_time_ratios[key] = (
        mean_ratio + (min(ratio, 4.0) - mean_ratio) * RUN_TIME_SMOOTHING_FACTOR
    )
    if task.run == run:
        _record_run_time(cluster, info, stage, task, name, now_ms)


def _record_run_time(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    stage: jobs.Stage,
    task: jobs.Task,
    name: jobs.TaskName,
    now_ms: int,
) -> None:
    """Records the run time of a task's current run, which has ended as done."""
    step = stage.step
    if step.is_opportunistic or task.checkpoint:
        # An opportunistic task takes as long as other tasks let it, and a run
        # from a checkpoint does a part of the work.
        return
    run_ms = now_ms - task.start_decided_ms
    usual_ms = run_ms / worker_speeds.get_run_time_ratio(cluster, info)
    run_times.record_run(
        cluster.run_times,
        cluster.jobs[name.job].spec.queue,
        stage.number,
        step.estimate_ms,
        usual_ms,
    )
    # The tasks of a gang wait for each other, and a task is slower outside the
    # rack of its data; neither tells about the speed of the worker.
    is_gang = step.is_gang and step.count > 1
    is_near = step.data_rack in ('', info.worker.rack)
    if is_near and not is_gang:
        worker = info.worker
        stage.finished_runs.append(
            jobs.FinishedRun(worker.id, worker.life, run_ms, usual_ms)
        )


def mark_run_lost(
    ownership: ownerships.Ownership, name: jobs.TaskName, why: str
) -> None:
    """Marks a run as lost: it is certainly over, and no worker listed its end.

    Its task waits for a new start.
    """
    stage = cluster_state.find_stage(ownership.cluster, name)
    if stage is None:
        return
    task = stage.tasks[name.index]
    task.lost_runs += 1
    now_ms = ownership.clock.now_ms()
    logger.warning(
        'run_lost',
        extra={
            'task': jobs.format_task(name),
            'run': task.run,
            'worker': task.worker,
            'phase': task.phase.value,
            'why': why,
            'age_ms': now_ms - (task.start_decided_ms or now_ms),
            'lost_runs': task.lost_runs,
        },
    )
    release_run(ownership, ownership.cluster.jobs[name.job], stage, name)


def apply_inventory(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    inventory: runners.Inventory,
    sent_ms: int,
) -> None:
    """Compares the runs that a worker lists with those known to the owner.

    Runs that the owner does not know are stopped; runs that the worker does not
    list are lost.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      inventory: Runs and ended runs that it listed.
      sent_ms: When the call went out, by this instance's clock.
    """
    previous, info.unexpected_runs = info.unexpected_runs, {}
    if inventory.unreadable_runs:
        info.unexpected_runs[''] = inventory.unreadable_runs
    listed = set()
    for row in inventory.runs:
        listed.add(row.name)
        if not _apply_listed_run(ownership, info, row, inventory.clock_ms):
            text = jobs.format_task(row.name)
            info.unexpected_runs[text] = row.run
            if previous.get(text) != row.run:
                stops.stop_unknown_run(ownership, info, row.name, row.run)
            else:
                stops.repeat_stop(ownership, info, row.name, row.run)
    stops.forget_answered_stops(ownership, info, listed)
    if inventory.has_more_ends:
        # A run that is not listed may have ended as done.
        return
    ended = {(end.name, end.run) for end in inventory.ends}
    for name, task in list(info.runs.items()):
        is_start_pending = task.phase is jobs.TaskPhase.STARTING
        if name in listed or (name, task.run) in ended or is_start_pending:
            continue
        # A run that was confirmed after this call was sent may have started
        # after the worker listed its runs.
        if task.confirmed_ms < sent_ms:
            mark_run_lost(ownership, name, 'not_in_inventory')


def _apply_listed_run(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    row: runners.ReportedRun,
    clock_ms: int,
) -> bool:
    """Applies one listed run.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      row: The run.
      clock_ms: Time of the worker's clock at which it listed the run.

    Returns:
      Whether the owner wants the run there; another run has to be stopped.
    """
    cluster = ownership.cluster
    stage = cluster_state.find_or_make_stage(cluster, row.name)
    job = cluster.jobs.get(row.name.job)
    if stage is None or job is None:
        return False
    task = stage.tasks[row.name.index]
    is_current_run = task.worker == info.worker.id and task.run == row.run
    if not is_current_run:
        can_adopt = task.phase is jobs.TaskPhase.WAITING and row.run > task.run
        if not can_adopt or jobs.is_final(job):
            return False
        _adopt_run(ownership, info, job, stage, task, row)
    if task.phase in (jobs.TaskPhase.STOPPING, jobs.TaskPhase.DONE):
        stops.repeat_stop(ownership, info, row.name, row.run)
    if task.phase is jobs.TaskPhase.STARTING:
        task.phase = jobs.TaskPhase.RUNNING
        task.confirmed_ms = ownership.clock.now_ms()
    if not task.started_clock_ms:
        task.started_clock_ms = clock_ms
    stage.has_started = job.has_started = True
    run_progress.record_listed(
        task, row.progress_percent, row.checkpoint, ownership.clock.now_ms()
    )
    return True


def _adopt_run(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    row: runners.ReportedRun,
) -> None:
    """Registers a run that an earlier owner of the jobs started."""
    task.run = row.run
    task.phase = jobs.TaskPhase.RUNNING
    task.confirmed_ms = ownership.clock.now_ms()
    task.start_decided_ms = 0
    task.pace_percent = None
    task.progress = None
    if crash_trials.is_trial_start(stage, task):
        task.trial = jobs.Trial(
            row.run, info.worker.id, info.worker.life, info.worker.address
        )
    cluster_state.allocate_run(ownership.cluster, info, job, row.name, task)
    usage_ceilings.record_found_run(
        ownership.cluster.ceilings, job.spec.customer, stage.step.size
    )
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    logger.info(
        'run_adopted',
        extra={
            'task': jobs.format_task(row.name),
            'run': row.run,
            'worker': info.worker.id,
            'epoch': ownership.cluster.epoch,
        },
    )
