"""Workers, the tasks on them, and failure domains."""

import dataclasses
import enum

from nutmegknot._internal.models import resources


class TargetState(enum.Enum):
    """State of a worker's target in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class DomainState(enum.Enum):
    """Whether operators let tasks start in a failure domain."""

    OPEN = 'open'
    CLOSED = 'closed'


@dataclasses.dataclass(slots=True, frozen=True)
class Worker:
    """A machine that runs tasks, as the platform lists it.

    Attributes:
      id: Name, unique in the cell.
      region: Region name.
      domain: Failure domain name.
      rack: Rack name, unique in its failure domain.
      capacity: What it has.
      address: Host and port of its target.
      state: State of its target.
      pool: Name of the service whose tasks it runs; '' where workers are not
        divided by service.
      kind: Kind of machine; workers of one kind are about equally fast.
      labels: What a step may require of a worker.
      life: Which life of the worker this is; a later life is larger and knows
        nothing of an earlier one.
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
    """One attempt to run one member of a request.

    Attributes:
      request_key: The request, unique in the cell.
      member: Member number from 0.
      attempt: Attempt number from 0.
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
    """A task as its worker shows it.

    Attributes:
      task: The task.
      team: Team that it counts for.
      size: Resources that it holds.
      state: Its state; ended ones stay until they are acknowledged.
      answer: The answer of a finished task.
      detail: One line on a failed or stopped task.
    """

    task: TaskId
    team: str
    size: resources.Resources
    state: TaskState
    answer: bytes = b''
    detail: str = ''


def format_task(task: TaskId) -> str:
    """Returns the text form of a task id used by workers and logs."""
    return f'{task.request_key}#{task.member}#{task.attempt}'


def parse_task(text: str) -> TaskId:
    """Returns the task id of its text form.

    Raises:
      ValueError: If text was not made by format_task.
    """
    request_key, member, attempt = text.rsplit('#', 2)
    return TaskId(request_key, int(member), int(attempt))
