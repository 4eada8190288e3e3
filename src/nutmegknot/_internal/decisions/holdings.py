"""Accounts of what workers have, what tasks hold and what is left."""

from nutmegknot._internal.decisions import indexes
from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


def add_worker(sched: states.Scheduler, worker: workers.Worker) -> None:
    """Lets a worker be given work; doing it twice changes nothing."""
    before = sched.machines.get(worker.id)
    if before == worker:
        return
    if before is not None:
        remove_worker(sched, worker.id)
    sched.machines[worker.id] = worker
    sched.capacity = resources.add(sched.capacity, worker.capacity)
    sched.largest = resources.take_most(sched.largest, worker.capacity)
    free = worker.capacity
    for held in sched.tasks.get(worker.id, {}).values():
        free = resources.subtract(free, held.size)
    sched.free[worker.id] = free
    refresh_index(sched, worker.id)
    reopen(sched, worker.id)


def remove_worker(sched: states.Scheduler, worker_id: str) -> None:
    """Gives a worker no more work; what it runs stays held."""
    worker = sched.machines.pop(worker_id, None)
    if worker is not None:
        sched.capacity = resources.subtract(sched.capacity, worker.capacity)
        refresh_index(sched, worker_id)


def forget_worker(sched: states.Scheduler, worker_id: str) -> None:
    """Removes a worker on which nothing can be running any more."""
    remove_worker(sched, worker_id)
    for task in list(sched.tasks.get(worker_id, ())):
        release(sched, task)
    sched.free.pop(worker_id, None)


def hold(
    sched: states.Scheduler, task: workers.TaskId, held: states.Held
) -> None:
    """Sets aside what a task takes; doing it twice changes nothing.

    Tasks that are found running are held whatever room there is.
    """
    if task in sched.held:
        return
    sched.held[task] = held
    sched.tasks.setdefault(held.worker_id, {})[task] = held
    before = sched.usage.get(held.team, resources.NOTHING)
    sched.usage[held.team] = resources.add(before, held.size)
    sched.used = resources.add(sched.used, held.size)
    sched.distances.pop(held.team, None)
    free = sched.free.get(held.worker_id, resources.NOTHING)
    sched.free[held.worker_id] = resources.subtract(free, held.size)
    refresh_index(sched, held.worker_id)


def release(sched: states.Scheduler, task: workers.TaskId) -> None:
    """Frees what an ended task took; doing it twice changes nothing."""
    held = sched.held.get(task)
    if held is None:
        return
    free(sched, task)
    reopen(sched, held.worker_id)


def free(sched: states.Scheduler, task: workers.TaskId) -> None:
    """Frees what a held task takes, without looking who may use it."""
    held = sched.held.pop(task)
    on_worker = sched.tasks[held.worker_id]
    del on_worker[task]
    if not on_worker:
        del sched.tasks[held.worker_id]
    sched.used = resources.subtract(sched.used, held.size)
    left = resources.subtract(sched.usage[held.team], held.size)
    if left == resources.NOTHING:
        del sched.usage[held.team]
    else:
        sched.usage[held.team] = left
    sched.distances.pop(held.team, None)
    _end_member(sched, task, held.worker_id)
    if held.worker_id in sched.free:
        before = sched.free[held.worker_id]
        sched.free[held.worker_id] = resources.add(before, held.size)
        refresh_index(sched, held.worker_id)


def _end_member(
    sched: states.Scheduler, task: workers.TaskId, worker_id: str
) -> None:
    run = sched.running.get(task.request_key)
    if run is None or task not in run.members:
        return
    run.members.discard(task)
    if run.given.req.service:
        _count_replica(sched, run.given.req.service, worker_id, -1)
    if not run.members:
        del sched.running[task.request_key]


def note_running(sched: states.Scheduler, run: states.Run) -> None:
    """Takes note of the request that held tasks belong to."""
    req = run.given.req
    sched.running[requests.get_key(req)] = run
    if req.service:
        for task in run.members:
            _count_replica(sched, req.service, sched.held[task].worker_id, 1)


def _count_replica(
    sched: states.Scheduler, service: str, worker_id: str, change: int
) -> None:
    counts = sched.replicas.setdefault(service, {})
    counts[worker_id] = counts.get(worker_id, 0) + change
    if not counts[worker_id]:
        del counts[worker_id]
    if not counts:
        del sched.replicas[service]


def refresh_index(sched: states.Scheduler, worker_id: str) -> None:
    """Brings the indexes up to date with what a worker has left."""
    worker = sched.machines.get(worker_id)
    if worker is None or not _is_usable(sched, worker_id):
        indexes.remove(sched.index, worker_id)
        indexes.remove(sched.accelerator_index, worker_id)
        return
    free = sched.free[worker_id]
    if not worker.capacity.accelerators:
        indexes.put(sched.index, worker_id, free, indexes.PLAIN_GROUP)
        return
    group = max(0, free.accelerators)
    indexes.put(sched.accelerator_index, worker_id, free, group)
    room = compute_other_room(sched, worker)
    indexes.put(sched.index, worker_id, room, group)


def _is_usable(sched: states.Scheduler, worker_id: str) -> bool:
    if worker_id in sched.earmarks:
        return False
    is_idle = worker_id not in sched.tasks
    return probation.is_usable(sched.failures, worker_id, is_idle, sched.at_ms)


def compute_other_room(
    sched: states.Scheduler, worker: workers.Worker
) -> resources.Resources:
    """Returns what a worker has left for work without accelerators.

    While there is work that needs accelerators, each free accelerator keeps a
    part of the processors and memory that belong to it by proportion.
    """
    free = sched.free[worker.id]
    cards = free.accelerators
    if not sched.sparing or cards <= 0:
        return free
    capacity = worker.capacity
    part = sched.policy.accelerator_headroom * cards / capacity.accelerators
    kept = resources.Resources(
        int(capacity.millicores * part),
        int(capacity.memory_mib * part),
        0,
        cards,
    )
    return resources.subtract(free, kept)


def reopen(sched: states.Scheduler, worker_id: str) -> None:
    """Lets waiting requests that fit on a worker be tried again."""
    worker = sched.machines.get(worker_id)
    if worker is not None:
        room = compute_other_room(sched, worker)
        queues.unblock_fitting(sched.queue, sched.free[worker_id], room)


def set_sparing(sched: states.Scheduler, sparing: bool) -> None:
    """Sets whether room beside free accelerators is kept."""
    if sched.sparing == sparing:
        return
    sched.sparing = sparing
    for worker in sched.machines.values():
        if worker.capacity.accelerators:
            refresh_index(sched, worker.id)
    queues.unblock_all(sched.queue)


def compute_usage(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns what each team holds in this partition, by team."""
    return dict(sched.usage)


def compute_demand(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns what each team's waiting requests ask for here, by team."""
    return dict(sched.queue.demand)


def compute_units(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns each team's largest waiting request in every resource."""
    units: dict[str, resources.Resources] = {}
    for line in sched.queue.lines.values():
        for shape in line.parts:
            whole = resources.multiply(shape.size, shape.members)
            before = units.get(line.team, resources.NOTHING)
            units[line.team] = resources.take_most(before, whole)
    return units


def is_granted(
    sched: states.Scheduler, team: str, amount: resources.Resources
) -> bool:
    """Tells whether a team may hold amount more in this partition."""
    if sched.grants is None:
        return True
    before = sched.usage.get(team, resources.NOTHING)
    grant = sched.grants.get(team, resources.NOTHING)
    return resources.fits(resources.add(before, amount), grant)
