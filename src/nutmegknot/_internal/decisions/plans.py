"""State of one planning pass: free resources, and the decisions made so far.

A planning pass chooses the waiting tasks that start now. It subtracts what
they need from copies of the workers' free resources and of the customers'
usage; the job owner's own state does not change.
"""

import dataclasses
import operator

from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.decisions import usage_bounds
from nutmegknot._internal.models import advice_requests as advice_requests_lib
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import usage_ceilings
from nutmegknot._internal.models import workers

# Time without an answer after which a worker gets no new tasks, in ms.
MAX_SILENCE_MS = 700
# Number of requirements above which the eligibility cache is emptied.
MAX_CACHED_REQUIREMENTS = 2_000


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


@dataclasses.dataclass(slots=True, frozen=True)
class EligibleWorkers:
    """Usable workers that could run a step's task if they ran nothing.

    Attributes:
      infos: The workers.
      positions: Position of each worker in infos, by worker id.
    """

    infos: list[cluster_state.WorkerInfo]
    positions: dict[str, int]


# What selects workers for a step: pool, required label, reserved resources.
_Requirement = tuple[str, str, resources.Resources]


@dataclasses.dataclass(slots=True)
class EligibilityCache:
    """Eligible workers of recent steps, kept from one pass to the next.

    It is emptied when the usable workers or their descriptions have changed.

    Attributes:
      infos: The usable workers that the entries refer to.
      descriptions: These workers as the platform listed them.
      entries: Eligible workers by requirement.
    """

    infos: list[cluster_state.WorkerInfo] = dataclasses.field(
        default_factory=list
    )
    descriptions: list[workers.Worker] = dataclasses.field(default_factory=list)
    entries: dict[_Requirement, EligibleWorkers] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Victim:
    """A run that could be stopped for a more urgent task.

    Attributes:
      name: Name of its task.
      priority: Priority class of its job; only more urgent tasks, of classes
        with lower numbers, may take its place.
      released: Resources that become free when it ends.
      cost: Cost of stopping it; the cheapest runs are stopped.
    """

    name: jobs.TaskName
    priority: int
    released: resources.Resources
    cost: float


@dataclasses.dataclass(slots=True)
class Plan:
    """State and result of one planning pass.

    Attributes:
      workers_by_pool: Workers on which tasks may start, by pool.
      free: Free resources of each worker, by worker id.
      max_free: Upper bound of the free resources of any worker, by pool.
      releasing: Resources that become free once the runs that are being stopped
        have ended, by worker id. A worker is added when it is first needed; see
        get_releasing.
      eligibility: Eligible workers of recent steps.
      usage: The most that each customer's tasks can take, by customer.
      ceilings: The most that they may take until higher ceilings are in the
        table, by customer.
      needed_usage: Usage of customers with tasks that could start if their
        ceilings allowed it.
      lag_ms: How late the commands that follow from the plan may be sent.
      allows_trials: Whether tasks that are suspected of crashing workers may
        start.
      idle_advisers: Number of advisers that can take one more request at once.
      on_trial: Ids of the workers on which such a trial is in progress;
        nothing else starts there.
      reserved: Ids of the workers that are reserved for a stage; stages of
        lower rank start nothing there.
      advice_requests: Requests for advice that are to be made.
      victims: Runs that could be stopped, the cheapest first, by worker id. A
        worker is added when it is first needed; see evictions.list_victims.
      placed: Tasks to be started.
      evicted: Tasks whose runs are to be stopped so that others can start.
      at_limit: Stages of which no task may start before others of their
        customers have ended.
      blocked: Stages with tasks that can't start now, each with the reason.
    """

    workers_by_pool: dict[str, list[cluster_state.WorkerInfo]]
    free: dict[str, resources.Resources]
    max_free: dict[str, resources.Resources]
    releasing: dict[str, resources.Resources]
    usage: dict[str, resources.Resources]
    ceilings: usage_ceilings.Ceilings
    eligibility: EligibilityCache
    needed_usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    lag_ms: int = 0
    allows_trials: bool = True
    idle_advisers: int = 1
    on_trial: set[str] = dataclasses.field(default_factory=set)
    reserved: set[str] = dataclasses.field(default_factory=set)
    advice_requests: list[advice_requests_lib.AdviceRequest] = (
        dataclasses.field(default_factory=list)
    )
    victims: dict[str, list[Victim]] = dataclasses.field(default_factory=dict)
    placed: list[Placement] = dataclasses.field(default_factory=list)
    evicted: list[jobs.TaskName] = dataclasses.field(default_factory=list)
    at_limit: list[RankedStage] = dataclasses.field(default_factory=list)
    blocked: list[tuple[RankedStage, str]] = dataclasses.field(
        default_factory=list
    )


