"""Loads of fleet partitions.

A fleet partition is a group of workers of one failure domain. One instance at a
time owns it and tells the other instances its load, from which they choose the
partition for a new request.
"""

import dataclasses

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class CapacityGroup:
    """Workers that have the same capacity.

    Attributes:
      capacity: Capacity of each of them.
      count: Number of these workers.
    """

    capacity: resources.Resources
    count: int


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Capacity, usage and waiting work of a fleet partition.

    Attributes:
      partition: Name of the partition, 'fleet-DOMAIN-N'.
      domain: Name of its failure domain.
      region: Name of its region.
      epoch: Epoch of the ownership under which the load was computed; it rises
        with each change of owner.
      is_open: Whether tasks may start in its failure domain.
      is_inventory_complete: Whether every worker has sent the owner its
        inventory, the list of the tasks on it.
      capacity: Sum of the capacities of its workers.
      free: Sum of the free resources of its workers.
      largest_free: Free resources of the worker that has most of them.
      capacity_groups: Its workers by capacity, the largest capacity first.
      queued: Sum of the resources that waiting requests ask for, by priority
        class.
      usage: Resources held by the tasks of each team, by team.
      services: Number of running and waiting replicas, by service.
    """

    partition: str
    domain: str
    region: str
    epoch: int
    is_open: bool = True
    is_inventory_complete: bool = False
    capacity: resources.Resources = resources.ZERO
    free: resources.Resources = resources.ZERO
    largest_free: resources.Resources = resources.ZERO
    capacity_groups: tuple[CapacityGroup, ...] = ()
    queued: dict[requests.PriorityClass, resources.Resources] = (
        dataclasses.field(default_factory=dict)
    )
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class TimedLoad:
    """A load, and when this instance learned of it.

    Attributes:
      load: The load.
      at_ms: Monotonic time in ms at which this instance computed or received
        the load.
    """

    load: Load
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class FleetUsage:
    """Usage and capacity of all workers of a cell.

    Attributes:
      usage: Resources held by the tasks of each team, by team.
      capacity: Sum of the capacities of all workers.
    """

    usage: dict[str, resources.Resources]
    capacity: resources.Resources


def sum_usage(loads: list[Load]) -> FleetUsage:
    """Returns the sums of usage and capacity over several fleet partitions."""
    usage: dict[str, resources.Resources] = {}
    capacity = resources.ZERO
    for load in loads:
        capacity = resources.add(capacity, load.capacity)
        for team, held in load.usage.items():
            before = usage.get(team, resources.ZERO)
            usage[team] = resources.add(before, held)
    return FleetUsage(usage, capacity)
