"""Order of the waiting requests.

Priority class goes first, then the team that is furthest below its share,
then age; replicas of services go before the other requests of their class, as
there are few and others depend on them. Every few placements an aged request
of a lower class goes before the others, so that a class that never runs dry
starves nobody.
"""

import dataclasses
import heapq

from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests

# Whether no replica waits, distance from share, age and team.
_HeapEntry = tuple[bool, float, queues.Age, str]


@dataclasses.dataclass(slots=True)
class Turn:
    """State of one pass over the waiting requests.

    Attributes:
      now_ms: Wall clock instant in ms.
      heaps: Teams by distance from share and age, by priority class.
      skipped: Shapes that a team may not start in this pass.
    """

    now_ms: int
    heaps: dict[requests.PriorityClass, list[_HeapEntry]]
    skipped: set[tuple[str, queues.Shape]]


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """The request that goes next."""

    line: queues.Line
    shape: queues.Shape
    given: partitions.Assignment


def begin_turn(sched: states.Scheduler, now_ms: int) -> Turn:
    """Returns the state of a new pass."""
    heaps: dict[requests.PriorityClass, list[_HeapEntry]] = {
        priority: [] for priority in requests.PriorityClass
    }
    for (priority, team), line in sched.queue.lines.items():
        distance = shares.compute_distance(sched, team)
        entry = (line.services == 0, distance, line.oldest, team)
        heaps[priority].append(entry)
    for heap in heaps.values():
        heapq.heapify(heap)
    return Turn(now_ms, heaps, set())


def take_next(sched: states.Scheduler, turn: Turn) -> Candidate | None:
    """Returns the request to be tried next, None if there is none."""
    if sched.turns % sched.policy.aged_turn == 0:
        aged = _take_aged(sched, turn)
        if aged is not None:
            return aged
    for priority in requests.PriorityClass:
        candidate = _take_from(sched, turn, priority)
        if candidate is not None:
            return candidate
    return None


def _take_from(
    sched: states.Scheduler, turn: Turn, priority: requests.PriorityClass
) -> Candidate | None:
    """Returns the next request of a class, and puts its team back in order."""
    heap = turn.heaps[priority]
    while heap:
        plain, distance, age, team = heap[0]
        line = sched.queue.lines.get((priority, team))
        if line is None:
            heapq.heappop(heap)
            continue
        now = (line.services == 0, shares.compute_distance(sched, team))
        if now != (plain, distance):
            heapq.heapreplace(heap, (*now, age, team))
        else:
            candidate = _find_oldest(sched, turn, line)
            if candidate is not None:
                return candidate
            heapq.heappop(heap)
    return None


def _take_aged(sched: states.Scheduler, turn: Turn) -> Candidate | None:
    """Returns an aged request of a class that is not the first waiting."""
    used = [p for p in requests.PriorityClass if turn.heaps[p]]
    for priority in reversed(used[1:]):
        for _, _, age, team in sorted(turn.heaps[priority]):
            line = sched.queue.lines.get((priority, team))
            if line is None or turn.now_ms - age[0] < sched.policy.ageing_ms:
                continue
            candidate = _find_oldest(sched, turn, line)
            if candidate is not None:
                return candidate
    return None


def _find_oldest(
    sched: states.Scheduler, turn: Turn, line: queues.Line
) -> Candidate | None:
    """Returns the oldest request of a line that may find room."""
    best: tuple[bool, queues.Age, queues.Shape] | None = None
    for shape, part in line.parts.items():
        if shape.blocked or turn.now_ms < shape.retry_ms:
            continue
        if turn.skipped and (line.team, shape) in turn.skipped:
            continue
        plain = not shape.service
        if best is None or (plain, part[0]) < best[:2]:
            best = (plain, part[0], shape)
    if best is None:
        return None
    return Candidate(line, best[2], sched.waiting[best[1][1]])
