"""Opens the stages of jobs that can run, and starts and evicts their tasks.

A stage is one step of one occurrence of a job.
"""

import logging

from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.decisions import steps
from nutmegknot._internal.decisions import turns
from nutmegknot._internal.jobs import advising
from nutmegknot._internal.jobs import ends
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import starts
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

MAX_PASS_INTERVAL_MS = 100
MIN_PASS_INTERVAL_MS = 8
# The reason why a stage waits is logged once it has waited for so long.
LOG_WAITING_AFTER_MS = 500


async def keep_placing(ownership: ownerships.Ownership) -> None:
    """Runs a scheduling pass whenever something has changed."""
    count = -1
    while True:
        count = await signals.wait_at_most(
            ownership.changed, count, MAX_PASS_INTERVAL_MS
        )
        open_due_occurrences(ownership)
        _open_stages_in_outage(ownership)
        if ownerships.may_act(ownership):
            _stop_stuck_runs(ownership)
            _start_and_evict(ownership)
        await clock_lib.sleep(MIN_PASS_INTERVAL_MS)


def _stop_stuck_runs(ownership: ownerships.Ownership) -> None:
    """Stops runs that take far too long; their tasks start elsewhere."""
    cluster = ownership.book
    for name in outliers.find_stuck(cluster, ownership.clock.now_ms()):
        stage = books.find_stage(cluster, name)
        if stage is None:
            continue
        task = stage.tasks[name.index]
        stage.stuck += 1
        ends.record_bad_run(ownership, cluster.hosts[task.worker], task)
        stops.stop_run(ownership, name, task, 'stuck')


def _start_and_evict(ownership: ownerships.Ownership) -> None:
    plan = steps.plan(
        ownership.book, ownership.clock.now_ms(), ownership.clock.wall_ms()
    )
    gang_runs: dict[int, int] = {}
    for placement in plan.placed:
        stage = placement.stage
        task = stage.tasks[placement.index]
        if stage.step.all_at_once:
            if id(stage) not in gang_runs:
                gang_runs[id(stage)] = starts.choose_run_number(
                    ownership.book, stage.tasks
                )
            run = gang_runs[id(stage)]
        else:
            run = starts.choose_run_number(ownership.book, [task])
        starts.start_run(
            ownership,
            starts.StartDecision(
                placement.host,
                placement.job,
                stage,
                task,
                run,
                placement.ticket,
                placement.host.worker.life,
            ),
        )
    for key, stage in list(ownership.book.open_stages.items()):
        if not any(task.phase is jobs.Phase.WAITING for task in stage.tasks):
            del ownership.book.open_stages[key]
    _log_waiting_stages(ownership, plan)
    for name in plan.evicted:
        evicted_stage = books.find_stage(ownership.book, name)
        if evicted_stage is not None:
            stops.stop_run(
                ownership, name, evicted_stage.tasks[name.index], 'evicted'
            )
    for request in plan.questions:
        advising.queue_request(ownership, request)


def _log_waiting_stages(
    ownership: ownerships.Ownership, plan: rooms.Room
) -> None:
    """Logs why stages wait, each time that the reason changes."""
    now_ms = ownership.clock.now_ms()
    for turn, reason in plan.held:
        stage = turn.stage
        waited_ms = now_ms - (stage.ready_ms or now_ms)
        if reason == stage.held_by or waited_ms < LOG_WAITING_AFTER_MS:
            continue
        stage.held_by = reason
        logger.info(
            'stage_held',
            extra={
                'stage': jobs.format_stage(turn.job.order.id, stage),
                'by': reason,
                'waited_ms': waited_ms,
                'priority': turn.rank.priority,
                'band': turn.rank.band,
                'suited': len(stage.advice.tickets),
            },
        )


def open_due_occurrences(ownership: ownerships.Ownership) -> None:
    """Opens the occurrences of timed jobs that have come due."""
    wall_ms = ownership.clock.wall_ms()
    for job_id in list(ownership.timed):
        job = ownership.book.jobs.get(job_id)
        if job is None or jobs.is_final(job):
            ownership.timed.discard(job_id)
            continue
        due_ms = turns.compute_due(job.order, count_opened_occurrences(job))
        is_written = job.is_durable and job.marked <= ownership.writer.written
        if is_written and wall_ms >= due_ms + ownership.limits.early_ms:
            advance(ownership, job)


def _open_stages_in_outage(ownership: ownerships.Ownership) -> None:
    """Opens stages during an outage of the store.

    The ends of the tasks that they depend on can't be written then. But workers
    list ended runs until these are written, so a new owner learns of them too.
    """
    if not _is_store_unavailable(ownership):
        return
    for job_id in list(ownership.touched):
        job = ownership.book.jobs.get(job_id)
        if job is not None and job.is_durable:
            advance(ownership, job)


def _is_store_unavailable(ownership: ownerships.Ownership) -> bool:
    return writes.get_failing_ms(ownership.writer) > writes.WITHDRAW_AFTER_MS


def count_opened_occurrences(job: jobs.Job) -> int:
    """Returns how many occurrences of a job have been opened."""
    return len({occurrence for occurrence, _ in job.stages})


def advance(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Opens the stages of a job that can run.

    A stage waits until the ends of the tasks that it depends on are in the
    store, except while the store does not take writes.
    """
    if jobs.is_final(job):
        return
    wall_ms = ownership.clock.wall_ms()
    for occurrence in range(jobs.count_occurrences(job.order)):
        due_ms = turns.compute_due(job.order, occurrence)
        if (
            jobs.is_timed(job.order)
            and wall_ms < due_ms + ownership.limits.early_ms
        ):
            break
        for number, step in enumerate(job.order.steps):
            stage = job.stages.get((occurrence, number))
            if stage is None:
                stage = jobs.make_stage(occurrence, number, step)
                job.stages[occurrence, number] = stage
            _open_if_ready(ownership, job, stage)


def _open_if_ready(
    ownership: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    if stage.ready_ms is not None or stage.done == len(stage.tasks):
        return
    is_written = job.marked <= ownership.writer.written
    if (
        stage.step.after
        and not is_written
        and not _is_store_unavailable(ownership)
    ):
        # The ends of tasks that it depends on may not be in the store yet.
        return
    for number in stage.step.after:
        dependency = job.stages.get((stage.occurrence, number))
        if dependency is None or dependency.done < len(dependency.tasks):
            return
    now_ms = ownership.clock.now_ms()
    stage.ready_ms = now_ms
    for task in stage.tasks:
        task.waiting_since_ms = now_ms
    key = (job.order.id, stage.occurrence, stage.number)
    ownership.book.open_stages[key] = stage
    signals.notify(ownership.changed)


def take_written(ownership: ownerships.Ownership) -> None:
    """Handles jobs whose newest state was written to the store.

    Callers now see the final state of a job that has ended. The stages of other
    jobs that can run are opened.
    """
    for job_id in list(ownership.touched):
        job = ownership.book.jobs.get(job_id)
        if job is None:
            ownership.touched.discard(job_id)
            continue
        if not job.is_durable and job.accepted <= ownership.writer.written:
            job.is_durable = True
            advance(ownership, job)
        if job.marked > ownership.writer.written:
            continue
        ownership.touched.discard(job_id)
        if jobs.is_final(job):
            job.shown = job.state
        else:
            advance(ownership, job)
