"""In-memory state of the instance that owns the jobs.

One instance at a time owns all jobs: it schedules their tasks on the workers.
It keeps here the jobs, the workers with the runs on them, and the resources
that the runs of each customer use. A run is one attempt of a worker to execute
a task. What must survive a change of owner is also written to the table, the
durable store that all instances share.
"""

import dataclasses
import enum

from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs as jobs_lib
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import run_time_histograms
from nutmegknot._internal.models import usage_ceilings
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True)
class WorkerLease:
    """A worker's clock and the lease under which it may execute runs.

    A worker stops its runs when the lease ends without being renewed.

    Attributes:
      clock_ms: The worker's clock as given in its newest answer.
      read_ms: Monotonic time of the owner at which that answer arrived.
      estimate_ms: Highest bound for its clock at that time that follows from
        all answers; see leases.record_clock.
      until_ms: Time by the worker's clock at which the lease ends at the
        latest. Every call that may have extended the lease counts, also if it
        had no answer.
      latest_end_ms: Monotonic time of the owner until which a lease may last
        that a call to an earlier life of the worker has given; 0 if none.
      earlier_life: Number of that life.
    """

    clock_ms: int = 0
    read_ms: int = 0
    estimate_ms: int = 0
    until_ms: int = 0
    latest_end_ms: int = 0
    earlier_life: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnd:
    """The end of one run on a worker.

    Attributes:
      ended_ms: Monotonic time of the owner at which it learned of the end.
      is_failure: Whether the run failed, or was stopped as it took too long.
      job: Id of the job.
    """

    ended_ms: int
    is_failure: bool
    job: str


@dataclasses.dataclass(slots=True, frozen=True)
class UnpersistedEnds:
    """Ends of runs that may be acknowledged once their effects are written.

    Attributes:
      number: Number of the newest of these ends.
      write: Number of the last write to the table of their effects.
      keys: Keys of the rows with the progress of their jobs.
    """

    number: int
    write: int
    keys: frozenset[str]


