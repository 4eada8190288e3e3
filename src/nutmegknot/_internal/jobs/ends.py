"""What the ends and the inventory of a worker change in the book."""

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

# Part by which a new measurement changes what is known of a kind's speed.
LEARNING_PART = 0.05


def apply_end(
    own: ownerships.Ownership, host: books.Host, end: runners.EndRow
) -> None:
    """Takes note of one end that a worker has listed."""
    book = own.book
    stage = None if end.name is None else books.find_stage(book, end.name)
    if stage is None or end.name is None:
        logger.info(
            'end_of_unknown_task',
            extra={'worker': host.worker.id, 'number': end.number},
        )
        return
    counters.count(own.figures.runs, end.kind.value)
    job = book.jobs[end.name.job]
    task = stage.tasks[end.name.index]
    logger.info(
        'run_ended',
        extra={
            'task': jobs.format_task(end.name),
            'run': end.run,
            'how': end.kind.value,
            'worker': host.worker.id,
            'number': end.number,
        },
    )
    is_present = task.worker == host.worker.id and task.run == end.run
    if end.kind is jobs.EndKind.DONE and not stage.step.lasting:
        _learn(book, host, stage, task, own.clock.now_ms())
        _finish(own, job, stage, end.name, end.run)
        return
    if end.kind is jobs.EndKind.FAILED:
        _count_failure(own, host, job, stage, task, end.run)
    if end.checkpoint and task.phase is not jobs.Phase.DONE:
        _keep_checkpoint(own, job, stage, task, end.checkpoint)
    if is_present:
        books.vacate(book, end.name, own.clock.now_ms())
        reopen(own, job, stage)


def reopen(own: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage) -> None:
    """Has a stage's waiting tasks placed, if it still has to run."""
    if jobs.is_final(job) or stage.ready_ms is None:
        return
    key = (job.order.id, stage.occurrence, stage.number)
    own.book.open_stages[key] = stage
    signals.notify(own.changed)


def _keep_checkpoint(
    own: ownerships.Ownership,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    checkpoint: str,
) -> None:
    """Keeps a checkpoint; one of any member holds for a whole gang."""
    members = stage.tasks if stage.step.all_at_once else [task]
    for member in members:
        member.checkpoint = checkpoint
    ownerships.mark_progress(own, job)


def _count_failure(
    own: ownerships.Ownership,
    host: books.Host,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    run: int,
) -> None:
    note_bad_end(own, host, task)
    if stage.step.lasting or run in task.failed_runs:
        return
    task.failed_runs.add(run)
    ownerships.mark_progress(own, job)
    attempts = max(1, books.get_queue(own.book, job.order).attempts)
    if count_failures(stage, task) >= attempts and not jobs.is_final(job):
        finish_job(own, job, jobs.JobState.FAILED, 'attempts_used')


def note_bad_end(
    own: ownerships.Ownership, host: books.Host, task: jobs.Task
) -> None:
    """Takes note that a run failed or was stuck on a worker."""
    task.shunned.add(host.worker.id)
    now_ms = own.clock.now_ms()
    if outliers.note_end(host, True, now_ms):
        logger.warning(
            'worker_rests',
            extra={
                'worker': host.worker.id,
                'for_ms': host.doubted_until_ms - now_ms,
                'rests': host.rests,
            },
        )


def count_failures(stage: jobs.Stage, task: jobs.Task) -> int:
    """Returns how many runs of a task, or of its gang, have failed."""
    if not stage.step.all_at_once:
        return len(task.failed_runs)
    return len(set().union(*(member.failed_runs for member in stage.tasks)))


def _finish(
    own: ownerships.Ownership,
    job: jobs.Job,
    stage: jobs.Stage,
    name: jobs.TaskName,
    run: int,
) -> None:
    """Takes note that a task, or its whole gang, is done."""
    members = (
        stage.tasks if stage.step.all_at_once else [stage.tasks[name.index]]
    )
    for member in members:
        if member.phase is jobs.Phase.DONE:
            continue
        member_name = books.name_task(job, stage, member.index)
        if member.worker and member.run != run:
            stops.stop_run(own, member_name, member, 'done_by_another_run')
        member.phase = jobs.Phase.DONE
        member.checkpoint = ''
        stage.done += 1
        if member.worker and (member.run == run):
            books.vacate(own.book, member_name, own.clock.now_ms())
    stage.begun = job.has_begun = True
    if stage.done == len(stage.tasks):
        key = (job.order.id, stage.occurrence, stage.number)
        own.book.open_stages.pop(key, None)
    ownerships.mark_progress(own, job)
    if not jobs.is_final(job) and _is_all_done(job):
        finish_job(own, job, jobs.JobState.COMPLETED, 'all_done')
    signals.notify(own.changed)


