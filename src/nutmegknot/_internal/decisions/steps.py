"""Which waiting tasks start where.

Load pattern: stages of unlike width and size wait while workers come free one
task at a time. A stage that goes first and does not fit takes reservations, so
that small tasks behind it do not take its room again and again.
"""

from nutmegknot._internal.decisions import asking
from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.decisions import turns
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# Wait after which a stage that does not fit takes reservations, in ms.
RESERVE_AFTER_MS = 300
# Wait after which it has less urgent runs stopped, in ms.
EVICT_AFTER_MS = 60
# Part of a pool's workers that reservations may take.
RESERVED_PART = 0.5
# Penalties, in the same unit as the part of a worker that is left over.
CONFLICT_PENALTY = 3.0
SLOW_PENALTY = 1.0
REMOTE_PENALTY = 4.0
SHUNNED_PENALTY = 20.0


def plan(book: books.Book, now_ms: int, wall_ms: int) -> rooms.Room:
    """Decides which waiting tasks start now, and what to ask for advice.

    Args:
      book: What the owner knows; it is not changed.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.

    Returns:
      The starts and questions, most urgent first.
    """
    room = rooms.open_room(book, now_ms)
    for turn in rank_stages(book, now_ms, wall_ms):
        _plan_stage(book, room, turn, now_ms)
    return room


def rank_stages(
    book: books.Book, now_ms: int, wall_ms: int
) -> list[rooms.Turn]:
    """Returns the stages that wait for starts, most urgent first."""
    ranked = []
    for (job_id, _, _), stage in book.open_stages.items():
        job = book.jobs[job_id]
        if books.may_start(book, job, now_ms):
            rank = turns.rank_stage(book, job, stage, wall_ms)
            ranked.append(rooms.Turn(rank, job, stage))
    ranked.sort(key=lambda turn: turn.rank)
    return ranked


def _plan_stage(
    book: books.Book,
    room: rooms.Room,
    turn: rooms.Turn,
    now_ms: int,
) -> None:
    job, stage = turn.job, turn.stage
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
        if rooms.is_suited(host, step)
    ]
    allowed = suited
    if queue.needs_tickets:
        margin_ms = asking.TICKET_MARGIN_MS
        allowed = [
            host
            for host in suited
            if asking.has_ticket(stage, host, now_ms, margin_ms)
        ]
    place = _place_gang if step.all_at_once else _place_tasks
    placed = place(book, room, job, stage, waiting, allowed)
    missing = len(waiting) - len(placed)
    if not missing:
        return
    room.held.append((turn, _find_binding(book, room, turn, suited, allowed)))
    if not step.all_at_once or step.count == 1:
        missing -= _evict(book, room, turn, allowed, missing, now_ms)
    if not missing:
        return
    if queue.needs_tickets:
        _ask(room, turn, suited, missing, now_ms)
    kept = _reserve(room, stage, suited, missing, now_ms)
    if queue.needs_tickets and len(room.questions) < asking.MOST_RENEWED:
        ids = asking.list_ending(queue, stage, kept, now_ms)
        asking.add_question(room, turn, ids)


def _find_binding(
    book: books.Book,
    room: rooms.Room,
    turn: rooms.Turn,
    suited: list[books.Host],
    allowed: list[books.Host],
) -> str:
    """Returns the one thing that keeps a stage's tasks from starting."""
    if not rooms.is_allowed(book, room, turn.job, turn.stage.step):
        return 'limit'
    if not suited:
        return 'no_worker'
    if not allowed:
        return 'ticket'
    held = jobs.get_held(turn.stage.step)
    if any(resources.fits(held, room.free[h.worker.id]) for h in allowed):
        return 'reservation'
    return 'room'


