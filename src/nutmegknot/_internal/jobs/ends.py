"""Applies what workers report to the owner's state of jobs and tasks.

A worker reports its running runs (the inventory) and the runs that ended.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.decisions import turns
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Weight of a new run in the moving average of run time against estimate.
RUN_TIME_SMOOTHING_FACTOR = 0.05


def apply_end(
    ownership: ownerships.Ownership, info: books.Host, end: runners.EndRow
) -> None:
    """Applies one ended run that a worker has listed."""
    cluster = ownership.book
    stage = None if end.name is None else books.find_stage(cluster, end.name)
    if stage is None or end.name is None:
        logger.info(
            'end_of_unknown_task',
            extra={'worker': info.worker.id, 'number': end.number},
        )
        return
    counters.count(ownership.figures.runs_ended, end.kind.value)
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
    if end.kind is jobs.EndKind.DONE and not stage.step.lasting:
        _update_run_time_ratio(
            cluster, info, stage, task, ownership.clock.now_ms()
        )
        _complete_task(ownership, job, stage, end.name, end.run)
        return
    if end.kind is jobs.EndKind.FAILED:
        _record_failure(ownership, info, job, stage, task, end.run)
    if end.checkpoint and task.phase is not jobs.Phase.DONE:
        _save_checkpoint(ownership, job, stage, task, end.checkpoint)
    if is_current_run:
        books.vacate(cluster, end.name, ownership.clock.now_ms())
        requeue_stage(ownership, job, stage)


def requeue_stage(
    ownership: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    """Queues a stage's waiting tasks for starting, if it still has to run."""
    if jobs.is_final(job) or stage.ready_ms is None:
        return
    key = (job.order.id, stage.occurrence, stage.number)
    ownership.book.open_stages[key] = stage
    signals.notify(ownership.changed)


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
    members = stage.tasks if stage.step.all_at_once else [task]
    for member in members:
        member.checkpoint = checkpoint
    ownerships.mark_progress(ownership, job)


def _record_failure(
    ownership: ownerships.Ownership,
    info: books.Host,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    run: int,
) -> None:
    record_bad_run(ownership, info, task)
    if stage.step.lasting or run in task.failed_runs:
        return
    task.failed_runs.add(run)
    ownerships.mark_progress(ownership, job)
    attempts = max(1, books.get_queue(ownership.book, job.order).attempts)
    if count_failures(stage, task) >= attempts and not jobs.is_final(job):
        finish_job(ownership, job, jobs.JobState.FAILED, 'attempts_used')


def record_bad_run(
    ownership: ownerships.Ownership, info: books.Host, task: jobs.Task
) -> None:
    """Records that a run failed or was stuck on a worker.

    The task avoids the worker from then on. After several such runs, nothing is
    started on the worker for a while (a quarantine).
    """
    task.shunned.add(info.worker.id)
    now_ms = ownership.clock.now_ms()
    if outliers.note_end(info, True, now_ms):
        logger.warning(
            'worker_rests',
            extra={
                'worker': info.worker.id,
                'for_ms': info.doubted_until_ms - now_ms,
                'rests': info.rests,
            },
        )


def count_failures(stage: jobs.Stage, task: jobs.Task) -> int:
    """Returns how many runs of a task have failed.

    For a task of a gang, the runs of all its tasks count.
    """
    if not stage.step.all_at_once:
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
    members = (
        stage.tasks if stage.step.all_at_once else [stage.tasks[name.index]]
    )
    for member in members:
        if member.phase is jobs.Phase.DONE:
            continue
        member_name = books.name_task(job, stage, member.index)
        if member.worker and member.run != run:
            stops.stop_run(
                ownership, member_name, member, 'done_by_another_run'
            )
        member.phase = jobs.Phase.DONE
        member.checkpoint = ''
        stage.done += 1
        if member.worker and (member.run == run):
            books.vacate(ownership.book, member_name, ownership.clock.now_ms())
    stage.begun = job.has_begun = True
    if stage.done == len(stage.tasks):
        key = (job.order.id, stage.occurrence, stage.number)
        ownership.book.open_stages.pop(key, None)
    ownerships.mark_progress(ownership, job)
    if not jobs.is_final(job) and _are_all_stages_done(job):
        finish_job(ownership, job, jobs.JobState.COMPLETED, 'all_done')
    signals.notify(ownership.changed)


