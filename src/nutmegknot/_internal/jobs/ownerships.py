"""State of one ownership of the jobs, from the takeover until it ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import figures as metrics_lib
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import questions as advice_lib
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True)
class Orders:
    """Commands that wait to be sent to one worker.

    Attributes:
      queue: Functions, each of which sends one command.
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
      limits: Time-outs, lease lengths and intervals.
      runners: Access to workers.
      advisers: Functions that ask the advice service, by instance address.
        Each asks through another instance and makes one call at a time.
      writer: Writes rows to the table and renews the ownership.
      book: Jobs and workers as the owner knows them.
      tasks: asyncio tasks that are cancelled when the ownership ends.
      figures: Metrics of the instance.
      relay: Routes to the store; None if there is only the direct one.
      changed: Notified when tasks may have become ready to be placed.
      claimed: Notified when a worker first answers this owner, or is gone.
      written: Notified after each write that took effect.
      orders: Waiting commands by worker id.
      asked: Notified when a stage needs advice.
      touched: Ids of jobs whose newest write is not in the table yet.
      timed: Ids of jobs with due times to come.
      accepting: Outcomes of submissions that are being handled, by job id.
      questions: Requests for advice that wait to be sent.
    """

    clock: clock_lib.Clock
    rng: random.Random
    limits: bounds.Bounds
    runners: runners.Runners
    advisers: dict[str, advisers.Advise]
    writer: writes.Writer
    book: books.Book
    tasks: tasks.Tasks
    figures: metrics_lib.Figures
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
    questions: advice_lib.Questions = dataclasses.field(
        default_factory=advice_lib.Questions
    )


def may_act(ownership: Ownership) -> bool:
    """Tells whether this instance may still act as the owner.

    That is so for a limited time after its last confirmed write, and for the
    whole of an outage in which no instance reaches the store: then no instance
    can take over. An instance that reaches the store again waits for the full
    lease before it takes over, and by then the owner has written the owner row.
    """
    if writes.has_authority(ownership.writer, ownership.limits.authority_ms):
        return True
    is_store_down = (
        ownership.relay is not None
        and relays.is_unreachable_for_all(ownership.relay)
    )
    return is_store_down and not ownership.writer.is_lost


def mark_progress(
    ownership: Ownership, job: jobs.Job, *, is_hurried: bool = False
) -> None:
    """Queues a write of the row that keeps a job's progress.

    Args:
      ownership: The ownership.
      job: The job.
      is_hurried: Whether to write at once instead of waiting for more rows.
    """
    ownership.touched.add(job.order.id)
    job.marked = writes.mark(
        ownership.writer,
        rows.get_progress_key(job.order.id),
        lambda: rows.encode_progress(job),
        is_hurried=is_hurried,
    )
