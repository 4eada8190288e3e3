"""Admission control: bounded queues, early refusals and retry budgets.

Load pattern: more requests arrive than can run, and refused callers try again.
Requests beyond a bound are refused at once with the time after which to retry,
so that the queue and its waits stay bounded.
"""

import dataclasses
import random

from nutmegknot._internal.models import requests

# Shortest time in ms after which a refused caller is asked to retry, before
# jitter.
_MIN_RETRY_AFTER_MS = 200
# Longest time in ms after which a refused caller is asked to retry, before
# jitter.
_MAX_RETRY_AFTER_MS = 30_000
# Weight of the newest interval in the moving average of the departure rate.
_RATE_WEIGHT = 0.2
# Fraction of an instance's queue that only urgent requests may use.
_URGENT_RESERVED_SHARE = 0.1
# Fraction of an instance's queue up to which best-effort requests are admitted.
_BEST_EFFORT_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket.

    Attributes:
      rate: Tokens added per second.
      burst: The most tokens that the bucket can hold.
      tokens: Number of tokens at updated_ms.
      updated_ms: Wall-clock time in ms of the last update.
    """

    rate: float
    burst: float
    tokens: float
    updated_ms: int = 0


def take_token(bucket: TokenBucket, now_ms: int) -> bool:
    """Takes a token if there is one; returns whether there was one."""
    elapsed_ms = max(0, now_ms - bucket.updated_ms)
    bucket.tokens = min(
        bucket.burst, bucket.tokens + bucket.rate * elapsed_ms / 1_000
    )
    bucket.updated_ms = now_ms
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


@dataclasses.dataclass(slots=True)
class AdmissionState:
    """State of the admission control of one instance.

    Attributes:
      max_total: The most requests that may wait in the instance.
      retry_rate: Retries per second that are admitted from one team while the
        instance is at least half full.
      retry_burst: The most retries that are then admitted from one team at
        once.
      waiting: Number of waiting requests by team and queue.
      total: Number of waiting requests.
      departure_rate: Moving average of the requests that leave the queue per
        second.
      departures: Requests that have left the queue since rate_updated_ms.
      rate_updated_ms: Wall-clock time in ms of the last update of
        departure_rate.
      retry_buckets: Token bucket for the retries of each team.
    """

    max_total: int
    retry_rate: float = 5.0
    retry_burst: float = 20.0
    waiting: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    total: int = 0
    departure_rate: float = 0.0
    departures: int = 0
    rate_updated_ms: int = 0
    retry_buckets: dict[str, TokenBucket] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """The request is admitted, and counts as waiting from now on."""


@dataclasses.dataclass(slots=True, frozen=True)
class Overloaded:
    """The request is refused, and has not been run.

    Attributes:
      detail: Reason for the caller, in one line.
      retry_after_ms: Time in ms after which the caller should try again.
    """

    detail: str
    retry_after_ms: int


Result = Admitted | Overloaded


def admit(
    state: AdmissionState,
    req: requests.Request,
    max_waiting: int,
    now_ms: int,
    rng: random.Random,
    *,
    is_retry: bool = False,
) -> Result:
    """Decides whether a request is admitted or refused.

    Args:
      state: The state; an admitted request is added to it.
      req: The request.
      max_waiting: The most requests of the team that may wait in the queue
        that the request names.
      now_ms: Wall-clock time in ms.
      rng: Seeded random number generator for the jitter that keeps refused
        callers from returning at the same time.
      is_retry: Whether the caller says that this is a retry.

    Returns:
      Admitted, or Overloaded with the reason.
    """
    update_rate(state, now_ms)
    queue_key = (req.team, req.queue)
    count = state.waiting.get(queue_key, 0)
    if count >= max_waiting:
        detail = f'team {req.team} has {count} requests waiting in {req.queue}'
        return Overloaded(detail, _compute_retry_after(state, 1, rng))
    bound = _get_max_total(state, req.priority)
    if state.total >= bound:
        detail = f'{state.total} requests wait, {bound} may'
        return Overloaded(
            detail, _compute_retry_after(state, state.total - bound, rng)
        )
    is_crowded = 2 * state.total >= state.max_total
    if (
        is_retry
        and is_crowded
        and not _take_retry_token(state, req.team, now_ms)
    ):
        detail = f'team {req.team} has used up its retries'
        return Overloaded(detail, _compute_retry_after(state, 1, rng))
    state.waiting[queue_key] = count + 1
    state.total += 1
    return Admitted()


def record_departure(state: AdmissionState, req: requests.Request) -> None:
    """Records that an admitted request no longer waits."""
    queue_key = (req.team, req.queue)
    count = state.waiting.get(queue_key, 0)
    if count <= 0:
        return
    state.total -= 1
    state.departures += 1
    if count == 1:
        del state.waiting[queue_key]
    else:
        state.waiting[queue_key] = count - 1


def update_rate(state: AdmissionState, now_ms: int) -> None:
    """Updates the departure rate, at most once a second."""
    elapsed_ms = now_ms - state.rate_updated_ms
    if elapsed_ms < 1_000:
        return
    rate = state.departures * 1_000 / elapsed_ms
    state.departure_rate += _RATE_WEIGHT * (rate - state.departure_rate)
    state.departures = 0
    state.rate_updated_ms = now_ms


def _get_max_total(
    state: AdmissionState, priority: requests.PriorityClass
) -> int:
    if priority is requests.PriorityClass.URGENT:
        return state.max_total
    if priority is requests.PriorityClass.NORMAL:
        return int(state.max_total * (1 - _URGENT_RESERVED_SHARE))
    return int(state.max_total * _BEST_EFFORT_SHARE)


def _take_retry_token(state: AdmissionState, team: str, now_ms: int) -> bool:
    bucket = state.retry_buckets.get(team)
    if bucket is None:
        bucket = TokenBucket(
            state.retry_rate, state.retry_burst, state.retry_burst, now_ms
        )
        state.retry_buckets[team] = bucket
    return take_token(bucket, now_ms)


def _compute_retry_after(
    state: AdmissionState, ahead: int, rng: random.Random
) -> int:
    """Returns after how many ms there may be room, with jitter.

    Args:
      state: The state.
      ahead: Number of requests that have to leave the queue first.
      rng: Seeded random number generator for the jitter.
    """
    wait_ms = 1_000 * max(1, ahead) / max(state.departure_rate, 1.0)
    bounded_ms = min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, wait_ms))
    return int(bounded_ms * rng.uniform(1.0, 2.0))
