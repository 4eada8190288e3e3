"""Makes stages due, and starts what the decisions choose."""

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

# Longest and shortest time between two decisions, in ms.
IDLE_MS = 100
LEAST_MS = 8
# Wait after which it is logged what keeps a stage waiting, in ms.
LOG_HELD_AFTER_MS = 500


async def keep_placing(own: ownerships.Ownership) -> None:
    """Decides on starts whenever something has changed."""
    count = -1
    while True:
        count = await signals.wait_at_most(own.changed, count, IDLE_MS)
        make_due(own)
        _open_unwritten(own)
        if ownerships.may_act(own):
            _stop_stuck(own)
            _place(own)
        await clock_lib.sleep(LEAST_MS)


def _stop_stuck(own: ownerships.Ownership) -> None:
    """Stops runs that take far too long; they start elsewhere."""
    book = own.book
    for name in outliers.find_stuck(book, own.clock.now_ms()):
        stage = books.find_stage(book, name)
        if stage is None:
            continue
        task = stage.tasks[name.index]
        stage.stuck += 1
        ends.note_bad_end(own, book.hosts[task.worker], task)
        stops.stop_run(own, name, task, 'stuck')


def _place(own: ownerships.Ownership) -> None:
    room = steps.plan(own.book, own.clock.now_ms(), own.clock.wall_ms())
    runs: dict[int, int] = {}
    for placement in room.placed:
        stage = placement.stage
        task = stage.tasks[placement.index]
        if stage.step.all_at_once:
            if id(stage) not in runs:
                runs[id(stage)] = starts.choose_run(own.book, stage.tasks)
            run = runs[id(stage)]
        else:
            run = starts.choose_run(own.book, [task])
        starts.start_run(
            own,
            starts.Decided(
                placement.host,
                placement.job,
                stage,
                task,
                run,
                placement.ticket,
                placement.host.worker.life,
            ),
        )
    for key, stage in list(own.book.open_stages.items()):
        if not any(t.phase is jobs.Phase.WAITING for t in stage.tasks):
            del own.book.open_stages[key]
    _log_held(own, room)
    for name in room.evicted:
        victim = books.find_stage(own.book, name)
        if victim is not None:
            stops.stop_run(own, name, victim.tasks[name.index], 'evicted')
    for question in room.questions:
        advising.ask(own, question)


def _log_held(own: ownerships.Ownership, room: rooms.Room) -> None:
    """Logs what keeps stages waiting, when that changes."""
    now_ms = own.clock.now_ms()
    for turn, binding in room.held:
        stage = turn.stage
        waited_ms = now_ms - (stage.ready_ms or now_ms)
        if binding == stage.held_by or waited_ms < LOG_HELD_AFTER_MS:
            continue
        stage.held_by = binding
        logger.info(
            'stage_held',
            extra={
                'stage': jobs.format_stage(turn.job.order.id, stage),
                'by': binding,
                'waited_ms': waited_ms,
                'priority': turn.rank.priority,
                'band': turn.rank.band,
                'suited': len(stage.advice.tickets),
            },
        )


def make_due(own: ownerships.Ownership) -> None:
    """Opens the occurrences whose time has come."""
    wall_ms = own.clock.wall_ms()
    for job_id in list(own.timed):
        job = own.book.jobs.get(job_id)
        if job is None or jobs.is_final(job):
            own.timed.discard(job_id)
            continue
        due_ms = turns.compute_due(job.order, count_due(job))
        is_written = job.is_durable and job.marked <= own.writer.written
        if is_written and wall_ms >= due_ms + own.limits.early_ms:
            advance(own, job)


def _open_unwritten(own: ownerships.Ownership) -> None:
    """Opens stages whose ends can't be written while the store is away.

    Workers keep those ends until they are written, so that a new owner finds
    them again.
    """
    if not _is_store_away(own):
        return
    for job_id in list(own.touched):
        job = own.book.jobs.get(job_id)
        if job is not None and job.is_durable:
            advance(own, job)


def _is_store_away(own: ownerships.Ownership) -> bool:
    return writes.get_failing_ms(own.writer) > writes.WITHDRAW_AFTER_MS


def count_due(job: jobs.Job) -> int:
    """Returns how many occurrences of a job have been opened."""
    return len({occurrence for occurrence, _ in job.stages})


def advance(own: ownerships.Ownership, job: jobs.Job) -> None:
    """Opens the stages of a job that can run, from what is in the table."""
    if jobs.is_final(job):
        return
    wall_ms = own.clock.wall_ms()
    for occurrence in range(jobs.count_occurrences(job.order)):
        due_ms = turns.compute_due(job.order, occurrence)
        if jobs.is_timed(job.order) and wall_ms < due_ms + own.limits.early_ms:
            break
        for number, step in enumerate(job.order.steps):
            stage = job.stages.get((occurrence, number))
            if stage is None:
                stage = jobs.make_stage(occurrence, number, step)
                job.stages[occurrence, number] = stage
            _open_stage(own, job, stage)


def _open_stage(
    own: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    if stage.ready_ms is not None or stage.done == len(stage.tasks):
        return
    is_written = job.marked <= own.writer.written
    if stage.step.after and not is_written and not _is_store_away(own):
        # The ends that it waits for may not be in the table yet.
        return
    for number in stage.step.after:
        before = job.stages.get((stage.occurrence, number))
        if before is None or before.done < len(before.tasks):
            return
    now_ms = own.clock.now_ms()
    stage.ready_ms = now_ms
    for task in stage.tasks:
        task.waiting_since_ms = now_ms
    key = (job.order.id, stage.occurrence, stage.number)
    own.book.open_stages[key] = stage
    signals.notify(own.changed)


def take_written(own: ownerships.Ownership) -> None:
    """Shows and opens what became durable with the last write."""
    for job_id in list(own.touched):
        job = own.book.jobs.get(job_id)
        if job is None:
            own.touched.discard(job_id)
            continue
        if not job.is_durable and job.accepted <= own.writer.written:
            job.is_durable = True
            advance(own, job)
        if job.marked > own.writer.written:
            continue
        own.touched.discard(job_id)
        if jobs.is_final(job):
            job.shown = job.state
        else:
            advance(own, job)
