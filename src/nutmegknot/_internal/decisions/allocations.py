"""Accounting of workers' capacity, allocations to tasks, and free resources."""

from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import states
from nutmegknot._internal.decisions import worker_indexes
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


def add_worker(sched: states.Scheduler, worker: workers.Worker) -> None:
    """Adds a worker on which work may be placed, or updates it.

    A worker that is there unchanged is left alone.
    """
    before = sched.schedulable_workers.get(worker.id)
    if before == worker:
        return
    if before is not None:
        remove_worker(sched, worker.id)
    sched.schedulable_workers[worker.id] = worker
    sched.capacity = resources.add(sched.capacity, worker.capacity)
    sched.largest_capacity = resources.compute_maximum(
        sched.largest_capacity, worker.capacity
    )
    remaining = worker.capacity
    for allocation in sched.tasks.get(worker.id, {}).values():
        remaining = resources.subtract(remaining, allocation.size)
    sched.free[worker.id] = remaining
    refresh_index(sched, worker.id)
    unblock_requests(sched, worker.id)


def remove_worker(sched: states.Scheduler, worker_id: str) -> None:
    """Places no more work on a worker; allocations of its tasks stay."""
    worker = sched.schedulable_workers.pop(worker_id, None)
    if worker is not None:
        sched.capacity = resources.subtract(sched.capacity, worker.capacity)
        refresh_index(sched, worker_id)


def forget_worker(sched: states.Scheduler, worker_id: str) -> None:
    """Removes a worker that can run nothing any more, and its allocations."""
    remove_worker(sched, worker_id)
    for task in list(sched.tasks.get(worker_id, ())):
        release(sched, task)
    sched.free.pop(worker_id, None)


def allocate(
    sched: states.Scheduler, task: workers.TaskId, allocation: states.Allocation
) -> None:
    """Allocates resources of a worker to a task.

    Nothing changes if the task has an allocation. Tasks that are found running
    get theirs even if the worker's free resources do not suffice; these become
    negative then.
    """
    if task in sched.allocations:
        return
    sched.allocations[task] = allocation
    sched.tasks.setdefault(allocation.worker_id, {})[task] = allocation
    before = sched.usage.get(allocation.team, resources.ZERO)
    sched.usage[allocation.team] = resources.add(before, allocation.size)
    sched.used = resources.add(sched.used, allocation.size)
    sched.weighted_shares.pop(allocation.team, None)
    remaining = sched.free.get(allocation.worker_id, resources.ZERO)
    sched.free[allocation.worker_id] = resources.subtract(
        remaining, allocation.size
    )
    refresh_index(sched, allocation.worker_id)


def release(sched: states.Scheduler, task: workers.TaskId) -> None:
    """Releases the allocation of a task that has ended, if it has one.

    Waiting requests that now fit on the worker may be tried again.
    """
    allocation = sched.allocations.get(task)
    if allocation is None:
        return
    remove_allocation(sched, task)
    unblock_requests(sched, allocation.worker_id)


def remove_allocation(sched: states.Scheduler, task: workers.TaskId) -> None:
    """Removes a task's allocation, without unblocking waiting requests."""
    allocation = sched.allocations.pop(task)
    on_worker = sched.tasks[allocation.worker_id]
    del on_worker[task]
    if not on_worker:
        del sched.tasks[allocation.worker_id]
    sched.used = resources.subtract(sched.used, allocation.size)
    left = resources.subtract(sched.usage[allocation.team], allocation.size)
    if left == resources.ZERO:
        del sched.usage[allocation.team]
    else:
        sched.usage[allocation.team] = left
    sched.weighted_shares.pop(allocation.team, None)
    _remove_member(sched, task, allocation.worker_id)
    if allocation.worker_id in sched.free:
        before = sched.free[allocation.worker_id]
        sched.free[allocation.worker_id] = resources.add(
            before, allocation.size
        )
        refresh_index(sched, allocation.worker_id)


def _remove_member(
    sched: states.Scheduler, task: workers.TaskId, worker_id: str
) -> None:
    run = sched.running.get(task.request_key)
    if run is None or task not in run.members:
        return
    run.members.discard(task)
    if run.assignment.req.service:
        _change_replica_count(sched, run.assignment.req.service, worker_id, -1)
    if not run.members:
        del sched.running[task.request_key]


def add_running_request(
    sched: states.Scheduler, run: states.RunningRequest
) -> None:
    """Records a request whose members have allocations as running."""
    req = run.assignment.req
    sched.running[requests.get_key(req)] = run
    if req.service:
        for task in run.members:
            _change_replica_count(
                sched, req.service, sched.allocations[task].worker_id, 1
            )


