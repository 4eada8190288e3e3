"""Admission: bounded queues, early refusal with a hint, and retry budgets."""

import dataclasses
import random

from nutmegknot._internal.models import requests

# Wait in ms that is suggested at least, and at most.
_LEAST_HINT_MS = 200
_MOST_HINT_MS = 30_000
# Weight of the newest interval in the rate at which requests leave.
_WEIGHT = 0.2
# Part of an instance's queue that is kept for urgent requests.
_URGENT_PART = 0.1
# Part of an instance's queue that best effort requests may fill.
_BEST_EFFORT_PART = 0.5


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket.

    Attributes:
      rate: Tokens added in a second.
      burst: The most tokens.
      tokens: Tokens at the instant.
      at_ms: The instant in ms.
    """

    rate: float
    burst: float
    tokens: float
    at_ms: int = 0


def take_token(bucket: Bucket, now_ms: int) -> bool:
    """Takes a token if there is one; tells whether there was."""
    elapsed_ms = max(0, now_ms - bucket.at_ms)
    bucket.tokens = min(
        bucket.burst, bucket.tokens + bucket.rate * elapsed_ms / 1_000
    )
    bucket.at_ms = now_ms
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


@dataclasses.dataclass(slots=True)
class Gate:
    """Admission state of one instance.

    Attributes:
      most_waiting: The most requests that may wait in the instance.
      retry_rate: Retries of one team let in each second when it is full.
      retry_burst: Retries of one team let in at once.
      waiting: Requests that wait, by team and queue.
      total: Requests that wait.
      leave_rate: Requests that leave the queue in a second, decaying mean.
      left: Requests that left since at_ms.
      at_ms: Instant in ms of the last update of the rate.
      retries: Retry budget of each team.
    """

    most_waiting: int
    retry_rate: float = 5.0
    retry_burst: float = 20.0
    waiting: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    total: int = 0
    leave_rate: float = 0.0
    left: int = 0
    at_ms: int = 0
    retries: dict[str, Bucket] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """The request may be accepted, and counts as waiting from now on."""


@dataclasses.dataclass(slots=True, frozen=True)
class Overloaded:
    """The request is refused; it was not run.

    Attributes:
      detail: One line for the caller.
      retry_after_ms: When a new attempt makes sense, in ms.
    """

    detail: str
    retry_after_ms: int


Verdict = Admitted | Overloaded


def admit(
    gate: Gate,
    req: requests.Request,
    max_waiting: int,
    now_ms: int,
    rng: random.Random,
    *,
    is_retry: bool = False,
) -> Verdict:
    """Decides whether a request is accepted or refused early.

    Args:
      gate: The state; an admitted request is added to it.
      req: The request.
      max_waiting: The most requests of one team that may wait in its queue.
      now_ms: Wall clock instant in ms.
      rng: Seeded source of jitter, so that the refused don't return together.
      is_retry: Whether the caller says that it tries again.

    Returns:
      Whether it is admitted.
    """
    update_rate(gate, now_ms)
    pair = (req.team, req.queue)
    count = gate.waiting.get(pair, 0)
    if count >= max_waiting:
        detail = f'team {req.team} has {count} requests waiting in {req.queue}'
        return Overloaded(detail, _compute_hint(gate, 1, rng))
    bound = _get_bound(gate, req.priority)
    if gate.total >= bound:
        detail = f'{gate.total} requests wait, {bound} may'
        return Overloaded(detail, _compute_hint(gate, gate.total - bound, rng))
    crowded = 2 * gate.total >= gate.most_waiting
    if is_retry and crowded and not _take_retry(gate, req.team, now_ms):
        detail = f'team {req.team} has used up its retries'
        return Overloaded(detail, _compute_hint(gate, 1, rng))
    gate.waiting[pair] = count + 1
    gate.total += 1
    return Admitted()


def leave(gate: Gate, req: requests.Request) -> None:
    """Takes note that an admitted request no longer waits."""
    pair = (req.team, req.queue)
    count = gate.waiting.get(pair, 0)
    if count <= 0:
        return
    gate.total -= 1
    gate.left += 1
    if count == 1:
        del gate.waiting[pair]
    else:
        gate.waiting[pair] = count - 1


def update_rate(gate: Gate, now_ms: int) -> None:
    """Brings the rate at which requests leave up to date, once a second."""
    elapsed_ms = now_ms - gate.at_ms
    if elapsed_ms < 1_000:
        return
    rate = gate.left * 1_000 / elapsed_ms
    gate.leave_rate += _WEIGHT * (rate - gate.leave_rate)
    gate.left = 0
    gate.at_ms = now_ms


def _get_bound(gate: Gate, priority: requests.PriorityClass) -> int:
    if priority is requests.PriorityClass.URGENT:
        return gate.most_waiting
    if priority is requests.PriorityClass.NORMAL:
        return int(gate.most_waiting * (1 - _URGENT_PART))
    return int(gate.most_waiting * _BEST_EFFORT_PART)


def _take_retry(gate: Gate, team: str, now_ms: int) -> bool:
    bucket = gate.retries.get(team)
    if bucket is None:
        bucket = Bucket(
            gate.retry_rate, gate.retry_burst, gate.retry_burst, now_ms
        )
        gate.retries[team] = bucket
    return take_token(bucket, now_ms)


def _compute_hint(gate: Gate, ahead: int, rng: random.Random) -> int:
    """Returns when there may be room, in ms, with jitter."""
    wait_ms = 1_000 * max(1, ahead) / max(gate.leave_rate, 1.0)
    bounded = min(_MOST_HINT_MS, max(_LEAST_HINT_MS, wait_ms))
    return int(bounded * rng.uniform(1.0, 2.0))
