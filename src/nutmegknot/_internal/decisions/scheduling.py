"""Scheduler of one fleet partition: queueing, placement and preemption.

A Scheduler holds the state; the functions change it and return decisions as
values. Nothing here depends on messages, connections or asyncio tasks.
"""

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import explanations
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import request_order
from nutmegknot._internal.decisions import request_placement
from nutmegknot._internal.decisions import reservations
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# Callers outside this package use the types and functions of the other modules
# under these names.
Place = actions.Place
GiveBack = actions.GiveBack
Preempt = actions.Preempt
Decision = actions.Decision
Allocation = states.Allocation
Scheduler = states.Scheduler
add_worker = allocations.add_worker
remove_worker = allocations.remove_worker
forget_worker = allocations.forget_worker
allocate = allocations.allocate
release = allocations.release
compute_usage = allocations.compute_usage
compute_demand = allocations.compute_demand
compute_units = allocations.compute_units
set_fleet_usage = shares.set_fleet_usage
explain = explanations.explain

# Interval in ms between attempts to place equal requests whose members have to
# start together (gangs).
_GANG_RETRY_MS = 100
# Interval in ms between runs of the work that depends only on the time.
_MAINTENANCE_INTERVAL_MS = 1_000


def add_waiting(sched: Scheduler, assignment: partitions.Assignment) -> None:
    """Queues an assignment, in place of one with the same request key."""
    req = assignment.req
    key = requests.get_key(req)
    remove_waiting(sched, key)
    sched.waiting[key] = assignment
    estimate = sched.queue_estimates.get(req.queue)
    size = estimates.choose_size(
        estimate, req, assignment.attempt, sched.largest_capacity
    )
    run_ms = 0
    if not req.service:
        run_ms = estimates.estimate_run_ms(estimate, req.run_ms)
    avoided = probation.get_failed_workers(sched.failures, key)
    queues.add(sched.queue, assignment, size, run_ms, avoided)
    if req.size.accelerators:
        allocations.set_accelerator_headroom(sched, is_kept=True)


def choose_largest_size(
    sched: Scheduler, assignment: partitions.Assignment
) -> resources.Resources:
    """Returns the most that a task of an assignment may have been given."""
    req = assignment.req
    estimate = sched.queue_estimates.get(req.queue)
    size = estimates.choose_size(
        estimate, req, assignment.attempt, sched.largest_capacity
    )
    return resources.compute_maximum(req.size, size)


def remove_waiting(sched: Scheduler, request_key: str) -> bool:
    """Removes an assignment from the queue; returns whether it was queued."""
    assignment = sched.waiting.pop(request_key, None)
    if assignment is None:
        return False
    queues.remove(sched.queue, assignment.req)
    reservations.drop(sched, request_key)
    return True


def set_configuration(
    sched: Scheduler, configuration: cells.Configuration
) -> None:
    """Replaces the configuration in force."""
    sched.configuration = configuration
    sched.weighted_shares.clear()


def set_grants(
    sched: Scheduler, grants: dict[str, resources.Resources] | None
) -> None:
    """Sets the most that each team may hold here; None means no limits."""
    sched.grants = grants


def add_running_request(
    sched: Scheduler, assignment: partitions.Assignment, started_ms: int
) -> None:
    """Records the assignment of tasks that were found running on workers.

    Until then, resources are allocated to these tasks, but the scheduler does
    not preempt or move them.

    Args:
      sched: The scheduler.
      assignment: The assignment; resources are allocated to its tasks already.
      started_ms: Wall-clock time in ms since which they are known to run.
    """
    key = requests.get_key(assignment.req)
    tasks = {
        workers.TaskId(key, member, assignment.attempt)
        for member in range(assignment.req.members)
    }
    members = tasks & sched.allocations.keys()
    if not members or key in sched.running:
        return
    size = sched.allocations[min(members, key=lambda task: task.member)].size
    run = states.RunningRequest(
        assignment, started_ms, assignment.req.run_ms, members, size
    )
    allocations.add_running_request(sched, run)


