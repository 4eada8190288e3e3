"""Load of the pools of workers, and the waiting work that can't end in time.

Load pattern: for some seconds more work is submitted than a pool can do. It is
decided for all waiting stages of a pool together which of them are delayed, and
for a new job whether it can still end while its result is worth anything.

Work is measured in ms for which it occupies the whole pool: the dominant share
of its tasks in the pool, times their run time. A class of priority has the part
of the pool that services and, on average, more urgent classes leave it. Less
urgent runs that can't be stopped are work that goes first.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.decisions import deferrals
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# Part of a pool that tasks of unlike sizes can occupy together.
MAX_UTILIZATION = 0.95
# Smallest part of a pool that is assumed to be available to a class, so that
# waiting times stay finite.
MIN_RATE = 0.05
# Part of a pool in use from which on it counts as full; below it, stages wait
# for something else than capacity.
FULL_SHARE = 0.8
# Time constant of the average use by a class, in ms: longer than a burst, so
# that a burst of a more urgent class counts as work to be done, and not as a
# load that lasts.
AVERAGE_MS = 10_000

StageKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """Capacity of a pool and what is in use.

    Attributes:
      capacity: Resources of all its usable workers.
      share: Dominant share of all that is in use.
      service_share: Dominant share of the tasks that run until they are
        cancelled.
      shares: Dominant share of the other running tasks, by class of priority.
      fixed_shares: Part of these whose runs can't be stopped, by class.
      fixed_ms: Work that these runs have left, by class, in ms of the whole
        pool.
      is_full: Whether stages wait for capacity.
    """

    capacity: resources.Resources = resources.ZERO
    share: float = 0.0
    service_share: float = 0.0
    shares: dict[int, float] = dataclasses.field(default_factory=dict)
    fixed_shares: dict[int, float] = dataclasses.field(default_factory=dict)
    fixed_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    is_full: bool = False


@dataclasses.dataclass(slots=True)
class LoadAverages:
    """Average use of each pool by each class of priority.

    Attributes:
      shares: Average dominant share, by pool and class.
      updated_ms: When the averages were last updated.
    """

    shares: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    updated_ms: int = 0


@dataclasses.dataclass(slots=True)
class WaitingStage:
    """A stage with tasks that wait.

    Attributes:
      key: Its job, occurrence and number.
      customer: Name of the customer.
      needed: Resources of all tasks that wait.
      is_late: Whether it can't meet its objective any more.
      on_time: Its work, to be started in time for the objective.
      useful: Its work, to be started while its result is worth anything.
    """

    key: StageKey
    customer: str
    needed: resources.Resources
    is_late: bool
    on_time: deferrals.Candidate
    useful: deferrals.Candidate


@dataclasses.dataclass(slots=True)
class ClassBacklog:
    """What waits in a pool for capacity of one class of priority.

    Attributes:
      rate: Part of the pool that is available to the class.
      urgent_ms: Time that the waiting work of more urgent classes takes.
      held_share: Part of the rate that less urgent runs hold that can't be
        stopped.
      held_ms: Work that these runs have left, in ms of the whole pool.
      useful: Work that can end while its result is worth anything, without that
        of customers at their limits.
      limited: Such work of customers at their limits, by customer.
    """

    rate: float
    urgent_ms: float = 0.0
    held_share: float = 0.0
    held_ms: float = 0.0
    useful: list[deferrals.Candidate] = dataclasses.field(default_factory=list)
    limited: dict[str, list[deferrals.Candidate]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Backlog:
    """What waits in the pools and what can't end in time.

    Attributes:
      deferred: Stages that are delayed although they could still meet their
        objective alone.
      too_late: Stages that can't end while their result is worth anything.
      classes: What waits, by pool and class of priority.
      loads: Load of each pool.
    """

    deferred: set[StageKey] = dataclasses.field(default_factory=set)
    too_late: set[StageKey] = dataclasses.field(default_factory=set)
    classes: dict[tuple[str, int], ClassBacklog] = dataclasses.field(
        default_factory=dict
    )
    loads: dict[str, PoolLoad] = dataclasses.field(default_factory=dict)


def measure_loads(
    cluster: cluster_state.ClusterState, now_ms: int
) -> dict[str, PoolLoad]:
    """Returns the load of each pool with usable workers."""
    loads: dict[str, PoolLoad] = {}
    for info in cluster.workers_by_id.values():
        if plans.is_usable(cluster, info, now_ms):
            load = loads.setdefault(info.worker.pool, PoolLoad())
            load.capacity = resources.add(load.capacity, info.worker.capacity)
    for (pool, priority, kind), usage in cluster.class_usage.items():
        found = loads.get(pool)
        if found is None:
            continue
        share = resources.compute_dominant_share(usage.size, found.capacity)
        found.share += share
        if kind is cluster_state.RunKind.SERVICE:
            found.service_share += share
            continue
        found.shares[priority] = found.shares.get(priority, 0.0) + share
        if kind is cluster_state.RunKind.FIXED:
            found.fixed_shares[priority] = share
            # On average, half of a run is left.
            found.fixed_ms[priority] = (
                resources.compute_dominant_share(usage.work, found.capacity) / 2
            )
    for pool, load in loads.items():
        load.is_full = load.share >= FULL_SHARE or pool in cluster.full_pools
    return loads


def update_averages(
    averages: LoadAverages, loads: dict[str, PoolLoad], now_ms: int
) -> None:
    """Updates the average use of the pools by the use since the last time."""
    passed_ms = min(AVERAGE_MS, now_ms - averages.updated_ms)
    averages.updated_ms = now_ms
    weight = passed_ms / AVERAGE_MS
    for pool, load in loads.items():
        for priority, share in load.shares.items():
            mean = averages.shares.get((pool, priority), share)
            averages.shares[pool, priority] = mean + weight * (share - mean)


def compute_share(load: PoolLoad, step: jobs.Step) -> float:
    """Returns the dominant share of one task of a step in a pool."""
    return resources.compute_dominant_share(
        jobs.get_reserved(step), load.capacity
    )


def compute_rate(
    averages: LoadAverages, load: PoolLoad, pool: str, priority: int
) -> float:
    """Returns the part of a pool that is available to a class of priority."""
    urgent_share = sum(
        min(share, load.shares.get(other, 0.0))
        for (other_pool, other), share in averages.shares.items()
        if other_pool == pool and other < priority
    )
    return max(MIN_RATE, MAX_UTILIZATION - load.service_share - urgent_share)


def assess_backlog(
    cluster: cluster_state.ClusterState,
    averages: LoadAverages,
    now_ms: int,
    wall_ms: int,
) -> Backlog:
    """Decides which of the waiting stages are delayed.

    Args:
      cluster: State of the jobs and workers.
      averages: Average use of the pools; it is updated.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.
    """
    backlog = Backlog(loads=measure_loads(cluster, now_ms))
    update_averages(averages, backlog.loads, now_ms)
    waiting: dict[tuple[str, int], list[WaitingStage]] = {}
    for key, stage in cluster.waiting_stages.items():
        job = cluster.jobs[key[0]]
        queue = cluster_state.get_queue(cluster, job.spec)
        load = backlog.loads.get(queue.pool)
        if (
            load is not None
            and load.is_full
            and waits_for_capacity(queue, job, stage)
            and cluster_state.may_start(cluster, job, now_ms)
        ):
            found = describe_stage(cluster, load, job, stage, wall_ms)
            if found is not None:
                waiting.setdefault((queue.pool, queue.priority), []).append(
                    found
                )
    ahead: dict[str, float] = {}
    for (pool, priority), stages in sorted(waiting.items()):
        load = backlog.loads[pool]
        less_urgent = [other for other in load.fixed_ms if other > priority]
        found_class = ClassBacklog(
            compute_rate(averages, load, pool, priority),
            # More urgent work is done at the rate of the whole pool.
            ahead.get(pool, 0.0) / MAX_UTILIZATION,
            sum(load.fixed_shares[other] for other in less_urgent),
            sum(load.fixed_ms[other] for other in less_urgent),
        )
        backlog.classes[pool, priority] = found_class
        ahead[pool] = ahead.get(pool, 0.0) + _assess_class(
            cluster, backlog, found_class, stages, load
        )
    return backlog


def make_compute_start(
    waiting_class: ClassBacklog, work_factor: float = 1.0
) -> Callable[[float], float]:
    """Returns what computes when all of some work of a class has started.

    The runs that can't be stopped hold their part of the pool until they end,
    so short work goes past them in the rest of the pool.

    Args:
      waiting_class: The class.
      work_factor: Part of its estimated time that the work takes.
    """
    rate = waiting_class.rate
    free_rate = max(MIN_RATE, rate - waiting_class.held_share)

    def compute_start(work_ms: float) -> float:
        needed_ms = work_ms * work_factor
        return waiting_class.urgent_ms + min(
            needed_ms / free_rate, (needed_ms + waiting_class.held_ms) / rate
        )

    return compute_start


def waits_for_capacity(
    queue: job_settings.JobQueue, job: jobs.Job, stage: jobs.Stage
) -> bool:
    """Tells whether a stage takes part in the choice of what is delayed.

    Services are never delayed, and jobs without an objective can't be late.
    Stages that need advice or a labelled worker wait for something else.
    """
    return (
        stage_ranking.has_objective(queue)
        and not jobs.is_long_running(job.spec)
        and not stage.step.required_label
        and not (queue.needs_tickets and not stage.advice.tickets)
    )


def describe_stage(
    cluster: cluster_state.ClusterState,
    load: PoolLoad,
    job: jobs.Job,
    stage: jobs.Stage,
    wall_ms: int,
) -> WaitingStage | None:
    """Returns the work of a stage's waiting tasks; None if it has no value.

    A stage has no value if its job can't end in time even alone.
    """
    count = sum(task.phase is jobs.TaskPhase.WAITING for task in stage.tasks)
    times = stage_ranking.compute_times(cluster, job, stage)
    useful_ms = times.worthless_from_ms - wall_ms - times.remaining_ms
    if not count or useful_ms < 0:
        return None
    on_time_ms = times.latest_objective_end_ms - wall_ms - times.remaining_ms
    work_ms = count * compute_share(load, stage.step) * times.task_ms
    key = (job.spec.id, stage.occurrence, stage.number)
    return WaitingStage(
        key,
        job.spec.customer,
        resources.multiply(stage.step.size, count),
        on_time_ms < 0,
        deferrals.Candidate(key, work_ms, on_time_ms, job.is_excess),
        deferrals.Candidate(key, work_ms, useful_ms, job.is_excess),
    )


def _assess_class(
    cluster: cluster_state.ClusterState,
    backlog: Backlog,
    waiting_class: ClassBacklog,
    stages: list[WaitingStage],
    load: PoolLoad,
) -> float:
    """Decides on the stages of one class in one pool.

    Returns:
      The work of the class that is kept.
    """
    limited = find_limited(cluster, stages)
    free = [stage for stage in stages if stage.key not in limited]
    waiting_class.useful = [stage.useful for stage in free]
    by_customer: dict[str, list[WaitingStage]] = {}
    for stage in stages:
        by_customer.setdefault(stage.customer, []).append(stage)
    for name, own in by_customer.items():
        if not any(stage.key in limited for stage in own):
            continue
        waiting_class.limited[name] = [stage.useful for stage in own]
        limited_class = ClassBacklog(compute_limited_rate(cluster, name, load))
        late, too_late, _ = _assess_stages(own, limited_class)
        backlog.deferred |= late & limited
        backlog.too_late |= too_late & limited
    late, too_late, kept_ms = _assess_stages(free, waiting_class)
    backlog.deferred |= late
    backlog.too_late |= too_late
    return kept_ms


def _assess_stages(
    stages: list[WaitingStage], waiting_class: ClassBacklog
) -> tuple[frozenset[StageKey], frozenset[StageKey], float]:
    """Returns what is delayed, what will end too late, and the work kept."""
    compute_start = make_compute_start(waiting_class)
    selected = deferrals.choose_deferred(
        (stage.on_time for stage in stages if not stage.is_late), compute_start
    )
    left = deferrals.choose_deferred(
        (
            stage.useful
            for stage in stages
            if stage.is_late or stage.key in selected.deferred
        ),
        lambda work_ms: compute_start(selected.kept_ms + work_ms),
    )
    return selected.deferred, left.deferred, selected.kept_ms + left.kept_ms


def compute_limited_rate(
    cluster: cluster_state.ClusterState, name: str, load: PoolLoad
) -> float:
    """Returns the part of a pool that a customer's limit allows it.

    The limited resource of which it may have the smallest part decides.
    """
    customer = cluster.settings.customers.get(name)
    limit = resources.ZERO if customer is None else customer.limit
    parts = (
        (limit.millicores, load.capacity.millicores),
        (limit.memory_mib, load.capacity.memory_mib),
        (limit.accelerators, load.capacity.accelerators),
    )
    share = min(
        (part / whole for part, whole in parts if part > 0 and whole > 0),
        default=MAX_UTILIZATION,
    )
    return max(MIN_RATE, min(MAX_UTILIZATION, share))


def find_limited(
    cluster: cluster_state.ClusterState, stages: Iterable[WaitingStage]
) -> set[StageKey]:
    """Returns the stages that wait for their customer's limit.

    They take no capacity from others until other work of their customer ends.
    """
    limited = set()
    claimed = dict(cluster.usage)
    ordered = sorted(
        stages, key=lambda stage: (stage.on_time.latest_start_ms, stage.key)
    )
    for stage in ordered:
        customer = cluster.settings.customers.get(stage.customer)
        if customer is None:
            continue
        total = resources.add(
            claimed.get(customer.name, resources.ZERO), stage.needed
        )
        if job_settings.is_within(total, customer.limit):
            claimed[customer.name] = total
        else:
            limited.add(stage.key)
    return limited