@dataclasses.dataclass(slots=True)
class WorkerInfo:
    """A worker and what the owner of the jobs knows about it.

    A worker gives the ends of its runs rising numbers, and lists each end until
    the owner has acknowledged its number. Times are the owner's monotonic time.

    Attributes:
      worker: The worker as the platform lists it.
      lease: Its clock and the lease for its runs.
      persisted_end: The highest number of an end whose effects are in the
        table; it is acknowledged to the worker with the next call.
      processed_end: The highest number of an end that has been processed.
      unpersisted_ends: Ends that are processed but not yet acknowledged, lowest
        number first.
      runs: Tasks whose runs hold resources there.
      used: Resources that these runs hold.
      free: Its free resources when they were last computed; see get_free.
      free_basis: The capacity and the used resources that they follow from.
      is_claimed: Whether it has accepted the owner's fencing token since the
        worker was last restarted.
      has_unread_ends: Whether it may have ends of runs that an earlier owner
        started and this one has not read. It lists a limited number of ends at
        a time, and further ones once those are acknowledged.
      is_listed: Whether the platform still lists it.
      is_described: Whether its description, with labels and capacity, is that
        of its present life. A poll may show a new life before the list does.
      is_replaced: Whether another worker answers at its address, so that this
        worker can't be running any more.
      registration_write: Number of the write that adds it to the list of
        workers in the table. No run is started there before that write is done,
        so that the next owner knows on which workers runs may be.
      is_registered: Whether that write is done.
      is_life_recorded: Whether that list names its present life.
      last_answer_ms: When it last answered; 0 if it never did.
      unanswered_since_ms: When the first call since then was sent that had no
        answer; None while calls are answered.
      silence_noticed_ms: When that call was found to have no answer.
      alive_clock_ms: Newest time of the worker's clock at which it is known to
        have been in operation.
      recent_ends: Recent ends of runs there. A worker with too many failures
        among them is put in quarantine: for a time, no run is started there.
      consecutive_quarantines: Number of quarantines since a run there last
        succeeded.
      no_starts_before_ms: No run is started there before this time.
      quarantine_until_ms: When its quarantine ends.
      quarantine_failures: The failures that led to its quarantine.
      unexpected_runs: Runs there that the owner did not expect, which hold an
        unknown amount of resources: number of the run by name of the task. The
        value for the name '' is the count of runs whose task can't be read.
      pace_percent: Percentage of full speed to which opportunistic tasks there,
        that is, those that only use idle processors, are throttled.
      over_target_since_ms: Since when the tail latency of a task there has been
        over its target; None if it is not.
      known_since_ms: When the owner learned of the worker.
      opportunistic_runs: Number of runs there of opportunistic tasks.
      latency_sensitive_runs: Number of runs there of tasks with a tail latency
        target.
      trial_runs: Number of runs there that started as trials.
      recent_ratios: Run times of the last runs there, each divided by the usual
        one; see decisions/worker_speeds.py.
      run_time_ratio: What follows from them for further runs; 0 while there are
        none, so that the value of its kind is in force.
    """

    worker: workers.Worker
    lease: WorkerLease = dataclasses.field(default_factory=WorkerLease)
    persisted_end: int = 0
    processed_end: int = 0
    unpersisted_ends: list[UnpersistedEnds] = dataclasses.field(
        default_factory=list
    )
    runs: dict[jobs_lib.TaskName, jobs_lib.Task] = dataclasses.field(
        default_factory=dict
    )
    used: resources.Resources = resources.ZERO
    free: resources.Resources = resources.ZERO
    free_basis: tuple[resources.Resources, resources.Resources] = (
        resources.ZERO,
        resources.ZERO,
    )
    is_claimed: bool = False
    has_unread_ends: bool = True
    is_listed: bool = True
    is_described: bool = True
    is_replaced: bool = False
    registration_write: int = 0
    is_registered: bool = False
    is_life_recorded: bool = True
    last_answer_ms: int = 0
    unanswered_since_ms: int | None = None
    silence_noticed_ms: int = 0
    alive_clock_ms: int = 0
    recent_ends: list[RunEnd] = dataclasses.field(default_factory=list)
    consecutive_quarantines: int = 0
    no_starts_before_ms: int = 0
    quarantine_until_ms: int = 0
    quarantine_failures: list[RunEnd] = dataclasses.field(default_factory=list)
    unexpected_runs: dict[str, int] = dataclasses.field(default_factory=dict)
    pace_percent: int = 100
    over_target_since_ms: int | None = None
    known_since_ms: int = 0
    opportunistic_runs: int = 0
    latency_sensitive_runs: int = 0
    trial_runs: int = 0
    recent_ratios: list[float] = dataclasses.field(default_factory=list)
    run_time_ratio: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class InterruptedRun:
    """A run that was on a worker when it was last known to be in operation.

    Attributes:
      name: The task.
      run: Number of the run.
      survived_ms: How long the worker is known to have executed it.
      is_on_trial: Whether it was still on trial.
      is_confirmed: Whether the worker is known to have begun it.
      is_age_known: Whether it began under this owner.
    """

    name: jobs_lib.TaskName
    run: int
    survived_ms: int
    is_on_trial: bool
    is_confirmed: bool
    is_age_known: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class MissingWorker:
    """A worker of which it is not known whether it crashed or is cut off.

    Attributes:
      worker: The worker.
      runs: The runs that it had.
      since_ms: Since when they count as lost.
    """

    worker: workers.Worker
    runs: list[InterruptedRun]
    since_ms: int


class RunKind(enum.Enum):
    """How long runs hold their resources when others need them."""

    # Until their job is cancelled.
    SERVICE = 'service'
    # Until they are stopped for more urgent ones.
    RELEASABLE = 'releasable'
    # Until they end.
    FIXED = 'fixed'


@dataclasses.dataclass(slots=True)
class ClassUsage:
    """Resources that the runs of one class and kind hold in a pool.

    Attributes:
      size: Their resources.
      work: Their resources times their estimated run times in ms.
    """

    size: resources.Resources = resources.ZERO
    work: resources.Resources = resources.ZERO


