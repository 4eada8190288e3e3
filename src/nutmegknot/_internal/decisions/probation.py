"""Workers that fail what they start, and requests that fail everywhere.

Each failure raises a worker's score, which decays. A worker whose score is too
high gets no work but single probes, at growing intervals, until one succeeds.
A request that failed on several workers is itself at fault: it is given back,
and its failures no longer count against the workers.
"""

import dataclasses

# First interval between probes in ms, and the longest.
_FIRST_PROBE_MS = 2_000
_LAST_PROBE_MS = 120_000
# Failed requests that are remembered.
_REMEMBERED = 10_000


@dataclasses.dataclass(slots=True)
class Health:
    """How a worker has done lately.

    Attributes:
      score: Decaying number of failures.
      at_ms: Instant in ms of the score.
      probe_ms: Instant in ms from which on a probe may start.
      interval_ms: Interval before the next probe in ms; 0 if the worker is
        not on probation.
    """

    score: float = 0.0
    at_ms: int = 0
    probe_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(slots=True)
class Record:
    """Failures of the workers and requests of a fleet partition.

    Attributes:
      workers: Health of the workers that failed something lately.
      requests: Workers on which each request failed, and how much each failure
        counted.
    """

    workers: dict[str, Health] = dataclasses.field(default_factory=dict)
    requests: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


def note_failure(
    record: Record,
    worker_id: str,
    request_key: str,
    now_ms: int,
    half_life_ms: int,
    most_failures: int,
) -> None:
    """Takes note that a task failed on a worker.

    Args:
      record: The record.
      worker_id: The worker.
      request_key: The request.
      now_ms: Wall clock instant in ms.
      half_life_ms: Half-life of a worker's score in ms.
      most_failures: Workers on which a request fails before it is at fault.
    """
    failed = record.requests.pop(request_key, {})
    record.requests[request_key] = failed
    while len(record.requests) > _REMEMBERED:
        del record.requests[next(iter(record.requests))]
    health = record.workers.setdefault(worker_id, Health(at_ms=now_ms))
    _decay(health, now_ms, half_life_ms)
    if len(failed) >= most_failures:
        return
    if worker_id not in failed:
        failed[worker_id] = 1.0
        health.score += 1.0
    if len(failed) == most_failures:
        _clear_workers(record, failed)
    elif health.interval_ms:
        health.interval_ms = min(_LAST_PROBE_MS, 2 * health.interval_ms)
        health.probe_ms = now_ms + health.interval_ms


def _clear_workers(record: Record, failed: dict[str, float]) -> None:
    """Takes the failures of a request that is at fault off the workers."""
    for worker_id, counted in failed.items():
        health = record.workers.get(worker_id)
        if health is not None:
            health.score = max(0.0, health.score - counted)


def note_success(record: Record, worker_id: str) -> None:
    """Takes note that a task finished on a worker, which clears it."""
    record.workers.pop(worker_id, None)


def update(
    record: Record, worker_id: str, now_ms: int, limit: float, half_life_ms: int
) -> None:
    """Puts a worker on probation, or ends it, as its score says."""
    health = record.workers.get(worker_id)
    if health is None:
        return
    _decay(health, now_ms, half_life_ms)
    if health.score >= limit and not health.interval_ms:
        health.interval_ms = _FIRST_PROBE_MS
        health.probe_ms = now_ms + _FIRST_PROBE_MS
    if health.score < limit / 2:
        health.interval_ms = 0
    if health.score < 0.1:
        del record.workers[worker_id]


def is_usable(
    record: Record, worker_id: str, is_idle: bool, now_ms: int
) -> bool:
    """Tells whether a worker may be given a task now."""
    health = record.workers.get(worker_id)
    if health is None or not health.interval_ms:
        return True
    return is_idle and now_ms >= health.probe_ms


def is_at_fault(record: Record, request_key: str, most_failures: int) -> bool:
    """Tells whether a request failed on too many workers."""
    return len(record.requests.get(request_key, ())) >= most_failures


def get_avoided(record: Record, request_key: str) -> frozenset[str]:
    """Returns the workers on which a request failed."""
    return frozenset(record.requests.get(request_key, ()))


def _decay(health: Health, now_ms: int, half_life_ms: int) -> None:
    elapsed_ms = max(0, now_ms - health.at_ms)
    health.score *= 0.5 ** (elapsed_ms / half_life_ms)
    health.at_ms = now_ms
