"""Waiting requests, grouped so that a decision need not look at all of them.

Requests of one shape are alike for placement: if one of them finds no room,
neither do the others, until something changes. The shape remembers that.
"""

import bisect
import dataclasses

from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Instant of acceptance in ms and key of a request.
Age = tuple[int, str]


@dataclasses.dataclass(slots=True, eq=False)
class Shape:
    """What decides where a request can be placed.

    Attributes:
      size: Resources of one member.
      members: Number of members.
      service: Service of which it is a replica, or ''.
      run_ms: Upper bound of the run time expected, in ms; 0 if unknown.
      avoided: Workers on which the request failed before.
      count: Waiting requests of this shape.
      blocked: Whether there was no room for it when last tried.
      retry_ms: Instant in ms before which it is not tried again.
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
class Line:
    """Waiting requests of one team and priority class.

    Attributes:
      team: The team.
      priority: The class.
      parts: Requests of each shape, in order of age.
      oldest: The oldest request of all.
      services: Replicas among them, which go before other requests.
    """

    team: str
    priority: requests.PriorityClass
    parts: dict[Shape, list[Age]] = dataclasses.field(default_factory=dict)
    oldest: Age = (0, '')
    services: int = 0


_ShapeKey = tuple[
    resources.Resources, int, str, int, frozenset[str], requests.PriorityClass
]


@dataclasses.dataclass(slots=True)
class Queue:
    """All waiting requests of a fleet partition.

    Attributes:
      lines: By priority class and team.
      shapes: By what they are made of.
      entries: Shape of each waiting request and its place in the line.
      blocked: Shapes that are marked as blocked.
      failed: Sizes for which no worker has room.
      demand: What the waiting requests of each team ask for.
      reopened: Whether a mark was cleared since this was last set to False.
      accelerated: Waiting requests that need accelerators.
    """

    lines: dict[tuple[requests.PriorityClass, str], Line] = dataclasses.field(
        default_factory=dict
    )
    shapes: dict[_ShapeKey, Shape] = dataclasses.field(default_factory=dict)
    entries: dict[str, tuple[Line, Shape, Age]] = dataclasses.field(
        default_factory=dict
    )
    blocked: dict[Shape, None] = dataclasses.field(default_factory=dict)
    failed: dict[resources.Resources, None] = dataclasses.field(
        default_factory=dict
    )
    demand: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    reopened: bool = False
    accelerated: int = 0


def add(
    queue: Queue,
    given: partitions.Assignment,
    size: resources.Resources,
    run_ms: int,
    avoided: frozenset[str],
) -> None:
    """Queues an assignment that is not queued yet.

    Args:
      queue: The queue.
      given: The assignment.
      size: What a member is expected to need.
      run_ms: Expected run time in ms, 0 if unknown.
      avoided: Workers that it is not placed on.
    """
    req = given.req
    key = requests.get_key(req)
    shape = _get_shape(queue, req, size, _round_up(run_ms), avoided)
    age = (given.accepted_ms, key)
    line = queue.lines.get((req.priority, req.team))
    if line is None:
        line = Line(req.team, req.priority, oldest=age)
        queue.lines[req.priority, req.team] = line
    line.oldest = min(line.oldest, age)
    bisect.insort(line.parts.setdefault(shape, []), age)
    line.services += bool(req.service)
    queue.entries[key] = (line, shape, age)
    shape.count += 1
    whole = resources.multiply(req.size, req.members)
    before = queue.demand.get(req.team, resources.NOTHING)
    queue.demand[req.team] = resources.add(before, whole)
    queue.accelerated += req.size.accelerators > 0


def _get_shape(
    queue: Queue,
    req: requests.Request,
    size: resources.Resources,
    run_ms: int,
    avoided: frozenset[str],
) -> Shape:
    key = (size, req.members, req.service, run_ms, avoided, req.priority)
    shape = queue.shapes.get(key)
    if shape is None:
        shape = Shape(size, req.members, req.service, run_ms, avoided)
        queue.shapes[key] = shape
    return shape


def _round_up(run_ms: int) -> int:
    """Returns the next number with two leading bits: there are few shapes."""
    if run_ms <= 0:
        return 0
    shift = max(0, run_ms.bit_length() - 2)
    return -(-run_ms >> shift) << shift


def remove(queue: Queue, req: requests.Request) -> None:
    """Takes a request out; one that is not there changes nothing."""
    entry = queue.entries.pop(requests.get_key(req), None)
    if entry is None:
        return
    line, shape, age = entry
    _remove_from_line(queue, line, shape, age)
    shape.count -= 1
    if not shape.count:
        _drop_shape(queue, shape, req.priority)
    whole = resources.multiply(req.size, req.members)
    left = resources.subtract(queue.demand[req.team], whole)
    if left == resources.NOTHING:
        del queue.demand[req.team]
    else:
        queue.demand[req.team] = left
    queue.accelerated -= req.size.accelerators > 0


def _remove_from_line(queue: Queue, line: Line, shape: Shape, age: Age) -> None:
    part = line.parts[shape]
    line.services -= bool(shape.service)
    del part[bisect.bisect_left(part, age)]
    if not part:
        del line.parts[shape]
    if not line.parts:
        del queue.lines[line.priority, line.team]
    elif age == line.oldest:
        line.oldest = min(part[0] for part in line.parts.values())


def _drop_shape(
    queue: Queue, shape: Shape, priority: requests.PriorityClass
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


def block(queue: Queue, shape: Shape) -> None:
    """Marks a shape as one that finds no room."""
    shape.blocked = True
    queue.blocked[shape] = None


def unblock_fitting(
    queue: Queue, room: resources.Resources, other_room: resources.Resources
) -> None:
    """Clears the marks of what fits into the room of a worker.

    Args:
      queue: The queue.
      room: Room of the worker for work that needs accelerators.
      other_room: Its room for other work.
    """

    def does_fit(size: resources.Resources) -> bool:
        return resources.fits(size, room if size.accelerators else other_room)

    for size in [size for size in queue.failed if does_fit(size)]:
        del queue.failed[size]
    for shape in [shape for shape in queue.blocked if does_fit(shape.size)]:
        shape.blocked = False
        del queue.blocked[shape]
        queue.reopened = True


def unblock_all(queue: Queue) -> None:
    """Clears all marks."""
    for shape in queue.blocked:
        shape.blocked = False
    queue.blocked.clear()
    queue.failed.clear()


def has_failed(queue: Queue, size: resources.Resources) -> bool:
    """Tells whether size, or a smaller one of its kind, found no room.

    Work without accelerators finds less room, and so says nothing of the rest.
    """
    has_cards = size.accelerators > 0
    return any(
        (failed.accelerators > 0) == has_cards and resources.fits(failed, size)
        for failed in queue.failed
    )


def get_shape(queue: Queue, request_key: str) -> Shape:
    """Returns the shape of a waiting request."""
    return queue.entries[request_key][1]


def get_line(queue: Queue, request_key: str) -> Line:
    """Returns the line of a waiting request."""
    return queue.entries[request_key][0]


def list_heads(queue: Queue) -> list[tuple[Shape, str]]:
    """Returns the oldest request of each line and blocked shape."""
    return [
        (shape, part[0][1])
        for line in queue.lines.values()
        for shape, part in line.parts.items()
        if shape.blocked
    ]
