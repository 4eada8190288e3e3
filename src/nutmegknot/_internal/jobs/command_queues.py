"""Commands that wait to be sent to one worker."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import signals

# Sends one command, until it is known what came of it.
Send = Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class StopKey:
    """A run that is to be stopped.

    Attributes:
      name: The task.
      run: Number of the run.
      life: Life of the worker for which the stop command was queued.
    """

    name: jobs.TaskName
    run: int
    life: int


@dataclasses.dataclass(slots=True)
class CommandQueue:
    """Commands that wait to be sent to one worker, one at a time.

    Stop commands go first: a run that is to be stopped must end within a time
    that does not depend on how many starts wait. A stop may overtake the start
    of its own run, as the worker then rejects the start.

    Attributes:
      stops: Stop commands.
      others: All other commands.
      changed: Notified when a command is added, and when the session ends.
      open_stops: Runs whose stop command is queued or being sent.
      answered_stops: When the worker answered the stop command, by runs that
        it has listed since.
    """

    stops: collections.deque[Send] = dataclasses.field(
        default_factory=collections.deque
    )
    others: collections.deque[Send] = dataclasses.field(
        default_factory=collections.deque
    )
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    open_stops: set[StopKey] = dataclasses.field(default_factory=set)
    answered_stops: dict[StopKey, int] = dataclasses.field(default_factory=dict)


def add_stop(commands: CommandQueue, key: StopKey, send: Send) -> None:
    """Queues a stop command; whoever sends it takes its key from open_stops."""
    commands.open_stops.add(key)
    commands.stops.append(send)
    signals.notify(commands.changed)


def add_command(commands: CommandQueue, send: Send) -> None:
    """Queues a command that is not a stop."""
    commands.others.append(send)
    signals.notify(commands.changed)


def take_command(commands: CommandQueue) -> Send | None:
    """Removes the command that is sent next; None if none waits."""
    for waiting in (commands.stops, commands.others):
        if waiting:
            return waiting.popleft()
    return None
