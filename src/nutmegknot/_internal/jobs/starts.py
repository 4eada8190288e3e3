"""Orders to start runs."""

import dataclasses
import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import ends
from nutmegknot._internal.jobs import fences
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

# Run numbers that each epoch leaves to the one before it, so that a new owner
# reuses none that the old one may have given.
RUNS_PER_EPOCH = 10_000
RETRY_MS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class Decided:
    """A start that was decided on.

    Attributes:
      host: Where.
      job: The job.
      stage: Its stage.
      task: The task.
      run: Number of the run.
      ticket: Leave to start there; '' where none is needed.
      life: The worker's life that is meant.
    """

    host: books.Host
    job: jobs.Job
    stage: jobs.Stage
    task: jobs.Task
    run: int
    ticket: str
    life: int


def choose_run(book: books.Book, tasks: list[jobs.Task]) -> int:
    """Returns a run number above all that the tasks may have had."""
    floor = (book.epoch - 1) * RUNS_PER_EPOCH
    return max(floor, *(task.run for task in tasks)) + 1


def start_run(own: ownerships.Ownership, decided: Decided) -> None:
    """Counts a run and has its start sent."""
    task = decided.task
    task.phase = jobs.Phase.STARTING
    task.run = decided.run
    task.began_ms = own.clock.now_ms()
    name = books.name_task(decided.job, decided.stage, task.index)
    counters.record(
        own.figures.wait_ms,
        task.began_ms - task.waiting_since_ms,
        decided.job.order.queue,
    )
    books.occupy(own.book, decided.host, decided.job, name, task)
    logger.info(
        'run_placed',
        extra={
            'task': jobs.format_task(name),
            'run': decided.run,
            'worker': decided.host.worker.id,
            'token': own.book.epoch,
            'waited_ms': task.began_ms - task.waiting_since_ms,
        },
    )
    orders = own.orders[decided.host.worker.id]
    orders.queue.put_nowait(lambda: _send(own, decided, name))


async def _send(
    own: ownerships.Ownership, decided: Decided, name: jobs.TaskName
) -> None:
    """Sends a start until it is known whether the worker took it."""
    host, task = decided.host, decided.task
    until_ms = leases.extend(host, own.limits.start_ms, own)
    give_up_ms = own.clock.now_ms() + own.limits.start_ms
    is_open = False
    attempt = 0
    while _is_wanted(own, decided) and own.clock.now_ms() < give_up_ms:
        sent_ms = own.clock.now_ms()
        result = await own.runners.start(
            host.worker,
            _make_start(own, decided, name, until_ms),
            bounds.get_attempt_limit(own.limits, attempt),
        )
        attempt += 1
        counters.record(own.figures.start_ms, own.clock.now_ms() - sent_ms)
        match result:
            case runners.Taken():
                counters.count(own.figures.starts, 'taken')
                _confirm(own, decided)
                return
            case runners.Refused(reason):
                counters.count(own.figures.starts, reason.value)
                fences.note_refusal(own, host, reason)
                _refuse(own, decided, name, reason, is_open)
                return
            case runners.Unreached() if not is_open:
                fences.note_refusal(own, host, runners.Refusal.UNHEALTHY)
                _refuse(own, decided, name, runners.Refusal.UNHEALTHY, False)
                return
            case runners.Unanswered() | runners.Unreached():
                counters.count(own.figures.starts, 'unanswered')
                is_open = True
        await clock_lib.sleep(RETRY_MS)
    if task.run == decided.run and task.phase is jobs.Phase.STARTING:
        if not is_open and not ownerships.may_act(own):
            _refuse(own, decided, name, runners.Refusal.LATE, False)
            return
        logger.warning(
            'start_unanswered',
            extra={
                'task': jobs.format_task(name),
                'run': decided.run,
                'worker': host.worker.id,
            },
        )
        _abandon(own, decided, name)


def _is_wanted(own: ownerships.Ownership, decided: Decided) -> bool:
    return (
        decided.task.run == decided.run
        and decided.task.phase is jobs.Phase.STARTING
        and decided.host.worker.life == decided.life
        and ownerships.may_act(own)
    )


def _make_start(
    own: ownerships.Ownership,
    decided: Decided,
    name: jobs.TaskName,
    until_ms: int,
) -> runners.Start:
    return runners.Start(
        name,
        decided.run,
        decided.job.order.payload,
        until_ms,
        own.book.epoch,
        decided.task.checkpoint,
        decided.ticket,
    )


def _confirm(own: ownerships.Ownership, decided: Decided) -> None:
    task, job = decided.task, decided.job
    decided.stage.begun = job.has_begun = True
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    if task.run == decided.run and task.phase is jobs.Phase.STARTING:
        task.phase = jobs.Phase.RUNNING
        task.settled_ms = own.clock.now_ms()


def _refuse(
    own: ownerships.Ownership,
    decided: Decided,
    name: jobs.TaskName,
    reason: runners.Refusal,
    is_open: bool,
) -> None:
    """Takes note that the worker did not take the order.

    An earlier attempt without an answer may still take effect, so the run is
    barred before its task is placed again.
    """
    task = decided.task
    logger.info(
        'start_refused',
        extra={
            'task': jobs.format_task(name),
            'run': decided.run,
            'worker': decided.host.worker.id,
            'why': reason.value,
            'open': is_open,
        },
    )
    if reason is runners.Refusal.NO_TICKET:
        decided.stage.advice.tickets.pop(decided.host.worker.id, None)
        decided.stage.advice.asked.pop(decided.host.worker.id, None)
    if task.run != decided.run or task.phase is not jobs.Phase.STARTING:
        return
    if is_open or reason is runners.Refusal.OLD:
        _abandon(own, decided, name)
        return
    books.vacate(own.book, name, own.clock.now_ms())
    ends.reopen(own, decided.job, decided.stage)
    _abandon_gang(own, decided)


def _abandon(
    own: ownerships.Ownership, decided: Decided, name: jobs.TaskName
) -> None:
    """Bars a run whose start is not settled, and with it its gang."""
    stops.stop_run(own, name, decided.task, 'start_unsettled')
    _abandon_gang(own, decided)


def _abandon_gang(own: ownerships.Ownership, decided: Decided) -> None:
    """Stops the members of a run that can't become complete."""
    if not decided.stage.step.all_at_once:
        return
    for member in decided.stage.tasks:
        if member.run == decided.run and member.worker:
            name = books.name_task(decided.job, decided.stage, member.index)
            stops.stop_run(own, name, member, 'gang_incomplete')
