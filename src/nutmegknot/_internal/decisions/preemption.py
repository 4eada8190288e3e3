"""Preemption: which running requests are stopped for which reason."""

from collections.abc import Callable
from collections.abc import Iterable

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Workers looked at for each urgent request.
_SAMPLE = 48
# Times in ms between two rounds of preemption of one kind.
_URGENT_PAUSE_MS = 100
_SHARE_PAUSE_MS = 1_000


def compute_lost_work(sched: states.Scheduler, run: states.Run) -> float:
    """Returns the work lost with a run, in ms times its part of the fleet.

    A request that was moved before counts for more, so that the same one is
    not stopped again and again.
    """
    req = run.given.req
    whole = resources.multiply(req.size, req.members)
    part = resources.compute_dominant_share(whole, sched.capacity)
    return part * run.ran_ms * (1 + run.given.attempt)


def preempt_for_limits(
    sched: states.Scheduler, now_ms: int
) -> list[actions.Decision]:
    """Stops the cheapest work of teams that hold more than their grants.

    Only here requests are stopped that are not repeatable, and last. A team
    that is not named in the grants starts nothing, but nothing of it is
    stopped, since its grant may not have been read yet.
    """
    decisions: list[actions.Decision] = []
    if sched.grants is None:
        return decisions
    for team, usage in list(sched.usage.items()):
        grant = sched.grants.get(team)
        if grant is None or resources.fits(usage, grant):
            continue
        runs = [
            run for run in sched.running.values() if run.given.req.team == team
        ]
        coming = _add_coming(runs)
        excess = resources.subtract(usage, resources.add(grant, coming))
        victims = _order(sched, (r for r in runs if not r.stopping), now_ms)
        decisions += _stop_until(victims, excess, 'limit')
    return decisions


def _add_coming(runs: Iterable[states.Run]) -> resources.Resources:
    """Returns what the runs that are being stopped will free."""
    coming = resources.NOTHING
    for run in runs:
        if run.stopping:
            coming = resources.add(coming, get_whole(run))
    return coming


def get_whole(run: states.Run) -> resources.Resources:
    """Returns what the members that have not ended hold."""
    return resources.multiply(run.size, len(run.members))


def _order(
    sched: states.Scheduler, runs: Iterable[states.Run], now_ms: int
) -> list[states.Run]:
    """Returns runs in the order in which they are stopped."""

    def rank(run: states.Run) -> tuple[bool, bool, int, float]:
        req = run.given.req
        run.ran_ms = max(0, now_ms - run.started_ms)
        return (
            not req.repeatable,
            bool(req.service),
            -req.priority,
            compute_lost_work(sched, run),
        )

    return sorted(runs, key=rank)


def _stop_until(
    victims: list[states.Run], excess: resources.Resources, reason: str
) -> list[actions.Decision]:
    """Stops victims, each only if it lowers a part that is in excess."""
    decisions: list[actions.Decision] = []
    for run in victims:
        if resources.fits(excess, resources.NOTHING):
            break
        whole = get_whole(run)
        if not _helps(whole, excess):
            continue
        excess = resources.subtract(excess, whole)
        decisions.append(stop(run, reason))
    return decisions


def _helps(amount: resources.Resources, excess: resources.Resources) -> bool:
    return (
        (amount.millicores > 0 and excess.millicores > 0)
        or (amount.memory_mib > 0 and excess.memory_mib > 0)
        or (amount.accelerators > 0 and excess.accelerators > 0)
        or (amount.slots > 0 and excess.slots > 0)
    )


def stop(run: states.Run, reason: str) -> actions.Preempt:
    """Marks a run as being stopped, and returns the decision."""
    run.stopping = reason
    return actions.Preempt(requests.get_key(run.given.req), reason)


def is_preemptible(
    sched: states.Scheduler, run: states.Run, now_ms: int
) -> bool:
    """Tells whether a run may be stopped for an urgent request or a share."""
    req = run.given.req
    return (
        not run.stopping
        and req.repeatable
        and not req.service
        and now_ms - run.started_ms >= sched.policy.min_run_ms
    )


def preempt_for_urgent(
    sched: states.Scheduler,
    now_ms: int,
    earmark: Callable[[str, str, resources.Resources], None],
) -> list[actions.Decision]:
    """Makes room for urgent requests that have waited.

    Args:
      sched: The state.
      now_ms: Wall clock instant in ms.
      earmark: Keeps room of a worker for a request; called with the worker's
        id, the request's key and the size.

    Returns:
      The decisions.
    """
    if now_ms - sched.urgent_ms < _URGENT_PAUSE_MS:
        return []
    sched.urgent_ms = now_ms
    decisions: list[actions.Decision] = []
    for (priority, _), line in list(sched.queue.lines.items()):
        if priority is not requests.PriorityClass.URGENT:
            continue
        for shape, part in list(line.parts.items()):
            accepted_ms, key = part[0]
            if now_ms - accepted_ms < sched.policy.urgent_after_ms:
                continue
            if not shape.blocked or shape.members > 1:
                continue
            if key in sched.reservations:
                continue
            if not holdings.is_granted(sched, line.team, shape.size):
                continue
            victims = _find_victims(sched, shape.size, now_ms)
            if victims is not None:
                worker_id, runs = victims
                earmark(worker_id, key, shape.size)
                decisions += [stop(run, 'urgent') for run in runs]
    return decisions


