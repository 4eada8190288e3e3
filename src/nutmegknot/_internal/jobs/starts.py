"""Starts runs: sends start commands to workers until their effect is known."""

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

# Each owner has an epoch, and each epoch has a range of so many run numbers, so
# that a new owner reuses no number that the previous one may have given.
RUNS_PER_EPOCH = 10_000
# Between attempts at a start whose answer did not come.
RETRY_INTERVAL_MS = 40


@dataclasses.dataclass(slots=True, frozen=True)
class StartDecision:
    """Decision to start a run of a task.

    Attributes:
      info: The worker.
      job: The job.
      stage: Its stage.
      task: The task.
      run: Number of the run.
      ticket: Permission to start on the worker; '' where none is needed.
      life: Number of the worker's life that the decision is for; it rises with
        each restart of the worker.
    """

    info: books.Host
    job: jobs.Job
    stage: jobs.Stage
    task: jobs.Task
    run: int
    ticket: str
    life: int


def choose_run_number(cluster: books.Book, tasks: list[jobs.Task]) -> int:
    """Returns a run number above all that the tasks may have used."""
    min_run = (cluster.epoch - 1) * RUNS_PER_EPOCH
    return max(min_run, *(task.run for task in tasks)) + 1


def start_run(ownership: ownerships.Ownership, decision: StartDecision) -> None:
    """Reserves the resources of a run and queues its start command."""
    task = decision.task
    task.phase = jobs.Phase.STARTING
    task.run = decision.run
    task.began_ms = ownership.clock.now_ms()
    name = books.name_task(decision.job, decision.stage, task.index)
    counters.record(
        ownership.figures.wait_ms,
        task.began_ms - task.waiting_since_ms,
        decision.job.order.queue,
    )
    books.occupy(ownership.book, decision.info, decision.job, name, task)
    logger.info(
        'run_placed',
        extra={
            'task': jobs.format_task(name),
            'run': decision.run,
            'worker': decision.info.worker.id,
            'token': ownership.book.epoch,
            'waited_ms': task.began_ms - task.waiting_since_ms,
        },
    )
    commands = ownership.orders[decision.info.worker.id]
    commands.queue.put_nowait(lambda: _send_start(ownership, decision, name))


async def _send_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
) -> None:
    """Sends a start command until it is known whether the worker took it.

    After the time for which the command is valid, the run is stopped instead.
    """
    info, task = decision.info, decision.task
    until_ms = leases.extend_lease(info, ownership.limits.start_ms, ownership)
    give_up_ms = ownership.clock.now_ms() + ownership.limits.start_ms
    may_have_started = False
    attempt = 0
    while (
        _is_current(ownership, decision)
        and ownership.clock.now_ms() < give_up_ms
    ):
        sent_ms = ownership.clock.now_ms()
        result = await ownership.runners.start(
            info.worker,
            _make_start_command(ownership, decision, name, until_ms),
            bounds.get_attempt_limit(ownership.limits, attempt),
        )
        attempt += 1
        counters.record(
            ownership.figures.start_ms, ownership.clock.now_ms() - sent_ms
        )
        match result:
            case runners.Taken():
                counters.count(ownership.figures.starts, 'taken')
                _confirm_start(ownership, decision)
                return
            case runners.Refused(reason):
                counters.count(ownership.figures.starts, reason.value)
                fences.handle_refusal(ownership, info, reason)
                _handle_refused_start(
                    ownership, decision, name, reason, may_have_started
                )
                return
            case runners.Unreached() if not may_have_started:
                fences.handle_refusal(
                    ownership, info, runners.Refusal.UNHEALTHY
                )
                _handle_refused_start(
                    ownership, decision, name, runners.Refusal.UNHEALTHY, False
                )
                return
            case runners.Unanswered() | runners.Unreached():
                counters.count(ownership.figures.starts, 'unanswered')
                may_have_started = True
        await clock_lib.sleep(RETRY_INTERVAL_MS)
    if task.run == decision.run and task.phase is jobs.Phase.STARTING:
        if not may_have_started and not ownerships.may_act(ownership):
            _handle_refused_start(
                ownership, decision, name, runners.Refusal.LATE, False
            )
            return
        logger.warning(
            'start_unanswered',
            extra={
                'task': jobs.format_task(name),
                'run': decision.run,
                'worker': info.worker.id,
            },
        )
        _stop_unsettled_start(ownership, decision, name)


def _is_current(
    ownership: ownerships.Ownership, decision: StartDecision
) -> bool:
    return (
        decision.task.run == decision.run
        and decision.task.phase is jobs.Phase.STARTING
        and decision.info.worker.life == decision.life
        and ownerships.may_act(ownership)
    )


def _make_start_command(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
    until_ms: int,
) -> runners.Start:
    return runners.Start(
        name,
        decision.run,
        decision.job.order.payload,
        until_ms,
        ownership.book.epoch,
        decision.task.checkpoint,
        decision.ticket,
    )


def _confirm_start(
    ownership: ownerships.Ownership, decision: StartDecision
) -> None:
    task, job = decision.task, decision.job
    decision.stage.begun = job.has_begun = True
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    if task.run == decision.run and task.phase is jobs.Phase.STARTING:
        task.phase = jobs.Phase.RUNNING
        task.settled_ms = ownership.clock.now_ms()


def _handle_refused_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
    reason: runners.Refusal,
    may_have_started: bool,
) -> None:
    """Handles a start command that the worker refused.

    An earlier attempt without an answer may still take effect. The run is then
    stopped first, which also bars it from starting later, and only after that
    may its task start again.
    """
    task = decision.task
    logger.info(
        'start_refused',
        extra={
            'task': jobs.format_task(name),
            'run': decision.run,
            'worker': decision.info.worker.id,
            'why': reason.value,
            'open': may_have_started,
        },
    )
    if reason is runners.Refusal.NO_TICKET:
        decision.stage.advice.tickets.pop(decision.info.worker.id, None)
        decision.stage.advice.asked.pop(decision.info.worker.id, None)
    if task.run != decision.run or task.phase is not jobs.Phase.STARTING:
        return
    if may_have_started or reason is runners.Refusal.OLD:
        _stop_unsettled_start(ownership, decision, name)
        return
    books.vacate(ownership.book, name, ownership.clock.now_ms())
    ends.requeue_stage(ownership, decision.job, decision.stage)
    _stop_gang(ownership, decision)


def _stop_unsettled_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
) -> None:
    """Stops a run that may have started, and all tasks started with it.

    The stop command also bars the run from starting later.
    """
    stops.stop_run(ownership, name, decision.task, 'start_unsettled')
    _stop_gang(ownership, decision)


def _stop_gang(
    ownership: ownerships.Ownership, decision: StartDecision
) -> None:
    """Stops the other tasks of a gang, which run only together."""
    if not decision.stage.step.all_at_once:
        return
    for member in decision.stage.tasks:
        if member.run == decision.run and member.worker:
            name = books.name_task(decision.job, decision.stage, member.index)
            stops.stop_run(ownership, name, member, 'gang_incomplete')
