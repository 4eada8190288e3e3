"""Interface of the workers that run tasks of jobs under leases.

A worker remembers the highest fencing token that it has seen and refuses calls
with a lower one. All runs on a worker share one lease. The end of the lease is
a time of the worker's own clock. A life of a worker is the time from one start
of the worker to the next; lives have rising numbers. An adapter for a kind of
worker provides the functions of Runners.

A call is meant for the life of the worker that it names. It has no effect in
another one: a poll then returns the inventory of that life, and a command is
refused. Only a call that is carried out late can still reach the next life.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers


class Refusal(enum.Enum):
    """Why a worker refused a call; the call had no effect."""

    # The worker has seen a higher fencing token.
    FENCED = 'fenced'
    # The run is not newer than a run of the task that was stopped or has ended
    # on the worker.
    STALE_RUN = 'old'
    # The command arrived after the time until which it was valid.
    EXPIRED = 'late'
    NO_ROOM = 'no_room'
    # The ticket is missing, has expired or is for another life of the worker.
    NO_TICKET = 'no_ticket'
    # The worker is not healthy or does not accept calls at present.
    UNHEALTHY = 'unhealthy'
    # The address answered as another worker, or as another life of the worker.
    OTHER_LIFE = 'other_life'
    # The worker can't parse or carry out the command.
    INVALID_COMMAND = 'bad_order'


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """The worker accepted the command, or had accepted it before.

    Attributes:
      clock_ms: The worker's clock when it replied; None if not reported.
      life: Number of the worker's life; 0 if not reported.
    """

    clock_ms: int | None = None
    life: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The worker refused the command; the command had no effect.

    Attributes:
      reason: Kind of refusal.
      clock_ms: The worker's clock when it replied; None if not reported.
      detail: The reason that the worker gave, or the HTTP status; may be empty.
    """

    reason: Refusal
    clock_ms: int | None = None
    detail: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """No usable reply came: the command may take effect now or later."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unreached:
    """No connection could be opened, so the command was not sent."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class StartCommand:
    """Command to start a run of a task.

    Attributes:
      name: The task.
      run: Number of the run.
      payload: What to run, as the caller submitted it.
      until_ms: The command is valid until this time of the worker's clock, and
        the lease of the worker is extended at least to it.
      token: Fencing token.
      checkpoint: Checkpoint to resume from; '' to start from the beginning.
      ticket: Permission of the advice service to start the task on this worker;
        '' where none is needed.
    """

    name: jobs.TaskName
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedRun:
    """A run in progress, as its worker reports it.

    Attributes:
      name: The task.
      run: Number of the run.
      checkpoint: Its newest checkpoint.
      progress_percent: Percentage of its work that is done; 100 for a
        long-running run that is in operation. None if the worker reports no
        valid number.
      load: Tail latency in ms if the task serves users, else the processor time
        in use in thousandths of a core; both are approximate.
    """

    name: jobs.TaskName
    run: int
    checkpoint: str
    progress_percent: int | None
    load: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedEnd:
    """The end of a run, as its worker reports it.

    Attributes:
      number: Number of the end; within a life of the worker it rises with each
        end.
      name: The task; None if its name can't be parsed.
      run: Number of the run.
      kind: How the run ended.
      checkpoint: Newest checkpoint of the run.
    """

    number: int
    name: jobs.TaskName | None
    run: int
    kind: jobs.EndKind
    checkpoint: str


@dataclasses.dataclass(slots=True, frozen=True)
class Inventory:
    """The runs on a worker and the ends that its owner has not acknowledged.

    Attributes:
      clock_ms: The worker's clock when it replied.
      life: Number of the worker's life.
      runs: Runs in progress.
      ends: Ends with numbers above the one that the poll acknowledged.
      unreadable_runs: Number of runs whose task name can't be parsed.
      has_more_ends: Whether there may be further ends, which are not listed
        before the listed ones are acknowledged.
    """

    clock_ms: int
    life: int
    runs: list[ReportedRun]
    ends: list[ReportedEnd]
    unreadable_runs: int = 0
    has_more_ends: bool = False


CommandResult = Taken | Refused | Unanswered | Unreached
PollResult = Inventory | Refused | Unanswered | Unreached

# Takes the worker, the fencing token, the number of the newest end to
# acknowledge, the new end of the lease by the worker's clock (None to leave the
# lease unchanged), the longest wait for an end in ms, and a time-out in ms.
PollWorker = Callable[
    [workers.Worker, int, int, int | None, int, int], Awaitable[PollResult]
]
# Takes the worker, the command and a time-out in ms.
StartRun = Callable[
    [workers.Worker, StartCommand, int], Awaitable[CommandResult]
]
# Takes the worker, the task, the number of the run, the fencing token and a
# time-out in ms.
StopRun = Callable[
    [workers.Worker, jobs.TaskName, int, int, int], Awaitable[CommandResult]
]
# Takes the worker, the task, the number of the run, the percentage of full
# speed, the fencing token and a time-out in ms.
ThrottleRun = Callable[
    [workers.Worker, jobs.TaskName, int, int, int, int],
    Awaitable[CommandResult],
]

# Takes the id of the worker.
Disconnect = Callable[[str], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Runners:
    """Access to workers.

    Attributes:
      poll: Returns the inventory and can renew the lease.
      start: Starts a run.
      stop: Stops a run; if it has not started yet, it never will.
      throttle: Sets the percentage of full speed at which a run may work.
      disconnect: Closes the connections to a worker.
    """

    poll: PollWorker
    start: StartRun
    stop: StopRun
    throttle: ThrottleRun
    disconnect: Disconnect