def _is_all_done(job: jobs.Job) -> bool:
    due = jobs.count_occurrences(job.order) * len(job.order.steps)
    return len(job.stages) == due and all(
        stage.done == len(stage.tasks) for stage in job.stages.values()
    )


def finish_job(
    own: ownerships.Ownership, job: jobs.Job, state: jobs.JobState, why: str
) -> None:
    """Ends a job in the book; it is shown once that is in the table."""
    job.state = state
    job.ended_ms = own.clock.wall_ms()
    after_ms = job.ended_ms - job.order.accepted_ms
    objective_ms = turns.compute_objective(own.book, job)
    counters.count(own.figures.ended, job.order.queue, state.value)
    if state is jobs.JobState.COMPLETED and not jobs.is_timed(job.order):
        percent = 100 * after_ms // max(1, objective_ms)
        counters.record(own.figures.job_percent, percent, job.order.queue)
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
        own.book.open_stages.pop(key, None)
        for task in stage.tasks:
            if task.worker and task.phase is not jobs.Phase.DONE:
                name = books.name_task(job, stage, task.index)
                stops.stop_run(own, name, task, why)
    ownerships.mark_progress(own, job, is_hurried=True)


def _learn(
    book: books.Book,
    host: books.Host,
    stage: jobs.Stage,
    task: jobs.Task,
    now_ms: int,
) -> None:
    """Learns how fast a kind of worker is against the callers' estimates."""
    outliers.note_end(host, False, now_ms)
    if not task.began_ms:
        return
    stage.durations.append(now_ms - task.began_ms)
    if not stage.step.estimate_ms:
        return
    key = (host.worker.pool, host.worker.kind)
    ratio = (now_ms - task.began_ms) / stage.step.estimate_ms
    known = book.speeds.get(key, 1.0)
    book.speeds[key] = known + (min(ratio, 4.0) - known) * LEARNING_PART


def lose_run(own: ownerships.Ownership, name: jobs.TaskName, why: str) -> None:
    """Takes note that a run is surely over without an end being listed."""
    stage = books.find_stage(own.book, name)
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
    books.vacate(own.book, name, own.clock.now_ms())
    reopen(own, own.book.jobs[name.job], stage)


def apply_inventory(
    own: ownerships.Ownership,
    host: books.Host,
    inventory: runners.Inventory,
    sent_ms: int,
) -> None:
    """Compares the runs on a worker with those in the book.

    Args:
      own: The ownership.
      host: The worker.
      inventory: What it listed.
      sent_ms: When the call went out, by our clock.
    """
    before, host.unwanted = host.unwanted, {}
    if inventory.foreign:
        host.unwanted[''] = inventory.foreign
    shown = set()
    for row in inventory.runs:
        shown.add(row.name)
        if not _apply_row(own, host, row):
            text = jobs.format_task(row.name)
            host.unwanted[text] = row.run
            if before.get(text) != row.run:
                stops.stop_unknown(own, host, row.name, row.run)
    ended = {(end.name, end.run) for end in inventory.ends}
    for name, task in list(host.runs.items()):
        is_open = task.phase is jobs.Phase.STARTING
        if name in shown or (name, task.run) in ended or is_open:
            continue
        # An answer may have overtaken that of a start sent later.
        if task.settled_ms < sent_ms:
            lose_run(own, name, 'not_in_inventory')


def _apply_row(
    own: ownerships.Ownership, host: books.Host, row: runners.RunRow
) -> bool:
    """Takes note of a run on a worker; tells whether it has a place there."""
    book = own.book
    stage = books.find_stage(book, row.name)
    job = book.jobs.get(row.name.job)
    if stage is None or job is None:
        return False
    task = stage.tasks[row.name.index]
    is_present = task.worker == host.worker.id and task.run == row.run
    if not is_present:
        is_free = task.phase is jobs.Phase.WAITING and row.run > task.run
        if not is_free or jobs.is_final(job):
            return False
        _adopt(own, host, job, stage, task, row)
    if task.phase is jobs.Phase.STARTING:
        task.phase = jobs.Phase.RUNNING
        task.settled_ms = own.clock.now_ms()
    stage.begun = job.has_begun = True
    task.pace = row.pace
    return True


def _adopt(
    own: ownerships.Ownership,
    host: books.Host,
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    row: runners.RunRow,
) -> None:
    """Takes over a run that an earlier owner started."""
    task.run = row.run
    task.phase = jobs.Phase.RUNNING
    task.settled_ms = own.clock.now_ms()
    task.began_ms = 0
    books.occupy(own.book, host, job, row.name, task)
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    logger.info(
        'run_adopted',
        extra={
            'task': jobs.format_task(row.name),
            'run': row.run,
            'worker': host.worker.id,
            'epoch': own.book.epoch,
        },
    )
