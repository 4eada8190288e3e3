"""Choice of the fleet partition that a request is assigned to.

Load pattern: many instances choose at the same time, from reports of the
partitions' loads that are some seconds old. So that they do not all choose the
partition that looked best, each instance compares only a few partitions, drawn
at random and weighted by capacity. It also adds what it has assigned itself
since a load was reported.
"""

from collections.abc import Sequence
import dataclasses
import random

from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Number of partitions compared for each request.
SAMPLED_PARTITIONS = 2
# Age in ms above which a reported load is stale: its free resources are then
# taken to be in use.
STALE_LOAD_MS = 5_000
# Added to the score of a partition without enough free resources. Waiting
# requests for the partition's whole capacity add as much.
_NO_ROOM_PENALTY = 1.0
# Added to the score of a partition that has enough free resources in total, but
# no worker with enough for one member. Waiting requests for this fraction of
# the partition's capacity add as much.
_FRAGMENTED_PENALTY = 0.25


@dataclasses.dataclass(slots=True)
class RecentAssignments:
    """Assignments of this instance that the known loads do not yet include.

    Attributes:
      load_at_ms: Monotonic time in ms of the load to which the assignments are
        added, by partition.
      amounts: Resources of the assigned requests, by partition.
      replicas: Number of replicas assigned, by partition and service.
    """

    load_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    amounts: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    replicas: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Chosen:
    """The fleet partition to assign the request to, and its current epoch."""

    name: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class NeverRunnable:
    """No partition could ever run the request; detail says why."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class NoOpenPartition:
    """No partition in an open failure domain is known to fit the request."""

    detail: str


Choice = Chosen | NeverRunnable | NoOpenPartition


def choose_partition(
    req: requests.Request,
    timed_loads: Sequence[loads.TimedLoad],
    rng: random.Random,
    now_ms: int,
    recent_assignments: RecentAssignments | None = None,
    avoid: frozenset[str] = frozenset(),
) -> Choice:
    """Chooses the partition in which a request is likely to start soonest.

    Args:
      req: The request.
      timed_loads: Last known load of every fleet partition of the cell. While a
        load does not yet cover all workers of its partition, the result is
        never NeverRunnable.
      rng: Seeded random number generator.
      now_ms: Monotonic time in ms.
      recent_assignments: Recent assignments of this instance; the choice is
        added to them.
      avoid: Names of partitions that gave the request back recently; they are
        chosen only if there is no other.

    Returns:
      The partition, or the reason why there is none.
    """
    suitable = [
        timed_load
        for timed_load in timed_loads
        if _could_run(req, timed_load.load)
    ]
    if not suitable:
        if timed_loads and all(
            timed_load.load.is_inventory_complete for timed_load in timed_loads
        ):
            return NeverRunnable(_explain_never(req, timed_loads))
        suitable = [
            timed_load
            for timed_load in timed_loads
            if not timed_load.load.is_inventory_complete
        ]
    in_open_domain = [
        timed_load for timed_load in suitable if timed_load.load.is_open
    ]
    if not in_open_domain:
        return NoOpenPartition(
            'no open failure domain has a worker that fits it'
        )
    preferred = [
        timed_load
        for timed_load in in_open_domain
        if timed_load.load.partition not in avoid
    ]
    best = _choose_best(
        req, preferred or in_open_domain, rng, now_ms, recent_assignments
    )
    if recent_assignments is not None:
        _record_assignment(recent_assignments, req, best)
    return Chosen(best.load.partition, best.load.epoch)


def _could_run(req: requests.Request, load: loads.Load) -> bool:
    """Returns whether a request would fit on the partition if it were empty."""
    member_count = sum(
        shape.count * resources.count_fitting(req.size, shape.capacity)
        for shape in load.capacity_groups
    )
    return member_count >= req.members


def _explain_never(
    req: requests.Request, timed_loads: Sequence[loads.TimedLoad]
) -> str:
    if any(
        resources.fits(req.size, shape.capacity)
        for timed_load in timed_loads
        for shape in timed_load.load.capacity_groups
    ):
        return (
            f'no fleet partition is large enough for {req.members} members '
            'at once'
        )
    return f'no worker that exists is large enough for {req.size}'


def _choose_best(
    req: requests.Request,
    timed_loads: list[loads.TimedLoad],
    rng: random.Random,
    now_ms: int,
    recent_assignments: RecentAssignments | None,
) -> loads.TimedLoad:
    if req.service:
        min_replicas = min(
            _count_replicas(req, timed_load, recent_assignments)
            for timed_load in timed_loads
        )
        timed_loads = [
            timed_load
            for timed_load in timed_loads
            if _count_replicas(req, timed_load, recent_assignments)
            == min_replicas
        ]
    if req.members == 1:
        timed_loads = _sample_partitions(timed_loads, rng)
    scores = [
        _score_wait(req, timed_load, now_ms, recent_assignments)
        for timed_load in timed_loads
    ]
    return timed_loads[scores.index(min(scores))]


def _sample_partitions(
    timed_loads: list[loads.TimedLoad], rng: random.Random
) -> list[loads.TimedLoad]:
    """Draws SAMPLED_PARTITIONS loads at random, weighted by capacity."""
    remaining = list(timed_loads)
    drawn: list[loads.TimedLoad] = []
    while remaining and len(drawn) < SAMPLED_PARTITIONS:
        weights = [
            1 + timed_load.load.capacity.millicores for timed_load in remaining
        ]
        position = rng.choices(range(len(remaining)), weights)[0]
        drawn.append(remaining.pop(position))
    return drawn


def _count_replicas(
    req: requests.Request,
    timed_load: loads.TimedLoad,
    recent_assignments: RecentAssignments | None,
) -> int:
    count = timed_load.load.services.get(req.service, 0)
    if (
        not _applies_to(recent_assignments, timed_load)
        or recent_assignments is None
    ):
        return count
    return count + recent_assignments.replicas.get(
        (timed_load.load.partition, req.service), 0
    )


def _applies_to(
    recent_assignments: RecentAssignments | None, timed_load: loads.TimedLoad
) -> bool:
    """Returns whether the assignments are newer than the reported load."""
    if recent_assignments is None:
        return False
    return (
        recent_assignments.load_at_ms.get(timed_load.load.partition)
        == timed_load.at_ms
    )


def _score_wait(
    req: requests.Request,
    timed_load: loads.TimedLoad,
    now_ms: int,
    recent_assignments: RecentAssignments | None,
) -> float:
    """Returns a score that rises with the expected wait in a partition."""
    load = timed_load.load
    queued_ahead = resources.ZERO
    for priority, queued in load.queued.items():
        if priority <= req.priority:
            queued_ahead = resources.add(queued_ahead, queued)
    if recent_assignments is not None and _applies_to(
        recent_assignments, timed_load
    ):
        queued_ahead = resources.add(
            queued_ahead, recent_assignments.amounts[load.partition]
        )
    free = load.free
    if now_ms - timed_load.at_ms > STALE_LOAD_MS:
        free = resources.ZERO
    total_size = resources.multiply(req.size, req.members)
    needed = resources.add(queued_ahead, total_size)
    wait = resources.compute_dominant_share(needed, load.capacity)
    if not resources.fits(needed, free):
        wait += _NO_ROOM_PENALTY
    elif not resources.fits(req.size, load.largest_free):
        wait += _FRAGMENTED_PENALTY
    return wait


def _record_assignment(
    recent_assignments: RecentAssignments,
    req: requests.Request,
    timed_load: loads.TimedLoad,
) -> None:
    name = timed_load.load.partition
    if not _applies_to(recent_assignments, timed_load):
        recent_assignments.load_at_ms[name] = timed_load.at_ms
        recent_assignments.amounts[name] = resources.ZERO
        for replica_key in [
            p for p in recent_assignments.replicas if p[0] == name
        ]:
            del recent_assignments.replicas[replica_key]
    total_size = resources.multiply(req.size, req.members)
    recent_assignments.amounts[name] = resources.add(
        recent_assignments.amounts[name], total_size
    )
    if req.service:
        replica_key = (name, req.service)
        recent_assignments.replicas[replica_key] = (
            recent_assignments.replicas.get(replica_key, 0) + 1
        )
