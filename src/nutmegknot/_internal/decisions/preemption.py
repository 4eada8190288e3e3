"""Preemption of running requests for limits, urgent requests and shares."""

from collections.abc import Callable
from collections.abc import Iterable

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Number of workers considered for each urgent request.
_SAMPLED_WORKERS = 48
# Interval in ms between checks for preemption in favour of urgent requests.
_URGENT_INTERVAL_MS = 100
# Interval in ms between checks for preemption in favour of teams below their
# share.
_SHARE_INTERVAL_MS = 1_000


def compute_lost_work(
    sched: states.Scheduler, run: states.RunningRequest
) -> float:
    """Returns the cost of preempting a run: the work that is lost.

    The cost is the run time in ms times the run's dominant share of the
    partition's capacity. It is multiplied by the number of attempts, this one
    included, so that the same request is not preempted again and again.
    """
    req = run.assignment.req
    total_size = resources.multiply(req.size, req.members)
    run_share = resources.compute_dominant_share(total_size, sched.capacity)
    return run_share * run.ran_ms * (1 + run.assignment.attempt)


def preempt_for_limits(
    sched: states.Scheduler, now_ms: int
) -> list[actions.Decision]:
    """Preempts requests of teams that hold more than their grants.

    The runs whose loss costs least are preempted first. This is the only kind
    of preemption that also stops requests that are not repeatable, and it stops
    these last. A team without a grant can start nothing, but its running
    requests are left alone, since its grant may not have been read yet.
    """
    decisions: list[actions.Decision] = []
    if sched.grants is None:
        return decisions
    for team, usage in list(sched.usage.items()):
        grant = sched.grants.get(team)
        if grant is None or resources.fits(usage, grant):
            continue
        runs = [
            run
            for run in sched.running.values()
            if run.assignment.req.team == team
        ]
        being_freed = _sum_stopping(runs)
        excess = resources.subtract(usage, resources.add(grant, being_freed))
        victims = _sort_by_cost(
            sched, (r for r in runs if not r.stop_reason), now_ms
        )
        decisions += _stop_until_covered(victims, excess, 'limit')
    return decisions


def _sum_stopping(runs: Iterable[states.RunningRequest]) -> resources.Resources:
    """Returns the resources that the runs being stopped will free."""
    being_freed = resources.ZERO
    for run in runs:
        if run.stop_reason:
            being_freed = resources.add(being_freed, compute_held_size(run))
    return being_freed


def compute_held_size(run: states.RunningRequest) -> resources.Resources:
    """Returns the resources held by the members that have not ended."""
    return resources.multiply(run.size, len(run.members))


def _sort_by_cost(
    sched: states.Scheduler, runs: Iterable[states.RunningRequest], now_ms: int
) -> list[states.RunningRequest]:
    """Returns runs in the order in which they are to be preempted.

    Repeatable runs come before the others and, among each of these, batch work
    before services; then the least urgent class and the lowest cost go first.
    """

    def rank(run: states.RunningRequest) -> tuple[bool, bool, int, float]:
        req = run.assignment.req
        run.ran_ms = max(0, now_ms - run.started_ms)
        return (
            not req.repeatable,
            bool(req.service),
            -req.priority,
            compute_lost_work(sched, run),
        )

    return sorted(runs, key=rank)


def _stop_until_covered(
    victims: list[states.RunningRequest],
    excess: resources.Resources,
    reason: str,
) -> list[actions.Decision]:
    """Preempts victims in order until they free the excess resources.

    A victim is skipped if it holds none of the resources still in excess.
    """
    decisions: list[actions.Decision] = []
    for run in victims:
        if resources.fits(excess, resources.ZERO):
            break
        total_size = compute_held_size(run)
        if not _reduces_excess(total_size, excess):
            continue
        excess = resources.subtract(excess, total_size)
        decisions.append(mark_stopping(run, reason))
    return decisions


def _reduces_excess(
    amount: resources.Resources, excess: resources.Resources
) -> bool:
    return (
        (amount.millicores > 0 and excess.millicores > 0)
        or (amount.memory_mib > 0 and excess.memory_mib > 0)
        or (amount.accelerators > 0 and excess.accelerators > 0)
        or (amount.slots > 0 and excess.slots > 0)
    )


