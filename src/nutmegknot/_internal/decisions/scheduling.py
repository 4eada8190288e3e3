"""Order and placement inside one fleet partition.

A Scheduler holds what the decisions need; functions change it and return
decisions as values. Nothing here knows of messages, connections or tasks.
"""

import dataclasses

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Start every member of a request; workers are in member order."""

    request_key: str
    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class GiveBack:
    """Give a waiting request back to its ledger partition.

    Attributes:
      request_key: The request.
      reason: 'rejected' if it fits no worker, 'domain' if the failure domain
        is closed, 'failed' if it failed too often.
      detail: One line for the caller.
    """

    request_key: str
    reason: str
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """Stop a running request, with a checkpoint where it can.

    Attributes:
      request_key: The request.
      reason: 'urgent', 'share', 'limit' or 'domain'.
    """

    request_key: str
    reason: str


Decision = Place | GiveBack | Preempt


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """What a task takes of a worker.

    Attributes:
      worker_id: The worker.
      team: Team that it counts for.
      size: Resources set aside.
    """

    worker_id: str
    team: str
    size: resources.Resources


@dataclasses.dataclass(slots=True)
class Scheduler:
    """State of the decisions of one fleet partition.

    Attributes:
      domain: Its failure domain.
      configuration: The configuration in force.
      machines: Workers that may be given work, by id.
      free: What each worker has left, those that get no work included.
      held: What each task takes, by task.
      waiting: Waiting assignments by request key.
      grants: The most that each team may hold in this partition, by team; a
        team that is not named may hold nothing, unless grants is None.
      fleet_usage: What each team holds in the whole fleet, by team.
      fleet_capacity: What the whole fleet has.
    """

    domain: str
    configuration: cells.Configuration
    machines: dict[str, workers.Worker] = dataclasses.field(
        default_factory=dict
    )
    free: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    held: dict[workers.TaskId, Held] = dataclasses.field(default_factory=dict)
    waiting: dict[str, partitions.Assignment] = dataclasses.field(
        default_factory=dict
    )
    grants: dict[str, resources.Resources] | None = None
    fleet_usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    fleet_capacity: resources.Resources = resources.NOTHING


def add_worker(sched: Scheduler, worker: workers.Worker) -> None:
    """Lets a worker be given work; doing it twice changes nothing."""
    sched.machines[worker.id] = worker
    sched.free.setdefault(worker.id, worker.capacity)


def remove_worker(sched: Scheduler, worker_id: str) -> None:
    """Gives a worker no more work; what it runs stays held."""
    sched.machines.pop(worker_id, None)


def forget_worker(sched: Scheduler, worker_id: str) -> None:
    """Removes a worker on which nothing can be running any more."""
    sched.machines.pop(worker_id, None)
    sched.free.pop(worker_id, None)
    for task in [t for t, h in sched.held.items() if h.worker_id == worker_id]:
        del sched.held[task]


def hold(sched: Scheduler, task: workers.TaskId, held: Held) -> None:
    """Sets aside what a task takes; doing it twice changes nothing.

    Tasks that are found running are held whatever room there is.
    """
    if task in sched.held:
        return
    sched.held[task] = held
    free = sched.free.get(held.worker_id, resources.NOTHING)
    sched.free[held.worker_id] = resources.subtract(free, held.size)


def release(sched: Scheduler, task: workers.TaskId) -> None:
    """Frees what an ended task took; doing it twice changes nothing."""
    held = sched.held.pop(task, None)
    if held is not None and held.worker_id in sched.free:
        free = sched.free[held.worker_id]
        sched.free[held.worker_id] = resources.add(free, held.size)


def add_waiting(sched: Scheduler, given: partitions.Assignment) -> None:
    """Queues an assignment."""
    sched.waiting[requests.get_key(given.req)] = given


def remove_waiting(sched: Scheduler, request_key: str) -> bool:
    """Takes an assignment out of the queue; tells whether it was there."""
    return sched.waiting.pop(request_key, None) is not None


def set_configuration(
    sched: Scheduler, configuration: cells.Configuration
) -> None:
    """Puts a configuration in force."""
    sched.configuration = configuration


def set_grants(
    sched: Scheduler, grants: dict[str, resources.Resources] | None
) -> None:
    """Sets the most that each team may hold in this partition."""
    sched.grants = grants


def set_fleet_usage(
    sched: Scheduler,
    usage: dict[str, resources.Resources],
    capacity: resources.Resources,
) -> None:
    """Sets what each team holds, and what there is, in the whole fleet."""
    sched.fleet_usage = usage
    sched.fleet_capacity = capacity


def note_failure(
    sched: Scheduler, worker_id: str, request_key: str, now_ms: int
) -> None:
    """Takes note that a task failed on a worker."""


def note_success(sched: Scheduler, worker_id: str, now_ms: int) -> None:
    """Takes note that a task finished on a worker."""


def compute_usage(sched: Scheduler) -> dict[str, resources.Resources]:
    """Returns what each team holds in this partition, by team."""
    usage: dict[str, resources.Resources] = {}
    for held in sched.held.values():
        before = usage.get(held.team, resources.NOTHING)
        usage[held.team] = resources.add(before, held.size)
    return usage


def compute_demand(sched: Scheduler) -> dict[str, resources.Resources]:
    """Returns what each team's waiting requests ask for here, by team."""
    demand: dict[str, resources.Resources] = {}
    for given in sched.waiting.values():
        req = given.req
        before = demand.get(req.team, resources.NOTHING)
        whole = resources.multiply(req.size, req.members)
        demand[req.team] = resources.add(before, whole)
    return demand


