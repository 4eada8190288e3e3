"""Placement of the waiting tasks of jobs on workers.

A job consists of steps; a stage is one step in one occurrence of the job.

Load pattern: stages with different numbers and sizes of tasks wait, while
workers become free one task at a time. A stage that goes first but does not
fit reserves workers; otherwise small tasks of later stages would take the free
resources again and again before there are enough for a large one.
"""

from nutmegknot._internal.decisions import asking
from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.decisions import turns
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# Wait after which a stage that does not fit reserves workers, in ms.
RESERVE_AFTER_MS = 300
# Wait after which a stage that does not fit has less urgent runs stopped, in
# ms.
EVICT_AFTER_MS = 60
# A stage reserves workers only while the number of workers reserved for all
# stages is below this part of the workers eligible for it.
MAX_RESERVED_FRACTION = 0.5
# Cost of each run on a worker with which a task would interfere. Opportunistic
# tasks, which use processors that others leave idle, and tasks with a target
# for their response times interfere with each other. All penalties have the
# unit of the part of a worker that a placement leaves free.
INTERFERENCE_PENALTY = 3.0
# Cost of a worker of a kind that takes as long as estimated; a kind that takes
# twice as long costs twice as much.
SLOWNESS_PENALTY = 1.0
# Cost of a worker outside the rack that holds the step's data.
REMOTE_DATA_PENALTY = 4.0
# Cost of a worker on which an earlier run of the task failed or was stuck.
FAILED_WORKER_PENALTY = 20.0


def plan(cluster: books.Book, now_ms: int, wall_ms: int) -> rooms.Room:
    """Decides which waiting tasks start now.

    Args:
      cluster: State of the jobs and workers; it is not changed.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.

    Returns:
      The tasks to start, runs to stop, requests for advice, and stages that
      can't start, each list with the most urgent first.
    """
    plan = rooms.start_plan(cluster, now_ms)
    for ranked in rank_stages(cluster, now_ms, wall_ms):
        _plan_stage(cluster, plan, ranked, now_ms)
    return plan


def rank_stages(
    cluster: books.Book, now_ms: int, wall_ms: int
) -> list[rooms.RankedStage]:
    """Returns the stages that wait for starts, most urgent first."""
    ranked_stages = []
    for (job_id, _, _), stage in cluster.open_stages.items():
        job = cluster.jobs[job_id]
        if books.may_start(cluster, job, now_ms):
            rank = turns.rank_stage(cluster, job, stage, wall_ms)
            ranked_stages.append(rooms.RankedStage(rank, job, stage))
    ranked_stages.sort(key=lambda ranked: ranked.rank)
    return ranked_stages


def _plan_stage(
    cluster: books.Book,
    plan: rooms.Room,
    ranked: rooms.RankedStage,
    now_ms: int,
) -> None:
    job, stage = ranked.job, ranked.stage
    waiting = [t for t in stage.tasks if t.phase is jobs.Phase.WAITING]
    if not waiting:
        return
    step = stage.step
    if step.all_at_once and len(waiting) < len(stage.tasks):
        return
    queue = books.get_queue(cluster, job.order)
    eligible = [
        info
        for info in plan.workers_by_pool.get(queue.pool, ())
        if rooms.is_eligible(info, step)
    ]
    allowed = eligible
    if queue.needs_tickets:
        margin_ms = asking.MIN_TICKET_REMAINING_MS
        allowed = [
            info
            for info in eligible
            if asking.has_valid_ticket(stage, info, now_ms, margin_ms)
        ]
    place = _place_gang if step.all_at_once else _place_tasks
    placed = place(cluster, plan, job, stage, waiting, allowed)
    unplaced = len(waiting) - len(placed)
    if not unplaced:
        return
    plan.held.append(
        (
            ranked,
            _find_blocking_reason(cluster, plan, ranked, eligible, allowed),
        )
    )
    if not step.all_at_once or step.count == 1:
        unplaced -= _evict_runs(
            cluster, plan, ranked, allowed, unplaced, now_ms
        )
    if not unplaced:
        return
    if queue.needs_tickets:
        _request_advice(plan, ranked, eligible, unplaced, now_ms)
    reserved = _reserve_workers(plan, stage, eligible, unplaced, now_ms)
    if queue.needs_tickets and len(plan.questions) < asking.RENEWAL_CALL_LIMIT:
        ids = asking.list_expiring(queue, stage, reserved, now_ms)
        asking.add_advice_request(plan, ranked, ids)