def start_plan(
    cluster: cluster_state.ClusterState,
    now_ms: int,
    eligibility: EligibilityCache | None = None,
) -> Plan:
    """Returns a plan without decisions, from the job owner's state.

    Args:
      cluster: State of the jobs and workers.
      now_ms: Monotonic time in ms.
      eligibility: Eligible workers of recent steps, as an earlier pass left
        them; None for an empty cache.
    """
    by_pool: dict[str, list[cluster_state.WorkerInfo]] = {}
    free = {}
    usable = []
    for id, info in cluster.workers_by_id.items():
        if not is_usable(cluster, info, now_ms):
            continue
        usable.append(info)
        by_pool.setdefault(info.worker.pool, []).append(info)
        free[id] = cluster_state.get_free(info)
    if eligibility is None:
        eligibility = EligibilityCache()
    _update_eligibility(eligibility, usable)
    max_free = {
        pool: _find_max_free(infos, free) for pool, infos in by_pool.items()
    }
    plan = Plan(
        by_pool,
        free,
        max_free,
        {},
        usage_bounds.compute_bounds(cluster),
        usage_bounds.get_ceilings(cluster.ceilings),
        eligibility,
    )
    plan.on_trial = {
        info.worker.id for info in usable if crash_trials.has_trial(info)
    }
    return plan


def _find_max_free(
    infos: list[cluster_state.WorkerInfo], free: dict[str, resources.Resources]
) -> resources.Resources:
    amounts = [free[info.worker.id] for info in infos]
    return resources.Resources(
        max(amount.millicores for amount in amounts),
        max(amount.memory_mib for amount in amounts),
        max(amount.accelerators for amount in amounts),
        max(amount.slots for amount in amounts),
    )


def may_fit(plan: Plan, pool: str, step: jobs.Step) -> bool:
    """Returns False if a step's task certainly fits on no worker of a pool."""
    max_free = plan.max_free.get(pool)
    return max_free is not None and resources.fits(
        jobs.get_reserved(step), max_free
    )


def _update_eligibility(
    cache: EligibilityCache, usable: list[cluster_state.WorkerInfo]
) -> None:
    """Empties the cache if the usable workers have changed."""
    descriptions = [info.worker for info in usable]
    is_same = (
        len(usable) == len(cache.infos)
        and all(map(operator.is_, usable, cache.infos))
        and all(map(operator.is_, descriptions, cache.descriptions))
    )
    if not is_same or len(cache.entries) > MAX_CACHED_REQUIREMENTS:
        cache.infos, cache.descriptions = usable, descriptions
        cache.entries.clear()


def find_eligible(plan: Plan, pool: str, step: jobs.Step) -> EligibleWorkers:
    """Returns the usable workers of a pool that could run a step's task."""
    key = (pool, step.required_label, jobs.get_reserved(step))
    found = plan.eligibility.entries.get(key)
    if found is None:
        infos = [
            info
            for info in plan.workers_by_pool.get(pool, ())
            if is_eligible(info, step)
        ]
        positions = {info.worker.id: n for n, info in enumerate(infos)}
        found = EligibleWorkers(infos, positions)
        plan.eligibility.entries[key] = found
    return found


def get_releasing(
    cluster: cluster_state.ClusterState,
    plan: Plan,
    info: cluster_state.WorkerInfo,
) -> resources.Resources:
    """Returns what becomes free on a worker once stopped runs have ended."""
    total = plan.releasing.get(info.worker.id)
    if total is not None:
        return total
    total = resources.ZERO
    for name, task in info.runs.items():
        if task.phase is jobs.TaskPhase.STOPPING:
            step = cluster.jobs[name.job].spec.steps[name.step]
            total = resources.add(total, jobs.get_reserved(step))
    plan.releasing[info.worker.id] = total
    return total


def takes_starts(
    cluster: cluster_state.ClusterState, info: cluster_state.WorkerInfo
) -> bool:
    """Returns whether platform and operators let a worker start tasks."""
    return (
        info.is_listed
        and info.is_described
        and info.worker.state is workers.TargetState.LIVE
        and info.worker.domain not in cluster.settings.closed_domains
    )


def is_usable(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    now_ms: int,
) -> bool:
    """Returns whether tasks may start on a worker now."""
    return (
        info.is_claimed
        and info.is_registered
        and not info.unexpected_runs
        and takes_starts(cluster, info)
        and now_ms >= max(info.no_starts_before_ms, info.quarantine_until_ms)
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
    if id not in plan.free or id in plan.reserved or id in plan.on_trial:
        return False
    if step.max_per_worker and counts.get(id, 0) >= step.max_per_worker:
        return False
    return resources.fits(jobs.get_reserved(step), plan.free[id])


def deduct_free(plan: Plan, id: str, needed: resources.Resources) -> None:
    """Subtracts what a task needs from a worker's free resources."""
    plan.free[id] = resources.subtract(plan.free[id], needed)


def deduct_free_or_releasing(
    cluster: cluster_state.ClusterState,
    plan: Plan,
    info: cluster_state.WorkerInfo,
    needed: resources.Resources,
) -> bool:
    """Subtracts what a task needs from free and soon released resources.

    Returns:
      Whether they suffice; if they do not, nothing is subtracted.
    """
    id = info.worker.id
    releasing = get_releasing(cluster, plan, info)
    total = plan.free[id]
    if releasing is not resources.ZERO:
        total = resources.add(total, releasing)
    if not resources.fits(needed, total):
        return False
    left = resources.subtract(total, needed)
    plan.free[id] = resources.compute_minimum(plan.free[id], left)
    plan.releasing[id] = resources.subtract(left, plan.free[id])
    return True
