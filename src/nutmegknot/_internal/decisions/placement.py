"""Choice of workers for the members of a request."""

from collections.abc import Iterator
import itertools

from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import indexes
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import reservations
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

_Candidate = tuple[str, resources.Resources]


def place(
    sched: states.Scheduler,
    given: partitions.Assignment,
    shape: queues.Shape,
    now_ms: int,
) -> tuple[str, ...] | None:
    """Holds room for every member of a request, or for none.

    Args:
      sched: The state; what is placed is held, and noted as running.
      given: The assignment.
      shape: Its shape.
      now_ms: Wall clock instant in ms.

    Returns:
      The workers in member order, or None if there is no room.
    """
    req = given.req
    key = requests.get_key(req)
    if req.members > 1 and not _has_rooms(sched, shape, key):
        return None
    chosen: list[str] = []
    run = states.Run(given, now_ms, shape.run_ms, set(), shape.size)
    for member in range(req.members):
        worker_id = _find_worker(sched, shape, key, now_ms)
        if worker_id is None:
            _undo(sched, run)
            return None
        task = workers.TaskId(key, member, given.attempt)
        held = states.Held(worker_id, req.team, shape.size)
        holdings.hold(sched, task, held)
        reservations.note_backfill(sched, worker_id, shape, now_ms)
        run.members.add(task)
        chosen.append(worker_id)
    holdings.note_running(sched, run)
    if shape.size.accelerators:
        # Other work leaves less room beside fewer free accelerators.
        for worker_id in chosen:
            holdings.reopen(sched, worker_id)
    return tuple(chosen)


def _undo(sched: states.Scheduler, run: states.Run) -> None:
    for task in run.members:
        holdings.free(sched, task)
    sched.queue.failed.clear()


def _has_rooms(sched: states.Scheduler, shape: queues.Shape, key: str) -> bool:
    """Tells whether there is room for all members, without holding any."""
    missing = shape.members
    for _, free in reservations.list_reserved(sched, key):
        missing -= resources.count_fitting(shape.size, free)
    for _, free in _find_candidates(sched, shape):
        if missing <= 0:
            break
        missing -= resources.count_fitting(shape.size, free)
    return missing <= 0


def _find_worker(
    sched: states.Scheduler, shape: queues.Shape, key: str, now_ms: int
) -> str | None:
    """Returns the best worker for one member, None if none has room.

    A request with a reservation uses its own workers first.
    """
    if key not in sched.reservations:
        found = find_best(sched, shape)
        if found is not None or not sched.earmarks:
            return found
    kept = reservations.find_backfill(sched, shape, key, now_ms)
    found = next(kept, None)
    if found is None and key in sched.reservations:
        found = find_best(sched, shape)
    return found


def find_best(sched: states.Scheduler, shape: queues.Shape) -> str | None:
    """Returns the best worker that is not earmarked, None if none has room."""
    candidates = _find_candidates(sched, shape)
    if shape.service:
        return _choose_spread(sched, shape, candidates)
    best = None
    best_score = 0.0
    few = itertools.islice(candidates, sched.policy.candidates)
    for worker_id, free in few:
        score = _score(sched, worker_id, free, shape.size)
        if best is None or score < best_score:
            best = worker_id
            best_score = score
    return best


def _find_candidates(
    sched: states.Scheduler, shape: queues.Shape
) -> Iterator[_Candidate]:
    """Yields workers with room, the tightest first."""
    size = shape.size
    if queues.has_failed(sched.queue, size):
        return
    found = False
    if size.accelerators:
        every = indexes.find(sched.accelerator_index, size, size.accelerators)
    else:
        every = indexes.find(sched.index, size, indexes.PLAIN_GROUP)
    for worker_id, free in every:
        found = True
        if worker_id not in shape.avoided:
            yield worker_id, free
    if not found:
        sched.queue.failed[size] = None


def _score(
    sched: states.Scheduler,
    worker_id: str,
    free: resources.Resources,
    size: resources.Resources,
) -> float:
    """Returns how uneven a task leaves what a worker has left.

    Processors without memory or slots beside them are of no use to others.
    """
    capacity = sched.machines[worker_id].capacity
    cores = (free.millicores - size.millicores) / max(1, capacity.millicores)
    memory = (free.memory_mib - size.memory_mib) / max(1, capacity.memory_mib)
    slots = (free.slots - size.slots) / max(1, capacity.slots)
    return abs(cores - memory) + max(0.0, cores - slots)


def could_ever_fit(sched: states.Scheduler, shape: queues.Shape) -> bool:
    """Tells whether the partition, all of it free, would have room."""
    whole = resources.multiply(shape.size, shape.members)
    return resources.fits(whole, sched.capacity) and any(
        resources.fits(shape.size, worker.capacity)
        for worker in sched.machines.values()
    )


def _choose_spread(
    sched: states.Scheduler,
    shape: queues.Shape,
    candidates: Iterator[_Candidate],
) -> str | None:
    """Returns the worker that spreads a service over racks and workers."""
    racks: dict[str, int] = {}
    on_worker = sched.replicas.get(shape.service, {})
    for worker_id, count in on_worker.items():
        worker = sched.machines.get(worker_id)
        if worker is not None:
            racks[worker.rack] = racks.get(worker.rack, 0) + count
    best = None
    best_score: tuple[int, int] = (0, 0)
    for worker_id, _ in candidates:
        rack = sched.machines[worker_id].rack
        score = (racks.get(rack, 0), on_worker.get(worker_id, 0))
        if best is None or score < best_score:
            best = worker_id
            best_score = score
        if best_score == (0, 0):
            break
    return best