def mark_stopping(run: states.RunningRequest, reason: str) -> actions.Preempt:
    """Marks a run as being stopped, and returns the decision to preempt it."""
    run.stop_reason = reason
    return actions.Preempt(requests.get_key(run.assignment.req), reason)


def is_preemptible(
    sched: states.Scheduler, run: states.RunningRequest, now_ms: int
) -> bool:
    """Returns whether a run may be preempted for urgent requests or shares."""
    req = run.assignment.req
    return (
        not run.stop_reason
        and req.repeatable
        and not req.service
        and now_ms - run.started_ms >= sched.policy.min_run_ms
    )


def preempt_for_urgent(
    sched: states.Scheduler,
    now_ms: int,
    reserve: Callable[[str, str, resources.Resources], None],
) -> list[actions.Decision]:
    """Preempts requests to make room for urgent ones that have waited.

    Args:
      sched: The scheduler.
      now_ms: Wall-clock time in ms.
      reserve: Function that reserves resources of a worker for a request;
        called with the worker id, the request key and the resources.

    Returns:
      The decisions.
    """
    if now_ms - sched.urgent_checked_ms < _URGENT_INTERVAL_MS:
        return []
    sched.urgent_checked_ms = now_ms
    decisions: list[actions.Decision] = []
    for (priority, _), team_queue in list(sched.queue.team_queues.items()):
        if priority is not requests.PriorityClass.URGENT:
            continue
        for shape, age_keys in list(team_queue.by_shape.items()):
            accepted_ms, key = age_keys[0]
            if now_ms - accepted_ms < sched.policy.urgent_after_ms:
                continue
            if not shape.blocked or shape.members > 1:
                continue
            if key in sched.reservations:
                continue
            if not allocations.is_granted(sched, team_queue.team, shape.size):
                continue
            victims = _find_victims(sched, shape.size, now_ms)
            if victims is not None:
                worker_id, runs = victims
                reserve(worker_id, key, shape.size)
                decisions += [mark_stopping(run, 'urgent') for run in runs]
    return decisions


def _find_victims(
    sched: states.Scheduler, size: resources.Resources, now_ms: int
) -> tuple[str, list[states.RunningRequest]] | None:
    """Returns a worker and the runs to preempt there to make room for size.

    Of the workers considered, the one where the least work is lost is chosen.
    """
    worker_ids = list(sched.schedulable_workers)
    if len(worker_ids) > _SAMPLED_WORKERS:
        worker_ids = sched.rng.sample(worker_ids, _SAMPLED_WORKERS)
    best = None
    best_cost = 0.0
    for worker_id in worker_ids:
        if _is_reserved_for_urgent(sched, worker_id):
            continue
        if not resources.fits(
            size, sched.schedulable_workers[worker_id].capacity
        ):
            continue
        runs = _find_victims_on(sched, worker_id, size, now_ms)
        if runs is None:
            continue
        cost = sum(compute_lost_work(sched, run) for run in runs)
        if best is None or cost < best_cost:
            best = (worker_id, runs)
            best_cost = cost
    return best


def _is_reserved_for_urgent(sched: states.Scheduler, worker_id: str) -> bool:
    """Returns whether a worker is reserved for an urgent request."""
    holder = sched.waiting.get(sched.reserved_workers.get(worker_id, ''))
    if holder is None:
        return False
    return holder.req.priority is requests.PriorityClass.URGENT


def _find_victims_on(
    sched: states.Scheduler,
    worker_id: str,
    size: resources.Resources,
    now_ms: int,
) -> list[states.RunningRequest] | None:
    """Returns the runs to preempt on one worker to make room for size.

    Returns None if preemption cannot make enough room there. Requests with
    several members and urgent requests are not preempted.
    """
    free = sched.free[worker_id]
    runs = []
    for task in sched.tasks.get(worker_id, ()):
        run = sched.running.get(task.request_key)
        if run is None or run.assignment.req.members > 1:
            continue
        if run.stop_reason:
            free = resources.add(free, run.size)
        elif run.assignment.req.priority > requests.PriorityClass.URGENT:
            runs.append(run)
    chosen: list[states.RunningRequest] = []
    runs = [run for run in runs if is_preemptible(sched, run, now_ms)]
    for run in _sort_by_cost(sched, runs, now_ms):
        missing = resources.subtract(size, free)
        if resources.fits(missing, resources.ZERO):
            break
        if _reduces_excess(run.size, missing):
            chosen.append(run)
            free = resources.add(free, run.size)
    return chosen if resources.fits(size, free) else None


