"""State of a fleet partition: its requests, workers and pending reports."""

import asyncio
import dataclasses

from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals


@dataclasses.dataclass(slots=True)
class MemberRun:
    """One member of a request: the task that runs on one worker.

    Attributes:
      worker_id: Worker that it was assigned to.
      state: 'placed', 'starting', 'running', 'finished', 'failed' or 'stopped'.
      answer: Result of a finished member.
      detail: Why it failed or was stopped, in one line.
    """

    worker_id: str
    state: str = 'placed'
    answer: bytes = b''
    detail: str = ''


@dataclasses.dataclass(slots=True)
class AssignedRequest:
    """A request that was assigned to this partition, and its progress.

    Attributes:
      assignment: The assignment.
      runs: One entry per member once it is placed; empty while it waits.
      size: Resources allocated for each member, once it is placed.
      may_have_started: Whether this owner queued a start command in the current
        attempt, or an earlier owner may have done so.
      cancelled: Whether the caller has cancelled it.
      stop_reason: Why it is being stopped, or ''.
      reported: Whether its end has been reported.
    """

    assignment: partitions.Assignment
    runs: list[MemberRun] = dataclasses.field(default_factory=list)
    size: resources.Resources = resources.ZERO
    may_have_started: bool = False
    cancelled: bool = False
    stop_reason: str = ''
    reported: bool = False


@dataclasses.dataclass(slots=True)
class Session:
    """The session with one worker.

    Attributes:
      worker: The worker, as in the platform's list.
      client: Client for calls to the worker.
      claimed: Whether it has accepted the fencing token of this owner.
      closed: Whether the session has ended because the worker was lost.
      boot_id: Identifier from the claim; it changes when the worker restarts.
      last_event: Number of the newest event received from the worker.
      tasks: Tasks that it runs, may run, or has ended and still remembers.
      unsent_starts: Start commands that are still to be sent.
      unsent_stops: Tasks for which a stop command is still to be sent.
      acknowledged: Ended tasks that it may forget.
      renewed_ms: Monotonic time in ms at which a call that renews task leases
        was last sent, or could last have been sent by an earlier owner.
      last_answer_ms: Monotonic time in ms of the last answer.
      send_needed: Notified when there is something to send.
    """

    worker: workers.Worker
    client: worker_clients.WorkerClient
    claimed: bool = False
    closed: bool = False
    boot_id: str = ''
    last_event: int = 0
    tasks: dict[workers.TaskId, workers.InventoryEntry] = dataclasses.field(
        default_factory=dict
    )
    unsent_starts: list[worker_clients.TaskStart] = dataclasses.field(
        default_factory=list
    )
    unsent_stops: set[workers.TaskId] = dataclasses.field(default_factory=set)
    acknowledged: set[workers.TaskId] = dataclasses.field(default_factory=set)
    renewed_ms: int = 0
    last_answer_ms: int = 0
    send_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


@dataclasses.dataclass(slots=True)
class Outbox:
    """Reports for one ledger partition that are not durable yet.

    Attributes:
      unsent_reports: Reports, oldest first.
      send_needed: Notified when there is something to send.
    """

    unsent_reports: list[reports.Report] = dataclasses.field(
        default_factory=list
    )
    send_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


@dataclasses.dataclass(slots=True)
class PendingStarts:
    """Placed requests that need one ledger partition's permission to start.

    Attributes:
      attempts: Attempt number by request key.
      send_needed: Notified when a request was added.
    """

    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    send_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


@dataclasses.dataclass(slots=True)
class Fleet:
    """A fleet partition that this instance owns.

    Attributes:
      name: Name of the partition.
      epoch: Epoch of the ownership; the fencing token in calls to workers.
      domain: Its failure domain.
      number: Its number in the failure domain.
      scheduler: State of the scheduling decisions.
      requests: Assigned requests by request key.
      sessions: Sessions with workers, by worker id.
      task_workers: Worker id of each task that is in a session's tasks.
      last_worker_list: The worker list that was processed last; None if the
        next one must be processed even if it is the same.
      listed: Whether the platform's worker list has been read.
      inherited_requests: Keys of requests assigned under an earlier epoch that
        were not found in an inventory yet. They may be running on a worker
        that has not been claimed.
      last_calls: Ledger epoch and number of each ledger partition's last call
        that assigned requests; an earlier call that arrives late is ignored.
      complete_ledgers: Ledger partitions that have sent all open assignments.
      recent_ends: Attempt and monotonic time in ms of the end of requests that
        ended recently, by request key.
      deadlines: Heap of pairs of deadline (wall clock time in ms) and key.
      has_orphans: Whether some session may have a task without a request.
      outboxes: Unsent reports by ledger partition.
      pending_starts: Requests that need permission to start, by ledger
        partition.
      closing: Whether it is being handed over: it accepts and places no more
        requests.
      scheduling_needed: Notified when a scheduling pass may be due.
      fenced: Set when a worker has rejected this owner's fencing token, as a
        later owner has claimed the worker.
    """

    name: str
    epoch: int
    domain: str
    number: int
    scheduler: scheduling.Scheduler
    requests: dict[str, AssignedRequest] = dataclasses.field(
        default_factory=dict
    )
    sessions: dict[str, Session] = dataclasses.field(default_factory=dict)
    task_workers: dict[workers.TaskId, str] = dataclasses.field(
        default_factory=dict
    )
    last_worker_list: list[workers.Worker] | None = None
    listed: bool = False
    inherited_requests: set[str] = dataclasses.field(default_factory=set)
    last_calls: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    complete_ledgers: set[str] = dataclasses.field(default_factory=set)
    recent_ends: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    deadlines: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    has_orphans: bool = False
    outboxes: dict[str, Outbox] = dataclasses.field(default_factory=dict)
    pending_starts: dict[str, PendingStarts] = dataclasses.field(
        default_factory=dict
    )
    closing: bool = False
    scheduling_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    fenced: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def is_inventory_complete(fleet: Fleet) -> bool:
    """Returns whether every listed worker has sent its inventory."""
    return fleet.listed and all(s.claimed for s in fleet.sessions.values())


def add_report(
    fleet: Fleet, request: AssignedRequest, report: reports.Report
) -> None:
    """Queues a report for the ledger partition of a request."""
    outbox = fleet.outboxes.setdefault(request.assignment.ledger, Outbox())
    outbox.unsent_reports.append(report)
    signals.notify(outbox.send_needed)


def make_report(
    fleet: Fleet,
    request: AssignedRequest,
    update: reports.Running | reports.Ended | reports.Returned,
) -> reports.Report:
    """Returns a report on the current attempt of a request."""
    return reports.Report(
        requests.get_key(request.assignment.req),
        request.assignment.attempt,
        fleet.name,
        fleet.epoch,
        update,
    )


def list_task_ids(request: AssignedRequest) -> list[workers.TaskId]:
    """Returns the task id of each member in the current attempt."""
    key = requests.get_key(request.assignment.req)
    return [
        workers.TaskId(key, member, request.assignment.attempt)
        for member in range(request.assignment.req.members)
    ]


def set_task(
    fleet: Fleet, session: Session, entry: workers.InventoryEntry
) -> None:
    """Records the state of a task in the session of its worker."""
    session.tasks[entry.task] = entry
    fleet.task_workers[entry.task] = session.worker.id


def drop_task(fleet: Fleet, session: Session, task: workers.TaskId) -> None:
    """Removes a task from the session of its worker."""
    session.tasks.pop(task, None)
    if fleet.task_workers.get(task) == session.worker.id:
        del fleet.task_workers[task]
