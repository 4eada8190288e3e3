"""Interface of the platform's workers and of its list of them."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Claimed:
    """The worker now obeys the token.

    Attributes:
      boot: Identifier of the worker's present run; a new one means that every
        earlier task is gone.
      inventory: What it runs or has finished and not yet been told to forget.
      event: Number of the newest event that the inventory shows.
    """

    boot: str
    inventory: list[workers.InventoryEntry]
    event: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StaleToken:
    """The worker obeys a higher token."""

    token: int


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """Order to start a task.

    Attributes:
      task: The task; starting one again that runs changes nothing.
      team: Team that it counts for.
      size: Resources to set aside.
      not_after_ms: Wall clock instant in ms after which it must not start.
      payload: What to run.
      checkpoint: Name of a checkpoint to go on from, or ''.
    """

    task: workers.TaskId
    team: str
    size: resources.Resources
    not_after_ms: int
    payload: bytes
    checkpoint: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Started:
    """The task runs, or ran already under the same id."""


@dataclasses.dataclass(slots=True, frozen=True)
class StartRefused:
    """The worker did not start the task and will not.

    Attributes:
      reason: One word: 'capacity', 'late', 'leaving' or 'stopped'.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What a task was seen to use, some time ago.

    Attributes:
      task: The task.
      used: Resources that it used.
      age_ms: Age of the observation in ms.
    """

    task: workers.TaskId
    used: resources.Resources
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Polled:
    """News from a worker; receiving it means the leases were renewed.

    Attributes:
      ended: Tasks that ended after the event that the poll named.
      usage: Lagging usage reports.
      leaving: Whether the worker is being drained by the platform.
      event: Number of the newest event shown.
    """

    ended: list[workers.InventoryEntry]
    usage: list[Usage]
    leaving: bool
    event: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Poll:
    """Asks for news and renews the leases of the worker's tasks.

    Attributes:
      lease_ms: Length of the new lease in ms, from the sending of the poll; 0
        leaves the leases as they are.
      wait_ms: How long the worker may hold the call if there is no news, in ms.
      after: Number of the newest event known; only later ones are news.
      acknowledged: Ended tasks that the worker may forget.
    """

    lease_ms: int
    wait_ms: int
    after: int = 0
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
class Target:
    """Calls to one worker; token is the epoch of the fleet partition.

    Attributes:
      claim: (token, partition, lease in ms) -> claim and inventory.
      poll: (token, poll) -> news.
      start: (token, orders) -> one result for each order, in order.
      stop: (token, tasks, grace in ms) -> None once the worker stops them; each
        is checkpointed first if it can be, and reported ended by poll.
      throttle: (token, task, millicores) -> None once in force.
    """

    claim: Callable[[int, str, int], Awaitable[ClaimResult]]
    poll: Callable[[int, Poll], Awaitable[PollResult]]
    start: Callable[[int, list[Start]], Awaitable[StartResult]]
    stop: Callable[[int, list[workers.TaskId], int], Awaitable[StopResult]]
    throttle: Callable[[int, workers.TaskId, int], Awaitable[StopResult]]


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """The platform's lagging list of workers, and the way to each.

    Attributes:
      list_workers: Returns the list; the argument is a time limit in ms.
      connect: Returns the calls to a worker.
    """

    list_workers: Callable[
        [int], Awaitable[list[workers.Worker] | tables.Unavailable]
    ]
    connect: Callable[[workers.Worker], Target]
