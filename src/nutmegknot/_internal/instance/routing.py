"""Choosing the fleet partition that a request is assigned to."""

from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import loads as load_calls
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.membership import owning
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import calls
from nutmegknot._internal.utils import hashing

CALL_ERRORS = calls.CALL_ERRORS

# Even a full partition gets some work, as its load is up to a second old.
MIN_WEIGHT = 0.01


def choose_fleet(
    inst: instances.Instance, req: requests.Request, avoid: frozenset[str]
) -> accepting.Choice | outcomes.Refused:
    """Chooses the fleet partition that a request is assigned to."""
    view = inst.membership.view
    known = {load.partition: load for load in load_calls.list_recent(inst)}
    if _is_never_runnable(inst, req, known):
        return outcomes.Refused(
            outcomes.RefusalReason.NEVER_RUNNABLE,
            'no workers of one failure domain are large enough for it',
        )
    names = [
        name
        for name in sorted(view.owners)
        if name.startswith('fleet-')
        and name not in avoid
        and _is_open(view, name)
    ]
    fitting = [n for n in names if n in known and can_hold(known[n], req)]
    if fitting:
        weights = [_compute_weight(known[name]) for name in fitting]
        chosen = inst.rng.choices(fitting, weights)[0]
    else:
        unknown = [name for name in names if name not in known]
        chosen = hashing.choose_owner(requests.get_key(req), unknown or names)
    if not chosen:
        return outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE, 'no failure domain is open'
        )
    return accepting.Choice(chosen, views.get_epoch(view, chosen))


def _is_never_runnable(
    inst: instances.Instance,
    req: requests.Request,
    known: dict[str, loads.Load],
) -> bool:
    """Tells whether no partition's workers could hold the request, all free."""
    names = owning.list_partitions(inst.settings)
    fleets = [name for name in names if name.startswith('fleet-')]
    if not all(name in known and known[name].is_whole for name in fleets):
        return False
    return not any(can_hold(known[name], req) for name in fleets)


def can_hold(load: loads.Load, req: requests.Request) -> bool:
    """Tells whether a partition's workers could hold a request, all free."""
    room = sum(
        shape.count * _count_fits(req.size, shape.capacity)
        for shape in load.shapes
    )
    return room >= max(1, req.members)


def _count_fits(size: resources.Resources, room: resources.Resources) -> int:
    """Returns how many tasks of a size one worker has room for."""
    parts = (
        (size.millicores, room.millicores),
        (size.memory_mib, room.memory_mib),
        (size.accelerators, room.accelerators),
        (size.slots, room.slots),
    )
    return min((have // want for want, have in parts if want > 0), default=0)


def _compute_weight(load: loads.Load) -> float:
    """Returns the free part of a partition less what waits there."""
    held = resources.subtract(load.capacity, load.free)
    for amount in load.queued.values():
        held = resources.add(held, amount)
    used = resources.compute_dominant_share(held, load.capacity)
    return max(MIN_WEIGHT, 1.0 - used)


def get_domain(fleet: str) -> str:
    """Returns the failure domain of a fleet partition, 'fleet-DOMAIN-N'."""
    return fleet.removeprefix('fleet-').rpartition('-')[0]


def _is_open(view: views.View, fleet: str) -> bool:
    domain = view.configuration.domains.get(get_domain(fleet))
    return domain is None or domain.state is workers.DomainState.OPEN
