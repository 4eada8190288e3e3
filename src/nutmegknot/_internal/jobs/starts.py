"""Starts runs: sends start commands to workers until their effect is known."""

import dataclasses
import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import usage_bounds
from nutmegknot._internal.jobs import command_queues
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.jobs import refusals
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

# Number of run numbers reserved for each epoch. Each owner has its own epoch,
# so a new owner reuses no number that the previous one may have assigned.
RUN_NUMBERS_PER_EPOCH = 10_000
# Interval between attempts at a start that was not answered.
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

    info: cluster_state.WorkerInfo
    job: jobs.Job
    stage: jobs.Stage
    task: jobs.Task
    run: int
    ticket: str
    life: int


def choose_run_number(
    cluster: cluster_state.ClusterState, tasks: list[jobs.Task]
) -> int:
    """Returns a run number above all that the tasks may have used."""
    min_run = (cluster.epoch - 1) * RUN_NUMBERS_PER_EPOCH
    return max(min_run, *(task.run for task in tasks)) + 1


def start_run(ownership: ownerships.Ownership, decision: StartDecision) -> None:
    """Reserves the resources of a run and queues its start command."""
    task = decision.task
    task.phase = jobs.TaskPhase.STARTING
    task.run = decision.run
    task.start_decided_ms = ownership.clock.now_ms()
    task.pace_percent = 100
    task.progress = None
    worker = decision.info.worker
    is_trial = crash_trials.is_trial_start(decision.stage, task)
    if is_trial:
        task.trial = jobs.Trial(
            decision.run, worker.id, decision.life, worker.address
        )
    name = cluster_state.make_task_name(
        decision.job, decision.stage, task.index
    )
    instruments.record(
        ownership.metrics.wait_ms,
        task.start_decided_ms - task.waiting_since_ms,
        decision.job.spec.queue,
    )
    cluster_state.allocate_run(
        ownership.cluster, decision.info, decision.job, name, task
    )
    logger.info(
        'run_placed',
        extra={
            'task': jobs.format_task(name),
            'run': decision.run,
            'worker': worker.id,
            'token': ownership.cluster.epoch,
            'waited_ms': task.start_decided_ms - task.waiting_since_ms,
            'trial': is_trial,
            **describe_usage(ownership.cluster, decision.job),
        },
    )
    number = 0
    if is_trial:
        ownerships.queue_progress_write(
            ownership, decision.job, is_hurried=True
        )
        number = decision.job.latest_write
    ownership.unsent_starts.append(
        ownerships.UnsentStart(
            number,
            rows.get_progress_key(decision.job.spec.id),
            worker.id,
            lambda: _send_start_or_stop(ownership, decision, name),
        )
    )
    send_durable_starts(ownership)


def describe_usage(
    cluster: cluster_state.ClusterState, job: jobs.Job
) -> dict[str, str]:
    """Returns usage and limit of a job's customer as fields of a log line."""
    customer = job.spec.customer
    known = cluster.settings.customers.get(customer)
    limit = resources.ZERO if known is None else known.limit
    used = cluster.usage.get(customer, resources.ZERO)
    return {
        'customer': customer,
        'used': resources.format_amount(used),
        'limit': resources.format_amount(limit),
    }


def send_durable_starts(ownership: ownerships.Ownership) -> None:
    """Queues the start commands that no longer wait for a write."""
    waiting = []
    for start in ownership.unsent_starts:
        if start.write and not writers.is_durable(
            ownership.writer, start.write, start.key
        ):
            waiting.append(start)
            continue
        commands = ownership.commands_by_worker.get(start.worker)
        if commands is not None:
            command_queues.add_command(commands, start.send)
    ownership.unsent_starts = waiting


async def _send_start_or_stop(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
) -> None:
    """Sends a start command; stops the run if that fails unexpectedly."""
    try:
        await _send_start(ownership, decision, name)
    except Exception as error:
        logger.exception(
            'start_failed',
            extra={
                'task': jobs.format_task(name),
                'run': decision.run,
                'worker': decision.info.worker.id,
                'why': repr(error),
            },
        )
        _stop_unsettled_start(ownership, decision, name)


