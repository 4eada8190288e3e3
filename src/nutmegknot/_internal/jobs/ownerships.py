"""What belongs to one ownership of the jobs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import figures
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import questions as questions_lib
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True)
class Orders:
    """Orders that wait to be sent to one worker.

    Attributes:
      queue: Functions that send one order each.
    """

    queue: asyncio.Queue[Callable[[], Awaitable[None]]] = dataclasses.field(
        default_factory=asyncio.Queue
    )


@dataclasses.dataclass(slots=True)
class Ownership:
    """One ownership of the jobs by this instance.

    Attributes:
      clock: Source of time.
      rng: Source of jitter.
      limits: Bounds on time that hold on this platform.
      runners: Access to workers.
      advisers: Calls for advice; each serves one call at a time.
      writer: Its chain of writes.
      book: What it knows.
      tasks: Its tasks; cancelled when it ends.
      figures: What is counted.
      relay: The ways to the store; None where there is only one.
      changed: Notified when something may be placed.
      claimed: Notified when a worker has been claimed.
      written: Notified after each write that took effect.
      orders: Orders by worker.
      asked: Notified when a stage wants advice.
      touched: Jobs whose newest write is not in the table yet.
      timed: Jobs with due times to come.
      accepting: Acceptances under way, by job id.
      questions: Questions that wait for an adviser.
    """

    clock: clock_lib.Clock
    rng: random.Random
    limits: bounds.Bounds
    runners: runners.Runners
    advisers: dict[str, advisers.Advise]
    writer: writes.Writer
    book: books.Book
    tasks: tasks.Tasks
    figures: figures.Figures
    relay: relays.Relay | None = None
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    claimed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    written: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    orders: dict[str, Orders] = dataclasses.field(default_factory=dict)
    asked: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    touched: set[str] = dataclasses.field(default_factory=set)
    timed: set[str] = dataclasses.field(default_factory=set)
    accepting: dict[str, asyncio.Future[outcomes.Submitted]] = (
        dataclasses.field(default_factory=dict)
    )
    questions: questions_lib.Questions = dataclasses.field(
        default_factory=questions_lib.Questions
    )


def may_act(own: Ownership) -> bool:
    """Tells whether the ownership still holds.

    While the store is lost for all that could take over, nobody can: an
    instance counts the lease anew when it reaches the store again, and by then
    the owner has written.
    """
    if writes.may_act(own.writer, own.limits.authority_ms):
        return True
    is_bridged = own.relay is not None and relays.is_lost_for_all(own.relay)
    return is_bridged and not own.writer.is_lost


def mark_progress(
    own: Ownership, job: jobs.Job, *, is_hurried: bool = False
) -> None:
    """Has a job's progress written."""
    own.touched.add(job.order.id)
    job.marked = writes.mark(
        own.writer,
        rows.get_progress_key(job.order.id),
        lambda: rows.encode_progress(job),
        is_hurried=is_hurried,
    )
