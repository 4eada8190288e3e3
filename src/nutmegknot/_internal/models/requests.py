"""Requests as callers submit them."""

import dataclasses
import enum

from nutmegknot._internal.models import resources


class PriorityClass(enum.IntEnum):
    """Priority class of a request; a lower number is more urgent."""

    URGENT = 0
    NORMAL = 1
    BEST_EFFORT = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """Work that a caller submits: one task, or several that start together.

    Attributes:
      id: The caller's identifier, unique within its team.
      team: Name of the team whose key the caller used; in a queue that is open
        to callers without a key, the team that the queue counts for.
      queue: Name of the queue.
      size: Resources of each task.
      members: Number of tasks. Either all of them start at the same time, or
        none.
      priority: Priority class.
      repeatable: Whether a task may be run again when it is not known whether
        it has run.
      deadline_ms: Wall clock time in ms after which it is not started any more;
        0 for none.
      run_ms: Run time as declared by the caller in ms; 0 if it is unknown or
        unlimited.
      payload: What the worker runs; opaque to the scheduler.
      service: Name of the service if the request is one of its replicas; else
        ''.
    """

    id: str
    team: str
    queue: str
    size: resources.Resources
    members: int = 1
    priority: PriorityClass = PriorityClass.NORMAL
    repeatable: bool = True
    deadline_ms: int = 0
    run_ms: int = 0
    payload: bytes = b''
    service: str = ''


def get_key(req: Request) -> str:
    """Returns the identifier of a request that is unique in the cell."""
    return f'{req.team}/{req.id}'
