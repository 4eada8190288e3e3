"""Waiting requests, grouped so that a decision need not look at each of them.

Requests of the same shape are equivalent for placement: if one of them does
not fit, none of the others does until something changes. The shape is then
marked as blocked, and its requests are not tried again before that.
"""

import bisect
import dataclasses

from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Sort key of a waiting request: wall-clock time in ms at which it was accepted,
# then its request key.
AgeKey = tuple[int, str]


@dataclasses.dataclass(slots=True, eq=False)
class RequestShape:
    """The properties of a request that decide where it can be placed.

    Attributes:
      size: Resources of one member.
      members: Number of members, all of which are placed at the same time.
      service: Service of which the request is a replica, or ''.
      run_ms: Upper estimate of the run time in ms; 0 if unknown.
      avoided: Workers on which the request failed before.
      count: Number of waiting requests of this shape.
      blocked: Whether the shape did not fit when it was last tried.
      retry_ms: Wall-clock time in ms before which it is not tried again.
    """

    size: resources.Resources
    members: int
    service: str
    run_ms: int
    avoided: frozenset[str]
    count: int = 0
    blocked: bool = False
    retry_ms: int = 0


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team and priority class.

    Attributes:
      team: The team.
      priority: The priority class.
      by_shape: Sort keys of the requests of each shape, oldest first.
      oldest: Sort key of the oldest request.
      replica_count: Number of service replicas among the requests.
        Replicas go before other requests.
    """

    team: str
    priority: requests.PriorityClass
    by_shape: dict[RequestShape, list[AgeKey]] = dataclasses.field(
        default_factory=dict
    )
    oldest: AgeKey = (0, '')
    replica_count: int = 0


_ShapeKey = tuple[
    resources.Resources, int, str, int, frozenset[str], requests.PriorityClass
]


@dataclasses.dataclass(slots=True)
class Queue:
    """All waiting requests of a fleet partition.

    Attributes:
      team_queues: Waiting requests of each priority class and team.
      shapes: Shapes of the waiting requests, by their properties and the
        priority class.
      entries: For each waiting request, by its key, the queue of its team and
        priority class, its shape and its sort key.
      blocked: Shapes that are marked as blocked; a dict used as an ordered
        set.
      unplaceable_sizes: Sizes of one member that fit on no worker at present.
        This is a dict used as an ordered set.
      demand: Total declared resources of each team's waiting requests.
      was_unblocked: Whether a shape has been unblocked since the scheduler
        last reset this to False.
      accelerator_requests: Number of waiting requests that need accelerators.
    """

    team_queues: dict[tuple[requests.PriorityClass, str], TeamQueue] = (
        dataclasses.field(default_factory=dict)
    )
    shapes: dict[_ShapeKey, RequestShape] = dataclasses.field(
        default_factory=dict
    )
    entries: dict[str, tuple[TeamQueue, RequestShape, AgeKey]] = (
        dataclasses.field(default_factory=dict)
    )
    blocked: dict[RequestShape, None] = dataclasses.field(default_factory=dict)
    unplaceable_sizes: dict[resources.Resources, None] = dataclasses.field(
        default_factory=dict
    )
    demand: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    was_unblocked: bool = False
    accelerator_requests: int = 0


def add(
    queue: Queue,
    assignment: partitions.Assignment,
    size: resources.Resources,
    run_ms: int,
    avoided: frozenset[str],
) -> None:
    """Queues an assignment that is not queued yet.

    Args:
      queue: The queue.
      assignment: The assignment.
      size: Resources to set aside for each member.
      run_ms: Upper estimate of the run time in ms; 0 if unknown.
      avoided: Workers on which it must not be placed.
    """
    req = assignment.req
    key = requests.get_key(req)
    shape = _get_shape(queue, req, size, _round_run_time(run_ms), avoided)
    age_key = (assignment.accepted_ms, key)
    team_queue = queue.team_queues.get((req.priority, req.team))
    if team_queue is None:
        team_queue = TeamQueue(req.team, req.priority, oldest=age_key)
        queue.team_queues[req.priority, req.team] = team_queue
    team_queue.oldest = min(team_queue.oldest, age_key)
    bisect.insort(team_queue.by_shape.setdefault(shape, []), age_key)
    team_queue.replica_count += bool(req.service)
    queue.entries[key] = (team_queue, shape, age_key)
    shape.count += 1
    total_size = resources.multiply(req.size, req.members)
    before = queue.demand.get(req.team, resources.ZERO)
    queue.demand[req.team] = resources.add(before, total_size)
    queue.accelerator_requests += req.size.accelerators > 0


def _get_shape(
    queue: Queue,
    req: requests.Request,
    size: resources.Resources,
    run_ms: int,
    avoided: frozenset[str],
) -> RequestShape:
    key = (size, req.members, req.service, run_ms, avoided, req.priority)
    shape = queue.shapes.get(key)
    if shape is None:
        shape = RequestShape(size, req.members, req.service, run_ms, avoided)
        queue.shapes[key] = shape
    return shape


def _round_run_time(run_ms: int) -> int:
    """Rounds up to two significant bits, so that there are few shapes."""
    if run_ms <= 0:
        return 0
    shift = max(0, run_ms.bit_length() - 2)
    return -(-run_ms >> shift) << shift


def remove(queue: Queue, req: requests.Request) -> None:
    """Removes a request; does nothing if it is not queued."""
    entry = queue.entries.pop(requests.get_key(req), None)
    if entry is None:
        return
    team_queue, shape, age_key = entry
    _remove_from_team_queue(queue, team_queue, shape, age_key)
    shape.count -= 1
    if not shape.count:
        _drop_shape(queue, shape, req.priority)
    total_size = resources.multiply(req.size, req.members)
    left = resources.subtract(queue.demand[req.team], total_size)
    if left == resources.ZERO:
        del queue.demand[req.team]
    else:
        queue.demand[req.team] = left
    queue.accelerator_requests -= req.size.accelerators > 0


def _remove_from_team_queue(
    queue: Queue, team_queue: TeamQueue, shape: RequestShape, age_key: AgeKey
) -> None:
    age_keys = team_queue.by_shape[shape]
    team_queue.replica_count -= bool(shape.service)
    del age_keys[bisect.bisect_left(age_keys, age_key)]
    if not age_keys:
        del team_queue.by_shape[shape]
    if not team_queue.by_shape:
        del queue.team_queues[team_queue.priority, team_queue.team]
    elif age_key == team_queue.oldest:
        team_queue.oldest = min(
            age_keys[0] for age_keys in team_queue.by_shape.values()
        )


def _drop_shape(
    queue: Queue, shape: RequestShape, priority: requests.PriorityClass
) -> None:
    queue.blocked.pop(shape, None)
    del queue.shapes[
        shape.size,
        shape.members,
        shape.service,
        shape.run_ms,
        shape.avoided,
        priority,
    ]


def mark_blocked(queue: Queue, shape: RequestShape) -> None:
    """Marks a shape as not fitting at present."""
    shape.blocked = True
    queue.blocked[shape] = None


def unblock_fitting(
    queue: Queue,
    free: resources.Resources,
    free_for_cpu_work: resources.Resources,
) -> None:
    """Unblocks the shapes and sizes that fit on a worker.

    Args:
      queue: The queue.
      free: Resources of the worker that are free for tasks with accelerators.
      free_for_cpu_work: Resources of the worker that are free for tasks without
        accelerators.
    """

    def does_fit(size: resources.Resources) -> bool:
        return resources.fits(
            size, free if size.accelerators else free_for_cpu_work
        )

    for size in [size for size in queue.unplaceable_sizes if does_fit(size)]:
        del queue.unplaceable_sizes[size]
    for shape in [shape for shape in queue.blocked if does_fit(shape.size)]:
        shape.blocked = False
        del queue.blocked[shape]
        queue.was_unblocked = True


def unblock_all(queue: Queue) -> None:
    """Unblocks all shapes and sizes."""
    for shape in queue.blocked:
        shape.blocked = False
    queue.blocked.clear()
    queue.unplaceable_sizes.clear()


def is_unplaceable(queue: Queue, size: resources.Resources) -> bool:
    """Returns whether this size, or a smaller one, is known to fit nowhere.

    Sizes with and without accelerators are not compared with each other,
    because tasks without them may use less of a worker's free resources.
    """
    needs_accelerators = size.accelerators > 0
    return any(
        (failed.accelerators > 0) == needs_accelerators
        and resources.fits(failed, size)
        for failed in queue.unplaceable_sizes
    )


def get_shape(queue: Queue, request_key: str) -> RequestShape:
    """Returns the shape of a waiting request."""
    return queue.entries[request_key][1]


def get_team_queue(queue: Queue, request_key: str) -> TeamQueue:
    """Returns the team queue of a waiting request."""
    return queue.entries[request_key][0]


def list_oldest_blocked(queue: Queue) -> list[tuple[RequestShape, str]]:
    """Returns the oldest request of each blocked shape in each team queue."""
    return [
        (shape, age_keys[0][1])
        for team_queue in queue.team_queues.values()
        for shape, age_keys in team_queue.by_shape.items()
        if shape.blocked
    ]
