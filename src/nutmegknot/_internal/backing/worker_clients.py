"""Interface through which fleet partitions list workers and call them."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Claimed:
    """The worker was claimed: it now rejects calls with lower fencing tokens.

    Attributes:
      boot_id: Identifier that changes when the worker restarts; after a restart
        all earlier tasks are gone.
      inventory: Tasks that run, and ended tasks that were not acknowledged yet.
      last_event: Number of the newest event that the inventory includes.
    """

    boot_id: str
    inventory: list[workers.InventoryEntry]
    last_event: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StaleToken:
    """The worker rejected the call: it has seen the higher fencing token."""

    token: int


@dataclasses.dataclass(slots=True, frozen=True)
class TaskStart:
    """A task that a worker is told to start.

    Attributes:
      task: The task; starting a task that already runs has no effect.
      team: Team whose usage the task counts towards.
      size: Resources to reserve for the task.
      not_after_ms: Wall clock time in ms after which the task must not start.
      payload: What to run.
      checkpoint: Name of the checkpoint to resume from; '' for the beginning.
    """

    task: workers.TaskId
    team: str
    size: resources.Resources
    not_after_ms: int
    payload: bytes
    checkpoint: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Started:
    """The task was started, or had been started under the same id before."""


@dataclasses.dataclass(slots=True, frozen=True)
class StartRefused:
    """The worker did not start the task and never will.

    Attributes:
      reason: One word: 'capacity', 'late', 'leaving' or 'stopped'.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """A measurement of the resources that a task uses; it may be outdated.

    Attributes:
      task: The task.
      used: Resources that it used.
      age_ms: Age of the measurement in ms.
    """

    task: workers.TaskId
    used: resources.Resources
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Polled:
    """Reply to a poll; the leases were renewed if the poll asked for it.

    Attributes:
      ended: Tasks that ended after the event that the poll named.
      usage: Measured usage, which lags behind.
      leaving: Whether the platform is draining the worker.
      last_event: Number of the newest event that the reply includes.
    """

    ended: list[workers.InventoryEntry]
    usage: list[Usage]
    leaving: bool
    last_event: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Poll:
    """A request for new events, which can renew the leases of the tasks.

    Attributes:
      lease_ms: Length of the new lease in ms, counted from when the poll is
        sent; 0 does not renew the leases.
      wait_ms: How long the worker may delay the reply while there is no new
        event, in ms.
      after_event: Number of the newest known event; later ones are returned.
      acknowledged: Ended tasks that the worker no longer needs to list.
    """

    lease_ms: int
    wait_ms: int
    after_event: int = 0
    acknowledged: tuple[workers.TaskId, ...] = ()


ClaimResult = Claimed | StaleToken | tables.Unavailable
PollResult = Polled | StaleToken | tables.Unavailable
StartResult = (
    list[Started | StartRefused]
    | StaleToken
    | tables.Unavailable
    | tables.Uncertain
)
StopResult = tables.Unavailable | tables.Uncertain | StaleToken | None


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerClient:
    """Calls to one worker.

    The first argument of each call is the fencing token, which is the epoch of
    the fleet partition.

    Attributes:
      claim: (token, partition, lease in ms) -> the claim with the inventory.
      poll: (token, poll) -> events since the last poll.
      start: (token, tasks) -> one result for each task, in the same order.
      stop: (token, tasks, grace period in ms) -> None once the worker has begun
        to stop the tasks. Each task is checkpointed first if it supports
        checkpoints; a later poll reports its end.
      throttle: (token, task, millicores) -> None once the limit is in effect.
    """

    claim: Callable[[int, str, int], Awaitable[ClaimResult]]
    poll: Callable[[int, Poll], Awaitable[PollResult]]
    start: Callable[[int, list[TaskStart]], Awaitable[StartResult]]
    stop: Callable[[int, list[workers.TaskId], int], Awaitable[StopResult]]
    throttle: Callable[[int, workers.TaskId, int], Awaitable[StopResult]]


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerDirectory:
    """The platform's list of workers, which lags, and a client for each worker.

    Attributes:
      list_workers: Returns the list; the argument is a time-out in ms.
      connect: Returns a client for a worker.
    """

    list_workers: Callable[
        [int], Awaitable[list[workers.Worker] | tables.Unavailable]
    ]
    connect: Callable[[workers.Worker], WorkerClient]
