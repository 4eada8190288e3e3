"""Bounds of what customers' runs use, and the ceilings that follow from them.

Load pattern: a customer has as much running as it may have when the owner of
the jobs changes, and a part of the workers does not answer the new owner. The
runs there go on until their leases end. If the new owner counted only the runs
that it has found, it would start as much again; if it waited for all workers,
no work would start for seconds.
"""

from collections.abc import Mapping

from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import usage_ceilings

# Ceilings are multiples of a customer's limit divided by this number.
STEPS_PER_LIMIT = 8


def compute_bounds(
    cluster: cluster_state.ClusterState,
) -> dict[str, resources.Resources]:
    """Returns the most that the runs of each customer can use.

    Until all runs of earlier owners are found, it is the usage of the known
    runs and the most that the others can use.
    """
    bounds = dict(cluster.usage)
    if cluster.ceilings.inherited is None:
        return bounds
    for name, customer in cluster.settings.customers.items():
        unfound = compute_unfound(cluster.ceilings, name, customer.limit)
        bounds[name] = resources.add(bounds.get(name, resources.ZERO), unfound)
    return bounds


def compute_unfound(
    ceilings: usage_ceilings.UsageCeilings,
    customer: str,
    limit: resources.Resources,
) -> resources.Resources:
    """Returns the most that unknown runs of earlier owners can use.

    It is what the ceiling that earlier owners kept to leaves, and no more than
    the tasks that may have a run. Without a ceiling, the limit may be used in
    full.
    """
    if ceilings.inherited is None:
        return resources.ZERO
    ceiling = ceilings.inherited.get(customer, resources.ZERO)
    found = ceilings.found.get(customer, resources.ZERO)
    unfound = resources.Resources(
        _subtract_found(ceiling.millicores, found.millicores, limit.millicores),
        _subtract_found(ceiling.memory_mib, found.memory_mib, limit.memory_mib),
        _subtract_found(
            ceiling.accelerators, found.accelerators, limit.accelerators
        ),
    )
    if ceilings.unlocated is None or customer not in ceilings.inherited:
        return unfound
    unlocated = ceilings.unlocated.get(customer, resources.ZERO)
    return resources.compute_minimum(unfound, unlocated)


def compute_unlocated(
    cluster: cluster_state.ClusterState,
) -> dict[str, resources.Resources]:
    """Returns the most that tasks of earlier owners without a run can use.

    One of these tasks may have a run that this owner has not found.
    """
    total: dict[str, resources.Resources] = {}
    for job in cluster.jobs.values():
        if job.spec.epoch == cluster.epoch:
            continue
        amount = job.inherited_stopping
        if job.persisted_final_state is None or job.stages:
            amount = resources.add(amount, jobs.compute_unlocated(job))
        name = job.spec.customer
        total[name] = resources.add(total.get(name, resources.ZERO), amount)
    return total


def _subtract_found(ceiling: int, found: int, limit: int) -> int:
    return max(0, ceiling - found) if ceiling else limit


def get_ceilings(
    ceilings: usage_ceilings.UsageCeilings,
) -> usage_ceilings.Ceilings:
    """Returns the ceilings that usage has to keep to now."""
    if ceilings.pending is None:
        return ceilings.stored
    lowest = dict(ceilings.stored)
    for name, ceiling in ceilings.pending.items():
        stored = ceilings.stored.get(name, resources.ZERO)
        lowest[name] = resources.Resources(
            _find_lower(stored.millicores, ceiling.millicores),
            _find_lower(stored.memory_mib, ceiling.memory_mib),
            _find_lower(stored.accelerators, ceiling.accelerators),
        )
    return lowest


def _find_lower(left: int, right: int) -> int:
    return min(left, right) if left and right else left or right


def choose_ceilings(
    customers: Mapping[str, job_settings.Customer],
    bounds: Mapping[str, resources.Resources],
    needed: Mapping[str, resources.Resources],
    present: usage_ceilings.Ceilings,
) -> usage_ceilings.Ceilings:
    """Returns the ceilings that suit the usage.

    A ceiling is raised before the usage reaches it, and lowered when it is well
    above the usage, so that it changes seldom.

    Args:
      customers: The customers with their limits.
      bounds: The most that their runs can use; see compute_bounds.
      needed: Usage with tasks that could start if the ceilings allowed it.
      present: The present ceilings.
    """
    chosen = {}
    for name, customer in customers.items():
        limit = customer.limit
        if limit == resources.ZERO:
            continue
        used = bounds.get(name, resources.ZERO)
        wanted = resources.compute_maximum(
            used, needed.get(name, resources.ZERO)
        )
        now = present.get(name, resources.ZERO)
        chosen[name] = resources.Resources(
            _choose_amount(
                used.millicores,
                wanted.millicores,
                limit.millicores,
                now.millicores,
            ),
            _choose_amount(
                used.memory_mib,
                wanted.memory_mib,
                limit.memory_mib,
                now.memory_mib,
            ),
            _choose_amount(
                used.accelerators,
                wanted.accelerators,
                limit.accelerators,
                now.accelerators,
            ),
        )
    return chosen


def _choose_amount(used: int, wanted: int, limit: int, present: int) -> int:
    """Returns the ceiling for one resource; see choose_ceilings."""
    if not limit:
        return 0
    step = -(-limit // STEPS_PER_LIMIT)
    highest = max(limit, used)
    suited = min(highest, (-(-wanted // step) + 2) * step)
    is_too_low = present < min(highest, wanted + step)
    is_too_high = present > suited + step or present > highest
    return suited if is_too_low or is_too_high else present
