"""State of one ownership of the jobs, from the takeover until it ends."""

import asyncio
import dataclasses
import random

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import runners
from nutmegknot._internal.decisions import backlogs
from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import pool_load
from nutmegknot._internal.jobs import command_queues
from nutmegknot._internal.jobs import early_cancels as early_cancels_lib
from nutmegknot._internal.jobs import job_metrics
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.jobs import time_limits
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import event_loop_lag
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class UnsentStart:
    """A start command that waits for a write.

    Attributes:
      write: Number of the write that has to be in the table first; 0 if none.
      key: Key of the row of that write.
      worker: Id of the worker.
      send: Sends the command.
    """

    write: int
    key: str
    worker: str
    send: command_queues.Send


@dataclasses.dataclass(slots=True)
class Ownership:
    """One ownership of the jobs by this instance.

    Attributes:
      clock: Source of time.
      rng: Source of jitter.
      limits: Time-outs, lease lengths and intervals.
      runners: Access to workers.
      advisers: Functions that ask the advice service, by instance address.
        Each asks through another instance and makes one call at a time.
      writer: Writes rows to the table and renews the ownership.
      cluster: Jobs and workers as the owner knows them.
      tasks: asyncio tasks that are cancelled when the ownership ends.
      metrics: Metrics of the instance.
      routes: Routes to the store; None if there is only the direct one.
      lag: How late timers of this process fire.
      eligibility: Eligible workers of recent steps, for the scheduling passes.
      last_lost_answer_ms: When a poll of any worker was last not answered in
        time; 0 if none was.
      scheduling_needed: Notified when tasks may have become ready to be placed.
      list_needed: Notified when a worker is in a life that has not been listed.
      worker_claimed: Notified when a worker first answers this owner, or is
        gone.
      write_completed: Notified after each write that took effect.
      commands_by_worker: Waiting commands by worker id.
      unsent_starts: Start commands that wait for a write.
      advice_needed: Notified when a stage needs advice.
      unsaved_jobs: Ids of jobs whose newest write is not in the table yet.
      timed_jobs: Ids of jobs with due times to come.
      pending_submissions: Outcomes of submissions that are being handled, by
        job id.
      early_cancels: Cancels of jobs that are not known.
      advice_queue: Requests for advice that wait to be sent.
      rates: Jobs that each customer has submitted recently.
      backlog: What waited for capacity when that was last assessed.
      backlog_due_ms: When it is assessed again.
      load_averages: Average use of the pools by each class of priority.
      customers_over: Customers that have exceeded their rates lately.
    """

    clock: clock_lib.Clock
    rng: random.Random
    limits: time_limits.TimeLimits
    runners: runners.Runners
    advisers: dict[str, advisers.Advise]
    writer: writers.Writer
    cluster: cluster_state.ClusterState
    tasks: tasks.TaskSet
    metrics: job_metrics.JobMetrics
    routes: store_routes.StoreRoutes | None = None
    lag: event_loop_lag.EventLoopLag = dataclasses.field(
        default_factory=event_loop_lag.EventLoopLag
    )
    eligibility: plans.EligibilityCache = dataclasses.field(
        default_factory=plans.EligibilityCache
    )
    last_lost_answer_ms: int = 0
    scheduling_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    list_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    worker_claimed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    write_completed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    commands_by_worker: dict[str, command_queues.CommandQueue] = (
        dataclasses.field(default_factory=dict)
    )
    unsent_starts: list[UnsentStart] = dataclasses.field(default_factory=list)
    advice_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    unsaved_jobs: set[str] = dataclasses.field(default_factory=set)
    timed_jobs: set[str] = dataclasses.field(default_factory=set)
    pending_submissions: dict[str, asyncio.Future[outcomes.SubmitOutcome]] = (
        dataclasses.field(default_factory=dict)
    )
    early_cancels: early_cancels_lib.EarlyCancels = dataclasses.field(
        default_factory=early_cancels_lib.EarlyCancels
    )
    advice_queue: advice_requests.AdviceQueue = dataclasses.field(
        default_factory=advice_requests.AdviceQueue
    )
    rates: customer_rates.CustomerRates = dataclasses.field(
        default_factory=customer_rates.CustomerRates
    )
    backlog: backlogs.Backlog = dataclasses.field(
        default_factory=backlogs.Backlog
    )
    backlog_due_ms: int = 0
    load_averages: pool_load.LoadAverages = dataclasses.field(
        default_factory=pool_load.LoadAverages
    )
    customers_over: set[str] = dataclasses.field(default_factory=set)


def may_act(ownership: Ownership) -> bool:
    """Tells whether this instance may still act as the owner.

    That is so for a limited time after its last confirmed write, and for the
    whole of an outage in which no instance reaches the store: then no instance
    can take over. An instance that reaches the store again waits for the full
    lease before it takes over, and by then the owner has written the owner row.
    """
    if writers.has_authority(ownership.writer, ownership.limits.authority_ms):
        return True
    is_store_down = (
        ownership.routes is not None
        and store_routes.is_unreachable_for_all(ownership.routes)
    )
    return is_store_down and not ownership.writer.is_lost


def has_session(ownership: Ownership, info: cluster_state.WorkerInfo) -> bool:
    """Tells whether the session with a worker is still open."""
    return ownership.cluster.workers_by_id.get(info.worker.id) is info


def compute_call_timeout(ownership: Ownership, attempt: int) -> int:
    """Returns the time-out of an attempt at a call to a worker in ms.

    The lag of this process is added once for the sending and once for the
    answer, so that a worker does not look silent because its owner is late.

    Args:
      ownership: The ownership.
      attempt: Number of the attempt, from 0.
    """
    own_ms = 2 * int(ownership.lag.peak_ms)
    return own_ms + time_limits.compute_attempt_timeout(
        ownership.limits, attempt
    )


def compute_start_validity(ownership: Ownership) -> int:
    """Returns how long after its sending a start may take effect, in ms.

    The lag of this process is added, since the command leaves it that much
    later. Like any lease, a start ends before the next owner may assume that
    nothing of this one is left.
    """
    return min(
        ownership.limits.worker_lease_ms,
        ownership.limits.start_validity_ms + int(ownership.lag.peak_ms),
    )


def is_written(ownership: Ownership, job: jobs.Job) -> bool:
    """Tells whether all that is known of a job is in the table."""
    return writers.is_durable(
        ownership.writer,
        job.latest_write,
        rows.get_job_key(job.spec.id),
        rows.get_progress_key(job.spec.id),
    )


def is_progress_rejected(ownership: Ownership, job: jobs.Job) -> bool:
    """Tells whether the table service rejects the progress of a job."""
    key = rows.get_progress_key(job.spec.id)
    return key in ownership.writer.rejected_writes


def queue_progress_write(
    ownership: Ownership, job: jobs.Job, *, is_hurried: bool = False
) -> None:
    """Queues a write of the row that keeps a job's progress.

    Args:
      ownership: The ownership.
      job: The job.
      is_hurried: Whether to write at once instead of waiting for more rows.
    """
    ownership.unsaved_jobs.add(job.spec.id)
    job.latest_write = writers.queue_write(
        ownership.writer,
        rows.get_progress_key(job.spec.id),
        lambda: rows.encode_progress(job),
        is_hurried=is_hurried,
    )
