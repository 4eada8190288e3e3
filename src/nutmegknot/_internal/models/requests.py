"""Requests as callers submit them."""

import dataclasses
import enum

from nutmegknot._internal.models import resources


class PriorityClass(enum.IntEnum):
    """Class of a request; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    BEST_EFFORT = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One unit of accepted or offered work.

    Attributes:
      id: The caller's identifier, unique within its team.
      team: The team that the key belongs to; an open queue's own team.
      queue: Name of the queue.
      size: Resources of one member.
      members: Number of tasks; above 1 all of them start at once or none.
      priority: Priority class.
      repeatable: Whether a task may be run again after an unclear end.
      deadline_ms: Wall clock instant in ms after which it is not started;
        0 for none.
      run_ms: Declared run time in ms; 0 if unknown or without end.
      payload: What the worker runs; opaque to the scheduler.
      service: Name of the service that the request is a replica of, or ''.
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