def record_failure(
    sched: Scheduler, worker_id: str, request_key: str, now_ms: int
) -> None:
    """Records that a task failed on a worker."""
    policy = sched.policy
    probation.record_failure(
        sched.failures,
        worker_id,
        request_key,
        now_ms,
        policy.failure_half_life_ms,
        policy.task_failures,
    )
    _update_probation(sched, worker_id, now_ms)


def record_success(
    sched: Scheduler, worker_id: str, now_ms: int, request_key: str = ''
) -> None:
    """Records that a task finished on a worker.

    Args:
      sched: The scheduler.
      worker_id: The worker.
      now_ms: Wall-clock time in ms.
      request_key: The task's request, whose run time goes into the estimate of
        its queue. The run time is known only until the task is released.
    """
    if worker_id in sched.failures.workers:
        probation.record_success(sched.failures, worker_id)
        allocations.refresh_index(sched, worker_id)
        allocations.unblock_requests(sched, worker_id)
    run = sched.running.get(request_key)
    if run is not None and not run.assignment.req.service:
        req = run.assignment.req
        estimate = sched.queue_estimates.setdefault(
            req.queue, estimates.Estimate()
        )
        estimates.record_run(estimate, req.run_ms, now_ms - run.started_ms)


def record_memory(sched: Scheduler, request_key: str, used_mib: int) -> None:
    """Records the most memory, in MiB, that a member of a request has used."""
    run = sched.running.get(request_key)
    if run is not None:
        req = run.assignment.req
        estimate = sched.queue_estimates.setdefault(
            req.queue, estimates.Estimate()
        )
        estimates.record_memory(estimate, req.size.memory_mib, used_mib)


def _update_probation(sched: Scheduler, worker_id: str, now_ms: int) -> None:
    policy = sched.policy
    sched.decided_ms = max(sched.decided_ms, now_ms)
    probation.update_probation(
        sched.failures,
        worker_id,
        now_ms,
        policy.probation_score,
        policy.failure_half_life_ms,
    )
    if worker_id in sched.schedulable_workers:
        allocations.refresh_index(sched, worker_id)


def decide(sched: Scheduler, now_ms: int, limit: int = 0) -> list[Decision]:
    """Decides which requests to place, give back to the ledger, or preempt.

    Resources for the placed requests are allocated before this returns.

    Args:
      sched: The scheduler.
      now_ms: Wall-clock time in ms.
      limit: The most placements to make in this call; 0 for no limit. If that
        many were made, further requests may fit, and the caller calls again.

    Returns:
      The decisions, in the order in which to carry them out.
    """
    sched.decided_ms = now_ms
    domains.record_state_change(sched, now_ms)
    decisions = preemption.preempt_for_limits(sched, now_ms)
    if domains.is_closed(sched):
        return decisions + _return_all(sched) + domains.drain(sched, now_ms)
    if now_ms - sched.maintained_ms >= _MAINTENANCE_INTERVAL_MS:
        sched.maintained_ms = now_ms
        decisions += _return_unplaceable(sched, now_ms)
        _run_maintenance(sched, now_ms)
    decisions += _place_waiting(sched, now_ms, limit)
    decisions += preemption.preempt_for_urgent(
        sched,
        now_ms,
        lambda worker_id, key, size: _reserve_for_urgent(
            sched, worker_id, key, size, now_ms
        ),
    )
    decisions += preemption.preempt_for_shares(sched, now_ms)
    return decisions


def _reserve_for_urgent(
    sched: Scheduler,
    worker_id: str,
    request_key: str,
    size: resources.Resources,
    now_ms: int,
) -> None:
    """Reserves a worker for an urgent request.

    A reservation of another request for this worker is dropped.
    """
    reservations.drop(sched, sched.reserved_workers.get(worker_id, ''))
    reserved = {worker_id: size}
    reservations.reserve(sched, request_key, reserved, now_ms, now_ms)