def _are_all_stages_done(job: jobs.Job) -> bool:
    expected_stages = jobs.count_occurrences(job.order) * len(job.order.steps)
    return len(job.stages) == expected_stages and all(
        stage.done == len(stage.tasks) for stage in job.stages.values()
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
    after_ms = job.ended_ms - job.order.accepted_ms
    objective_ms = turns.compute_objective(ownership.book, job)
    counters.count(ownership.figures.jobs_ended, job.order.queue, state.value)
    if state is jobs.JobState.COMPLETED and not jobs.is_timed(job.order):
        percent = 100 * after_ms // max(1, objective_ms)
        counters.record(ownership.figures.job_percent, percent, job.order.queue)
    logger.info(
        'job_ended',
        extra={
            'job': job.order.id,
            'state': state.value,
            'why': why,
            'after_ms': after_ms,
            'objective_ms': objective_ms,
        },
    )
    for stage in job.stages.values():
        key = (job.order.id, stage.occurrence, stage.number)
        ownership.book.open_stages.pop(key, None)
        for task in stage.tasks:
            if task.worker and task.phase is not jobs.Phase.DONE:
                name = books.name_task(job, stage, task.index)
                stops.stop_run(ownership, name, task, why)
    ownerships.mark_progress(ownership, job, is_hurried=True)


def _update_run_time_ratio(
    cluster: books.Book,
    info: books.Host,
    stage: jobs.Stage,
    task: jobs.Task,
    now_ms: int,
) -> None:
    """Records a completed run and updates the ratio of its kind of worker.

    The ratio is the moving average of run time against the callers' estimate.
    """
    outliers.note_end(info, False, now_ms)
    if not task.began_ms:
        return
    stage.durations.append(now_ms - task.began_ms)
    if not stage.step.estimate_ms:
        return
    key = (info.worker.pool, info.worker.kind)
    ratio = (now_ms - task.began_ms) / stage.step.estimate_ms
    mean_ratio = cluster.speeds.get(key, 1.0)
    cluster.speeds[key] = (
        mean_ratio + (min(ratio, 4.0) - mean_ratio) * RUN_TIME_SMOOTHING_FACTOR
    )


def mark_run_lost(
    ownership: ownerships.Ownership, name: jobs.TaskName, why: str
) -> None:
    """Marks a run as lost: it is certainly over, and no worker listed its end.

    Its task waits for a new start.
    """
    stage = books.find_stage(ownership.book, name)
    if stage is None:
        return
    task = stage.tasks[name.index]
    logger.warning(
        'run_lost',
        extra={
            'task': jobs.format_task(name),
            'run': task.run,
            'worker': task.worker,
            'phase': task.phase.value,
            'why': why,
        },
    )
    books.vacate(ownership.book, name, ownership.clock.now_ms())
    requeue_stage(ownership, ownership.book.jobs[name.job], stage)


def apply_inventory(
    ownership: ownerships.Ownership,
    info: books.Host,
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
    previous, info.unwanted = info.unwanted, {}
    if inventory.foreign:
        info.unwanted[''] = inventory.foreign
    listed = set()
    for row in inventory.runs:
        listed.add(row.name)
        if not _apply_listed_run(ownership, info, row):
            text = jobs.format_task(row.name)
            info.unwanted[text] = row.run
            if previous.get(text) != row.run:
                stops.stop_unknown_run(ownership, info, row.name, row.run)
    ended = {(end.name, end.run) for end in inventory.ends}
    for name, task in list(info.runs.items()):
        is_start_pending = task.phase is jobs.Phase.STARTING
        if name in listed or (name, task.run) in ended or is_start_pending:
            continue
        # A run that was confirmed after this call was sent may have started
        # after the worker listed its runs.
        if task.settled_ms < sent_ms:
            mark_run_lost(ownership, name, 'not_in_inventory')


def _apply_listed_run(
    ownership: ownerships.Ownership, info: books.Host, row: runners.RunRow
) -> bool:
    """Applies one listed run.

    Returns:
      Whether the owner wants the run there; another run has to be stopped.
    """
    cluster = ownership.book
    stage = books.find_stage(cluster, row.name)
    job = cluster.jobs.get(row.name.job)
    if stage is None or job is None:
        return False
    task = stage.tasks[row.name.index]
    is_current_run = task.worker == info.worker.id and task.run == row.run
    if not is_current_run:
        can_adopt = task.phase is jobs.Phase.WAITING and row.run > task.run
        if not can_adopt or jobs.is_final(job):
            return False
        _adopt_run(ownership, info, job, stage, task, row)
    if task.phase is jobs.Phase.STARTING:
        task.phase = jobs.Phase.RUNNING
        task.settled_ms = ownership.clock.now_ms()
    stage.begun = job.has_begun = True
    task.pace = row.pace
    return True


def _adopt_run(
    ownership: ownerships.Ownership,
    info: books.Host,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    row: runners.RunRow,
) -> None:
    """Registers a run that an earlier owner of the jobs started."""
    task.run = row.run
    task.phase = jobs.Phase.RUNNING
    task.settled_ms = ownership.clock.now_ms()
    task.began_ms = 0
    books.occupy(ownership.book, info, job, row.name, task)
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    logger.info(
        'run_adopted',
        extra={
            'task': jobs.format_task(row.name),
            'run': row.run,
            'worker': info.worker.id,
            'epoch': ownership.book.epoch,
        },
    )
