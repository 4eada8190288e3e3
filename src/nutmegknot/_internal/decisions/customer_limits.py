"""Limits of customers within one planning pass."""

from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import usage_bounds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources


def is_within_limit(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    job: jobs.Job,
    step: jobs.Step,
) -> bool:
    """Returns whether one more task keeps its customer within its limit.

    If only the customer's ceiling is too low, the plan notes what is needed.
    """
    name = job.spec.customer
    customer = cluster.settings.customers.get(name)
    if customer is None:
        return True
    after = resources.add(plan.usage.get(name, resources.ZERO), step.size)
    if not job_settings.is_within(after, customer.limit):
        return False
    ceiling = plan.ceilings.get(name, resources.ZERO)
    if job_settings.is_within(after, ceiling):
        return True
    plan.needed_usage[name] = resources.compute_maximum(
        after, plan.needed_usage.get(name, resources.ZERO)
    )
    return False


def is_at_limit(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    job: jobs.Job,
    step: jobs.Step,
) -> bool:
    """Returns whether no task of a step may start before others have ended.

    The tasks of a gang start together.
    """
    customer = cluster.settings.customers.get(job.spec.customer)
    if customer is None:
        return False
    usage = plan.usage.get(customer.name, resources.ZERO)
    for _ in range(step.count if step.is_gang else 1):
        usage = resources.add(usage, step.size)
    return not job_settings.is_within(usage, customer.limit)


def add_usage(plan: plans.Plan, job: jobs.Job, step: jobs.Step) -> None:
    """Adds one more task to its customer's usage."""
    usage = plan.usage.get(job.spec.customer, resources.ZERO)
    plan.usage[job.spec.customer] = resources.add(usage, step.size)


def find_reason(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
) -> str:
    """Returns why one more task is not within a limit, as it is logged."""
    name = ranked.job.spec.customer
    customer = cluster.settings.customers[name]
    unfound = usage_bounds.compute_unfound(
        cluster.ceilings, name, customer.limit
    )
    known = resources.subtract(plan.usage.get(name, resources.ZERO), unfound)
    after = resources.add(known, ranked.stage.step.size)
    if not job_settings.is_within(after, customer.limit):
        return 'limit'
    return 'ceiling' if name in plan.needed_usage else 'unfound_runs'
