"""Probation of workers on which tasks fail.

Each failure raises a score of the worker, which decays with time. A worker with
a high score is on probation: it is given only one task at a time as a probe, at
growing intervals, until one succeeds. If a request fails on several workers,
the request is taken to be the cause: it is given back, and its failures no
longer count against the workers.
"""

import dataclasses

# Interval in ms before the first probe; it doubles with each failure while the
# worker is on probation.
_MIN_PROBE_INTERVAL_MS = 2_000
# Longest interval in ms between probes.
_MAX_PROBE_INTERVAL_MS = 120_000
# Number of failed requests that are remembered. Those that have not failed for
# the longest time are forgotten first.
_MAX_FAILED_REQUESTS = 10_000


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Recent failures and probation of a worker.

    Attributes:
      score: Number of failures, which decays with time.
      updated_ms: Wall-clock time in ms at which the score had this value.
      probe_ms: Wall-clock time in ms from which a probe may start.
      interval_ms: Interval in ms before the next probe; 0 if the worker is not
        on probation.
    """

    score: float = 0.0
    updated_ms: int = 0
    probe_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """Failures of the workers and requests of a fleet partition.

    Attributes:
      workers: Health of each worker on which a task failed recently.
      requests: For each failed request, the workers on which it failed and how
        much each of these failures added to the worker's score.
    """

    workers: dict[str, WorkerHealth] = dataclasses.field(default_factory=dict)
    requests: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )


def record_failure(
    history: FailureHistory,
    worker_id: str,
    request_key: str,
    now_ms: int,
    half_life_ms: int,
    max_workers: int,
) -> None:
    """Records that a task failed on a worker.

    Args:
      history: The history.
      worker_id: The worker.
      request_key: The request that the task belongs to.
      now_ms: Wall-clock time in ms.
      half_life_ms: Half-life of a worker's score in ms.
      max_workers: Number of workers on which a request has to fail to be taken
        as the cause itself.
    """
    score_by_worker = history.requests.pop(request_key, {})
    history.requests[request_key] = score_by_worker
    while len(history.requests) > _MAX_FAILED_REQUESTS:
        del history.requests[next(iter(history.requests))]
    health = history.workers.setdefault(
        worker_id, WorkerHealth(updated_ms=now_ms)
    )
    _decay(health, now_ms, half_life_ms)
    if len(score_by_worker) >= max_workers:
        return
    if worker_id not in score_by_worker:
        score_by_worker[worker_id] = 1.0
        health.score += 1.0
    if len(score_by_worker) == max_workers:
        _discount_failures(history, score_by_worker)
    elif health.interval_ms:
        health.interval_ms = min(_MAX_PROBE_INTERVAL_MS, 2 * health.interval_ms)
        health.probe_ms = now_ms + health.interval_ms


def _discount_failures(
    history: FailureHistory, score_by_worker: dict[str, float]
) -> None:
    """Subtracts the failures of a request from the scores of the workers."""
    for worker_id, score in score_by_worker.items():
        health = history.workers.get(worker_id)
        if health is not None:
            health.score = max(0.0, health.score - score)


def record_success(history: FailureHistory, worker_id: str) -> None:
    """Records that a task finished on a worker, which ends its probation."""
    history.workers.pop(worker_id, None)


def update_probation(
    history: FailureHistory,
    worker_id: str,
    now_ms: int,
    limit: float,
    half_life_ms: int,
) -> None:
    """Starts or ends the probation of a worker according to its score."""
    health = history.workers.get(worker_id)
    if health is None:
        return
    _decay(health, now_ms, half_life_ms)
    if health.score >= limit and not health.interval_ms:
        health.interval_ms = _MIN_PROBE_INTERVAL_MS
        health.probe_ms = now_ms + _MIN_PROBE_INTERVAL_MS
    if health.score < limit / 2:
        health.interval_ms = 0
    if health.score < 0.1:
        del history.workers[worker_id]


def is_usable(
    history: FailureHistory, worker_id: str, is_idle: bool, now_ms: int
) -> bool:
    """Returns whether a worker may be given a task now."""
    health = history.workers.get(worker_id)
    if health is None or not health.interval_ms:
        return True
    return is_idle and now_ms >= health.probe_ms


def has_failed_too_often(
    history: FailureHistory, request_key: str, max_workers: int
) -> bool:
    """Returns whether a request has failed on too many workers."""
    return len(history.requests.get(request_key, ())) >= max_workers


def get_failed_workers(
    history: FailureHistory, request_key: str
) -> frozenset[str]:
    """Returns the workers on which a request has failed."""
    return frozenset(history.requests.get(request_key, ()))


def _decay(health: WorkerHealth, now_ms: int, half_life_ms: int) -> None:
    elapsed_ms = max(0, now_ms - health.updated_ms)
    health.score *= 0.5 ** (elapsed_ms / half_life_ms)
    health.updated_ms = now_ms
