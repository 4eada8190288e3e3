"""Load of the pools of workers, by class of priority.

Load pattern: for some seconds more work is submitted than a pool can do, beside
services that run all the time and less urgent runs that can't be stopped.

Work is measured in ms for which it occupies the whole pool: the dominant share
of its tasks in the pool, times their run time.
"""

import dataclasses

from nutmegknot._internal.decisions import plans
from nutmegknot._internal.models import cluster_state
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
