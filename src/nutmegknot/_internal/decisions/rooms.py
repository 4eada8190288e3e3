"""What is left on workers and of customers' limits while starts are decided."""

import dataclasses

from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import questions as questions_lib
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# A worker without an answer for so long takes nothing new, in ms.
SILENT_MS = 700


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A task that starts on a worker.

    Attributes:
      job: The job.
      stage: Its stage.
      index: Index of the task.
      host: The worker.
      ticket: Leave to start there; '' where none is needed.
    """

    job: jobs.Job
    stage: jobs.Stage
    index: int
    host: books.Host
    ticket: str


@dataclasses.dataclass(slots=True, frozen=True)
class Turn:
    """A stage whose turn it is.

    Attributes:
      rank: Its place in the order.
      job: Its job.
      stage: The stage.
    """

    rank: questions_lib.Rank
    job: jobs.Job
    stage: jobs.Stage


@dataclasses.dataclass(slots=True)
class Room:
    """What is left while starts are being decided.

    Attributes:
      hosts: Workers that may take starts, by pool.
      free: What is left on each worker.
      coming: What runs that are being stopped will leave on each worker.
      usage: What each customer has running.
      reserved: Workers kept for stages that go first.
      questions: Questions so far.
      placed: Starts so far.
      evicted: Runs to stop so far, so that others can start.
      held: Stages with tasks that can't start now, and what binds.
    """

    hosts: dict[str, list[books.Host]]
    free: dict[str, resources.Resources]
    coming: dict[str, resources.Resources]
    usage: dict[str, resources.Resources]
    reserved: set[str] = dataclasses.field(default_factory=set)
    questions: list[questions_lib.Question] = dataclasses.field(
        default_factory=list
    )
    placed: list[Placement] = dataclasses.field(default_factory=list)
    evicted: list[jobs.TaskName] = dataclasses.field(default_factory=list)
    held: list[tuple[Turn, str]] = dataclasses.field(default_factory=list)


def open_room(book: books.Book, now_ms: int) -> Room:
    """Returns what is left before anything is decided."""
    hosts: dict[str, list[books.Host]] = {}
    free, coming = {}, {}
    for id, host in book.hosts.items():
        if not is_usable(book, host, now_ms):
            continue
        hosts.setdefault(host.worker.pool, []).append(host)
        free[id] = resources.subtract(host.worker.capacity, host.used)
        coming[id] = _sum_stopping(book, host)
    return Room(hosts, free, coming, dict(book.usage))


def _sum_stopping(book: books.Book, host: books.Host) -> resources.Resources:
    total = resources.NOTHING
    for name, task in host.runs.items():
        if task.phase is jobs.Phase.STOPPING:
            step = book.jobs[name.job].order.steps[name.step]
            total = resources.add(total, jobs.get_held(step))
    return total


def is_usable(book: books.Book, host: books.Host, now_ms: int) -> bool:
    """Tells whether tasks may start on a worker now."""
    return (
        host.is_claimed
        and host.is_listed
        and host.is_recorded
        and not host.unwanted
        and host.worker.state is workers.TargetState.LIVE
        and host.worker.domain not in book.catalog.closed_domains
        and now_ms >= host.doubted_until_ms
        and (host.asked_ms is None or now_ms - host.asked_ms < SILENT_MS)
    )


def is_suited(host: books.Host, step: jobs.Step) -> bool:
    """Tells whether a worker could run a task of a step if it were empty."""
    if step.label and step.label not in host.worker.labels:
        return False
    return resources.fits(jobs.get_held(step), host.worker.capacity)


def count_on(stage: jobs.Stage) -> dict[str, int]:
    """Returns how many tasks of a stage each worker has."""
    counts: dict[str, int] = {}
    for task in stage.tasks:
        if task.worker:
            counts[task.worker] = counts.get(task.worker, 0) + 1
    return counts


def has_place(
    room: Room, step: jobs.Step, id: str, counts: dict[str, int]
) -> bool:
    """Tells whether one task more of a step could start on a worker now.

    Args:
      room: What is left.
      step: The step.
      id: The worker.
      counts: How many tasks of the stage each worker has.
    """
    if id not in room.free or id in room.reserved:
        return False
    if step.per_worker and counts.get(id, 0) >= step.per_worker:
        return False
    return resources.fits(jobs.get_held(step), room.free[id])


def take(room: Room, id: str, held: resources.Resources) -> None:
    """Takes room on a worker."""
    room.free[id] = resources.subtract(room.free[id], held)


def take_coming(room: Room, id: str, held: resources.Resources) -> bool:
    """Takes room that is left or about to be; tells whether it is enough."""
    total = resources.add(room.free[id], room.coming[id])
    if not resources.fits(held, total):
        return False
    left = resources.subtract(total, held)
    room.free[id] = resources.take_least(room.free[id], left)
    room.coming[id] = resources.subtract(left, room.free[id])
    return True


def is_allowed(
    book: books.Book, room: Room, job: jobs.Job, step: jobs.Step
) -> bool:
    """Tells whether one task more keeps a customer within its limit."""
    customer = book.catalog.customers.get(job.order.customer)
    if customer is None:
        return True
    usage = room.usage.get(job.order.customer, resources.NOTHING)
    after = resources.add(usage, step.size)
    return catalogs.is_within(after, customer.limit)


def use(room: Room, job: jobs.Job, step: jobs.Step) -> None:
    """Counts one task more for its customer."""
    usage = room.usage.get(job.order.customer, resources.NOTHING)
    room.usage[job.order.customer] = resources.add(usage, step.size)
