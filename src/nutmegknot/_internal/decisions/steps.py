"""Which waiting tasks start where, and about which workers to ask for advice.

Load pattern: stages of unlike width and size wait while workers come free one
task at a time. A stage that goes first and does not fit takes reservations, so
that small tasks behind it do not take its room again and again.
"""

import dataclasses

from nutmegknot._internal.decisions import turns
from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import questions as questions_lib
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# A ticket must hold at least so long beyond a decision in ms.
TICKET_MARGIN_MS = 150
# The most workers asked about in one call for advice.
MOST_ASKED = 30
# Wait after which a stage that does not fit takes reservations, in ms.
RESERVE_AFTER_MS = 300
# Part of a pool's workers that reservations may take.
RESERVED_PART = 0.5
# A worker without an answer for so long takes nothing new, in ms.
SILENT_MS = 700
# Penalties, in the same unit as the part of a worker that is left over.
CONFLICT_PENALTY = 3.0
SLOW_PENALTY = 1.0
REMOTE_PENALTY = 4.0


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


@dataclasses.dataclass(slots=True)
class Room:
    """What is left while starts are being decided.

    Attributes:
      hosts: Workers that may take starts, by pool.
      free: What is left on each worker.
      left: What each customer may still have running; parts without a limit
        are missing from its limit.
      reserved: Workers kept for stages that go first.
      asked: Questions so far.
      placed: Starts so far.
    """

    hosts: dict[str, list[books.Host]]
    free: dict[str, resources.Resources]
    usage: dict[str, resources.Resources]
    reserved: set[str] = dataclasses.field(default_factory=set)
    questions: list[questions_lib.Question] = dataclasses.field(
        default_factory=list
    )
    placed: list[Placement] = dataclasses.field(default_factory=list)


def plan(book: books.Book, now_ms: int, wall_ms: int) -> Room:
    """Decides which waiting tasks start now, and what to ask for advice.

    Args:
      book: What the owner knows; it is not changed.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.

    Returns:
      The starts and questions, most urgent first.
    """
    room = _open_room(book, now_ms)
    for rank, job, stage in rank_stages(book, now_ms, wall_ms):
        _plan_stage(book, room, rank, job, stage, now_ms)
    return room


def rank_stages(
    book: books.Book, now_ms: int, wall_ms: int
) -> list[tuple[questions_lib.Rank, jobs.Job, jobs.Stage]]:
    """Returns the stages that wait for starts, most urgent first."""
    ranked = []
    for (job_id, _, _), stage in book.open_stages.items():
        job = book.jobs[job_id]
        if books.may_start(book, job, now_ms):
            rank = turns.rank_stage(book, job, stage, wall_ms)
            ranked.append((rank, job, stage))
    ranked.sort(key=lambda item: item[0])
    return ranked


def _open_room(book: books.Book, now_ms: int) -> Room:
    hosts: dict[str, list[books.Host]] = {}
    free = {}
    for id, host in book.hosts.items():
        if is_usable(book, host, now_ms):
            hosts.setdefault(host.worker.pool, []).append(host)
            free[id] = resources.subtract(host.worker.capacity, host.used)
    return Room(hosts, free, dict(book.usage))


def is_usable(book: books.Book, host: books.Host, now_ms: int) -> bool:
    """Tells whether tasks may start on a worker now."""
    return (
        host.is_claimed
        and host.is_listed
        and host.foreign == 0
        and host.worker.state is workers.TargetState.LIVE
        and host.worker.domain not in book.catalog.closed_domains
        and now_ms >= host.doubted_until_ms
        and (host.asked_ms is None or now_ms - host.asked_ms < SILENT_MS)
    )


