"""State of a fleet partition."""

import asyncio
import dataclasses

from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals


@dataclasses.dataclass(slots=True)
class MemberRun:
    """One member of a job.

    Attributes:
      worker_id: Worker that it was given to.
      state: 'placed', 'starting', 'running', 'finished', 'failed' or 'stopped'.
      answer: Answer of a finished member.
      detail: One line on a failed or stopped one.
    """

    worker_id: str
    state: str = 'placed'
    answer: bytes = b''
    detail: str = ''


@dataclasses.dataclass(slots=True)
class Job:
    """An assignment and what has become of it.

    Attributes:
      given: The assignment.
      runs: One entry a member once it is placed; empty while it waits.
      size: What is set aside for each member, once it is placed.
      ordered: Whether a start order was ever queued in this attempt, or may
        have been by an earlier owner.
      cancelled: Whether it is to be stopped on the caller's wish.
      stopping: Why it is being stopped, or ''.
      reported: Whether its end has been reported.
    """

    given: partitions.Assignment
    runs: list[MemberRun] = dataclasses.field(default_factory=list)
    size: resources.Resources = resources.NOTHING
    ordered: bool = False
    cancelled: bool = False
    stopping: str = ''
    reported: bool = False


@dataclasses.dataclass(slots=True)
class Session:
    """The connection to one worker.

    Attributes:
      worker: The worker as listed.
      target: Calls to it.
      claimed: Whether it obeys this owner's token.
      closed: Whether the worker was given up.
      boot: Identifier of its run at the claim.
      event: Number of the newest event known.
      tasks: Tasks that it runs, may run, or has ended and not yet forgotten.
      starts: Orders to be sent.
      stops: Tasks to be stopped.
      acknowledged: Ended tasks that it may forget.
      renewed_ms: Monotonic instant in ms at which a call that renews leases
        was last sent, or could last have been sent by an earlier owner.
      answered_ms: Monotonic instant in ms of the last answer.
      wake: Notified when there is something to send.
    """

    worker: workers.Worker
    target: platform_fleets.Target
    claimed: bool = False
    closed: bool = False
    boot: str = ''
    event: int = 0
    tasks: dict[workers.TaskId, workers.InventoryEntry] = dataclasses.field(
        default_factory=dict
    )
    starts: list[platform_fleets.Start] = dataclasses.field(
        default_factory=list
    )
    stops: set[workers.TaskId] = dataclasses.field(default_factory=set)
    acknowledged: set[workers.TaskId] = dataclasses.field(default_factory=set)
    renewed_ms: int = 0
    answered_ms: int = 0
    wake: signals.Signal = dataclasses.field(default_factory=signals.Signal)


@dataclasses.dataclass(slots=True)
class Outbox:
    """Reports for one ledger partition that are not durable yet.

    Attributes:
      waiting: Reports, and the ended tasks that each lets workers forget.
      wake: Notified when there is something to send.
    """

    waiting: list[reports.Report] = dataclasses.field(default_factory=list)
    wake: signals.Signal = dataclasses.field(default_factory=signals.Signal)


@dataclasses.dataclass(slots=True)
class Asking:
    """Placed jobs that wait for one ledger partition's leave to begin.

    Attributes:
      waiting: Attempt by request key.
      wake: Notified when there is something to ask.
    """

    waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    wake: signals.Signal = dataclasses.field(default_factory=signals.Signal)


@dataclasses.dataclass(slots=True)
class Fleet:
    """A fleet partition that this instance owns.

    Attributes:
      name: Name of the partition.
      epoch: Epoch of the ownership; the workers' fencing token.
      domain: Its failure domain.
      number: Its number in the domain.
      scheduler: State of the decisions.
      jobs: Assignments by request key.
      sessions: Workers by id.
      places: Worker of each task that some session has, by task.
      taken_list: The list that was last taken; None to take the next one in
        any case.
      listed: Whether the platform's list has been read.
      held: Keys of jobs of an earlier epoch that may be running on a worker
        that has not shown its inventory yet.
      calls: Epoch and number of the last call of each ledger partition.
      complete: Ledger partitions that have listed their open assignments.
      ended: Attempt and monotonic instant in ms of the end of recent jobs.
      deadlines: Heap of deadlines, wall clock in ms, and request keys.
      has_orphans: Whether some session may have a task without a job.
      outboxes: Reports by ledger partition.
      asking: Jobs that ask to begin, by ledger partition.
      closing: Whether it is being handed over: nothing new is taken or placed.
      changed: Notified when a decision may be due.
      fenced: Set when a worker obeys a later owner.
    """

    name: str
    epoch: int
    domain: str
    number: int
    scheduler: scheduling.Scheduler
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    sessions: dict[str, Session] = dataclasses.field(default_factory=dict)
    places: dict[workers.TaskId, str] = dataclasses.field(default_factory=dict)
    taken_list: list[workers.Worker] | None = None
    listed: bool = False
    held: set[str] = dataclasses.field(default_factory=set)
    calls: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    complete: set[str] = dataclasses.field(default_factory=set)
    ended: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    has_orphans: bool = False
    outboxes: dict[str, Outbox] = dataclasses.field(default_factory=dict)
    asking: dict[str, Asking] = dataclasses.field(default_factory=dict)
    closing: bool = False
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    fenced: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def is_whole(fleet: Fleet) -> bool:
    """Tells whether every listed worker has shown its inventory."""
    return fleet.listed and all(s.claimed for s in fleet.sessions.values())


def add_report(fleet: Fleet, job: Job, report: reports.Report) -> None:
    """Queues a report for the ledger partition of a job."""
    outbox = fleet.outboxes.setdefault(job.given.ledger, Outbox())
    outbox.waiting.append(report)
    signals.notify(outbox.wake)


def make_report(
    fleet: Fleet,
    job: Job,
    news: reports.Running | reports.Ended | reports.Returned,
) -> reports.Report:
    """Returns a report on a job's present attempt."""
    return reports.Report(
        requests.get_key(job.given.req),
        job.given.attempt,
        fleet.name,
        fleet.epoch,
        news,
    )


def list_task_ids(job: Job) -> list[workers.TaskId]:
    """Returns the task id of each member in the present attempt."""
    key = requests.get_key(job.given.req)
    return [
        workers.TaskId(key, member, job.given.attempt)
        for member in range(job.given.req.members)
    ]


def set_task(
    fleet: Fleet, session: Session, entry: workers.InventoryEntry
) -> None:
    """Puts the state of a task into the session of its worker."""
    session.tasks[entry.task] = entry
    fleet.places[entry.task] = session.worker.id


def drop_task(fleet: Fleet, session: Session, task: workers.TaskId) -> None:
    """Removes a task from the session of its worker."""
    session.tasks.pop(task, None)
    if fleet.places.get(task) == session.worker.id:
        del fleet.places[task]