@dataclasses.dataclass(slots=True)
class ClusterState:
    """Jobs, workers and usage as the owner of the jobs knows them.

    Attributes:
      epoch: Epoch of the ownership, which rises with each change of owner. It
        is the fencing token for workers.
      owned_since_ms: Monotonic time at which the ownership began.
      settings: Operators' settings that are in force.
      takeover_complete_ms: Monotonic time from which no run of an earlier
        owner can be left that this owner does not know of. It may be in the
        future; None while it is not known.
      has_unsettled_runs: Whether it was logged that such runs may be left.
      is_takeover_complete: Whether that time was reached and logged.
      jobs: Jobs by id.
      workers_by_id: Workers by id.
      predecessor_workers: Workers on which an earlier owner may have started
        runs.
      usage: Resources of the running tasks of each customer.
      class_usage: Resources that runs hold, by pool, class of priority and
        kind.
      full_pools: Pools in which stages waited for room in the last planning
        pass.
      ceilings: Ceilings of that usage.
      waiting_stages: Stages with tasks that wait to be started, by job id,
        number of the occurrence and number of the step.
      run_time_ratios: Moving average of the run time divided by the caller's
        estimate, by pool and kind of worker.
      stage_times: Observed run times of the longest task of each stage.
      recent_pool_ratios: Run times of the last runs on workers of each pool,
        each divided by that of other runs of its step.
      recent_kind_ratios: Run times of the last runs on workers of each pool and
        kind, each divided by the usual one.
      kind_ratios: What follows from them for runs on workers of the kind.
      run_times: Observed run times by queue and step; see
        decisions/run_times.py.
      missing_workers: Workers of which it is not known whether they crashed, by
        id.
      overloaded_pools: Pools in which the work of a class waits for long; see
        decisions/backlogs.py.
      deferred_stages: Waiting stages that are delayed beyond their objective in
        favour of others, by job id, number of the occurrence and of the step.
      too_late_stages: Waiting stages that will end after their result has lost
        its value, likewise.
      tasks_by_crash: Tasks that have a record of a crash, by id of the worker
        and number of the life that ended.
    """

    epoch: int
    owned_since_ms: int
    settings: job_settings.JobSettings
    takeover_complete_ms: int | None = None
    has_unsettled_runs: bool = False
    is_takeover_complete: bool = False
    jobs: dict[str, jobs_lib.Job] = dataclasses.field(default_factory=dict)
    workers_by_id: dict[str, WorkerInfo] = dataclasses.field(
        default_factory=dict
    )
    predecessor_workers: list[workers.Worker] = dataclasses.field(
        default_factory=list
    )
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    class_usage: dict[tuple[str, int, RunKind], ClassUsage] = dataclasses.field(
        default_factory=dict
    )
    full_pools: set[str] = dataclasses.field(default_factory=set)
    ceilings: usage_ceilings.UsageCeilings = dataclasses.field(
        default_factory=usage_ceilings.UsageCeilings
    )
    waiting_stages: dict[tuple[str, int, int], jobs_lib.Stage] = (
        dataclasses.field(default_factory=dict)
    )
    run_time_ratios: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    stage_times: run_time_histograms.RunTimes = dataclasses.field(
        default_factory=run_time_histograms.RunTimes
    )
    recent_pool_ratios: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    recent_kind_ratios: dict[tuple[str, str], list[float]] = dataclasses.field(
        default_factory=dict
    )
    kind_ratios: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    run_times: run_time_histograms.RunTimes = dataclasses.field(
        default_factory=run_time_histograms.RunTimes
    )
    missing_workers: dict[str, MissingWorker] = dataclasses.field(
        default_factory=dict
    )
    overloaded_pools: set[str] = dataclasses.field(default_factory=set)
    deferred_stages: set[tuple[str, int, int]] = dataclasses.field(
        default_factory=set
    )
    too_late_stages: set[tuple[str, int, int]] = dataclasses.field(
        default_factory=set
    )
    tasks_by_crash: dict[tuple[str, int], set[jobs_lib.TaskName]] = (
        dataclasses.field(default_factory=dict)
    )


def get_free(info: WorkerInfo) -> resources.Resources:
    """Returns the free resources of a worker."""
    capacity, used = info.free_basis
    if capacity is not info.worker.capacity or used is not info.used:
        info.free_basis = (info.worker.capacity, info.used)
        info.free = resources.subtract(info.worker.capacity, info.used)
    return info.free


def find_stage(
    cluster: ClusterState, name: jobs_lib.TaskName
) -> jobs_lib.Stage | None:
    """Returns the stage of a task, or None if there is no such task."""
    job = cluster.jobs.get(name.job)
    if job is None:
        return None
    stage = job.stages.get((name.occurrence, name.step))
    if stage is None or name.index >= len(stage.tasks):
        return None
    return stage


def find_or_make_stage(
    cluster: ClusterState, name: jobs_lib.TaskName
) -> jobs_lib.Stage | None:
    """Returns the stage of a task that a worker lists.

    The stage is made if it has not been opened yet: the clock of the earlier
    owner that started the task may be ahead of this one's.

    Returns:
      The stage; None if no job that has not ended has such a task.
    """
    job = cluster.jobs.get(name.job)
    if job is None or (name.occurrence, name.step) in job.stages:
        return find_stage(cluster, name)
    steps = job.spec.steps
    if (
        jobs_lib.is_final(job)
        or name.occurrence >= jobs_lib.count_occurrences(job.spec)
        or name.step >= len(steps)
        or name.index >= steps[name.step].count
    ):
        return None
    stage = jobs_lib.make_stage(name.occurrence, name.step, steps[name.step])
    job.stages[name.occurrence, name.step] = stage
    return stage


