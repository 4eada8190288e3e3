"""Order and placement inside one fleet partition.

A Scheduler holds what the decisions need; functions change it and return
decisions as values. Nothing here knows of messages, connections or tasks.
"""

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import explanations
from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import ordering
from nutmegknot._internal.decisions import placement
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import reservations
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# The names under which callers know the types and the accounts.
Place = actions.Place
GiveBack = actions.GiveBack
Preempt = actions.Preempt
Decision = actions.Decision
Held = states.Held
Scheduler = states.Scheduler
add_worker = holdings.add_worker
remove_worker = holdings.remove_worker
forget_worker = holdings.forget_worker
hold = holdings.hold
release = holdings.release
compute_usage = holdings.compute_usage
compute_demand = holdings.compute_demand
compute_units = holdings.compute_units
set_fleet_usage = shares.set_fleet_usage
explain = explanations.explain

# Pause in ms between attempts to place all-at-once jobs of one shape.
_GANG_RETRY_MS = 100
_CHECK_MS = 1_000


def add_waiting(sched: Scheduler, given: partitions.Assignment) -> None:
    """Queues an assignment; one with the same key replaces it."""
    req = given.req
    key = requests.get_key(req)
    remove_waiting(sched, key)
    sched.waiting[key] = given
    estimate = sched.learned.get(req.queue)
    size = estimates.choose_size(estimate, req, given.attempt, sched.largest)
    run_ms = 0
    if not req.service:
        run_ms = estimates.expect_run(estimate, req.run_ms)
    avoided = probation.get_avoided(sched.failures, key)
    queues.add(sched.queue, given, size, run_ms, avoided)
    if req.size.accelerators:
        holdings.set_sparing(sched, sparing=True)


def remove_waiting(sched: Scheduler, request_key: str) -> bool:
    """Takes an assignment out of the queue; tells whether it was there."""
    given = sched.waiting.pop(request_key, None)
    if given is None:
        return False
    queues.remove(sched.queue, given.req)
    reservations.drop(sched, request_key)
    return True


def set_configuration(
    sched: Scheduler, configuration: cells.Configuration
) -> None:
    """Puts a configuration in force."""
    sched.configuration = configuration
    sched.distances.clear()


def set_grants(
    sched: Scheduler, grants: dict[str, resources.Resources] | None
) -> None:
    """Sets the most that each team may hold in this partition."""
    sched.grants = grants


def note_running(
    sched: Scheduler, given: partitions.Assignment, started_ms: int
) -> None:
    """Takes note of the assignment that tasks found running belong to.

    Without it they are held, but never preempted or moved.

    Args:
      sched: The state.
      given: The assignment; its tasks are held already.
      started_ms: Instant in ms from which on they are known to run.
    """
    key = requests.get_key(given.req)
    tasks = {
        workers.TaskId(key, member, given.attempt)
        for member in range(given.req.members)
    }
    members = tasks & sched.held.keys()
    if not members or key in sched.running:
        return
    size = sched.held[min(members, key=lambda task: task.member)].size
    run = states.Run(given, started_ms, given.req.run_ms, members, size)
    holdings.note_running(sched, run)


def note_failure(
    sched: Scheduler, worker_id: str, request_key: str, now_ms: int
) -> None:
    """Takes note that a task failed on a worker."""
    policy = sched.policy
    probation.note_failure(
        sched.failures,
        worker_id,
        request_key,
        now_ms,
        policy.probation_ms,
        policy.task_failures,
    )
    _update_probation(sched, worker_id, now_ms)


def note_success(
    sched: Scheduler, worker_id: str, now_ms: int, request_key: str = ''
) -> None:
    """Takes note that a task finished on a worker.

    Args:
      sched: The state.
      worker_id: The worker.
      now_ms: Wall clock instant in ms.
      request_key: The request, to learn its run time; it must be noted before
        the task is released.
    """
    if worker_id in sched.failures.workers:
        probation.note_success(sched.failures, worker_id)
        holdings.refresh_index(sched, worker_id)
        holdings.reopen(sched, worker_id)
    run = sched.running.get(request_key)
    if run is not None and not run.given.req.service:
        req = run.given.req
        estimate = sched.learned.setdefault(req.queue, estimates.Estimate())
        estimates.note_run(estimate, req.run_ms, now_ms - run.started_ms)


def note_memory(sched: Scheduler, request_key: str, used_mib: int) -> None:
    """Takes note of the most memory in MiB that a member has used."""
    run = sched.running.get(request_key)
    if run is not None:
        req = run.given.req
        estimate = sched.learned.setdefault(req.queue, estimates.Estimate())
        estimates.note_memory(estimate, req.size.memory_mib, used_mib)


def _update_probation(sched: Scheduler, worker_id: str, now_ms: int) -> None:
    policy = sched.policy
    sched.at_ms = max(sched.at_ms, now_ms)
    probation.update(
        sched.failures,
        worker_id,
        now_ms,
        policy.probation_score,
        policy.probation_ms,
    )
    if worker_id in sched.machines:
        holdings.refresh_index(sched, worker_id)