def _find_victims(
    sched: states.Scheduler, size: resources.Resources, now_ms: int
) -> tuple[str, list[states.Run]] | None:
    """Returns the cheapest runs that make room on one worker."""
    names = list(sched.machines)
    if len(names) > _SAMPLE:
        names = sched.rng.sample(names, _SAMPLE)
    best = None
    best_cost = 0.0
    for worker_id in names:
        if _is_kept_for_urgent(sched, worker_id):
            continue
        if not resources.fits(size, sched.machines[worker_id].capacity):
            continue
        runs = _find_cheapest(sched, worker_id, size, now_ms)
        if runs is None:
            continue
        cost = sum(compute_lost_work(sched, run) for run in runs)
        if best is None or cost < best_cost:
            best = (worker_id, runs)
            best_cost = cost
    return best


def _is_kept_for_urgent(sched: states.Scheduler, worker_id: str) -> bool:
    """Tells whether a worker is reserved for another urgent request."""
    owner = sched.waiting.get(sched.earmarks.get(worker_id, ''))
    if owner is None:
        return False
    return owner.req.priority is requests.PriorityClass.URGENT


def _find_cheapest(
    sched: states.Scheduler,
    worker_id: str,
    size: resources.Resources,
    now_ms: int,
) -> list[states.Run] | None:
    """Returns the cheapest runs of a worker that make room, if any do."""
    free = sched.free[worker_id]
    runs = []
    for task in sched.tasks.get(worker_id, ()):
        run = sched.running.get(task.request_key)
        if run is None or run.given.req.members > 1:
            continue
        if run.stopping:
            free = resources.add(free, run.size)
        elif run.given.req.priority > requests.PriorityClass.URGENT:
            runs.append(run)
    chosen: list[states.Run] = []
    runs = [run for run in runs if is_preemptible(sched, run, now_ms)]
    for run in _order(sched, runs, now_ms):
        missing = resources.subtract(size, free)
        if resources.fits(missing, resources.NOTHING):
            break
        if _helps(run.size, missing):
            chosen.append(run)
            free = resources.add(free, run.size)
    return chosen if resources.fits(size, free) else None


def preempt_for_shares(
    sched: states.Scheduler, now_ms: int
) -> list[actions.Decision]:
    """Stops work of teams above their share for teams that are owed theirs.

    A share is owed to a team that is below it by more than the margin while
    its requests have been waiting. Each partition stops only its part of what
    is owed in the fleet.
    """
    if now_ms - sched.shared_ms < _SHARE_PAUSE_MS:
        return []
    sched.shared_ms = now_ms
    owed = _compute_owed(sched, now_ms)
    if owed <= 0:
        return []
    level = compute_level(sched)
    over = {
        team: compute_excess(sched, team, level)
        for team in sched.usage
        if compute_excess(sched, team, level) > sched.policy.share_margin
    }
    capacity = shares.get_capacity(sched)
    local = resources.compute_dominant_share(sched.capacity, capacity)
    budget = local * min(owed, sched.policy.preempt_batch, sum(over.values()))
    runs = [
        run
        for run in sched.running.values()
        if run.given.req.team in over and is_preemptible(sched, run, now_ms)
    ]
    decisions: list[actions.Decision] = []
    for run in _order(sched, runs, now_ms):
        if budget <= 0:
            break
        part = resources.compute_dominant_share(get_whole(run), capacity)
        team = run.given.req.team
        if over[team] * local < part:
            continue
        over[team] -= part / local
        budget -= part
        decisions.append(stop(run, 'share'))
    return decisions


def compute_level(sched: states.Scheduler) -> float:
    """Returns the dominant share per weight if all active teams were even."""
    teams = sched.usage.keys() | sched.fleet_usage.keys()
    teams = teams | sched.queue.demand.keys()
    weights = sum(shares.get_weight(sched, team) for team in teams)
    total = sum(shares.compute_share(sched, team) for team in sorted(teams))
    return total / weights if weights else 0.0


def compute_excess(sched: states.Scheduler, team: str, level: float) -> float:
    """Returns how far a team is above its share, as a part of the fleet."""
    share = shares.compute_share(sched, team)
    return share - level * shares.get_weight(sched, team)


def _compute_owed(sched: states.Scheduler, now_ms: int) -> float:
    """Returns what teams with waiting requests are owed, as a fleet's part."""
    level = compute_level(sched)
    waited: set[str] = set()
    for line in sched.queue.lines.values():
        if now_ms - line.oldest[0] < sched.policy.share_after_ms:
            continue
        if any(shape.blocked for shape in line.parts):
            waited.add(line.team)
    owed = 0.0
    for team in sorted(waited):
        missing = -compute_excess(sched, team, level)
        granted = holdings.is_granted(sched, team, resources.NOTHING)
        if granted and missing > sched.policy.share_margin:
            owed += missing
    return owed - _compute_coming(sched)


def _compute_coming(sched: states.Scheduler) -> float:
    """Returns what is being stopped for shares, as a part of the fleet."""
    capacity = shares.get_capacity(sched)
    coming = resources.NOTHING
    for run in sched.running.values():
        if run.stopping == 'share':
            coming = resources.add(coming, get_whole(run))
    return resources.compute_dominant_share(coming, capacity)
