"""Choosing the fleet partition that a request is assigned to."""

import dataclasses

from nutmegknot._internal.decisions import routing
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.membership import owning
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import calls

CALL_ERRORS = calls.CALL_ERRORS

RETRY_MS = 1_000
# Age in ms of a load that nobody has told.
UNTOLD_MS = 10**9


def choose_fleet(
    inst: instances.Instance, req: requests.Request, avoid: frozenset[str]
) -> accepting.Choice | outcomes.Refused:
    """Chooses the fleet partition that a request is assigned to."""
    view = inst.membership.view
    choice = routing.choose_partition(
        req,
        list_loads(inst),
        inst.rng,
        inst.clock.now_ms(),
        inst.assigned,
        avoid,
    )
    match choice:
        case routing.Chosen():
            epoch = views.get_epoch(view, choice.name)
            return accepting.Choice(choice.name, epoch)
        case routing.NeverRunnable():
            return outcomes.Refused(
                outcomes.RefusalReason.NEVER_RUNNABLE, choice.detail
            )
        case routing.NoneOpen():
            return outcomes.Refused(
                outcomes.RefusalReason.UNAVAILABLE, choice.detail, RETRY_MS
            )


def list_loads(inst: instances.Instance) -> list[loads.SeenLoad]:
    """Returns a load of every fleet partition of the cell.

    Whether its failure domain is open is taken from the configuration in force
    here, which may be newer than the load. One that was not told yet counts as
    not whole, so that nothing is said to be never runnable too early.
    """
    view = inst.membership.view
    seen = []
    for name in owning.list_partitions(inst.settings):
        if not name.startswith('fleet-'):
            continue
        known = inst.loads.get(name)
        if known is None:
            domain = get_domain(name)
            load = loads.Load(name, domain, '', views.get_epoch(view, name))
            known = loads.SeenLoad(load, inst.clock.now_ms() - UNTOLD_MS)
        load = dataclasses.replace(known.load, is_open=_is_open(view, name))
        seen.append(loads.SeenLoad(load, known.at_ms))
    return seen


def get_domain(fleet: str) -> str:
    """Returns the failure domain of a fleet partition, 'fleet-DOMAIN-N'."""
    return fleet.removeprefix('fleet-').rpartition('-')[0]


def _is_open(view: views.View, fleet: str) -> bool:
    """Tells whether work may be sent there: it has an owner and is open."""
    if not views.get_epoch(view, fleet):
        return False
    domain = view.configuration.domains.get(get_domain(fleet))
    return domain is None or domain.state is workers.DomainState.OPEN
