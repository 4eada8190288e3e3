"""Placement of the waiting tasks of jobs on workers.

A job consists of steps; a stage is one step in one occurrence of the job.

Load pattern: stages with different numbers and sizes of tasks wait, while
workers become free one task at a time. A stage that goes first but does not
fit reserves workers; otherwise small tasks of later stages would take the free
resources again and again before there are enough for a large one.
"""

from nutmegknot._internal.decisions import advice_selection
from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.decisions import customer_limits
from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# Wait after which a stage that does not fit reserves workers, in ms.
RESERVE_AFTER_MS = 300
# Wait after which the plan gives the reason why a stage can't start, in ms.
EXPLAIN_AFTER_MS = 500
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
# Cost of a worker of usual speed; one on which runs take twice as long costs
# twice as much.
SLOWNESS_PENALTY = 1.0
# Cost of a worker outside the rack that holds the step's data.
REMOTE_DATA_PENALTY = 4.0
# Cost of a worker on which an earlier run of the task failed or was stuck.
FAILED_WORKER_PENALTY = 20.0


# Reasons why a stage waits that mean that its pool is full.
CAPACITY_REASONS = frozenset(('room', 'reservation'))


def plan_starts(
    cluster: cluster_state.ClusterState,
    now_ms: int,
    wall_ms: int,
    eligibility: plans.EligibilityCache | None = None,
    lag_ms: int = 0,
    *,
    allows_trials: bool = True,
    idle_advisers: int = 1,
) -> plans.Plan:
    """Decides which waiting tasks start now.

    Args:
      cluster: State of the jobs and workers; it is not changed.
      now_ms: Monotonic time in ms.
      wall_ms: Time since the Unix epoch in ms.
      eligibility: Eligible workers of recent steps, as the pass before left
        them; None for an empty cache.
      lag_ms: How late the commands that follow may be sent.
      allows_trials: Whether tasks that are suspected of crashing workers may
        start.
      idle_advisers: Number of advisers that can take a request at once.

    Returns:
      The tasks to start, runs to stop, requests for advice, and stages that
      can't start, each list with the most urgent first.
    """
    plan = plans.start_plan(cluster, now_ms, eligibility)
    plan.lag_ms = lag_ms
    plan.allows_trials = allows_trials
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
    eligible = plans.find_eligible(plan, queue.pool, step)
    allowed = eligible.infos
    if queue.needs_tickets:
        allowed = advice_selection.list_ticket_holders(
            plan, stage, eligible, now_ms
        )
    placed = []
    if plans.may_fit(plan, queue.pool, step):
        placed = _place_stage(cluster, plan, ranked, waiting, allowed)
    unplaced = len(waiting) - len(placed)
    if not unplaced:
        return
    if stage.ready_ms is None or now_ms - stage.ready_ms >= EXPLAIN_AFTER_MS:
        reason = _find_blocking_reason(
            cluster, plan, ranked, eligible.infos, allowed
        )
        plan.blocked.append((ranked, reason))
    if not step.is_gang or step.count == 1:
        unplaced -= _evict_runs(
            cluster, plan, ranked, allowed, unplaced, now_ms
        )
    if not unplaced:
        return
    if customer_limits.is_at_limit(cluster, plan, job, step):
        # Advice expires, and a reservation is of no use, before a task may
        # start.
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
        return customer_limits.find_reason(cluster, plan, ranked)
    if not eligible:
        return 'no_worker'
    if not allowed:
        return 'ticket'
    needed = jobs.get_reserved(ranked.stage.step)
    if any(resources.fits(needed, plan.free[h.worker.id]) for h in allowed):
        return 'reservation'
    return 'room'


def _place_stage(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
    waiting: list[jobs.Task],
    allowed: list[cluster_state.WorkerInfo],
) -> list[plans.Placement]:
    """Places waiting tasks of a stage; suspected ones start as trials."""
    job, stage = ranked.job, ranked.stage
    suspects = [task for task in waiting if crash_trials.needs_trial(task)]
    if not suspects:
        place = _place_gang if stage.step.is_gang else _place_tasks
        return place(cluster, plan, job, stage, waiting, allowed)
    if stage.step.is_gang:
        return _place_trials(cluster, plan, ranked, waiting, allowed)
    others = [task for task in waiting if not crash_trials.needs_trial(task)]
    placed = _place_tasks(cluster, plan, job, stage, others, allowed)
    return placed + _place_trials(cluster, plan, ranked, suspects, allowed)


