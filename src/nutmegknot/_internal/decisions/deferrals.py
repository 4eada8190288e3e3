"""Choice of the jobs that are delayed when not all can end in time.

Load pattern: for some seconds more urgent work arrives than a pool of workers
can do. Served by the end of their objectives, all jobs become late one after
the other: each waits until its slack is used up. Here, jobs are given up in
favour of others before that, those first that cost callers least for the
capacity they free, so that the rest end in time.

The method is that of Moore and Hodgson for the smallest number of late jobs on
one machine: in the order of the latest possible starts, whenever a job would
start too late, one of those chosen so far is left out. A pool of many small
workers behaves like one machine whose work is a flow.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Work that waits for capacity.

    Attributes:
      key: Identifies it.
      work_ms: Its work: for how long it would occupy the whole pool, in ms.
      latest_start_ms: Time from now until which its last task has to start, in
        ms.
      is_excess: Whether its customer has exceeded its rate.
    """

    key: tuple[str, int, int]
    work_ms: float
    latest_start_ms: float
    is_excess: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Selection:
    """Result of a choice.

    Attributes:
      deferred: Keys of the work that is left out.
      kept_ms: Work that is kept, in ms of the whole pool.
    """

    deferred: frozenset[tuple[str, int, int]]
    kept_ms: float


def choose_deferred(
    candidates: Iterable[Candidate], compute_start: Callable[[float], float]
) -> Selection:
    """Chooses the work that is left out so that the rest starts in time.

    Work in excess of a customer's rate is left out first, then the work that
    takes most capacity: the value of a job grows less than its work does.

    Args:
      candidates: Work that waits.
      compute_start: Returns the time in ms after which all of some work has
        started, in ms of the whole pool.
    """
    deferred: set[tuple[str, int, int]] = set()
    kept: list[tuple[bool, float, tuple[str, int, int]]] = []
    total_ms = 0.0
    ordered = sorted(
        candidates, key=lambda item: (item.latest_start_ms, item.key)
    )
    for item in ordered:
        if compute_start(item.work_ms) > item.latest_start_ms:
            # It would start too late even alone.
            deferred.add(item.key)
            continue
        total_ms += item.work_ms
        heapq.heappush(kept, (not item.is_excess, -item.work_ms, item.key))
        while kept and compute_start(total_ms) > item.latest_start_ms:
            _, negative_ms, key = heapq.heappop(kept)
            total_ms += negative_ms
            deferred.add(key)
    return Selection(frozenset(deferred), total_ms)
