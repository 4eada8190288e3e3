"""Order in which the waiting requests are tried.

The priority class decides first. Within a class, teams with waiting replicas
of services go first, and within a team the replicas, as there are few of them
and other work depends on them. Then the team with the lowest share of the
fleet for its weight goes first, and then the oldest request.

Every few placements, an aged request of a lower class goes first, so that it
does not starve where requests of a higher class never stop coming.
"""

import dataclasses
import heapq

from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests

# Entry of one team: whether no replica of a service waits, its dominant share
# divided by its weight, the age of its oldest request, and its name.
_HeapEntry = tuple[bool, float, queues.AgeKey, str]


@dataclasses.dataclass(slots=True)
class QueuePass:
    """State of one pass over the waiting requests.

    Attributes:
      now_ms: Wall clock time in ms.
      heaps: A heap of teams for each priority class; the first entry is the
        team that goes next.
      skipped: Pairs of a team and a request shape (size and other needs); the
        team's requests of that shape are not tried in this pass.
    """

    now_ms: int
    heaps: dict[requests.PriorityClass, list[_HeapEntry]]
    skipped: set[tuple[str, queues.RequestShape]]


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A request that is tried next.

    Attributes:
      team_queue: Waiting requests of its team and priority class.
      shape: What decides where it can be placed, such as its size.
      assignment: Its assignment to this partition.
    """

    team_queue: queues.TeamQueue
    shape: queues.RequestShape
    assignment: partitions.Assignment


def begin_pass(sched: states.Scheduler, now_ms: int) -> QueuePass:
    """Returns the state of a new pass over the waiting requests."""
    heaps: dict[requests.PriorityClass, list[_HeapEntry]] = {
        priority: [] for priority in requests.PriorityClass
    }
    for (priority, team), team_queue in sched.queue.team_queues.items():
        weighted_share = shares.compute_weighted_share(sched, team)
        entry = (
            team_queue.replica_count == 0,
            weighted_share,
            team_queue.oldest,
            team,
        )
        heaps[priority].append(entry)
    for heap in heaps.values():
        heapq.heapify(heap)
    return QueuePass(now_ms, heaps, set())


def choose_next(
    sched: states.Scheduler, queue_pass: QueuePass
) -> Candidate | None:
    """Returns the request to try next, or None if none is left to try.

    The caller must place it, block its shape or skip it before the next call.
    """
    if sched.placement_count % sched.policy.aged_turn == 0:
        aged = _choose_aged(sched, queue_pass)
        if aged is not None:
            return aged
    for priority in requests.PriorityClass:
        candidate = _choose_from_class(sched, queue_pass, priority)
        if candidate is not None:
            return candidate
    return None


def _choose_from_class(
    sched: states.Scheduler,
    queue_pass: QueuePass,
    priority: requests.PriorityClass,
) -> Candidate | None:
    """Returns the next request of a class, or None if there is none.

    A team whose share has changed in this pass is put back into the heap.
    """
    heap = queue_pass.heaps[priority]
    while heap:
        has_no_service, weighted_share, age, team = heap[0]
        team_queue = sched.queue.team_queues.get((priority, team))
        if team_queue is None:
            heapq.heappop(heap)
            continue
        current = (
            team_queue.replica_count == 0,
            shares.compute_weighted_share(sched, team),
        )
        if current != (has_no_service, weighted_share):
            heapq.heapreplace(heap, (*current, age, team))
        else:
            candidate = _find_first_of_team(sched, queue_pass, team_queue)
            if candidate is not None:
                return candidate
            heapq.heappop(heap)
    return None


def _choose_aged(
    sched: states.Scheduler, queue_pass: QueuePass
) -> Candidate | None:
    """Returns an aged request, or None if there is none.

    The highest class with waiting requests is left out, as it goes first
    anyway; the lowest class is searched first.
    """
    waiting_classes = [p for p in requests.PriorityClass if queue_pass.heaps[p]]
    for priority in reversed(waiting_classes[1:]):
        for _, _, age, team in sorted(queue_pass.heaps[priority]):
            team_queue = sched.queue.team_queues.get((priority, team))
            if (
                team_queue is None
                or queue_pass.now_ms - age[0] < sched.policy.ageing_ms
            ):
                continue
            candidate = _find_first_of_team(sched, queue_pass, team_queue)
            if candidate is not None:
                return candidate
    return None


def _find_first_of_team(
    sched: states.Scheduler, queue_pass: QueuePass, team_queue: queues.TeamQueue
) -> Candidate | None:
    """Returns the request of a team that goes first, or None.

    Requests whose shape is blocked or skipped are left out.
    """
    best: tuple[bool, queues.AgeKey, queues.RequestShape] | None = None
    for shape, ages in team_queue.by_shape.items():
        if shape.blocked or queue_pass.now_ms < shape.retry_ms:
            continue
        if (
            queue_pass.skipped
            and (team_queue.team, shape) in queue_pass.skipped
        ):
            continue
        is_not_service = not shape.service
        if best is None or (is_not_service, ages[0]) < best[:2]:
            best = (is_not_service, ages[0], shape)
    if best is None:
        return None
    return Candidate(team_queue, best[2], sched.waiting[best[1][1]])