async def _send_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
) -> None:
    """Sends a start command until it is known whether the worker took it.

    After the time for which the command is valid, the run is stopped instead.
    """
    info, task = decision.info, decision.task
    if info.worker.life != decision.life:
        # The clock of the new life is not known yet.
        _abandon_start(ownership, decision, name, may_have_started=False)
        return
    validity_ms = ownerships.compute_start_validity(ownership)
    until_ms = leases.extend_lease(info, validity_ms, ownership)
    give_up_ms = ownership.clock.now_ms() + validity_ms
    may_have_started = False
    attempt = 0
    while (
        _is_current(ownership, decision)
        and _is_within_limit(ownership, decision.job)
        and ownership.clock.now_ms() < give_up_ms
    ):
        sent_ms = ownership.clock.now_ms()
        result = await ownership.runners.start(
            info.worker,
            _make_start_command(ownership, decision, name, until_ms),
            ownerships.compute_call_timeout(ownership, attempt),
        )
        attempt += 1
        instruments.record(
            ownership.metrics.start_ms, ownership.clock.now_ms() - sent_ms
        )
        match result:
            case runners.Taken(clock_ms):
                instruments.increment(ownership.metrics.starts, 'taken')
                if attempt > 1:
                    _log_repeated_start(ownership, decision, name, attempt)
                _confirm_start(ownership, decision, clock_ms or 0)
                return
            case runners.Refused(reason):
                instruments.increment(ownership.metrics.starts, reason.value)
                refusals.handle_refusal(ownership, info, reason)
                _handle_refused_start(
                    ownership, decision, name, reason, may_have_started
                )
                return
            case runners.Unreached() if not may_have_started:
                refusals.handle_refusal(
                    ownership, info, runners.Refusal.UNHEALTHY
                )
                _handle_refused_start(
                    ownership, decision, name, runners.Refusal.UNHEALTHY, False
                )
                return
            case runners.Unanswered() | runners.Unreached():
                instruments.increment(ownership.metrics.starts, 'unanswered')
                may_have_started = True
        await clock.sleep(RETRY_INTERVAL_MS)
    if task.run == decision.run and task.phase is jobs.TaskPhase.STARTING:
        _abandon_start(ownership, decision, name, may_have_started)


def _abandon_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
    may_have_started: bool,
) -> None:
    """Stops a run that may have started; otherwise its task waits again."""
    logger.warning(
        'start_unanswered',
        extra={
            'task': jobs.format_task(name),
            'run': decision.run,
            'worker': decision.info.worker.id,
            'open': may_have_started,
            **describe_usage(ownership.cluster, decision.job),
        },
    )
    if may_have_started:
        _stop_unsettled_start(ownership, decision, name)
    else:
        _handle_refused_start(
            ownership, decision, name, runners.Refusal.EXPIRED, False
        )


def _log_repeated_start(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
    attempts: int,
) -> None:
    """Logs a start that took several attempts, with the limit as it is now."""
    task = decision.task
    logger.info(
        'start_repeated',
        extra={
            'task': jobs.format_task(name),
            'run': decision.run,
            'worker': decision.info.worker.id,
            'attempts': attempts,
            'after_ms': ownership.clock.now_ms() - task.start_decided_ms,
            **describe_usage(ownership.cluster, decision.job),
        },
    )


def _is_current(
    ownership: ownerships.Ownership, decision: StartDecision
) -> bool:
    return (
        decision.task.run == decision.run
        and decision.task.phase is jobs.TaskPhase.STARTING
        and decision.info.worker.life == decision.life
        and plans.takes_starts(ownership.cluster, decision.info)
        and ownerships.may_act(ownership)
    )


def _is_within_limit(ownership: ownerships.Ownership, job: jobs.Job) -> bool:
    """Tells whether a customer's runs are within a limit that may have fallen.

    A start that was decided counts among them.
    """
    cluster = ownership.cluster
    customer = cluster.settings.customers.get(job.spec.customer)
    if customer is None:
        return True
    bound = resources.add(
        cluster.usage.get(customer.name, resources.ZERO),
        usage_bounds.compute_unfound(
            cluster.ceilings, customer.name, customer.limit
        ),
    )
    return job_settings.is_within(bound, customer.limit)


def _make_start_command(
    ownership: ownerships.Ownership,
    decision: StartDecision,
    name: jobs.TaskName,
    until_ms: int,
) -> runners.StartCommand:
    return runners.StartCommand(
        name,
        decision.run,
        decision.job.spec.payload,
        until_ms,
        ownership.cluster.epoch,
        decision.task.checkpoint,
        decision.ticket,
    )


def _confirm_start(
    ownership: ownerships.Ownership, decision: StartDecision, clock_ms: int
) -> None:
    """Records that the worker has accepted a start.

    Args:
      ownership: The ownership of the jobs.
      decision: The start.
      clock_ms: Time of the worker's clock in its answer; 0 if it gave none.
    """
    task, job = decision.task, decision.job
    decision.stage.has_started = job.has_started = True
    if job.state is jobs.JobState.QUEUED:
        job.state = jobs.JobState.RUNNING
    if task.run == decision.run and task.phase is jobs.TaskPhase.STARTING:
        task.phase = jobs.TaskPhase.RUNNING
        task.confirmed_ms = ownership.clock.now_ms()
        task.started_clock_ms = task.started_clock_ms or clock_ms
        info = decision.info
        info.alive_clock_ms = max(info.alive_clock_ms, clock_ms)
        if task.trial is not None:
            ownerships.queue_progress_write(ownership, job)


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
    if task.run != decision.run or task.phase is not jobs.TaskPhase.STARTING:
        return
    if may_have_started or reason is runners.Refusal.STALE_RUN:
        _stop_unsettled_start(ownership, decision, name)
        return
    reconciliation.release_run(ownership, decision.job, decision.stage, name)
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
    if not decision.stage.step.is_gang:
        return
    for member in decision.stage.tasks:
        if member.run == decision.run and member.worker:
            name = cluster_state.make_task_name(
                decision.job, decision.stage, member.index
            )
            stops.stop_run(ownership, name, member, 'gang_incomplete')
