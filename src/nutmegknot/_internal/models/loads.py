"""Load of fleet partitions, as their owners tell the other instances."""

import dataclasses

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """Workers that have the same capacity, and how many there are."""

    capacity: resources.Resources
    count: int


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What a fleet partition has, holds and has waiting.

    Attributes:
      partition: Name, 'fleet-DOMAIN-N'.
      domain: Its failure domain.
      region: Its region.
      epoch: Epoch of the owner that computed it.
      is_open: Whether tasks may start in its failure domain.
      is_whole: Whether every worker has shown what it runs.
      capacity: What its workers have together.
      free: What is free on them together.
      largest_hole: Free resources of the worker that has most left.
      shapes: Its workers by capacity, the largest capacity first.
      queued: What waits, by priority class.
      usage: What each team holds, by team.
      services: Replicas that run or wait there, by service.
    """

    partition: str
    domain: str
    region: str
    epoch: int
    is_open: bool = True
    is_whole: bool = False
    capacity: resources.Resources = resources.NOTHING
    free: resources.Resources = resources.NOTHING
    largest_hole: resources.Resources = resources.NOTHING
    shapes: tuple[Shape, ...] = ()
    queued: dict[requests.PriorityClass, resources.Resources] = (
        dataclasses.field(default_factory=dict)
    )
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class SeenLoad:
    """A load and when it was computed or received.

    Attributes:
      load: The load.
      at_ms: Monotonic instant in ms.
    """

    load: Load
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class FleetUsage:
    """What is held and what there is in the whole fleet.

    Attributes:
      usage: What each team holds, by team.
      capacity: What all workers have together.
    """

    usage: dict[str, resources.Resources]
    capacity: resources.Resources


def add_up(loads: list[Load]) -> FleetUsage:
    """Returns usage and capacity of several fleet partitions together."""
    usage: dict[str, resources.Resources] = {}
    capacity = resources.NOTHING
    for load in loads:
        capacity = resources.add(capacity, load.capacity)
        for team, held in load.usage.items():
            before = usage.get(team, resources.NOTHING)
            usage[team] = resources.add(before, held)
    return FleetUsage(usage, capacity)