def explain(sched: Scheduler, request_key: str, now_ms: int) -> str:
    """Returns what a waiting request waits for, one line; '' if it doesn't."""
    if request_key not in sched.waiting:
        return ''
    return 'capacity: no worker has room for it'


def decide(sched: Scheduler, now_ms: int) -> list[Decision]:
    """Decides on waiting assignments, and holds what it places.

    Args:
      sched: The state.
      now_ms: Wall clock instant in ms.

    Returns:
      Decisions in the order in which they are to be carried out.
    """
    domain = sched.configuration.domains.get(sched.domain)
    if domain is not None and domain.state is workers.DomainState.CLOSED:
        return _empty_queue(sched)
    ordered = sorted(
        sched.waiting.values(),
        key=lambda given: (given.req.priority, given.accepted_ms),
    )
    decisions: list[Decision] = []
    for given in ordered:
        places = _place(sched, given)
        if places is None:
            continue
        key = requests.get_key(given.req)
        del sched.waiting[key]
        decisions.append(Place(key, places))
    return decisions


def _empty_queue(sched: Scheduler) -> list[Decision]:
    keys = list(sched.waiting)
    sched.waiting.clear()
    return [GiveBack(key, 'domain', 'domain is closed') for key in keys]


def _place(
    sched: Scheduler, given: partitions.Assignment
) -> tuple[str, ...] | None:
    """Holds room for every member, or for none."""
    req = given.req
    if not _is_within_grant(sched, req):
        return None
    key = requests.get_key(req)
    chosen: list[str] = []
    for member in range(req.members):
        task = workers.TaskId(key, member, given.attempt)
        worker_id = _find_room(sched, req.size)
        if worker_id is None:
            for number in range(member):
                release(sched, workers.TaskId(key, number, given.attempt))
            return None
        hold(sched, task, Held(worker_id, req.team, req.size))
        chosen.append(worker_id)
    return tuple(chosen)


def _is_within_grant(sched: Scheduler, req: requests.Request) -> bool:
    if sched.grants is None:
        return True
    whole = resources.multiply(req.size, req.members)
    used = compute_usage(sched).get(req.team, resources.NOTHING)
    grant = sched.grants.get(req.team, resources.NOTHING)
    return resources.fits(resources.add(used, whole), grant)


def _find_room(sched: Scheduler, size: resources.Resources) -> str | None:
    for worker_id in sched.machines:
        if resources.fits(size, sched.free[worker_id]):
            return worker_id
    return None