def decide(sched: Scheduler, now_ms: int, limit: int = 0) -> list[Decision]:
    """Decides on waiting assignments, and holds what it places.

    Args:
      sched: The state.
      now_ms: Wall clock instant in ms.
      limit: The most placements of this call, 0 for no bound; a caller that
        sets it calls again if it got as many.

    Returns:
      Decisions in the order in which they are to be carried out.
    """
    sched.at_ms = now_ms
    domains.follow_state(sched, now_ms)
    decisions = preemption.preempt_for_limits(sched, now_ms)
    if domains.is_closed(sched):
        return decisions + _empty_queue(sched) + domains.drain(sched, now_ms)
    if now_ms - sched.checked_ms >= _CHECK_MS:
        sched.checked_ms = now_ms
        decisions += _give_back(sched, now_ms)
        _check(sched, now_ms)
    decisions += _place_waiting(sched, now_ms, limit)
    decisions += preemption.preempt_for_urgent(
        sched,
        now_ms,
        lambda worker_id, key, size: _earmark_urgent(
            sched, worker_id, key, size, now_ms
        ),
    )
    decisions += preemption.preempt_for_shares(sched, now_ms)
    return decisions


def _earmark_urgent(
    sched: Scheduler,
    worker_id: str,
    request_key: str,
    size: resources.Resources,
    now_ms: int,
) -> None:
    """Keeps a worker for an urgent request, whoever had reserved it."""
    reservations.drop(sched, sched.earmarks.get(worker_id, ''))
    rooms = {worker_id: size}
    reservations.earmark(sched, request_key, rooms, now_ms, now_ms)


def _check(sched: Scheduler, now_ms: int) -> None:
    """Does what depends on time only, once a second."""
    needed = sched.queue.accelerated + sched.used.accelerators
    holdings.set_sparing(sched, needed > 0)
    for worker_id in list(sched.failures.workers):
        _update_probation(sched, worker_id, now_ms)
    reservations.keep_reservations(sched, now_ms)
    queues.unblock_all(sched.queue)


def _give_back(sched: Scheduler, now_ms: int) -> list[Decision]:
    """Gives back what failed too often, or is too large for every worker."""
    decisions: list[Decision] = []
    for key in list(sched.failures.requests):
        if key in sched.waiting and probation.is_at_fault(
            sched.failures, key, sched.policy.task_failures
        ):
            count = sched.policy.task_failures
            detail = f'failed on {count} different workers'
            decisions.append(GiveBack(key, 'failed', detail))
    for shape, key in queues.list_heads(sched.queue):
        waited_ms = now_ms - sched.waiting[key].accepted_ms
        if waited_ms < sched.policy.too_large_ms or not sched.machines:
            continue
        if not placement.could_ever_fit(sched, shape):
            detail = 'no worker of the partition is large enough'
            decisions.append(GiveBack(key, 'domain', detail))
    for one in decisions:
        remove_waiting(sched, one.request_key)
    return decisions


def _empty_queue(sched: Scheduler) -> list[Decision]:
    keys = list(sched.waiting)
    for key in keys:
        remove_waiting(sched, key)
    return [GiveBack(key, 'domain', 'domain is closed') for key in keys]


def _place_waiting(sched: Scheduler, now_ms: int, limit: int) -> list[Decision]:
    """Tries the waiting requests in order until none finds room."""
    decisions: list[Decision] = []
    sched.queue.reopened = True
    while sched.queue.reopened:
        sched.queue.reopened = False
        turn = ordering.begin_turn(sched, now_ms)
        decisions += _place_reserved(sched, turn)
        while (candidate := ordering.take_next(sched, turn)) is not None:
            placed = _try_to_place(sched, turn, candidate)
            if placed is not None:
                decisions.append(placed)
                if len(decisions) == limit:
                    return decisions
    return decisions


def _place_reserved(sched: Scheduler, turn: ordering.Turn) -> list[Decision]:
    """Places the requests whose reserved workers have room."""
    decisions: list[Decision] = []
    for key in list(sched.reservations):
        if key not in sched.waiting or not reservations.is_ready(sched, key):
            continue
        candidate = ordering.Candidate(
            queues.get_line(sched.queue, key),
            queues.get_shape(sched.queue, key),
            sched.waiting[key],
        )
        placed = _try_to_place(sched, turn, candidate)
        if placed is not None:
            decisions.append(placed)
    return decisions


def _try_to_place(
    sched: Scheduler, turn: ordering.Turn, candidate: ordering.Candidate
) -> Place | None:
    """Places a request, or takes note of what holds it."""
    req = candidate.given.req
    shape = candidate.shape
    whole = resources.multiply(shape.size, req.members)
    if not holdings.is_granted(sched, req.team, whole):
        turn.skipped.add((req.team, shape))
        return None
    if not domains.may_fill(sched, whole, turn.now_ms):
        queues.block(sched.queue, shape)
        return None
    places = placement.place(sched, candidate.given, shape, turn.now_ms)
    if places is None:
        queues.block(sched.queue, shape)
        if req.members > 1:
            shape.retry_ms = turn.now_ms + _GANG_RETRY_MS
        return None
    sched.turns += 1
    key = requests.get_key(req)
    remove_waiting(sched, key)
    return Place(key, places, shape.size)