def make_task_name(
    job: jobs_lib.Job, stage: jobs_lib.Stage, index: int
) -> jobs_lib.TaskName:
    """Returns the name of a stage's task."""
    return jobs_lib.TaskName(job.spec.id, stage.occurrence, stage.number, index)


def allocate_run(
    cluster: ClusterState,
    info: WorkerInfo,
    job: jobs_lib.Job,
    name: jobs_lib.TaskName,
    task: jobs_lib.Task,
) -> None:
    """Adds a task's run to the usage of a worker and of the customer."""
    step = job.spec.steps[name.step]
    info.runs[name] = task
    info.used = resources.add(info.used, jobs_lib.get_reserved(step))
    info.opportunistic_runs += step.is_opportunistic
    info.latency_sensitive_runs += step.tail_latency_target_ms > 0
    info.trial_runs += task.trial is not None
    customer = job.spec.customer
    usage = cluster.usage.get(customer, resources.ZERO)
    cluster.usage[customer] = resources.add(usage, step.size)
    _add_class_usage(cluster, job, step, 1)
    task.worker = info.worker.id


def _add_class_usage(
    cluster: ClusterState,
    job: jobs_lib.Job,
    step: jobs_lib.Step,
    count: int,
) -> None:
    """Adds runs of a step to what its class holds; removes if negative."""
    kind = RunKind.FIXED
    if step.is_long_running:
        kind = RunKind.SERVICE
    elif step.makes_checkpoints and (not step.is_gang or step.count == 1):
        kind = RunKind.RELEASABLE
    key = (job.spec.pool, job.spec.priority, kind)
    usage = cluster.class_usage.setdefault(key, ClassUsage())
    size = resources.multiply(jobs_lib.get_reserved(step), count)
    usage.size = resources.add(usage.size, size)
    usage.work = resources.add(
        usage.work, resources.multiply(size, step.estimate_ms)
    )


def release_run(
    cluster: ClusterState, name: jobs_lib.TaskName, now_ms: int
) -> None:
    """Removes a task's run from the usage of its worker and its customer.

    Unless the task is done, it waits for its next run from now on.
    """
    job = cluster.jobs[name.job]
    task = job.stages[name.occurrence, name.step].tasks[name.index]
    info = cluster.workers_by_id.get(task.worker)
    was_trial = task.trial is not None
    task.worker = ''
    task.trial = None
    task.started_clock_ms = 0
    if task.phase is not jobs_lib.TaskPhase.DONE:
        task.phase = jobs_lib.TaskPhase.WAITING
        task.waiting_since_ms = now_ms
    if info is None or info.runs.pop(name, None) is None:
        return
    step = job.spec.steps[name.step]
    info.used = resources.subtract(info.used, jobs_lib.get_reserved(step))
    info.opportunistic_runs -= step.is_opportunistic
    info.latency_sensitive_runs -= step.tail_latency_target_ms > 0
    info.trial_runs -= was_trial
    customer = job.spec.customer
    usage = cluster.usage.get(customer, resources.ZERO)
    cluster.usage[customer] = resources.subtract(usage, step.size)
    _add_class_usage(cluster, job, step, -1)


def get_queue(
    cluster: ClusterState, spec: jobs_lib.JobSpec
) -> job_settings.JobQueue:
    """Returns the queue of a job.

    If operators have removed the queue, returns one with the pool, priority,
    allowed failures and need for tickets that the job had when it was accepted.
    """
    queue = cluster.settings.queues.get(spec.queue)
    if queue is not None:
        return queue
    return job_settings.JobQueue(
        spec.queue,
        '',
        '',
        spec.pool,
        priority=spec.priority,
        max_failed_runs=spec.max_failed_runs,
        needs_tickets=spec.needs_tickets,
    )


def may_start(cluster: ClusterState, job: jobs_lib.Job, now_ms: int) -> bool:
    """Tells whether no run of a job's waiting tasks can be in progress.

    A run that an earlier owner started may still be unknown to this owner.
    """
    if job.spec.epoch == cluster.epoch:
        return True
    return (
        cluster.takeover_complete_ms is not None
        and now_ms >= cluster.takeover_complete_ms
    )
