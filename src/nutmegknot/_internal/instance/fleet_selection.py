"""Selects the fleet partition that a request is assigned to."""

import dataclasses

from nutmegknot._internal.decisions import routing
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import call_errors

CALL_ERRORS = call_errors.CALL_ERRORS

UNAVAILABLE_RETRY_AFTER_MS = 1_000
# Age given to a load that no instance has reported yet; it counts as stale.
UNKNOWN_LOAD_AGE_MS = 10**9


def choose_fleet(
    inst: instances.Instance, req: requests.Request, avoid: frozenset[str]
) -> request_operations.FleetChoice | outcomes.Refused:
    """Chooses the fleet partition that a request is assigned to.

    Args:
      inst: The instance.
      req: The request.
      avoid: Fleet partitions that gave the request back lately; they are chosen
        only if there is no other.

    Returns:
      The fleet partition, or Refused if the request can never run or no fleet
      partition is open.
    """
    view = inst.membership.view
    choice = routing.choose_partition(
        req,
        list_loads(inst),
        inst.rng,
        inst.clock.now_ms(),
        inst.recent_assignments,
        avoid,
    )
    match choice:
        case routing.Chosen():
            epoch = views.get_epoch(view, choice.name)
            return request_operations.FleetChoice(choice.name, epoch)
        case routing.NeverRunnable():
            return outcomes.Refused(
                outcomes.RefusalReason.NEVER_RUNNABLE, choice.detail
            )
        case routing.NoOpenPartition():
            return outcomes.Refused(
                outcomes.RefusalReason.UNAVAILABLE,
                choice.detail,
                UNAVAILABLE_RETRY_AFTER_MS,
            )


def list_loads(inst: instances.Instance) -> list[loads.TimedLoad]:
    """Returns a load of every fleet partition of the cell.

    Whether a failure domain is open is taken from the configuration in force
    in this instance, which may be newer than the load. A load that no instance
    has reported yet counts as incomplete, so that no request is refused as
    never runnable while workers may still be unknown.
    """
    view = inst.membership.view
    timed_loads = []
    for name in partition_ownership.list_partitions(inst.settings):
        if not name.startswith('fleet-'):
            continue
        known = inst.loads.get(name)
        if known is None:
            domain = get_domain(name)
            load = loads.Load(name, domain, '', views.get_epoch(view, name))
            known = loads.TimedLoad(
                load, inst.clock.now_ms() - UNKNOWN_LOAD_AGE_MS
            )
        load = dataclasses.replace(
            known.load, is_open=_accepts_work(view, name)
        )
        timed_loads.append(loads.TimedLoad(load, known.at_ms))
    return timed_loads


def get_domain(fleet: str) -> str:
    """Returns the failure domain of a fleet partition, 'fleet-DOMAIN-N'."""
    return fleet.removeprefix('fleet-').rpartition('-')[0]


def _accepts_work(view: views.View, fleet: str) -> bool:
    """Returns whether a fleet partition has an owner and an open domain."""
    if not views.get_epoch(view, fleet):
        return False
    domain = view.configuration.domains.get(get_domain(fleet))
    return domain is None or domain.state is workers.DomainState.OPEN
