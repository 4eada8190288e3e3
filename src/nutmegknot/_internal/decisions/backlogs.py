"""Waiting work of a pool that can't all end in time, and what is delayed of it.

Load pattern: for some seconds more work is submitted than a pool can do. It is
decided for all waiting stages of a pool together which of them are delayed.

A class of priority has the part of the pool that services and, on average, more
urgent classes leave it. Less urgent runs that can't be stopped hold a part of
that until they end.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from nutmegknot._internal.decisions import deferrals
from nutmegknot._internal.decisions import pool_load
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# A pool is overloaded if the waiting work of a class takes longer than this to
# start, in ms: about the slack of the shortest jobs.
MIN_BACKLOG_MS = 500

StageKey = tuple[str, int, int]


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
      overloaded_pools: Pools in which the work of a class waits for long.
      classes: What waits, by pool and class of priority.
      loads: Load of each pool.
    """

    deferred: set[StageKey] = dataclasses.field(default_factory=set)
    too_late: set[StageKey] = dataclasses.field(default_factory=set)
    overloaded_pools: set[str] = dataclasses.field(default_factory=set)
    classes: dict[tuple[str, int], ClassBacklog] = dataclasses.field(
        default_factory=dict
    )
    loads: dict[str, pool_load.PoolLoad] = dataclasses.field(
        default_factory=dict
    )


def assess_backlog(
    cluster: cluster_state.ClusterState,
    averages: pool_load.LoadAverages,
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
    backlog = Backlog(loads=pool_load.measure_loads(cluster, now_ms))
    pool_load.update_averages(averages, backlog.loads, now_ms)
    waiting: dict[tuple[str, int], list[WaitingStage]] = {}
    for key, stage in cluster.waiting_stages.items():
        job = cluster.jobs[key[0]]
        queue = cluster_state.get_queue(cluster, job.spec)
        load = backlog.loads.get(queue.pool)
        if (
            load is not None
            and load.is_full
            and waits_for_capacity(queue, job, stage.step)
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
            pool_load.compute_rate(averages, load, pool, priority),
            # More urgent work is done at the rate of the whole pool.
            ahead.get(pool, 0.0) / pool_load.MAX_UTILIZATION,
            sum(load.fixed_shares[other] for other in less_urgent),
            sum(load.fixed_ms[other] for other in less_urgent),
        )
        backlog.classes[pool, priority] = found_class
        total_ms = sum(stage.useful.work_ms for stage in stages)
        if make_compute_start(found_class)(total_ms) > MIN_BACKLOG_MS:
            backlog.overloaded_pools.add(pool)
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
    free_rate = max(pool_load.MIN_RATE, rate - waiting_class.held_share)

    def compute_start(work_ms: float) -> float:
        needed_ms = work_ms * work_factor
        return waiting_class.urgent_ms + min(
            needed_ms / free_rate, (needed_ms + waiting_class.held_ms) / rate
        )

    return compute_start


def waits_for_capacity(
    queue: job_settings.JobQueue, job: jobs.Job, step: jobs.Step
) -> bool:
    """Tells whether a stage takes part in the choice of what is delayed.

    Services are never delayed, and jobs without an objective can't be late.
    Stages that need a labelled worker wait for something else.
    """
    return (
        stage_ranking.has_objective(queue)
        and not jobs.is_long_running(job.spec)
        and not step.required_label
    )


def describe_stage(
    cluster: cluster_state.ClusterState,
    load: pool_load.PoolLoad,
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
    on_time_ms = times.objective_end_ms - wall_ms - times.remaining_ms
    work_ms = count * pool_load.compute_share(load, stage.step) * times.task_ms
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
    load: pool_load.PoolLoad,
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
    total_ms = sum(stage.useful.work_ms for stage in stages)
    if compute_start(total_ms) <= MIN_BACKLOG_MS:
        return frozenset(), frozenset(), total_ms
    late = {stage.key for stage in stages if stage.is_late}
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
    kept_ms = selected.kept_ms + left.kept_ms
    return selected.deferred | late, left.deferred, kept_ms


def compute_limited_rate(
    cluster: cluster_state.ClusterState, name: str, load: pool_load.PoolLoad
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
        default=pool_load.MAX_UTILIZATION,
    )
    return max(pool_load.MIN_RATE, min(pool_load.MAX_UTILIZATION, share))


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
