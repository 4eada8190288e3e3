"""Waiting requests, grouped so that a decision need not look at all of them.

Requests of one shape are alike for placement: if one of them finds no room,
neither do the others, until something changes. The shape remembers that.
"""

import dataclasses

import sortedcontainers

from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources


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
      parts: Assignments of each shape, by instant of acceptance and key.
    """

    team: str
    priority: requests.PriorityClass
    parts: dict[Shape, sortedcontainers.SortedDict] = dataclasses.field(
        default_factory=dict
    )


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
      demand: What the waiting requests of each team ask for.
      reopened: Whether a mark was cleared since this was last set to False.
      accelerated: Waiting requests that need accelerators.
    """

    lines: dict[tuple[requests.PriorityClass, str], Line] = dataclasses.field(
        default_factory=dict
    )
    shapes: dict[_ShapeKey, Shape] = dataclasses.field(default_factory=dict)
    entries: dict[str, tuple[Line, Shape, tuple[int, str]]] = dataclasses.field(
        default_factory=dict
    )
    blocked: dict[Shape, None] = dataclasses.field(default_factory=dict)
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
    line = queue.lines.get((req.priority, req.team))
    if line is None:
        line = Line(req.team, req.priority)
        queue.lines[req.priority, req.team] = line
    part = line.parts.get(shape)
    if part is None:
        part = line.parts[shape] = sortedcontainers.SortedDict()
    place = (given.accepted_ms, key)
    part[place] = given
    queue.entries[key] = (line, shape, place)
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
    """Returns the next power of two, so that there are few shapes."""
    return 1 << (run_ms - 1).bit_length() if run_ms > 0 else 0


def remove(queue: Queue, request_key: str) -> bool:
    """Takes a request out; tells whether it was there."""
    entry = queue.entries.pop(request_key, None)
    if entry is None:
        return False
    line, shape, place = entry
    part = line.parts[shape]
    req = part.pop(place).req
    if not part:
        del line.parts[shape]
    if not line.parts:
        del queue.lines[line.priority, line.team]
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
    return True


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


def unblock_fitting(queue: Queue, room: resources.Resources) -> None:
    """Clears the mark of the shapes that fit into room."""
    for shape in [s for s in queue.blocked if resources.fits(s.size, room)]:
        shape.blocked = False
        del queue.blocked[shape]
        queue.reopened = True


def unblock_all(queue: Queue) -> None:
    """Clears the mark of all shapes."""
    for shape in queue.blocked:
        shape.blocked = False
    queue.blocked.clear()


def get_shape(queue: Queue, request_key: str) -> Shape:
    """Returns the shape of a waiting request."""
    return queue.entries[request_key][1]
