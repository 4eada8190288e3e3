"""Placement of the members of a request on the workers of a partition."""

from collections.abc import Iterator
import itertools

from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import reservations
from nutmegknot._internal.decisions import states
from nutmegknot._internal.decisions import worker_indexes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

_Candidate = tuple[str, resources.Resources]


def place_request(
    sched: states.Scheduler,
    assignment: partitions.Assignment,
    shape: queues.RequestShape,
    now_ms: int,
) -> tuple[str, ...] | None:
    """Allocates resources for all members of a request, or for none.

    Args:
      sched: The state; a placed request is recorded as running.
      assignment: The assignment of the request to this partition.
      shape: The request's shape: what decides where it can be placed.
      now_ms: Wall clock time in ms.

    Returns:
      The workers' ids in member order, or None if the request does not fit.
    """
    req = assignment.req
    key = requests.get_key(req)
    if req.members > 1 and not _has_room_for_all(sched, shape, key):
        return None
    chosen: list[str] = []
    run = states.RunningRequest(
        assignment, now_ms, shape.run_ms, set(), shape.size
    )
    for member in range(req.members):
        worker_id = _find_worker(sched, shape, key, now_ms)
        if worker_id is None:
            _release_members(sched, run)
            return None
        task = workers.TaskId(key, member, assignment.attempt)
        allocation = states.Allocation(worker_id, req.team, shape.size)
        allocations.allocate(sched, task, allocation)
        reservations.record_backfill(sched, worker_id, shape, now_ms)
        run.members.add(task)
        chosen.append(worker_id)
    allocations.add_running_request(sched, run)
    if shape.size.accelerators:
        # The fewer accelerators are free, the less headroom is kept for them,
        # so that requests without accelerators may fit now.
        for worker_id in chosen:
            allocations.unblock_requests(sched, worker_id)
    return tuple(chosen)


def _release_members(
    sched: states.Scheduler, run: states.RunningRequest
) -> None:
    for task in run.members:
        allocations.remove_allocation(sched, task)
    sched.queue.unplaceable_sizes.clear()


def _has_room_for_all(
    sched: states.Scheduler, shape: queues.RequestShape, key: str
) -> bool:
    """Returns whether all members fit, without allocating anything."""
    missing = shape.members
    for _, free in reservations.list_reserved_room(sched, key):
        missing -= resources.count_fitting(shape.size, free)
    for _, free in _find_candidates(sched, shape):
        if missing <= 0:
            break
        missing -= resources.count_fitting(shape.size, free)
    return missing <= 0


def _find_worker(
    sched: states.Scheduler, shape: queues.RequestShape, key: str, now_ms: int
) -> str | None:
    """Returns the best worker for one member, or None if it fits nowhere.

    A request with a reservation uses the workers reserved for it first.
    Another one uses workers reserved for others only if no other worker has
    room, and if it does not delay their requests (backfill).
    """
    if key not in sched.reservations:
        found = _find_best(sched, shape)
        if found is not None or not sched.reserved_workers:
            return found
    available = reservations.find_backfill_workers(sched, shape, key, now_ms)
    found = next(available, None)
    if found is None and key in sched.reservations:
        found = _find_best(sched, shape)
    return found


def _find_best(
    sched: states.Scheduler, shape: queues.RequestShape
) -> str | None:
    """Returns the best unreserved worker, or None if none has room."""
    candidates = _find_candidates(sched, shape)
    if shape.service:
        return _choose_spread(sched, shape, candidates)
    best = None
    least_imbalance = 0.0
    compared = itertools.islice(candidates, sched.policy.candidates)
    for worker_id, free in compared:
        imbalance = _compute_imbalance(sched, worker_id, free, shape.size)
        if best is None or imbalance < least_imbalance:
            best = worker_id
            least_imbalance = imbalance
    return best


def _find_candidates(
    sched: states.Scheduler, shape: queues.RequestShape
) -> Iterator[_Candidate]:
    """Yields workers on which a member fits, with their free resources.

    Workers with less free come roughly first. A size that fits on no worker is
    remembered, so that it is not searched for again until something changes.
    """
    size = shape.size
    if queues.is_unplaceable(sched.queue, size):
        return
    found = False
    if size.accelerators:
        matches = worker_indexes.find_workers(
            sched.accelerator_index, size, size.accelerators
        )
    else:
        matches = worker_indexes.find_workers(
            sched.index, size, worker_indexes.NO_ACCELERATOR_GROUP
        )
    for worker_id, free in matches:
        found = True
        if worker_id not in shape.avoided:
            yield worker_id, free
    if not found:
        sched.queue.unplaceable_sizes[size] = None


def _compute_imbalance(
    sched: states.Scheduler,
    worker_id: str,
    free: resources.Resources,
    size: resources.Resources,
) -> float:
    """Returns how unbalanced a worker's free resources are after a placement.

    Free processors are of no use to other tasks without free memory and task
    slots on the same worker.
    """
    capacity = sched.schedulable_workers[worker_id].capacity
    cores = (free.millicores - size.millicores) / max(1, capacity.millicores)
    memory = (free.memory_mib - size.memory_mib) / max(1, capacity.memory_mib)
    slots = (free.slots - size.slots) / max(1, capacity.slots)
    return abs(cores - memory) + max(0.0, cores - slots)


def could_ever_fit(sched: states.Scheduler, shape: queues.RequestShape) -> bool:
    """Returns whether a request would fit if the whole partition were free."""
    whole = resources.multiply(shape.size, shape.members)
    return resources.fits(whole, sched.capacity) and any(
        resources.fits(shape.size, worker.capacity)
        for worker in sched.schedulable_workers.values()
    )


def _choose_spread(
    sched: states.Scheduler,
    shape: queues.RequestShape,
    candidates: Iterator[_Candidate],
) -> str | None:
    """Returns the worker for a replica that spreads a service the most.

    The worker's rack has the fewest replicas of the service, and among the
    workers of such racks it has the fewest itself.
    """
    replicas_by_rack: dict[str, int] = {}
    on_worker = sched.replicas.get(shape.service, {})
    for worker_id, count in on_worker.items():
        worker = sched.schedulable_workers.get(worker_id)
        if worker is not None:
            replicas_by_rack[worker.rack] = (
                replicas_by_rack.get(worker.rack, 0) + count
            )
    best = None
    best_counts: tuple[int, int] = (0, 0)
    for worker_id, _ in candidates:
        rack = sched.schedulable_workers[worker_id].rack
        counts = (replicas_by_rack.get(rack, 0), on_worker.get(worker_id, 0))
        if best is None or counts < best_counts:
            best = worker_id
            best_counts = counts
        if best_counts == (0, 0):
            break
    return best