def preempt_for_shares(
    sched: states.Scheduler, now_ms: int
) -> list[actions.Decision]:
    """Preempts requests of teams above their share for teams below theirs.

    A team is owed resources if it is below its share by more than the margin
    of the policy and its requests have been waiting for long enough. The amount
    owed is computed for the whole fleet; each partition preempts only a part
    of it, in proportion to its capacity.
    """
    if now_ms - sched.share_checked_ms < _SHARE_INTERVAL_MS:
        return []
    sched.share_checked_ms = now_ms
    owed = _compute_owed_share(sched, now_ms)
    if owed <= 0:
        return []
    level = compute_fair_level(sched)
    excess_by_team = {
        team: compute_excess(sched, team, level)
        for team in sched.usage
        if compute_excess(sched, team, level) > sched.policy.share_margin
    }
    capacity = shares.get_capacity(sched)
    local_share = resources.compute_dominant_share(sched.capacity, capacity)
    budget = local_share * min(
        owed, sched.policy.preempt_batch, sum(excess_by_team.values())
    )
    runs = [
        run
        for run in sched.running.values()
        if run.assignment.req.team in excess_by_team
        and is_preemptible(sched, run, now_ms)
    ]
    decisions: list[actions.Decision] = []
    for run in _sort_by_cost(sched, runs, now_ms):
        if budget <= 0:
            break
        run_share = resources.compute_dominant_share(
            compute_held_size(run), capacity
        )
        team = run.assignment.req.team
        if excess_by_team[team] * local_share < run_share:
            continue
        excess_by_team[team] -= run_share / local_share
        budget -= run_share
        decisions.append(mark_stopping(run, 'share'))
    return decisions


def compute_fair_level(sched: states.Scheduler) -> float:
    """Returns the dominant share per unit of weight in a fair division.

    That is the total dominant share of all active teams over their total
    weight.
    """
    teams = sched.usage.keys() | sched.fleet_usage.keys()
    teams = teams | sched.queue.demand.keys()
    weights = sum(shares.get_weight(sched, team) for team in teams)
    total = sum(shares.compute_share(sched, team) for team in sorted(teams))
    return total / weights if weights else 0.0


def compute_excess(sched: states.Scheduler, team: str, level: float) -> float:
    """Returns how far a team is above its fair share of the fleet.

    Args:
      sched: The scheduler.
      team: The team.
      level: The fair dominant share per unit of weight.

    Returns:
      A fraction of the fleet; negative if the team is below its share.
    """
    share = shares.compute_share(sched, team)
    return share - level * shares.get_weight(sched, team)


def _compute_owed_share(sched: states.Scheduler, now_ms: int) -> float:
    """Returns the fraction of the fleet owed to teams below their share.

    What is being freed for shares already is subtracted.
    """
    level = compute_fair_level(sched)
    waiting_teams: set[str] = set()
    for team_queue in sched.queue.team_queues.values():
        if now_ms - team_queue.oldest[0] < sched.policy.share_after_ms:
            continue
        if any(shape.blocked for shape in team_queue.by_shape):
            waiting_teams.add(team_queue.team)
    owed = 0.0
    for team in sorted(waiting_teams):
        missing = -compute_excess(sched, team, level)
        granted = allocations.is_granted(sched, team, resources.ZERO)
        if granted and missing > sched.policy.share_margin:
            owed += missing
    return owed - _compute_stopping_share(sched)


def _compute_stopping_share(sched: states.Scheduler) -> float:
    """Returns the fraction of the fleet that is being freed for shares."""
    capacity = shares.get_capacity(sched)
    being_freed = resources.ZERO
    for run in sched.running.values():
        if run.stop_reason == 'share':
            being_freed = resources.add(being_freed, compute_held_size(run))
    return resources.compute_dominant_share(being_freed, capacity)