def _place_trials(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    ranked: plans.RankedStage,
    tasks: list[jobs.Task],
    allowed: list[cluster_state.WorkerInfo],
) -> list[plans.Placement]:
    """Places tasks of one stage on workers where nothing has started lately.

    Workers with few runs go first, as a crash ends these runs too. Tasks of the
    stage may share a worker: if it crashes, their job is the cause. If there is
    no such worker, one is reserved, so that nothing more starts there.
    """
    if not plan.allows_trials:
        return []
    job, stage = ranked.job, ranked.stage
    pool = cluster_state.get_queue(cluster, job.spec).pool
    infos = plan.workers_by_pool.get(pool, [])
    used = sum(info.worker.id in plan.on_trial for info in infos)
    left = max(1, int(len(infos) * crash_trials.MAX_TRIAL_FRACTION)) - used
    usable = [
        info
        for info in sorted(allowed, key=lambda info: len(info.runs))
        if plans.can_start_task(plan, stage.step, info.worker.id, {})
    ]
    starting = {placement.info.worker.id for placement in plan.placed}
    quiet = [
        info
        for info in usable
        if crash_trials.compute_quiet_ms(info) >= crash_trials.STARTUP_MS
        and info.worker.id not in starting
    ]
    placed = []
    if stage.step.is_gang:
        placed = _place_gang(cluster, plan, job, stage, tasks, quiet)
        plan.on_trial.update(p.info.worker.id for p in placed)
    else:
        unplaced = tasks
        for info in quiet[: max(0, left)]:
            added = _place_tasks(cluster, plan, job, stage, unplaced, [info])
            if added:
                plan.on_trial.add(info.worker.id)
            placed += added
            unplaced = tasks[len(placed) :]
            if not unplaced:
                break
    if len(placed) < len(tasks):
        count = len(tasks) if stage.step.is_gang else int(left > 0)
        _reserve_for_trials(plan, usable, count)
    return placed


def _reserve_for_trials(
    plan: plans.Plan, usable: list[cluster_state.WorkerInfo], count: int
) -> None:
    """Reserves the workers on which no run has started for longest."""
    candidates = [
        info for info in usable if info.worker.id not in plan.on_trial
    ]
    candidates.sort(key=crash_trials.compute_quiet_ms, reverse=True)
    plan.reserved.update(info.worker.id for info in candidates[:count])


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
            cost += FAILED_WORKER_PENALTY
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
            + INTERFERENCE_PENALTY * info.latency_sensitive_runs
        )
        cost += counts.get(worker.id, 0)
    elif step.tail_latency_target_ms:
        cost += INTERFERENCE_PENALTY * info.opportunistic_runs + counts.get(
            worker.id, 0
        )
    cost += SLOWNESS_PENALTY * worker_speeds.get_kind_ratio(cluster, info)
    if step.data_rack and step.data_rack != worker.rack:
        cost += REMOTE_DATA_PENALTY
    return cost


def _request_advice(
    plan: plans.Plan,
    ranked: plans.RankedStage,
    eligible: plans.EligibleWorkers,
    unplaced: int,
    now_ms: int,
) -> None:
    """Requests advice on workers for a stage, and holds resources meanwhile.

    Resources are held on workers that earlier advice named for the stage, so
    that stages of lower rank do not take them before new tickets arrive.

    Load pattern: many stages need advice at once, and their requests wait for
    an adviser. What is held for a request that waits is idle for longer than a
    call takes, so it is held only while the call is in progress or begins.
    """
    advice = ranked.stage.advice
    if not advice.is_asking:
        ids = advice_selection.choose_workers_to_ask(
            plan, ranked.stage, eligible, now_ms
        )
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
        now_ms - stage.ready_ms < EVICT_AFTER_MS
    )
    if (
        rank.urgency_band >= stage_ranking.TOO_LATE
        or is_recent
        or stage.step.is_opportunistic
    ):
        return 0
    infos = [
        info
        for info in allowed
        if info.worker.id not in plan.reserved
        and info.worker.id not in plan.on_trial
    ]
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
    eligible: plans.EligibleWorkers,
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
    if stage.ready_ms is None or now_ms - stage.ready_ms < RESERVE_AFTER_MS:
        return []
    max_reserved = int(len(eligible.infos) * MAX_RESERVED_FRACTION)
    max_added = max_reserved - len(plan.reserved)
    if max_added <= 0:
        return []
    needed = jobs.get_reserved(stage.step)
    infos = eligible.infos
    if stage.advice.asked:
        infos = advice_selection.list_advised(stage, eligible)
    candidates = [
        info
        for info in infos
        if info.worker.id not in plan.reserved
        and not resources.fits(needed, plan.free[info.worker.id])
    ]
    candidates.sort(
        key=lambda info: resources.compute_dominant_share(
            plan.free[info.worker.id], info.worker.capacity
        ),
        reverse=True,
    )
    reserved = candidates[: min(max_added, unplaced)]
    plan.reserved.update(info.worker.id for info in reserved)
    return reserved
