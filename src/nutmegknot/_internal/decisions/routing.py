"""Choice of the fleet partition that a request is assigned to.

The loads that the choice is made from are some seconds old. Two things keep
the choosers from all picking the partition that looked best: each compares
only a few partitions drawn at random, weighted by their capacity, and counts
what it has itself assigned since a load was taken.
"""

from collections.abc import Sequence
import dataclasses
import random

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Partitions compared for each request.
CHOICES = 2
# Age in ms beyond which a load counts as stale, and its free resources as used.
STALE_MS = 10_000
# Queue in parts of the capacity that weighs as much as a request that cannot
# start at once.
_NO_ROOM = 1.0
_NO_HOLE = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class PartitionLoad:
    """Load of a fleet partition, as its owner last reported it.

    Attributes:
      name: Name of the partition.
      domain: Its failure domain.
      region: Its region.
      epoch: Epoch of the ownership.
      open: Whether tasks may start in it.
      capacity: What its workers have.
      free: What its workers have left.
      largest_hole: The free resources of the worker that has most left.
      shapes: Capacities of its workers, each once.
      queued: What its waiting requests ask for, by priority class.
      services: Replicas that it runs or queues, by service.
      at_ms: Wall clock instant in ms at which the load was taken.
    """

    name: str
    domain: str
    region: str
    epoch: int
    open: bool = True
    capacity: resources.Resources = resources.NOTHING
    free: resources.Resources = resources.NOTHING
    largest_hole: resources.Resources = resources.NOTHING
    shapes: tuple[resources.Resources, ...] = ()
    queued: tuple[resources.Resources, ...] = (
        resources.NOTHING,
        resources.NOTHING,
        resources.NOTHING,
    )
    services: dict[str, int] = dataclasses.field(default_factory=dict)
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Assigned:
    """What this instance has assigned since the loads were taken.

    Attributes:
      since_ms: Instant in ms of the load that the amounts add to, by partition.
      amounts: Resources assigned, by partition.
      services: Replicas assigned, by partition and service.
    """

    since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    amounts: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    services: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Chosen:
    """The request goes to this fleet partition."""

    name: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class NeverRunnable:
    """No worker that exists could ever run the request; detail says why."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class NoneOpen:
    """No open partition that could run the request is known now."""

    detail: str


Choice = Chosen | NeverRunnable | NoneOpen


def choose_partition(
    req: requests.Request,
    loads: Sequence[PartitionLoad],
    rng: random.Random,
    now_ms: int,
    assigned: Assigned | None = None,
    avoid: frozenset[str] = frozenset(),
) -> Choice:
    """Chooses where a request can start soonest.

    Args:
      req: The request.
      loads: A load of every fleet partition of the cell. If some are not known
        yet, the answer may be NeverRunnable too early; leave such requests
        to the fleet partitions until all are known.
      rng: Seeded source of random numbers.
      now_ms: Wall clock instant in ms.
      assigned: What was assigned since; the choice is added to it.
      avoid: Names of partitions that gave the request back lately; they are
        chosen only if there is no other.

    Returns:
      The partition, or why there is none.
    """
    able = [load for load in loads if _could_run(req, load)]
    if loads and not able:
        return NeverRunnable(_explain_never(req, loads))
    open_loads = [load for load in able if load.open]
    if not open_loads:
        return NoneOpen('no open failure domain has a worker that fits it')
    preferred = [load for load in open_loads if load.name not in avoid]
    best = _choose_best(req, preferred or open_loads, rng, now_ms, assigned)
    if assigned is not None:
        _add_assigned(assigned, req, best)
    return Chosen(best.name, best.epoch)


def _could_run(req: requests.Request, load: PartitionLoad) -> bool:
    """Tells whether the partition, all of it free, has room for a request."""
    if not any(resources.fits(req.size, shape) for shape in load.shapes):
        return False
    whole = resources.multiply(req.size, req.members)
    return resources.fits(whole, load.capacity)


def _explain_never(
    req: requests.Request, loads: Sequence[PartitionLoad]
) -> str:
    if any(
        resources.fits(req.size, shape)
        for load in loads
        for shape in load.shapes
    ):
        return (
            f'no fleet partition is large enough for {req.members} members '
            'at once'
        )
    return f'no worker that exists is large enough for {req.size}'


def _choose_best(
    req: requests.Request,
    loads: list[PartitionLoad],
    rng: random.Random,
    now_ms: int,
    assigned: Assigned | None,
) -> PartitionLoad:
    if req.service:
        fewest = min(_count_replicas(req, load, assigned) for load in loads)
        loads = [
            load
            for load in loads
            if _count_replicas(req, load, assigned) == fewest
        ]
    if req.members == 1:
        loads = _draw(loads, rng)
    scores = [_compute_wait(req, load, now_ms, assigned) for load in loads]
    return loads[scores.index(min(scores))]


def _draw(
    loads: list[PartitionLoad], rng: random.Random
) -> list[PartitionLoad]:
    """Draws some partitions without replacement, weighted by capacity."""
    left = list(loads)
    drawn: list[PartitionLoad] = []
    while left and len(drawn) < CHOICES:
        weights = [1 + load.capacity.millicores for load in left]
        number = rng.choices(range(len(left)), weights)[0]
        drawn.append(left.pop(number))
    return drawn


def _count_replicas(
    req: requests.Request, load: PartitionLoad, assigned: Assigned | None
) -> int:
    count = load.services.get(req.service, 0)
    if assigned is None or assigned.since_ms.get(load.name) != load.at_ms:
        return count
    return count + assigned.services.get((load.name, req.service), 0)


def _compute_wait(
    req: requests.Request,
    load: PartitionLoad,
    now_ms: int,
    assigned: Assigned | None,
) -> float:
    """Returns a number that rises with the wait to be expected."""
    ahead = resources.NOTHING
    for queued in load.queued[: req.priority + 1]:
        ahead = resources.add(ahead, queued)
    if assigned is not None and assigned.since_ms.get(load.name) == load.at_ms:
        before = assigned.amounts.get(load.name, resources.NOTHING)
        ahead = resources.add(ahead, before)
    free = load.free
    if now_ms - load.at_ms > STALE_MS:
        free = resources.NOTHING
    whole = resources.multiply(req.size, req.members)
    needed = resources.add(ahead, whole)
    wait = resources.compute_dominant_share(needed, load.capacity)
    if not resources.fits(needed, free):
        wait += _NO_ROOM
    elif not resources.fits(req.size, load.largest_hole):
        wait += _NO_HOLE
    return wait


def _add_assigned(
    assigned: Assigned, req: requests.Request, load: PartitionLoad
) -> None:
    if assigned.since_ms.get(load.name) != load.at_ms:
        assigned.since_ms[load.name] = load.at_ms
        assigned.amounts[load.name] = resources.NOTHING
        for pair in [p for p in assigned.services if p[0] == load.name]:
            del assigned.services[pair]
    whole = resources.multiply(req.size, req.members)
    before = assigned.amounts[load.name]
    assigned.amounts[load.name] = resources.add(before, whole)
    if req.service:
        pair = (load.name, req.service)
        assigned.services[pair] = assigned.services.get(pair, 0) + 1
