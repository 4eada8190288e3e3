"""What the owner of the jobs holds in memory: jobs, workers, usage."""

import dataclasses

from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs as jobs_lib
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True)
class Lease:
    """What is known of a worker's clock and of the lease of its runs.

    Attributes:
      clock_ms: The worker's clock in its newest answer.
      read_ms: Our clock when that answer came.
      until_ms: Latest end of the lease that any order may have set, by the
        worker's clock.
    """

    clock_ms: int = 0
    read_ms: int = 0
    until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class EndNote:
    """How a run ended on a worker.

    Attributes:
      at_ms: When, by our clock.
      is_bad: Whether it failed or was stuck.
    """

    at_ms: int
    is_bad: bool


@dataclasses.dataclass(slots=True)
class Host:
    """A worker as its owner knows it.

    Attributes:
      worker: As the platform lists it.
      lease: Its clock and lease.
      seen: Number of its last end that is in the table.
      taken: Number of its last end that has been taken in.
      unwritten: Numbers of ends taken in, with the mark that must be written
        before each may be forgotten; lowest first.
      runs: Tasks that hold resources there, by name.
      used: What they hold.
      is_claimed: Whether it has answered under our token in its present life.
      is_listed: Whether the platform still lists it.
      is_gone: Whether another worker has its address, so that it has ended.
      recorded: Number of the write that names it in the table; nothing starts
        on it before that is made.
      is_recorded: Whether it has been made.
      answered_ms: When it last answered, by our clock; 0 if never.
      asked_ms: When the first call since then without an answer went out;
        None while calls are answered.
      ends: How runs there ended lately.
      rests: Rests in a row without a good end between them.
      doubted_until_ms: Nothing starts there before, by our clock.
      unwanted: Runs there that have no place in the book, by task, and those
        whose task can't be read; they hold resources of unknown size.
      pace: Percent of their work that filling tasks there may do.
      pressed_ms: Since when a task there has been over its tail target.
      opened_ms: When it became known, by our clock.
      filling: Number of runs there that fill.
      serving: Number of runs there that serve users.
    """

    worker: workers.Worker
    lease: Lease = dataclasses.field(default_factory=Lease)
    seen: int = 0
    taken: int = 0
    unwritten: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    runs: dict[jobs_lib.TaskName, jobs_lib.Task] = dataclasses.field(
        default_factory=dict
    )
    used: resources.Resources = resources.NOTHING
    is_claimed: bool = False
    is_listed: bool = True
    is_gone: bool = False
    recorded: int = 0
    is_recorded: bool = False
    answered_ms: int = 0
    asked_ms: int | None = None
    ends: list[EndNote] = dataclasses.field(default_factory=list)
    rests: int = 0
    doubted_until_ms: int = 0
    unwanted: dict[str, int] = dataclasses.field(default_factory=dict)
    pace: int = 100
    pressed_ms: int | None = None
    opened_ms: int = 0
    filling: int = 0
    serving: int = 0


@dataclasses.dataclass(slots=True)
class Book:
    """All that the owner of the jobs knows.

    Attributes:
      epoch: Under which the jobs are owned; the token for workers.
      opened_ms: When the ownership began, by our clock.
      settled_ms: When no run of an earlier owner can be under way unseen, by
        our clock; None while that is not known.
      catalog: Operators' settings in force.
      jobs: Jobs by id.
      hosts: Workers by id.
      earlier: Workers on which an earlier owner may have started runs.
      usage: What each customer has running.
      open_stages: Stages that wait for starts, by job id, occurrence, number.
      speeds: Mean run time against estimate, by pool and kind of worker.
    """

    epoch: int
    opened_ms: int
    catalog: catalogs.Catalog
    settled_ms: int | None = None
    jobs: dict[str, jobs_lib.Job] = dataclasses.field(default_factory=dict)
    hosts: dict[str, Host] = dataclasses.field(default_factory=dict)
    earlier: list[workers.Worker] = dataclasses.field(default_factory=list)
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    open_stages: dict[tuple[str, int, int], jobs_lib.Stage] = dataclasses.field(
        default_factory=dict
    )
    speeds: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )


def find_stage(book: Book, name: jobs_lib.TaskName) -> jobs_lib.Stage | None:
    """Returns the stage of a task, or None if there is no such task."""
    job = book.jobs.get(name.job)
    if job is None:
        return None
    stage = job.stages.get((name.occurrence, name.step))
    if stage is None or name.index >= len(stage.tasks):
        return None
    return stage


def name_task(
    job: jobs_lib.Job, stage: jobs_lib.Stage, index: int
) -> jobs_lib.TaskName:
    """Returns the name of a stage's task."""
    return jobs_lib.TaskName(
        job.order.id, stage.occurrence, stage.number, index
    )


def occupy(
    book: Book,
    host: Host,
    job: jobs_lib.Job,
    name: jobs_lib.TaskName,
    task: jobs_lib.Task,
) -> None:
    """Counts a task's run on a worker and for its customer."""
    step = job.order.steps[name.step]
    host.runs[name] = task
    host.used = resources.add(host.used, jobs_lib.get_held(step))
    host.filling += step.fills
    host.serving += step.tail_target_ms > 0
    customer = job.order.customer
    usage = book.usage.get(customer, resources.NOTHING)
    book.usage[customer] = resources.add(usage, step.size)
    task.worker = host.worker.id


def vacate(book: Book, name: jobs_lib.TaskName, now_ms: int) -> None:
    """Stops counting a task's run; the task waits, or is done already."""
    job = book.jobs[name.job]
    task = job.stages[name.occurrence, name.step].tasks[name.index]
    host = book.hosts.get(task.worker)
    task.worker = ''
    if task.phase is not jobs_lib.Phase.DONE:
        task.phase = jobs_lib.Phase.WAITING
        task.waiting_since_ms = now_ms
    if host is None or host.runs.pop(name, None) is None:
        return
    step = job.order.steps[name.step]
    host.used = resources.subtract(host.used, jobs_lib.get_held(step))
    host.filling -= step.fills
    host.serving -= step.tail_target_ms > 0
    customer = job.order.customer
    usage = book.usage.get(customer, resources.NOTHING)
    book.usage[customer] = resources.subtract(usage, step.size)


def get_queue(book: Book, order: jobs_lib.Order) -> catalogs.Queue:
    """Returns the queue of a job, also when it has been removed since."""
    queue = book.catalog.queues.get(order.queue)
    if queue is not None:
        return queue
    return catalogs.Queue(
        order.queue,
        '',
        '',
        order.pool,
        priority=order.priority,
        attempts=order.attempts,
    )


def may_start(book: Book, job: jobs_lib.Job, now_ms: int) -> bool:
    """Tells whether a job's waiting tasks surely have no run under way."""
    if job.order.epoch == book.epoch:
        return True
    return book.settled_ms is not None and now_ms >= book.settled_ms
