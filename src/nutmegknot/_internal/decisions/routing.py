"""Choice of the fleet partition that a request is assigned to.

The loads that the choice is made from are some seconds old. Two things keep
the choosers from all picking the partition that looked best: each compares
only a few partitions drawn at random, weighted by their capacity, and counts
what it has itself assigned since a load was taken.
"""

from collections.abc import Sequence
import dataclasses
import random

from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Partitions compared for each request.
CHOICES = 2
# Age in ms beyond which a load counts as stale, and its free resources as used.
STALE_MS = 5_000
# Queue in parts of the capacity that weighs as much as a request that cannot
# start at once.
_NO_ROOM = 1.0
_NO_HOLE = 0.25


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
    """The request goes to this fleet partition, under this epoch."""

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
    seen: Sequence[loads.SeenLoad],
    rng: random.Random,
    now_ms: int,
    assigned: Assigned | None = None,
    avoid: frozenset[str] = frozenset(),
) -> Choice:
    """Chooses where a request can start soonest.

    Args:
      req: The request.
      seen: The last load of every fleet partition of the cell. As long as one
        is not whole, no request is said to be never runnable.
      rng: Seeded source of random numbers.
      now_ms: Monotonic instant in ms.
      assigned: What was assigned since; the choice is added to it.
      avoid: Names of partitions that gave the request back lately; they are
        chosen only if there is no other.

    Returns:
      The partition, or why there is none.
    """
    able = [one for one in seen if _could_run(req, one.load)]
    if not able:
        if seen and all(one.load.is_whole for one in seen):
            return NeverRunnable(_explain_never(req, seen))
        able = [one for one in seen if not one.load.is_whole]
    opened = [one for one in able if one.load.is_open]
    if not opened:
        return NoneOpen('no open failure domain has a worker that fits it')
    preferred = [one for one in opened if one.load.partition not in avoid]
    best = _choose_best(req, preferred or opened, rng, now_ms, assigned)
    if assigned is not None:
        _add_assigned(assigned, req, best)
    return Chosen(best.load.partition, best.load.epoch)


def _could_run(req: requests.Request, load: loads.Load) -> bool:
    """Tells whether the partition, all of it free, has room for a request."""
    rooms = sum(
        shape.count * resources.count_fitting(req.size, shape.capacity)
        for shape in load.shapes
    )
    return rooms >= req.members


def _explain_never(
    req: requests.Request, seen: Sequence[loads.SeenLoad]
) -> str:
    if any(
        resources.fits(req.size, shape.capacity)
        for one in seen
        for shape in one.load.shapes
    ):
        return (
            f'no fleet partition is large enough for {req.members} members '
            'at once'
        )
    return f'no worker that exists is large enough for {req.size}'


def _choose_best(
    req: requests.Request,
    seen: list[loads.SeenLoad],
    rng: random.Random,
    now_ms: int,
    assigned: Assigned | None,
) -> loads.SeenLoad:
    if req.service:
        fewest = min(_count_replicas(req, one, assigned) for one in seen)
        seen = [
            one for one in seen if _count_replicas(req, one, assigned) == fewest
        ]
    if req.members == 1:
        seen = _draw(seen, rng)
    scores = [_compute_wait(req, one, now_ms, assigned) for one in seen]
    return seen[scores.index(min(scores))]


def _draw(
    seen: list[loads.SeenLoad], rng: random.Random
) -> list[loads.SeenLoad]:
    """Draws some partitions without replacement, weighted by capacity."""
    left = list(seen)
    drawn: list[loads.SeenLoad] = []
    while left and len(drawn) < CHOICES:
        weights = [1 + one.load.capacity.millicores for one in left]
        number = rng.choices(range(len(left)), weights)[0]
        drawn.append(left.pop(number))
    return drawn


def _count_replicas(
    req: requests.Request, one: loads.SeenLoad, assigned: Assigned | None
) -> int:
    count = one.load.services.get(req.service, 0)
    if not _is_current(assigned, one) or assigned is None:
        return count
    return count + assigned.services.get((one.load.partition, req.service), 0)


def _is_current(assigned: Assigned | None, one: loads.SeenLoad) -> bool:
    """Tells whether what was assigned is not yet part of the load."""
    if assigned is None:
        return False
    return assigned.since_ms.get(one.load.partition) == one.at_ms


def _compute_wait(
    req: requests.Request,
    one: loads.SeenLoad,
    now_ms: int,
    assigned: Assigned | None,
) -> float:
    """Returns a number that rises with the wait to be expected."""
    load = one.load
    ahead = resources.NOTHING
    for priority, queued in load.queued.items():
        if priority <= req.priority:
            ahead = resources.add(ahead, queued)
    if assigned is not None and _is_current(assigned, one):
        ahead = resources.add(ahead, assigned.amounts[load.partition])
    free = load.free
    if now_ms - one.at_ms > STALE_MS:
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
    assigned: Assigned, req: requests.Request, one: loads.SeenLoad
) -> None:
    name = one.load.partition
    if not _is_current(assigned, one):
        assigned.since_ms[name] = one.at_ms
        assigned.amounts[name] = resources.NOTHING
        for pair in [p for p in assigned.services if p[0] == name]:
            del assigned.services[pair]
    whole = resources.multiply(req.size, req.members)
    assigned.amounts[name] = resources.add(assigned.amounts[name], whole)
    if req.service:
        pair = (name, req.service)
        assigned.services[pair] = assigned.services.get(pair, 0) + 1