def _change_replica_count(
    sched: states.Scheduler, service: str, worker_id: str, change: int
) -> None:
    counts = sched.replicas.setdefault(service, {})
    counts[worker_id] = counts.get(worker_id, 0) + change
    if not counts[worker_id]:
        del counts[worker_id]
    if not counts:
        del sched.replicas[service]


def refresh_index(sched: states.Scheduler, worker_id: str) -> None:
    """Updates the indexes with a worker's free resources.

    A worker that can't be used now, for example because it is reserved, is
    removed from the indexes.
    """
    worker = sched.schedulable_workers.get(worker_id)
    if worker is None or not _is_usable(sched, worker_id):
        worker_indexes.remove(sched.index, worker_id)
        worker_indexes.remove(sched.accelerator_index, worker_id)
        return
    free = sched.free[worker_id]
    if not worker.capacity.accelerators:
        worker_indexes.put(
            sched.index, worker_id, free, worker_indexes.NO_ACCELERATOR_GROUP
        )
        return
    group = max(0, free.accelerators)
    worker_indexes.put(sched.accelerator_index, worker_id, free, group)
    cpu_work_free = compute_free_for_cpu_work(sched, worker)
    worker_indexes.put(sched.index, worker_id, cpu_work_free, group)


def _is_usable(sched: states.Scheduler, worker_id: str) -> bool:
    if worker_id in sched.reserved_workers:
        return False
    is_idle = worker_id not in sched.tasks
    return probation.is_usable(
        sched.failures, worker_id, is_idle, sched.decided_ms
    )


def compute_free_for_cpu_work(
    sched: states.Scheduler, worker: workers.Worker
) -> resources.Resources:
    """Returns a worker's free resources for work that needs no accelerator.

    While there is work that needs accelerators, headroom is kept for each free
    accelerator: a part of its proportional share of the worker's processors
    and memory.
    """
    free = sched.free[worker.id]
    accelerators = free.accelerators
    if not sched.keeps_accelerator_headroom or accelerators <= 0:
        return free
    capacity = worker.capacity
    fraction = (
        sched.policy.accelerator_headroom * accelerators / capacity.accelerators
    )
    headroom = resources.Resources(
        int(capacity.millicores * fraction),
        int(capacity.memory_mib * fraction),
        0,
        accelerators,
    )
    return resources.subtract(free, headroom)


def unblock_requests(sched: states.Scheduler, worker_id: str) -> None:
    """Unblocks waiting requests that fit on a worker, to be tried again."""
    worker = sched.schedulable_workers.get(worker_id)
    if worker is not None:
        cpu_work_free = compute_free_for_cpu_work(sched, worker)
        queues.unblock_fitting(
            sched.queue, sched.free[worker_id], cpu_work_free
        )


def set_accelerator_headroom(sched: states.Scheduler, is_kept: bool) -> None:
    """Sets whether processors and memory are kept for free accelerators."""
    if sched.keeps_accelerator_headroom == is_kept:
        return
    sched.keeps_accelerator_headroom = is_kept
    for worker in sched.schedulable_workers.values():
        if worker.capacity.accelerators:
            refresh_index(sched, worker.id)
    queues.unblock_all(sched.queue)


def compute_usage(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns the resources allocated in this partition, by team."""
    return dict(sched.usage)


def compute_demand(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns the resources that waiting requests here ask for, by team."""
    return dict(sched.queue.demand)


def compute_units(sched: states.Scheduler) -> dict[str, resources.Resources]:
    """Returns the largest amounts that any waiting request needs, by team.

    Each resource is compared separately, so the amounts returned for a team
    may come from different requests.
    """
    units: dict[str, resources.Resources] = {}
    for team_queue in sched.queue.team_queues.values():
        for shape in team_queue.by_shape:
            whole = resources.multiply(shape.size, shape.members)
            before = units.get(team_queue.team, resources.ZERO)
            units[team_queue.team] = resources.compute_maximum(before, whole)
    return units


def is_granted(
    sched: states.Scheduler, team: str, amount: resources.Resources
) -> bool:
    """Returns whether a team's grant allows it amount more in this partition.

    A grant is the most that a team may hold in one partition.
    """
    if sched.grants is None:
        return True
    before = sched.usage.get(team, resources.ZERO)
    grant = sched.grants.get(team, resources.ZERO)
    return resources.fits(resources.add(before, amount), grant)
