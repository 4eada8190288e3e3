"""Loads of all fleet partitions, owned ones and those of other instances."""

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
    free = [sched.free[worker_id] for worker_id in sched.machines]
    machines = list(sched.machines.values())
    return loads.Load(
        partition=fleet.name,
        domain=fleet.domain,
        region=machines[0].region
        if machines
        else inst.settings.instance.region,
        epoch=fleet.epoch,
        is_open=domain is None or domain.state is workers.DomainState.OPEN,
        is_whole=fleets.is_whole(fleet),
        capacity=_add_all([one.capacity for one in machines]),
        free=_add_all(free),
        largest_hole=max(free, key=_rank, default=resources.NOTHING),
        shapes=_count_shapes(machines),
        queued=_compute_queued(sched),
        usage=scheduling.compute_usage(sched),
        services=_count_replicas(fleet),
    )


def _count_replicas(fleet: fleets.Fleet) -> dict[str, int]:
    requested = [job.given.req for job in fleet.jobs.values()]
    return dict(collections.Counter(r.service for r in requested if r.service))


def _add_all(amounts: list[resources.Resources]) -> resources.Resources:
    total = resources.NOTHING
    for amount in amounts:
        total = resources.add(total, amount)
    return total


def _rank(amount: resources.Resources) -> tuple[int, int, int, int]:
    """Orders holes: one without a free slot is of no use."""
    return (
        min(amount.slots, 1),
        amount.accelerators,
        amount.millicores,
        amount.memory_mib,
    )


def _count_shapes(machines: list[workers.Worker]) -> tuple[loads.Shape, ...]:
    counts = collections.Counter(one.capacity for one in machines)
    ordered = sorted(counts, key=_rank, reverse=True)
    return tuple(
        loads.Shape(capacity, counts[capacity]) for capacity in ordered
    )


def _compute_queued(
    sched: scheduling.Scheduler,
) -> dict[requests.PriorityClass, resources.Resources]:
    queued: dict[requests.PriorityClass, resources.Resources] = {}
    for given in sched.waiting.values():
        req = given.req
        whole = resources.multiply(req.size, req.members)
        before = queued.get(req.priority, resources.NOTHING)
        queued[req.priority] = resources.add(before, whole)
    return queued


def refresh_owned(inst: instances.Instance) -> None:
    """Computes the loads of the owned fleet partitions anew."""
    now_ms = inst.clock.now_ms()
    for name, fleet in inst.fleets.items():
        inst.loads[name] = loads.SeenLoad(compute_load(inst, fleet), now_ms)
    whole = compute_fleet_usage(inst)
    for fleet in inst.fleets.values():
        scheduling.set_fleet_usage(fleet.scheduler, whole.usage, whole.capacity)


def take_load(inst: instances.Instance, load: loads.Load) -> None:
    """Puts in a load of another instance, unless its epoch is over."""
    known = inst.loads.get(load.partition)
    if load.partition in inst.fleets:
        return
    if known is None or known.load.epoch <= load.epoch:
        now_ms = inst.clock.now_ms()
        inst.loads[load.partition] = loads.SeenLoad(load, now_ms)


def compute_fleet_usage(inst: instances.Instance) -> loads.FleetUsage:
    """Returns what each team holds, and what there is, in the whole fleet.

    The last known load of a partition counts however old it is: a partition
    whose owner is cut off still runs what it ran.
    """
    return loads.add_up([seen.load for seen in inst.loads.values()])
