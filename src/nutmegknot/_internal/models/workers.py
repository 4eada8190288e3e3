"""Workers, the tasks on them, and states of failure domains."""

import dataclasses
import enum

from nutmegknot._internal.models import resources


class TargetState(enum.Enum):
    """State of a worker's target in the platform's list of workers."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class DomainState(enum.Enum):
    """Whether operators allow tasks to start in a failure domain."""

    OPEN = 'open'
    CLOSED = 'closed'


@dataclasses.dataclass(slots=True, frozen=True)
class Worker:
    """A worker, which runs tasks, as the platform lists it.

    Attributes:
      id: Name, unique in the cell.
      region: Name of its region.
      domain: Name of its failure domain.
      rack: Name of its rack, unique in the failure domain.
      capacity: Resources that it has.
      address: Host and port of its target, the endpoint for calls to it.
      state: State of its target.
      pool: Name of the service whose tasks it runs; '' where workers are not
        divided by service.
      kind: Hardware type; workers of one type are about equally fast.
      labels: Labels of the worker; a step of a job may require one.
      life: Number of the worker's current life. It rises with each restart of
        the worker, which knows nothing of its earlier lives.
    """

    id: str
    region: str
    domain: str
    rack: str
    capacity: resources.Resources
    address: str = ''
    state: TargetState = TargetState.LIVE
    pool: str = ''
    kind: str = ''
    labels: frozenset[str] = frozenset()
    life: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TaskId:
    """Identifies one attempt to run one task of a request.

    Attributes:
      request_key: Identifier of the request, unique in the cell.
      member: Number of the task within the request, from 0.
      attempt: Number of the attempt, from 0.
    """

    request_key: str
    member: int = 0
    attempt: int = 0


class TaskState(enum.Enum):
    """State of a task on its worker."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(slots=True)
class InventoryEntry:
    """A task as its worker lists it in its inventory.

    Attributes:
      task: Id of the task.
      team: Name of the team that it counts for.
      size: Resources that it holds.
      state: Its state. A task that has ended is listed until the owner has
        acknowledged its end.
      answer: The answer of a finished task.
      detail: Explanation for a failed or stopped task, one line.
    """

    task: TaskId
    team: str
    size: resources.Resources
    state: TaskState
    answer: bytes = b''
    detail: str = ''


def format_task(task: TaskId) -> str:
    """Returns the text form of a task id, as used by workers and in logs."""
    return f'{task.request_key}#{task.member}#{task.attempt}'


def parse_task(text: str) -> TaskId:
    """Returns the task id for the text form that format_task makes.

    Raises:
      ValueError: If the text has another form.
    """
    request_key, member, attempt = text.rsplit('#', 2)
    return TaskId(request_key, int(member), int(attempt))
