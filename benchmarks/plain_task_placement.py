"""The placement of tasks as it was when each pass looked at all workers.

It is the baseline of the benchmark of scheduling passes, and the reference of
the test that compares the choices of both. Only what searches workers differs
from decisions/task_placement.py; the constants are shared with it.
"""

from nutmegknot._internal.decisions import advice_selection
from nutmegknot._internal.decisions import customer_limits
from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources


def plan_starts(
    cluster: cluster_state.ClusterState,
    now_ms: int,
    wall_ms: int,
    *,
    idle_advisers: int = 1,
) -> plans.Plan:
    """Decides which waiting tasks start now.

    Args:
      cluster: State of the jobs and workers; it is not changed.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.
      idle_advisers: Number of advisers that can take a request at once.

    Returns:
      The tasks to start, runs to stop, requests for advice, and stages that
      can't start, each list with the most urgent first.
    """
    plan = plans.start_plan(cluster, now_ms)
    plan.idle_advisers = idle_advisers
    for ranked in rank_stages(cluster, now_ms, wall_ms):
        _plan_stage(cluster, plan, ranked, now_ms)
    return plan


def rank_stages(
    cluster: cluster_state.ClusterState, now_ms: int, wall_ms: int
) -> list[plans.RankedStage]:
    """Returns the stages that wait for starts, most urgent first."""
    ranked_stages = []
    for (job_id, _, _), stage in cluster.waiting_stages.items():
        job = cluster.jobs[job_id]
        if cluster_state.may_start(cluster, job, now_ms):
            rank = stage_ranking.rank_stage(cluster, job, stage, wall_ms)
            ranked_stages.append(plans.RankedStage(rank, job, stage))
    ranked_stages.sort(key=lambda ranked: ranked.rank)
    return ranked_stages


def _plan_stage(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
    now_ms: int,
) -> None:
    job, stage = ranked.job, ranked.stage
    waiting = [t for t in stage.tasks if t.phase is jobs.TaskPhase.WAITING]
    if not waiting:
        return
    step = stage.step
    if step.is_gang and len(waiting) < len(stage.tasks):
        return
    queue = cluster_state.get_queue(cluster, job.spec)
    eligible = [
        info
        for info in plan.workers_by_pool.get(queue.pool, ())
        if plans.is_eligible(info, step)
    ]
    allowed = eligible
    if queue.needs_tickets:
        margin_ms = advice_selection.MIN_TICKET_REMAINING_MS
        allowed = [
            info
            for info in eligible
            if advice_selection.has_valid_ticket(stage, info, now_ms, margin_ms)
        ]
    place = _place_gang if step.is_gang else _place_tasks
    placed = place(cluster, plan, job, stage, waiting, allowed)
    unplaced = len(waiting) - len(placed)
    if not unplaced:
        return
    plan.blocked.append(
        (
            ranked,
            _find_blocking_reason(cluster, plan, ranked, eligible, allowed),
        )
    )
    if not step.is_gang or step.count == 1:
        unplaced -= _evict_runs(
            cluster, plan, ranked, allowed, unplaced, now_ms
        )
    if not unplaced:
        return
    if customer_limits.is_at_limit(cluster, plan, job, step):
        plan.at_limit.append(ranked)
        return
    if queue.needs_tickets:
        _request_advice(plan, ranked, eligible, unplaced, now_ms)
    reserved = _reserve_workers(plan, stage, eligible, unplaced, now_ms)
    if (
        queue.needs_tickets
        and len(plan.advice_requests) < advice_selection.RENEWAL_CALL_LIMIT
    ):
        ids = advice_selection.list_expiring(queue, stage, reserved, now_ms)
        advice_selection.add_advice_request(plan, ranked, ids)


def _find_blocking_reason(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
    eligible: list[cluster_state.WorkerInfo],
    allowed: list[cluster_state.WorkerInfo],
) -> str:
    """Returns why a stage's tasks can't start, as the word to be logged."""
    if not customer_limits.is_within_limit(
        cluster, plan, ranked.job, ranked.stage.step
    ):
        return 'limit'
    if not eligible:
        return 'no_worker'
    if not allowed:
        return 'ticket'
    needed = jobs.get_reserved(ranked.stage.step)
    if any(resources.fits(needed, plan.free[h.worker.id]) for h in allowed):
        return 'reservation'
    return 'room'


