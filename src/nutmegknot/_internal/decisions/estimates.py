"""Estimates of run times and memory, learned from the tasks of each queue.

The sizes and run times that requests declare are often far off. Old
observations lose weight, so that the estimates follow a queue whose work
changes.
"""

import dataclasses

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Weight of the newest observation in a mean; higher while there are few.
_NEWEST_WEIGHT = 0.1
# Number of observed runs from which on an estimate of the run time is used.
_MIN_OBSERVATIONS = 5
# Number of mean deviations above the mean run time within which most runs are
# expected to end.
_DEFAULT_DEVIATIONS = 2.0
# Smallest ratio of estimated to declared run time.
_MIN_RUN_RATIO = 0.1
# Largest ratio of observed to declared run time that is learned.
_MAX_RUN_RATIO = 20.0
# Largest ratio of used to declared memory that is learned.
_MAX_MEMORY_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class Estimate:
    """Run times and memory observed for the tasks of one queue.

    Attributes:
      count: Number of runs observed.
      run_ratio: Mean ratio of run time to declared run time.
      run_ratio_deviation: Mean deviation of that ratio.
      run_ms: Mean run time in ms.
      run_deviation_ms: Mean deviation of the run time in ms.
      memory_ratio: Ratio of used to declared memory: the largest observed,
        which decays towards 1 with each observation.
    """

    count: int = 0
    run_ratio: float = 1.0
    run_ratio_deviation: float = 0.0
    run_ms: float = 0.0
    run_deviation_ms: float = 0.0
    memory_ratio: float = 1.0


def record_run(estimate: Estimate, declared_ms: int, run_ms: int) -> None:
    """Records the run time of a task that succeeded.

    Args:
      estimate: The estimate of its queue.
      declared_ms: Declared run time in ms; 0 if there was none.
      run_ms: Run time in ms.
    """
    estimate.count += 1
    weight = max(_NEWEST_WEIGHT, 1 / estimate.count)
    distance = abs(run_ms - estimate.run_ms)
    estimate.run_deviation_ms += weight * (distance - estimate.run_deviation_ms)
    estimate.run_ms += weight * (run_ms - estimate.run_ms)
    if declared_ms > 0:
        ratio = min(_MAX_RUN_RATIO, run_ms / declared_ms)
        distance = abs(ratio - estimate.run_ratio)
        estimate.run_ratio_deviation += weight * (
            distance - estimate.run_ratio_deviation
        )
        estimate.run_ratio += weight * (ratio - estimate.run_ratio)


def record_memory(estimate: Estimate, declared_mib: int, used_mib: int) -> None:
    """Records the most memory that a task has used."""
    ratio = used_mib / max(1, declared_mib)
    decayed = estimate.memory_ratio + _NEWEST_WEIGHT * (
        1.0 - estimate.memory_ratio
    )
    estimate.memory_ratio = min(_MAX_MEMORY_RATIO, max(ratio, decayed))


def estimate_run_ms(
    estimate: Estimate | None,
    declared_ms: int,
    deviations: float = _DEFAULT_DEVIATIONS,
) -> int:
    """Returns an upper bound of most tasks' run times in ms; 0 if unknown.

    Until enough runs are observed, this is the declared run time.

    Args:
      estimate: The estimate of the queue, if there is one.
      declared_ms: Declared run time in ms; 0 if there is none.
      deviations: Number of mean deviations to add to the mean; 0 gives the
        expected run time rather than an upper bound.
    """
    if estimate is None or estimate.count < _MIN_OBSERVATIONS:
        return declared_ms
    if declared_ms <= 0:
        upper = estimate.run_ms + deviations * estimate.run_deviation_ms
        return max(1, int(upper))
    ratio = estimate.run_ratio + deviations * estimate.run_ratio_deviation
    return max(1, int(declared_ms * max(_MIN_RUN_RATIO, ratio)))


def choose_size(
    estimate: Estimate | None,
    req: requests.Request,
    attempt: int,
    largest: resources.Resources,
) -> resources.Resources:
    """Returns the resources to allocate to each member of a request.

    The first attempt gets what the request declares. A repeated attempt gets
    more memory if the tasks of its queue are known to use more than declared,
    but no more than the largest worker has.

    Args:
      estimate: The estimate of the request's queue, if there is one.
      req: The request.
      attempt: Number of the attempt, from 0.
      largest: The largest amount of each resource that any worker has.
    """
    if estimate is None or attempt == 0 or estimate.memory_ratio <= 1.0:
        return req.size
    wanted = int(req.size.memory_mib * estimate.memory_ratio)
    memory = max(req.size.memory_mib, min(wanted, largest.memory_mib))
    return dataclasses.replace(req.size, memory_mib=memory)
