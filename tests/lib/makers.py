"""Factories for core types in tests."""

from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

SIZE = resources.Resources(1000, 1024, 0, 1)
CAPACITY = resources.Resources(4000, 4096, 0, 4)


def make_request(name: str, **fields: object) -> requests.Request:
    """Returns a small request of team 't'."""
    values: dict = {'team': 't', 'queue': 'q', 'size': SIZE} | fields
    return requests.Request(id=name, **values)


def make_assignment(
    name: str, epoch: int = 1, attempt: int = 0, **fields: object
) -> partitions.Assignment:
    """Returns an assignment from 'ledger-0' to 'fleet-d-0'."""
    req = make_request(name, **fields)
    return partitions.Assignment(
        req, 'ledger-0', 'fleet-d-0', epoch, attempt, 1
    )


def make_worker(name: str) -> workers.Worker:
    """Returns a worker of failure domain 'd'."""
    return workers.Worker(name, 'r', 'd', 'rack-0', CAPACITY)


def make_entry(
    task: workers.TaskId,
    state: workers.TaskState = workers.TaskState.RUNNING,
    answer: bytes = b'',
) -> workers.InventoryEntry:
    """Returns an inventory entry of team 't'."""
    return workers.InventoryEntry(task, 't', SIZE, state, answer)


def make_silent_target() -> worker_clients.WorkerClient:
    """Returns a client of a worker that never answers."""

    async def refuse(*_: object) -> tables.Unavailable:
        return tables.Unavailable('silent')

    return worker_clients.WorkerClient(refuse, refuse, refuse, refuse, refuse)


def make_fleet(names: list[str], epoch: int = 1) -> fleets.Fleet:
    """Returns a fleet partition with unclaimed workers."""
    sched = scheduling.Scheduler('d', cells.Configuration())
    fleet = fleets.Fleet('fleet-d-0', epoch, 'd', 0, sched, listed=True)
    for name in names:
        worker = make_worker(name)
        fleet.sessions[name] = fleets.Session(worker, make_silent_target())
    return fleet


def claim(fleet: fleets.Fleet, name: str) -> None:
    """Marks a worker as claimed and adds it to the scheduler, without tasks."""
    session = fleet.sessions[name]
    session.claimed = True
    scheduling.add_worker(fleet.scheduler, session.worker)