def _plan_stage(
    book: books.Book,
    room: Room,
    rank: questions_lib.Rank,
    job: jobs.Job,
    stage: jobs.Stage,
    now_ms: int,
) -> None:
    waiting = [t for t in stage.tasks if t.phase is jobs.Phase.WAITING]
    if not waiting:
        return
    step = stage.step
    if step.all_at_once and len(waiting) < len(stage.tasks):
        return
    queue = books.get_queue(book, job.order)
    suited = [
        host
        for host in room.hosts.get(queue.pool, ())
        if _is_suited(host, step)
    ]
    allowed = suited
    if queue.needs_tickets:
        allowed = [h for h in suited if has_ticket(stage, h, now_ms)]
    if step.all_at_once:
        placed = _place_gang(book, room, job, stage, waiting, allowed)
    else:
        placed = _place_tasks(book, room, job, stage, waiting, allowed)
    if len(placed) == len(waiting):
        return
    if queue.needs_tickets:
        _ask(room, rank, job, stage, suited, now_ms)
    _reserve(room, stage, suited, len(waiting) - len(placed), now_ms)


def _is_suited(host: books.Host, step: jobs.Step) -> bool:
    if step.label and step.label not in host.worker.labels:
        return False
    return resources.fits(jobs.get_held(step), host.worker.capacity)


def has_ticket(stage: jobs.Stage, host: books.Host, now_ms: int) -> bool:
    """Tells whether a stage has leave to start on a worker."""
    ticket = stage.advice.tickets.get(host.worker.id)
    return (
        ticket is not None
        and ticket.life == host.worker.life
        and now_ms + TICKET_MARGIN_MS < ticket.until_ms
    )


def _count_on(stage: jobs.Stage) -> dict[str, int]:
    """Returns how many tasks of a stage each worker has."""
    counts: dict[str, int] = {}
    for task in stage.tasks:
        if task.worker:
            counts[task.worker] = counts.get(task.worker, 0) + 1
    return counts