def _run_maintenance(sched: Scheduler, now_ms: int) -> None:
    """Does the periodic work of the scheduler.

    Updates accelerator headroom, probation and reservations, and lets every
    waiting request be tried again.
    """
    needed = sched.queue.accelerator_requests + sched.used.accelerators
    allocations.set_accelerator_headroom(sched, needed > 0)
    for worker_id in list(sched.failures.workers):
        _update_probation(sched, worker_id, now_ms)
    reservations.update_reservations(sched, now_ms)
    queues.unblock_all(sched.queue)


def _return_unplaceable(sched: Scheduler, now_ms: int) -> list[Decision]:
    """Gives back requests that failed too often or are too large to place."""
    decisions: list[Decision] = []
    for key in list(sched.failures.requests):
        if key in sched.waiting and probation.has_failed_too_often(
            sched.failures, key, sched.policy.task_failures
        ):
            count = sched.policy.task_failures
            detail = f'failed on {count} different workers'
            decisions.append(GiveBack(key, 'failed', detail))
    for shape, key in queues.list_oldest_blocked(sched.queue):
        waited_ms = now_ms - sched.waiting[key].accepted_ms
        if (
            waited_ms < sched.policy.too_large_ms
            or not sched.schedulable_workers
        ):
            continue
        if not request_placement.could_ever_fit(sched, shape):
            detail = 'no worker of the partition is large enough'
            decisions.append(GiveBack(key, 'domain', detail))
    for decision in decisions:
        remove_waiting(sched, decision.request_key)
    return decisions


def _return_all(sched: Scheduler) -> list[Decision]:
    """Gives back every waiting request because the domain is closed."""
    keys = list(sched.waiting)
    for key in keys:
        remove_waiting(sched, key)
    return [GiveBack(key, 'domain', 'domain is closed') for key in keys]


def _place_waiting(sched: Scheduler, now_ms: int, limit: int) -> list[Decision]:
    """Places waiting requests in order until no further one can be placed.

    A placement can make room for other requests, for example where it ends a
    reservation. The queue is then gone through once more.
    """
    decisions: list[Decision] = []
    sched.queue.was_unblocked = True
    while sched.queue.was_unblocked:
        sched.queue.was_unblocked = False
        queue_pass = request_order.begin_pass(sched, now_ms)
        decisions += _place_reserved(sched, queue_pass)
        while (
            candidate := request_order.choose_next(sched, queue_pass)
        ) is not None:
            placed = _try_to_place(sched, queue_pass, candidate)
            if placed is not None:
                decisions.append(placed)
                if len(decisions) == limit:
                    return decisions
    return decisions


def _place_reserved(
    sched: Scheduler, queue_pass: request_order.QueuePass
) -> list[Decision]:
    """Places requests whose reserved workers now have room for them."""
    decisions: list[Decision] = []
    for key in list(sched.reservations):
        if key not in sched.waiting or not reservations.is_ready(sched, key):
            continue
        candidate = request_order.Candidate(
            queues.get_team_queue(sched.queue, key),
            queues.get_shape(sched.queue, key),
            sched.waiting[key],
        )
        placed = _try_to_place(sched, queue_pass, candidate)
        if placed is not None:
            decisions.append(placed)
    return decisions


def _try_to_place(
    sched: Scheduler,
    queue_pass: request_order.QueuePass,
    candidate: request_order.Candidate,
) -> Place | None:
    """Places a request, or records why it cannot be placed now."""
    req = candidate.assignment.req
    shape = candidate.shape
    total_size = resources.multiply(shape.size, req.members)
    if not allocations.is_granted(sched, req.team, total_size):
        queue_pass.skipped.add((req.team, shape))
        return None
    if not domains.is_within_ramp_up(sched, total_size, queue_pass.now_ms):
        queues.mark_blocked(sched.queue, shape)
        return None
    worker_ids = request_placement.place_request(
        sched, candidate.assignment, shape, queue_pass.now_ms
    )
    if worker_ids is None:
        queues.mark_blocked(sched.queue, shape)
        if req.members > 1:
            shape.retry_ms = queue_pass.now_ms + _GANG_RETRY_MS
        return None
    sched.placement_count += 1
    key = requests.get_key(req)
    remove_waiting(sched, key)
    return Place(key, worker_ids, shape.size)