def _find_blocking_reason(
    cluster: books.Book,
    plan: rooms.Room,
    ranked: rooms.RankedStage,
    eligible: list[books.Host],
    allowed: list[books.Host],
) -> str:
    """Returns why a stage's tasks can't start, as the word to be logged."""
    if not rooms.is_within_limit(cluster, plan, ranked.job, ranked.stage.step):
        return 'limit'
    if not eligible:
        return 'no_worker'
    if not allowed:
        return 'ticket'
    needed = jobs.get_held(ranked.stage.step)
    if any(resources.fits(needed, plan.free[h.worker.id]) for h in allowed):
        return 'reservation'
    return 'room'


def _place_tasks(
    cluster: books.Book,
    plan: rooms.Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[rooms.Placement]:
    """Places as many of the waiting tasks as fit, each independently."""
    needed = jobs.get_held(stage.step)
    counts = rooms.count_tasks_by_worker(stage)
    placed = []
    for task in waiting:
        if not rooms.is_within_limit(cluster, plan, job, stage.step):
            break
        info = _choose_worker(cluster, plan, stage, task, allowed, counts)
        if info is None:
            break
        id = info.worker.id
        rooms.deduct_free(plan, id, needed)
        rooms.add_usage(plan, job, stage.step)
        counts[id] = counts.get(id, 0) + 1
        placed.append(_make_placement(job, stage, task, info))
    plan.placed += placed
    return placed


def _make_placement(
    job: jobs.Job, stage: jobs.Stage, task: jobs.Task, info: books.Host
) -> rooms.Placement:
    ticket = stage.advice.tickets.get(info.worker.id)
    text = '' if ticket is None else ticket.text
    return rooms.Placement(job, stage, task.index, info, text)


def _place_gang(
    cluster: books.Book,
    plan: rooms.Room,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[books.Host],
) -> list[rooms.Placement]:
    """Places all tasks of a stage that must run together, or none of them."""
    groups = [allowed]
    if stage.step.one_rack:
        groups = _group_by_rack(allowed)
    for group in groups:
        before = (dict(plan.free), dict(plan.usage), list(plan.placed))
        placed = _place_tasks(cluster, plan, job, stage, waiting, group)
        if len(placed) == len(waiting):
            return placed
        plan.free, plan.usage, plan.placed = before
    return []


def _group_by_rack(infos: list[books.Host]) -> list[list[books.Host]]:
    racks: dict[str, list[books.Host]] = {}
    for info in infos:
        racks.setdefault(info.worker.rack, []).append(info)
    return sorted(racks.values(), key=len, reverse=True)


def _choose_worker(
    cluster: books.Book,
    plan: rooms.Room,
    stage: jobs.Stage,
    task: jobs.Task,
    allowed: list[books.Host],
    counts: dict[str, int],
) -> books.Host | None:
    """Returns the cheapest worker for a task, or None if it fits nowhere."""
    best, best_cost = None, 0.0
    for info in allowed:
        id = info.worker.id
        if not rooms.can_start_task(plan, stage.step, id, counts):
            continue
        cost = _compute_cost(cluster, plan, stage, info, counts)
        if id in task.shunned:
            cost += FAILED_WORKER_PENALTY
        if best is None or cost < best_cost:
            best, best_cost = info, cost
    return best


def _compute_cost(
    cluster: books.Book,
    plan: rooms.Room,
    stage: jobs.Stage,
    info: books.Host,
    counts: dict[str, int],
) -> float:
    """Returns the cost of running a stage's task on a worker; lowest is best.

    It is the part of the worker that would be left free, plus penalties. For
    opportunistic tasks, the number of such runs on the worker replaces the
    free part.
    """
    step, worker = stage.step, info.worker
    remaining = resources.subtract(plan.free[worker.id], jobs.get_held(step))
    cost = resources.compute_dominant_share(remaining, worker.capacity)
    if step.fills:
        # Opportunistic tasks reserve no processors. They share those that
        # other tasks leave idle, so they are spread over the workers.
        cost = info.filling + INTERFERENCE_PENALTY * info.serving
        cost += counts.get(worker.id, 0)
    elif step.tail_target_ms:
        cost += INTERFERENCE_PENALTY * info.filling + counts.get(worker.id, 0)
    run_time_ratio = cluster.speeds.get((worker.pool, worker.kind), 1.0)
    cost += SLOWNESS_PENALTY * run_time_ratio
    if step.data_rack and step.data_rack != worker.rack:
        cost += REMOTE_DATA_PENALTY
    return cost


def _request_advice(
    plan: rooms.Room,
    ranked: rooms.RankedStage,
    eligible: list[books.Host],
    unplaced: int,
    now_ms: int,
) -> None:
    """Requests advice on workers for a stage, and holds resources meanwhile.

    Resources are held on workers that earlier advice named for the stage, so
    that stages of lower rank do not take them before new tickets arrive.
    """
    if not ranked.stage.advice.is_asking:
        ids = asking.choose_workers_to_ask(plan, ranked.stage, eligible, now_ms)
        asking.add_advice_request(plan, ranked, ids)
        if not ids:
            return
    asking.hold_advised_workers(plan, ranked.stage, unplaced)


def _evict_runs(
    cluster: books.Book,
    plan: rooms.Room,
    ranked: rooms.RankedStage,
    allowed: list[books.Host],
    unplaced: int,
    now_ms: int,
) -> int:
    """Has less urgent runs stopped to make resources free for a stage.

    Returns:
      The number of the stage's tasks that will fit once these runs have ended.
    """
    rank, job, stage = ranked.rank, ranked.job, ranked.stage
    is_recent = stage.ready_ms is None or (
        now_ms - stage.ready_ms < EVICT_AFTER_MS
    )
    if rank.band == turns.EXPIRED or is_recent or stage.step.fills:
        return 0
    infos = [info for info in allowed if info.worker.id not in plan.reserved]
    fitting = 0
    while fitting < unplaced and rooms.is_within_limit(
        cluster, plan, job, stage.step
    ):
        if not evictions.plan_evictions(
            cluster, plan, stage.step, rank.priority, infos, now_ms
        ):
            break
        rooms.add_usage(plan, job, stage.step)
        fitting += 1
    return fitting


def _reserve_workers(
    plan: rooms.Room,
    stage: jobs.Stage,
    eligible: list[books.Host],
    unplaced: int,
    now_ms: int,
) -> list[books.Host]:
    """Reserves workers for a stage that does not fit.

    Stages of lower rank start nothing on these workers in this planning pass.
    Workers with the largest free part are reserved first. Once advice has been
    given for the stage, only workers that it named are reserved.

    Returns:
      The reserved workers.
    """
    if stage.ready_ms is None or now_ms - stage.ready_ms < RESERVE_AFTER_MS:
        return []
    needed = jobs.get_held(stage.step)
    candidates = [
        info
        for info in eligible
        if info.worker.id not in plan.reserved
        and not resources.fits(needed, plan.free[info.worker.id])
        and (not stage.advice.asked or asking.is_advised(stage, info))
    ]
    max_added = int(len(eligible) * MAX_RESERVED_FRACTION) - len(plan.reserved)
    candidates.sort(
        key=lambda info: resources.compute_dominant_share(
            plan.free[info.worker.id], info.worker.capacity
        ),
        reverse=True,
    )
    reserved = candidates[: max(0, min(max_added, unplaced))]
    plan.reserved.update(info.worker.id for info in reserved)
    return reserved
