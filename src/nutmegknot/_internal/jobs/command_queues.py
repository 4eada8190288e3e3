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
    """Commands that wait to be sent to one worker.

    Stop commands do not wait for others, and several are sent at a time: a run
    that is to be stopped must end within a time that does not depend on how
    many commands wait. A stop may overtake the start of its own run, as the
    worker then rejects the start.

    Attributes:
      stops: Runs for which a stop command waits.
      stop_senders: Number of tasks that send stop commands.
      others: All other commands, which are sent one at a time.
      changed: Notified when one of these is added, and when the session ends.
      open_stops: Runs whose stop command waits or is being sent.
      answered_stops: When the worker answered the stop command, by runs that
        it has listed since.
    """

    stops: collections.deque[StopKey] = dataclasses.field(
        default_factory=collections.deque
    )
    stop_senders: int = 0
    others: collections.deque[Send] = dataclasses.field(
        default_factory=collections.deque
    )
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    open_stops: set[StopKey] = dataclasses.field(default_factory=set)
    answered_stops: dict[StopKey, int] = dataclasses.field(default_factory=dict)


def add_command(commands: CommandQueue, send: Send) -> None:
    """Queues a command that is not a stop."""
    commands.others.append(send)
    signals.notify(commands.changed)