def _place_tasks(
    book: books.Book,
    room: Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[Placement]:
    """Places as many of the tasks as fit, each by itself."""
    held = jobs.get_held(stage.step)
    counts = _count_on(stage)
    limit = _get_limit(book, job)
    placed = []
    for task in waiting:
        if not _is_allowed(room, job, stage.step, limit):
            break
        host = _choose_host(book, room, stage, allowed, counts)
        if host is None:
            break
        id = host.worker.id
        room.free[id] = resources.subtract(room.free[id], held)
        _use(room, job, stage.step, 1)
        counts[id] = counts.get(id, 0) + 1
        placed.append(_make_placement(job, stage, task, host))
    room.placed += placed
    return placed


def _make_placement(
    job: jobs.Job, stage: jobs.Stage, task: jobs.Task, host: books.Host
) -> Placement:
    ticket = stage.advice.tickets.get(host.worker.id)
    text = '' if ticket is None else ticket.text
    return Placement(job, stage, task.index, host, text)


def _place_gang(
    book: books.Book,
    room: Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[Placement]:
    """Places all tasks of a stage or none."""
    groups = [allowed]
    if stage.step.one_rack:
        groups = _group_by_rack(allowed)
    for group in groups:
        before = (dict(room.free), dict(room.usage), list(room.placed))
        placed = _place_tasks(book, room, job, stage, waiting, group)
        if len(placed) == len(waiting):
            return placed
        room.free, room.usage, room.placed = before
    return []


def _group_by_rack(hosts: list[books.Host]) -> list[list[books.Host]]:
    racks: dict[str, list[books.Host]] = {}
    for host in hosts:
        racks.setdefault(host.worker.rack, []).append(host)
    return sorted(racks.values(), key=len, reverse=True)


def _get_limit(book: books.Book, job: jobs.Job) -> resources.Resources:
    customer = book.catalog.customers.get(job.order.customer)
    if customer is None:
        return resources.NOTHING
    return customer.limit


def _is_allowed(
    room: Room,
    job: jobs.Job,
    step: jobs.Step,
    limit: resources.Resources,
) -> bool:
    """Tells whether one task more keeps a customer within its limit."""
    usage = room.usage.get(job.order.customer, resources.NOTHING)
    after = resources.add(usage, step.size)
    return catalogs.is_within(after, limit)


def _use(room: Room, job: jobs.Job, step: jobs.Step, count: int) -> None:
    usage = room.usage.get(job.order.customer, resources.NOTHING)
    size = resources.multiply(step.size, count)
    room.usage[job.order.customer] = resources.add(usage, size)


def _choose_host(
    book: books.Book,
    room: Room,
    stage: jobs.Stage,
    allowed: list[books.Host],
    counts: dict[str, int],
) -> books.Host | None:
    """Returns the best worker for one task of a stage, or None."""
    held = jobs.get_held(stage.step)
    most = stage.step.per_worker
    best, best_cost = None, 0.0
    for host in allowed:
        id = host.worker.id
        if id in room.reserved or not resources.fits(held, room.free[id]):
            continue
        if most and counts.get(id, 0) >= most:
            continue
        cost = _compute_cost(book, room, stage, host, counts)
        if best is None or cost < best_cost:
            best, best_cost = host, cost
    return best


def _compute_cost(
    book: books.Book,
    room: Room,
    stage: jobs.Stage,
    host: books.Host,
    counts: dict[str, int],
) -> float:
    """Returns what it costs to run one task of a stage on a worker."""
    step, worker = stage.step, host.worker
    left = resources.subtract(room.free[worker.id], jobs.get_held(step))
    cost = resources.compute_dominant_share(left, worker.capacity)
    if step.fills:
        # Filling tasks share what is left over, so they are spread.
        cost = host.filling + CONFLICT_PENALTY * host.serving
        cost += counts.get(worker.id, 0)
    elif step.tail_target_ms:
        cost += CONFLICT_PENALTY * host.filling + counts.get(worker.id, 0)
    speed = book.speeds.get((worker.pool, worker.kind), 1.0)
    cost += SLOW_PENALTY * speed
    if step.data_rack and step.data_rack != worker.rack:
        cost += REMOTE_PENALTY
    return cost


def _ask(
    room: Room,
    rank: questions_lib.Rank,
    job: jobs.Job,
    stage: jobs.Stage,
    suited: list[books.Host],
    now_ms: int,
) -> None:
    """Asks about workers that might take the stage now."""
    advice = stage.advice
    if advice.is_asking or not suited:
        return
    held = jobs.get_held(stage.step)
    new = [
        host
        for host in suited
        if advice.asked.get(host.worker.id) != host.worker.life
    ]
    wanted = [
        host
        for host in suited
        if host.worker.id in advice.tickets
        and not has_ticket(stage, host, now_ms)
        and host.worker.id not in room.reserved
        and resources.fits(held, room.free[host.worker.id])
    ]
    if not wanted:
        has_room = any(
            resources.fits(held, room.free[host.worker.id]) for host in new
        )
        if advice.asked and not has_room:
            return
        new.sort(
            key=lambda host: resources.fits(held, room.free[host.worker.id]),
            reverse=True,
        )
        wanted = new
    ids = [host.worker.id for host in wanted[:MOST_ASKED]]
    if ids:
        room.questions.append(questions_lib.Question(rank, job, stage, ids))


def _reserve(
    room: Room,
    stage: jobs.Stage,
    suited: list[books.Host],
    missing: int,
    now_ms: int,
) -> None:
    """Keeps workers for a stage that does not fit, from those behind it."""
    if stage.ready_ms is None or now_ms - stage.ready_ms < RESERVE_AFTER_MS:
        return
    held = jobs.get_held(stage.step)
    open_hosts = [
        host
        for host in suited
        if host.worker.id not in room.reserved
        and not resources.fits(held, room.free[host.worker.id])
        and (not stage.advice.asked or host.worker.id in stage.advice.tickets)
    ]
    most = int(len(suited) * RESERVED_PART) - len(room.reserved)
    open_hosts.sort(
        key=lambda host: resources.compute_dominant_share(
            room.free[host.worker.id], host.worker.capacity
        ),
        reverse=True,
    )
    for host in open_hosts[: max(0, min(most, missing))]:
        room.reserved.add(host.worker.id)
