"""State of one planning pass: free resources, and the decisions made so far.

A planning pass chooses the waiting tasks that start now. It subtracts what
they need from copies of the workers' free resources and of the customers'
usage; the job owner's own state does not change.
"""

import dataclasses

from nutmegknot._internal.models import advice_requests as advice_requests_lib
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# Time without an answer after which a worker gets no new tasks, in ms.
MAX_SILENCE_MS = 700


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A task that is to start on a worker.

    Attributes:
      job: The job.
      stage: The stage of the job that the task belongs to.
      index: Index of the task in the stage.
      info: The worker.
      ticket: Token that the worker demands before it starts the task; ''
        where it demands none.
    """

    job: jobs.Job
    stage: jobs.Stage
    index: int
    info: cluster_state.WorkerInfo
    ticket: str


@dataclasses.dataclass(slots=True, frozen=True)
class RankedStage:
    """A stage that waits for starts, with its rank among the waiting stages.

    Attributes:
      rank: Position in the order; the lowest goes first.
      job: The job that the stage belongs to.
      stage: The stage.
    """

    rank: advice_requests_lib.Rank
    job: jobs.Job
    stage: jobs.Stage


@dataclasses.dataclass(slots=True)
class Plan:
    """State and result of one planning pass.

    Attributes:
      workers_by_pool: Workers on which tasks may start, by pool.
      free: Free resources of each worker, by worker id.
      releasing: Resources of each worker that become free once the runs that
        are being stopped there have ended, by worker id.
      usage: Resources that each customer's tasks take, by customer.
      reserved: Ids of the workers that are reserved for a stage; stages of
        lower rank start nothing there.
      advice_requests: Requests for advice that are to be made.
      placed: Tasks to be started.
      evicted: Tasks whose runs are to be stopped so that others can start.
      blocked: Stages with tasks that can't start now, each with the reason.
    """

    workers_by_pool: dict[str, list[cluster_state.WorkerInfo]]
    free: dict[str, resources.Resources]
    releasing: dict[str, resources.Resources]
    usage: dict[str, resources.Resources]
    reserved: set[str] = dataclasses.field(default_factory=set)
    advice_requests: list[advice_requests_lib.AdviceRequest] = (
        dataclasses.field(default_factory=list)
    )
    placed: list[Placement] = dataclasses.field(default_factory=list)
    evicted: list[jobs.TaskName] = dataclasses.field(default_factory=list)
    blocked: list[tuple[RankedStage, str]] = dataclasses.field(
        default_factory=list
    )


def start_plan(cluster: cluster_state.ClusterState, now_ms: int) -> Plan:
    """Returns a plan without decisions, from the job owner's state."""
    by_pool: dict[str, list[cluster_state.WorkerInfo]] = {}
    free, releasing = {}, {}
    for id, info in cluster.workers_by_id.items():
        if not is_usable(cluster, info, now_ms):
            continue
        by_pool.setdefault(info.worker.pool, []).append(info)
        free[id] = resources.subtract(info.worker.capacity, info.used)
        releasing[id] = _sum_stopping_runs(cluster, info)
    return Plan(by_pool, free, releasing, dict(cluster.usage))


def _sum_stopping_runs(
    cluster: cluster_state.ClusterState, info: cluster_state.WorkerInfo
) -> resources.Resources:
    total = resources.ZERO
    for name, task in info.runs.items():
        if task.phase is jobs.TaskPhase.STOPPING:
            step = cluster.jobs[name.job].spec.steps[name.step]
            total = resources.add(total, jobs.get_reserved(step))
    return total


def is_usable(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    now_ms: int,
) -> bool:
    """Returns whether tasks may start on a worker now."""
    return (
        info.is_claimed
        and info.is_listed
        and info.is_registered
        and not info.unexpected_runs
        and info.worker.state is workers.TargetState.LIVE
        and info.worker.domain not in cluster.settings.closed_domains
        and now_ms >= info.no_starts_before_ms
        and (
            info.unanswered_since_ms is None
            or now_ms - info.unanswered_since_ms < MAX_SILENCE_MS
        )
    )


def is_eligible(info: cluster_state.WorkerInfo, step: jobs.Step) -> bool:
    """Returns whether a worker that runs nothing could run a step's task."""
    if step.required_label and step.required_label not in info.worker.labels:
        return False
    return resources.fits(jobs.get_reserved(step), info.worker.capacity)


def count_tasks_by_worker(stage: jobs.Stage) -> dict[str, int]:
    """Returns the number of a stage's tasks on each worker, by worker id."""
    counts: dict[str, int] = {}
    for task in stage.tasks:
        if task.worker:
            counts[task.worker] = counts.get(task.worker, 0) + 1
    return counts


def can_start_task(
    plan: Plan, step: jobs.Step, id: str, counts: dict[str, int]
) -> bool:
    """Returns whether one more task of a step could start on a worker now.

    Args:
      plan: The plan so far.
      step: The step.
      id: Id of the worker.
      counts: Number of the stage's tasks on each worker, by worker id.
    """
    if id not in plan.free or id in plan.reserved:
        return False
    if step.max_per_worker and counts.get(id, 0) >= step.max_per_worker:
        return False
    return resources.fits(jobs.get_reserved(step), plan.free[id])


def deduct_free(plan: Plan, id: str, needed: resources.Resources) -> None:
    """Subtracts what a task needs from a worker's free resources."""
    plan.free[id] = resources.subtract(plan.free[id], needed)


def deduct_free_or_releasing(
    plan: Plan, id: str, needed: resources.Resources
) -> bool:
    """Subtracts what a task needs from free and soon released resources.

    Returns:
      Whether they suffice; if they do not, nothing is subtracted.
    """
    total = resources.add(plan.free[id], plan.releasing[id])
    if not resources.fits(needed, total):
        return False
    left = resources.subtract(total, needed)
    plan.free[id] = resources.compute_minimum(plan.free[id], left)
    plan.releasing[id] = resources.subtract(left, plan.free[id])
    return True


def is_within_limit(
    cluster: cluster_state.ClusterState,
    plan: Plan,
    job: jobs.Job,
    step: jobs.Step,
) -> bool:
    """Returns whether one more task keeps its customer within its limit."""
    customer = cluster.settings.customers.get(job.spec.customer)
    if customer is None:
        return True
    usage = plan.usage.get(job.spec.customer, resources.ZERO)
    after = resources.add(usage, step.size)
    return job_settings.is_within(after, customer.limit)


def add_usage(plan: Plan, job: jobs.Job, step: jobs.Step) -> None:
    """Adds one more task to its customer's usage."""
    usage = plan.usage.get(job.spec.customer, resources.ZERO)
    plan.usage[job.spec.customer] = resources.add(usage, step.size)