def _place_tasks(
    book: books.Book,
    room: rooms.Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[rooms.Placement]:
    """Places as many of the tasks as fit, each by itself."""
    held = jobs.get_held(stage.step)
    counts = rooms.count_on(stage)
    placed = []
    for task in waiting:
        if not rooms.is_allowed(book, room, job, stage.step):
            break
        host = _choose_host(book, room, stage, task, allowed, counts)
        if host is None:
            break
        id = host.worker.id
        rooms.take(room, id, held)
        rooms.use(room, job, stage.step)
        counts[id] = counts.get(id, 0) + 1
        placed.append(_make_placement(job, stage, task, host))
    room.placed += placed
    return placed


def _make_placement(
    job: jobs.Job, stage: jobs.Stage, task: jobs.Task, host: books.Host
) -> rooms.Placement:
    ticket = stage.advice.tickets.get(host.worker.id)
    text = '' if ticket is None else ticket.text
    return rooms.Placement(job, stage, task.index, host, text)


def _place_gang(
    book: books.Book,
    room: rooms.Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[rooms.Placement]:
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


def _choose_host(
    book: books.Book,
    room: rooms.Room,
    stage: jobs.Stage,
    task: jobs.Task,
    allowed: list[books.Host],
    counts: dict[str, int],
) -> books.Host | None:
    """Returns the best worker for one task of a stage, or None."""
    best, best_cost = None, 0.0
    for host in allowed:
        id = host.worker.id
        if not rooms.has_place(room, stage.step, id, counts):
            continue
        cost = _compute_cost(book, room, stage, host, counts)
        if id in task.shunned:
            cost += SHUNNED_PENALTY
        if best is None or cost < best_cost:
            best, best_cost = host, cost
    return best


def _compute_cost(
    book: books.Book,
    room: rooms.Room,
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
    room: rooms.Room,
    turn: rooms.Turn,
    suited: list[books.Host],
    missing: int,
    now_ms: int,
) -> None:
    """Asks about workers that might take the stage now, and keeps room."""
    if not turn.stage.advice.is_asking:
        ids = asking.list_wanted(room, turn.stage, suited, now_ms)
        asking.add_question(room, turn, ids)
        if not ids:
            return
    asking.hold_asked(room, turn.stage, missing)


def _evict(
    book: books.Book,
    room: rooms.Room,
    turn: rooms.Turn,
    allowed: list[books.Host],
    missing: int,
    now_ms: int,
) -> int:
    """Has less urgent runs stopped; returns for how many tasks."""
    rank, job, stage = turn.rank, turn.job, turn.stage
    is_young = stage.ready_ms is None or (
        now_ms - stage.ready_ms < EVICT_AFTER_MS
    )
    if rank.band == turns.PAST_USE or is_young or stage.step.fills:
        return 0
    hosts = [host for host in allowed if host.worker.id not in room.reserved]
    made = 0
    while made < missing and rooms.is_allowed(book, room, job, stage.step):
        if not evictions.evict_for(
            book, room, stage.step, rank.priority, hosts, now_ms
        ):
            break
        rooms.use(room, job, stage.step)
        made += 1
    return made


def _reserve(
    room: rooms.Room,
    stage: jobs.Stage,
    suited: list[books.Host],
    missing: int,
    now_ms: int,
) -> list[books.Host]:
    """Keeps workers for a stage that does not fit, from those behind it."""
    if stage.ready_ms is None or now_ms - stage.ready_ms < RESERVE_AFTER_MS:
        return []
    held = jobs.get_held(stage.step)
    open_hosts = [
        host
        for host in suited
        if host.worker.id not in room.reserved
        and not resources.fits(held, room.free[host.worker.id])
        and (not stage.advice.asked or asking.is_known_suited(stage, host))
    ]
    most = int(len(suited) * RESERVED_PART) - len(room.reserved)
    open_hosts.sort(
        key=lambda host: resources.compute_dominant_share(
            room.free[host.worker.id], host.worker.capacity
        ),
        reverse=True,
    )
    kept = open_hosts[: max(0, min(most, missing))]
    room.reserved.update(host.worker.id for host in kept)
    return kept