def _place_tasks(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[cluster_state.WorkerInfo],
) -> list[plans.Placement]:
    """Places as many of the waiting tasks as fit, each independently."""
    needed = jobs.get_reserved(stage.step)
    counts = plans.count_tasks_by_worker(stage)
    placed = []
    for task in waiting:
        if not customer_limits.is_within_limit(cluster, plan, job, stage.step):
            break
        info = _choose_worker(cluster, plan, stage, task, allowed, counts)
        if info is None:
            break
        id = info.worker.id
        plans.deduct_free(plan, id, needed)
        customer_limits.add_usage(plan, job, stage.step)
        counts[id] = counts.get(id, 0) + 1
        placed.append(_make_placement(job, stage, task, info))
    plan.placed += placed
    return placed


def _make_placement(
    job: jobs.Job,
    stage: jobs.Stage,
    task: jobs.Task,
    info: cluster_state.WorkerInfo,
) -> plans.Placement:
    ticket = stage.advice.tickets.get(info.worker.id)
    text = '' if ticket is None else ticket.token
    return plans.Placement(job, stage, task.index, info, text)


def _place_gang(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    job: jobs.Job,
    stage: jobs.Stage,
    waiting: list[jobs.Task],
    allowed: list[cluster_state.WorkerInfo],
) -> list[plans.Placement]:
    """Places all tasks of a stage that must run together, or none of them."""
    groups = [allowed]
    if stage.step.same_rack:
        groups = _group_by_rack(allowed)
    for group in groups:
        before = (dict(plan.free), dict(plan.usage), list(plan.placed))
        placed = _place_tasks(cluster, plan, job, stage, waiting, group)
        if len(placed) == len(waiting):
            return placed
        plan.free, plan.usage, plan.placed = before
    return []


def _group_by_rack(
    infos: list[cluster_state.WorkerInfo],
) -> list[list[cluster_state.WorkerInfo]]:
    racks: dict[str, list[cluster_state.WorkerInfo]] = {}
    for info in infos:
        racks.setdefault(info.worker.rack, []).append(info)
    return sorted(racks.values(), key=len, reverse=True)


def _choose_worker(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    stage: jobs.Stage,
    task: jobs.Task,
    allowed: list[cluster_state.WorkerInfo],
    counts: dict[str, int],
) -> cluster_state.WorkerInfo | None:
    """Returns the cheapest worker for a task, or None if it fits nowhere."""
    best, best_cost = None, 0.0
    for info in allowed:
        id = info.worker.id
        if not plans.can_start_task(plan, stage.step, id, counts):
            continue
        cost = _compute_cost(cluster, plan, stage, info, counts)
        if id in task.avoided_workers:
            cost += task_placement.FAILED_WORKER_PENALTY
        if best is None or cost < best_cost:
            best, best_cost = info, cost
    return best


def _compute_cost(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    stage: jobs.Stage,
    info: cluster_state.WorkerInfo,
    counts: dict[str, int],
) -> float:
    """Returns the cost of running a stage's task on a worker; lowest is best.

    It is the part of the worker that would be left free, plus penalties. For
    opportunistic tasks, the number of such runs on the worker replaces the
    free part.
    """
    step, worker = stage.step, info.worker
    remaining = resources.subtract(
        plan.free[worker.id], jobs.get_reserved(step)
    )
    cost = resources.compute_dominant_share(remaining, worker.capacity)
    if step.is_opportunistic:
        # Opportunistic tasks reserve no processors. They share those that
        # other tasks leave idle, so they are spread over the workers.
        cost = (
            info.opportunistic_runs
            + task_placement.INTERFERENCE_PENALTY * info.latency_sensitive_runs
        )
        cost += counts.get(worker.id, 0)
    elif step.tail_latency_target_ms:
        cost += (
            task_placement.INTERFERENCE_PENALTY * info.opportunistic_runs
            + counts.get(worker.id, 0)
        )
    cost += task_placement.SLOWNESS_PENALTY * worker_speeds.get_kind_ratio(
        cluster, info
    )
    if step.data_rack and step.data_rack != worker.rack:
        cost += task_placement.REMOTE_DATA_PENALTY
    return cost


