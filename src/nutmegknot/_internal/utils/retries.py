"""Waiting times between attempts."""

import dataclasses
import random

DEFAULT_FIRST_MS = 20
DEFAULT_LAST_MS = 1000


@dataclasses.dataclass(slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
      rng: Source of jitter.
      first_ms: Upper bound of the first wait in ms.
      last_ms: Upper bound of every wait in ms.
      attempts: Attempts that failed in a row.
    """

    rng: random.Random
    first_ms: int = DEFAULT_FIRST_MS
    last_ms: int = DEFAULT_LAST_MS
    attempts: int = 0


def take_wait(backoff: Backoff) -> int:
    """Counts a failed attempt and returns the wait before the next in ms."""
    bound_ms = min(backoff.last_ms, backoff.first_ms << backoff.attempts)
    backoff.attempts = min(backoff.attempts + 1, 30)
    return backoff.rng.randint(bound_ms // 2, bound_ms)


def reset(backoff: Backoff) -> None:
    """Starts anew after a success."""
    backoff.attempts = 0


DEFAULT_RETRIES_PER_CALL = 0.2
DEFAULT_MOST_RETRIES = 50.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Bounds retries to a part of the calls, so that they can't add up.

    Attributes:
      per_call: Retries that each call adds.
      most: The most that can be saved up.
      left: Retries that may be made now.
    """

    per_call: float = DEFAULT_RETRIES_PER_CALL
    most: float = DEFAULT_MOST_RETRIES
    left: float = DEFAULT_MOST_RETRIES


def add_call(budget: Budget) -> None:
    """Counts a call."""
    budget.left = min(budget.most, budget.left + budget.per_call)


def take_retry(budget: Budget) -> bool:
    """Counts a retry; tells whether it may be made at once."""
    if budget.left < 1:
        return False
    budget.left -= 1
    return True
