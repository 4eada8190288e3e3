"""Delays between attempts, and a limit on the number of retries."""

import dataclasses
import random

# Upper bound of the delay after the first failed attempt.
DEFAULT_INITIAL_WAIT_MS = 20
# Upper bound of every delay.
DEFAULT_MAX_WAIT_MS = 1000


@dataclasses.dataclass(slots=True)
class Backoff:
    """Exponential backoff with jitter.

    A delay is random, between half of its upper bound and the bound. The bound
    doubles with each failed attempt.

    Attributes:
      rng: Random number generator for the jitter.
      initial_ms: Upper bound of the first delay.
      max_ms: Upper bound of every delay.
      failed_attempts: Number of failed attempts since the last success; it is
        not counted beyond 30.
    """

    rng: random.Random
    initial_ms: int = DEFAULT_INITIAL_WAIT_MS
    max_ms: int = DEFAULT_MAX_WAIT_MS
    failed_attempts: int = 0


def advance_backoff(backoff: Backoff) -> int:
    """Counts a failed attempt; returns the delay in ms before the next one."""
    bound_ms = min(
        backoff.max_ms, backoff.initial_ms << backoff.failed_attempts
    )
    backoff.failed_attempts = min(backoff.failed_attempts + 1, 30)
    return backoff.rng.randint(bound_ms // 2, bound_ms)


def reset_backoff(backoff: Backoff) -> None:
    """Makes the next delay the first one again, after a success."""
    backoff.failed_attempts = 0


# Part of a retry that each call adds to the budget.
DEFAULT_RETRIES_PER_CALL = 0.2
# Upper limit of the budget.
DEFAULT_MAX_RETRIES = 50.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retry budget: limits retries to a fraction of the calls.

    So retries can't multiply the load on a service that fails.

    Attributes:
      retries_per_call: Part of a retry that each call adds to the budget.
      max_retries: Upper limit of the budget.
      retries_left: Number of retries that may be made at once.
    """

    retries_per_call: float = DEFAULT_RETRIES_PER_CALL
    max_retries: float = DEFAULT_MAX_RETRIES
    retries_left: float = DEFAULT_MAX_RETRIES


def add_call(budget: RetryBudget) -> None:
    """Adds to the budget the part of a retry that one call allows."""
    budget.retries_left = min(
        budget.max_retries, budget.retries_left + budget.retries_per_call
    )


def take_retry(budget: RetryBudget) -> bool:
    """Returns whether a retry may be made at once, and takes it if so."""
    if budget.retries_left < 1:
        return False
    budget.retries_left -= 1
    return True
