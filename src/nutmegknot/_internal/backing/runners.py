"""Interface of workers that run tasks of jobs under leases.

A worker keeps the highest fencing token that it has seen and does nothing for
a lower one. What runs on it shares one lease, whose end is an instant of the
worker's own clock. An adapter fills in Runners.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers


class Refusal(enum.Enum):
    """Why a worker did not do what it was told; nothing was done."""

    # A higher fencing token has been seen.
    FENCED = 'fenced'
    # The run is not newer than one that was stopped or ended there.
    OLD = 'old'
    # The time up to which the order held has passed.
    LATE = 'late'
    NO_ROOM = 'no_room'
    # The ticket is missing, ended or of another life.
    NO_TICKET = 'no_ticket'
    # It is not healthy, or takes no calls.
    UNHEALTHY = 'unhealthy'
    # Another life of the worker answered.
    OTHER_LIFE = 'other_life'
    # It can't read the order.
    BAD_ORDER = 'bad_order'


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """The worker has taken the order, or had taken it before.

    Attributes:
      clock_ms: The worker's clock while it answered; None if not told.
      life: The life that answered; 0 if not told.
    """

    clock_ms: int | None = None
    life: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Nothing was done."""

    reason: Refusal
    clock_ms: int | None = None
    detail: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """No answer came: the order may have been taken, or may be later."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unreached:
    """No connection was made, so the order did not leave."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """Order to start a run.

    Attributes:
      name: The task.
      run: Number of the run.
      payload: The caller's description.
      until_ms: The order holds up to this instant of the worker's clock, and
        the worker's lease lasts at least as long.
      token: Fencing token.
      checkpoint: Where to go on; '' for the beginning.
      ticket: Leave to start there; '' where none is needed.
    """

    name: jobs.TaskName
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class RunRow:
    """A run that is on the worker.

    Attributes:
      name: The task.
      run: Number of the run.
      checkpoint: Its newest checkpoint.
      pace: Percent of its work that it may do.
      load: Tail of response times in ms where the task serves users, else
        processors in use in thousandths of a core; both rough.
    """

    name: jobs.TaskName
    run: int
    checkpoint: str
    pace: int
    load: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndRow:
    """A run that ended on the worker.

    Attributes:
      number: Rises with each end of this life of the worker.
      name: The task; None if it can't be read.
      run: Number of the run.
      kind: How it ended.
      checkpoint: Its newest checkpoint.
    """

    number: int
    name: jobs.TaskName | None
    run: int
    kind: jobs.EndKind
    checkpoint: str


@dataclasses.dataclass(slots=True, frozen=True)
class Inventory:
    """What a worker runs, and ends that were not taken note of.

    Attributes:
      clock_ms: The worker's clock while it answered.
      life: The life that answered.
      runs: Runs under way.
      ends: Ends with numbers above the one that was named as seen.
      foreign: Number of runs whose task can't be read.
    """

    clock_ms: int
    life: int
    runs: list[RunRow]
    ends: list[EndRow]
    foreign: int = 0


StartResult = Taken | Refused | Unanswered | Unreached
HoldResult = Inventory | Refused | Unanswered | Unreached

# Worker, token, number of the last end seen, end of the lease or None, longest
# wait for an end in ms, time limit in ms.
Hold = Callable[
    [workers.Worker, int, int, int | None, int, int], Awaitable[HoldResult]
]
# Worker, order, time limit in ms.
StartRun = Callable[[workers.Worker, Start, int], Awaitable[StartResult]]
# Worker, task, run, token, time limit in ms.
StopRun = Callable[
    [workers.Worker, jobs.TaskName, int, int, int], Awaitable[StartResult]
]
# Worker, task, run, percent, token, time limit in ms.
PaceRun = Callable[
    [workers.Worker, jobs.TaskName, int, int, int, int], Awaitable[StartResult]
]


@dataclasses.dataclass(slots=True, frozen=True)
class Runners:
    """Access to workers.

    Attributes:
      hold: Renews the lease and returns the inventory.
      start: Starts a run.
      stop: Stops a run, and bars it from starting.
      pace: Sets the part of its work that a run may do.
    """

    hold: Hold
    start: StartRun
    stop: StopRun
    pace: PaceRun