def _request_advice(
    plan: plans.Plan,
    ranked: plans.RankedStage,
    eligible: list[cluster_state.WorkerInfo],
    unplaced: int,
    now_ms: int,
) -> None:
    """Requests advice on workers for a stage, and holds resources meanwhile.

    Resources are held on workers that earlier advice named for the stage, so
    that stages of lower rank do not take them before new tickets arrive, while
    the call for advice is in progress or begins.
    """
    advice = ranked.stage.advice
    if not advice.is_asking:
        ids = _choose_workers_to_ask(plan, ranked.stage, eligible, now_ms)
        advice_selection.add_advice_request(plan, ranked, ids)
        if not ids or not plan.idle_advisers:
            return
        plan.idle_advisers -= 1
    elif not advice.is_called:
        return
    advice_selection.hold_advised_workers(plan, ranked.stage, unplaced)


def _evict_runs(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
    allowed: list[cluster_state.WorkerInfo],
    unplaced: int,
    now_ms: int,
) -> int:
    """Has less urgent runs stopped to make resources free for a stage.

    Returns:
      The number of the stage's tasks that will fit once these runs have ended.
    """
    rank, job, stage = ranked.rank, ranked.job, ranked.stage
    is_recent = stage.ready_ms is None or (
        now_ms - stage.ready_ms < task_placement.EVICT_AFTER_MS
    )
    if (
        rank.urgency_band >= stage_ranking.TOO_LATE
        or is_recent
        or stage.step.is_opportunistic
    ):
        return 0
    infos = [info for info in allowed if info.worker.id not in plan.reserved]
    fitting = 0
    while fitting < unplaced and customer_limits.is_within_limit(
        cluster, plan, job, stage.step
    ):
        if not evictions.plan_evictions(
            cluster, plan, stage.step, rank.priority, infos, now_ms
        ):
            break
        customer_limits.add_usage(plan, job, stage.step)
        fitting += 1
    return fitting


def _reserve_workers(
    plan: plans.Plan,
    stage: jobs.Stage,
    eligible: list[cluster_state.WorkerInfo],
    unplaced: int,
    now_ms: int,
) -> list[cluster_state.WorkerInfo]:
    """Reserves workers for a stage that does not fit.

    Stages of lower rank start nothing on these workers in this planning pass.
    Workers with the largest free part are reserved first. Once advice has been
    given for the stage, only workers that it named are reserved.

    Returns:
      The reserved workers.
    """
    if (
        stage.ready_ms is None
        or now_ms - stage.ready_ms < task_placement.RESERVE_AFTER_MS
    ):
        return []
    needed = jobs.get_reserved(stage.step)
    candidates = [
        info
        for info in eligible
        if info.worker.id not in plan.reserved
        and not resources.fits(needed, plan.free[info.worker.id])
        and (not stage.advice.asked or advice_selection.is_advised(stage, info))
    ]
    max_added = int(len(eligible) * task_placement.MAX_RESERVED_FRACTION) - len(
        plan.reserved
    )
    candidates.sort(
        key=lambda info: resources.compute_dominant_share(
            plan.free[info.worker.id], info.worker.capacity
        ),
        reverse=True,
    )
    reserved = candidates[: max(0, min(max_added, unplaced))]
    plan.reserved.update(info.worker.id for info in reserved)
    return reserved


def _choose_workers_to_ask(
    plan: plans.Plan,
    stage: jobs.Stage,
    infos: list[cluster_state.WorkerInfo],
    now_ms: int,
) -> list[str]:
    """Returns the ids of the workers to request advice on for a stage."""
    counts = plans.count_tasks_by_worker(stage)
    margin_ms = advice_selection.MIN_TICKET_REMAINING_MS

    def fits_now(info: cluster_state.WorkerInfo) -> bool:
        return plans.can_start_task(plan, stage.step, info.worker.id, counts)

    expired = [
        info.worker.id
        for info in infos
        if advice_selection.is_advised(stage, info)
        and not advice_selection.has_valid_ticket(
            stage, info, now_ms, margin_ms
        )
        and fits_now(info)
    ]
    if expired:
        return expired[: advice_selection.MAX_WORKERS_PER_CALL]
    unasked = [
        info
        for info in infos
        if stage.advice.asked.get(info.worker.id) != info.worker.life
    ]
    if stage.advice.asked and not any(fits_now(info) for info in unasked):
        return []
    unasked.sort(key=fits_now, reverse=True)
    return [
        info.worker.id
        for info in unasked[: advice_selection.MAX_WORKERS_PER_CALL]
    ]
