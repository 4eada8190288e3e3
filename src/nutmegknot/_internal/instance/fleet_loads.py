"""Loads of all fleet partitions, owned here or by other instances."""

import collections

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.instance import instances
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


def compute_load(inst: instances.Instance, fleet: fleets.Fleet) -> loads.Load:
    """Returns the load of a fleet partition that this instance owns."""
    sched = fleet.scheduler
    domain = sched.configuration.domains.get(fleet.domain)
    free = [sched.free[worker_id] for worker_id in sched.schedulable_workers]
    schedulable = list(sched.schedulable_workers.values())
    return loads.Load(
        partition=fleet.name,
        domain=fleet.domain,
        region=schedulable[0].region
        if schedulable
        else inst.settings.instance.region,
        epoch=fleet.epoch,
        is_open=domain is None or domain.state is workers.DomainState.OPEN,
        is_inventory_complete=fleets.is_inventory_complete(fleet),
        capacity=_sum_resources([worker.capacity for worker in schedulable]),
        free=_sum_resources(free),
        largest_free=max(free, key=_make_size_key, default=resources.ZERO),
        capacity_groups=_group_by_capacity(schedulable),
        queued=_compute_queued_resources(sched),
        usage=scheduling.compute_usage(sched),
        services=_count_replicas(fleet),
    )


def _count_replicas(fleet: fleets.Fleet) -> dict[str, int]:
    requested = [request.assignment.req for request in fleet.requests.values()]
    return dict(
        collections.Counter(req.service for req in requested if req.service)
    )


def _sum_resources(amounts: list[resources.Resources]) -> resources.Resources:
    total = resources.ZERO
    for amount in amounts:
        total = resources.add(total, amount)
    return total


def _make_size_key(amount: resources.Resources) -> tuple[int, int, int, int]:
    """Returns a sort key for free resources.

    Resources without a free slot come last, as no task can start on them.
    """
    return (
        min(amount.slots, 1),
        amount.accelerators,
        amount.millicores,
        amount.memory_mib,
    )


def _group_by_capacity(
    schedulable: list[workers.Worker],
) -> tuple[loads.CapacityGroup, ...]:
    counts = collections.Counter(worker.capacity for worker in schedulable)
    ordered = sorted(counts, key=_make_size_key, reverse=True)
    return tuple(
        loads.CapacityGroup(capacity, counts[capacity]) for capacity in ordered
    )


def _compute_queued_resources(
    sched: scheduling.Scheduler,
) -> dict[requests.PriorityClass, resources.Resources]:
    queued: dict[requests.PriorityClass, resources.Resources] = {}
    for assignment in sched.waiting.values():
        req = assignment.req
        requested = resources.multiply(req.size, req.members)
        earlier = queued.get(req.priority, resources.ZERO)
        queued[req.priority] = resources.add(earlier, requested)
    return queued


def update_owned_loads(inst: instances.Instance) -> None:
    """Computes the present loads of the owned fleet partitions.

    It also updates the usage of the whole fleet in their schedulers.
    """
    now_ms = inst.clock.now_ms()
    for name, fleet in inst.fleets.items():
        inst.loads[name] = loads.TimedLoad(compute_load(inst, fleet), now_ms)
    fleet_usage = compute_fleet_usage(inst)
    for fleet in inst.fleets.values():
        scheduling.set_fleet_usage(
            fleet.scheduler, fleet_usage.usage, fleet_usage.capacity
        )


def store_remote_load(inst: instances.Instance, load: loads.Load) -> None:
    """Stores a load that another instance has computed.

    It is ignored if a load of a later epoch is known, or if the partition is
    served here.
    """
    known = inst.loads.get(load.partition)
    if load.partition in inst.fleets:
        return
    if known is None or known.load.epoch <= load.epoch:
        now_ms = inst.clock.now_ms()
        inst.loads[load.partition] = loads.TimedLoad(load, now_ms)


def compute_fleet_usage(inst: instances.Instance) -> loads.FleetUsage:
    """Returns the usage of each team and the capacity, for the whole fleet.

    The latest known load of a partition counts, however old it is: a partition
    whose owner is unreachable still runs its tasks.
    """
    return loads.sum_usage(
        [timed_load.load for timed_load in inst.loads.values()]
    )
