"""Learning of run times and memory from the tasks of each queue.

Declared sizes and run times are often far off. Means decay, so that a queue
whose work has changed is learned anew.
"""

import dataclasses

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Weight of the newest observation.
_WEIGHT = 0.1
# Observations before an estimate counts.
_ENOUGH = 5
# Mean deviations above the mean at which a run is expected to have ended.
_DEVIATIONS = 2.0
# Bounds of what an estimate makes of a declared run time.
_LEAST_RATIO = 0.1
_MOST_RATIO = 20.0
# Bound of what an estimate makes of a declared amount of memory.
_MOST_GROWTH = 4.0


@dataclasses.dataclass(slots=True)
class Estimate:
    """What is known of the tasks of one queue.

    Attributes:
      count: Runs observed.
      ratio: Mean of run time over declared run time.
      ratio_deviation: Mean deviation from it.
      run_ms: Mean run time in ms.
      run_deviation_ms: Mean deviation from it in ms.
      memory: Decaying maximum of memory used over memory declared.
    """

    count: int = 0
    ratio: float = 1.0
    ratio_deviation: float = 0.0
    run_ms: float = 0.0
    run_deviation_ms: float = 0.0
    memory: float = 1.0


def note_run(estimate: Estimate, declared_ms: int, run_ms: int) -> None:
    """Learns from a task that has ended well.

    Args:
      estimate: The estimate of its queue.
      declared_ms: Declared run time in ms, 0 if there was none.
      run_ms: Run time in ms.
    """
    estimate.count += 1
    weight = max(_WEIGHT, 1 / estimate.count)
    distance = abs(run_ms - estimate.run_ms)
    estimate.run_deviation_ms += weight * (distance - estimate.run_deviation_ms)
    estimate.run_ms += weight * (run_ms - estimate.run_ms)
    if declared_ms > 0:
        ratio = min(_MOST_RATIO, run_ms / declared_ms)
        distance = abs(ratio - estimate.ratio)
        estimate.ratio_deviation += weight * (
            distance - estimate.ratio_deviation
        )
        estimate.ratio += weight * (ratio - estimate.ratio)


def note_memory(estimate: Estimate, declared_mib: int, used_mib: int) -> None:
    """Learns from a report of used memory, or from a task that ran out."""
    used = used_mib / max(1, declared_mib)
    faded = estimate.memory + _WEIGHT * (1.0 - estimate.memory)
    estimate.memory = min(_MOST_GROWTH, max(used, faded))


def expect_run(
    estimate: Estimate | None,
    declared_ms: int,
    deviations: float = _DEVIATIONS,
) -> int:
    """Returns the run time in ms that most tasks stay below; 0 if unknown.

    Args:
      estimate: The estimate of the queue, if there is one.
      declared_ms: Declared run time in ms, 0 if there is none.
      deviations: Mean deviations to add to the mean.
    """
    if estimate is None or estimate.count < _ENOUGH:
        return declared_ms
    if declared_ms <= 0:
        upper = estimate.run_ms + deviations * estimate.run_deviation_ms
        return max(1, int(upper))
    ratio = estimate.ratio + deviations * estimate.ratio_deviation
    return max(1, int(declared_ms * max(_LEAST_RATIO, ratio)))


def choose_size(
    estimate: Estimate | None,
    req: requests.Request,
    attempt: int,
    largest: resources.Resources,
) -> resources.Resources:
    """Returns what to set aside for a member.

    A first attempt gets what was declared. A repeat gets more memory if the
    queue is known to use more than it declares, within the largest worker.

    Args:
      estimate: The estimate of its queue.
      req: The request.
      attempt: Number of the attempt, from 0.
      largest: The largest amount of each resource that a worker has.
    """
    if estimate is None or attempt == 0 or estimate.memory <= 1.0:
        return req.size
    wanted = int(req.size.memory_mib * estimate.memory)
    memory = max(req.size.memory_mib, min(wanted, largest.memory_mib))
    return dataclasses.replace(req.size, memory_mib=memory)
