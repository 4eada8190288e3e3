"""Measures how many jobs customers submit, against what they are entitled to.

Load pattern: one customer submits several times its usual number of jobs for
some seconds. Without a measure of it, the jobs of all customers wait behind
that customer's.

A customer's weight is the number of jobs a second for which it is entitled to
service. A job is in excess if as many as it may submit in a sliding window have
been accepted in the window before it. Jobs in excess don't use up the
entitlement, so that a customer that submits too much keeps its share.
"""

import collections
import dataclasses

from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs

MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class RateLimits:
    """How the rate of a customer is measured.

    Attributes:
      window_ms: Length of the sliding window.
      overage: Part of its rate by which a customer may exceed it.
    """

    window_ms: int = 5_000
    overage: float = 0.1


@dataclasses.dataclass(slots=True)
class CustomerRates:
    """Jobs within their rates that customers have submitted recently.

    Attributes:
      accepted_ms: Times at which the jobs of the window were accepted, oldest
        first, by customer, in ms since the Unix epoch. Jobs in excess are left
        out.
      exceeded_ms: When each customer's rate was last exceeded, likewise.
    """

    accepted_ms: dict[str, collections.deque[int]] = dataclasses.field(
        default_factory=dict
    )
    exceeded_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def compute_allowance(
    customer: job_settings.Customer, limits: RateLimits
) -> float:
    """Returns how many jobs a customer may submit in one window."""
    rate = customer.weight * limits.window_ms / MS_PER_S
    return max(1.0, rate * (1 + limits.overage))


def count_recent(
    rates: CustomerRates, name: str, wall_ms: int, limits: RateLimits
) -> int:
    """Returns how many jobs of a customer were accepted within the window."""
    times = rates.accepted_ms.get(name)
    if times is None:
        return 0
    while times and times[0] <= wall_ms - limits.window_ms:
        times.popleft()
    return len(times)


def is_above_rate(
    rates: CustomerRates,
    customer: job_settings.Customer | None,
    wall_ms: int,
    limits: RateLimits,
) -> bool:
    """Tells whether one more job of a customer is in excess of its rate.

    Jobs without a customer, or of one without a weight, never are.
    """
    if customer is None or customer.weight <= 0:
        return False
    recent = count_recent(rates, customer.name, wall_ms, limits)
    return recent + 1 > compute_allowance(customer, limits)


def record_job(
    rates: CustomerRates,
    customer: job_settings.Customer | None,
    accepted_ms: int,
    limits: RateLimits,
) -> bool:
    """Records an accepted job; returns whether it exceeds its customer's rate.

    Jobs must be recorded in the order in which they were accepted.
    """
    if customer is None or customer.weight <= 0:
        return False
    if is_above_rate(rates, customer, accepted_ms, limits):
        rates.exceeded_ms[customer.name] = accepted_ms
        return True
    times = rates.accepted_ms.setdefault(customer.name, collections.deque())
    times.append(accepted_ms)
    return False


def forget_job(rates: CustomerRates, customer: str, accepted_ms: int) -> None:
    """Removes a job that was not accepted after all."""
    times = rates.accepted_ms.get(customer)
    if times is not None and accepted_ms in times:
        times.remove(accepted_ms)


def has_exceeded_lately(
    rates: CustomerRates, name: str, wall_ms: int, limits: RateLimits
) -> bool:
    """Tells whether a customer exceeded its rate within the window."""
    exceeded_ms = rates.exceeded_ms.get(name)
    return exceeded_ms is not None and wall_ms - exceeded_ms < limits.window_ms


def rebuild_rates(
    loaded: list[jobs.Job],
    customers: dict[str, job_settings.Customer],
    limits: RateLimits,
) -> CustomerRates:
    """Returns the rates that follow from the jobs that a new owner has loaded.

    Each job is marked if it exceeds its customer's rate. A customer gets no
    second allowance by a change of owner.
    """
    rates = CustomerRates()
    for job in sorted(loaded, key=lambda job: job.spec.accepted_ms):
        customer = customers.get(job.spec.customer)
        job.is_excess = record_job(
            rates, customer, job.spec.accepted_ms, limits
        )
    return rates
