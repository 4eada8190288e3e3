"""Helpers that build values for the tests of decisions."""

from typing import Any

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

UNLIMITED = resources.Resources(10**9, 10**9, 10**9, 10**9)


def make_size(
    cores: int = 1, gib: int = 1, accelerators: int = 0
) -> resources.Resources:
    return resources.Resources(cores * 1000, gib * 1024, accelerators, 1)


def make_worker(
    name: str,
    cores: int = 8,
    gib: int = 32,
    accelerators: int = 0,
    rack: str = 'rack',
) -> workers.Worker:
    capacity = resources.Resources(cores * 1000, gib * 1024, accelerators, 8)
    return workers.Worker(name, 'region', 'domain', rack, capacity)


def make_configuration(
    *teams: str, closed: bool = False
) -> cells.Configuration:
    state = workers.DomainState.CLOSED if closed else workers.DomainState.OPEN
    return cells.Configuration(
        teams={name: cells.Team(name, 1.0, UNLIMITED) for name in teams},
        domains={'domain': cells.Domain('domain', 'region', state)},
    )


def make_assignment(
    number: int,
    size: resources.Resources,
    accepted_ms: int = 0,
    attempt: int = 0,
    **fields: Any,  # noqa: ANN401 - fields of a request
) -> partitions.Assignment:
    """Returns an assignment; its team is a unless fields name another."""
    fields.setdefault('team', 'a')
    req = requests.Request(id=str(number), queue='queue', size=size, **fields)
    return partitions.Assignment(
        req, 'ledger-0', 'fleet-domain-0', 1, attempt, accepted_ms
    )


# Policy without reservations, without preemption for urgent requests or shares,
# and that gives back no large requests, so that placements can be compared with
# a scan of all workers.
PLACEMENT_ONLY_POLICY = policies.Policy(
    reservations=0,
    urgent_after_ms=10**9,
    share_after_ms=10**9,
    too_large_ms=10**9,
)


def make_scheduler(
    *new_workers: workers.Worker, policy: policies.Policy | None = None
) -> scheduling.Scheduler:
    sched = scheduling.Scheduler(
        'domain',
        make_configuration('a', 'b', 'c'),
        policy=policy or policies.Policy(),
    )
    for worker in new_workers:
        scheduling.add_worker(sched, worker)
    return sched


def enqueue(
    sched: scheduling.Scheduler, *assignments: partitions.Assignment
) -> None:
    """Queues assignments."""
    for assignment in assignments:
        scheduling.add_waiting(sched, assignment)


def finish_request(sched: scheduling.Scheduler, request_key: str) -> None:
    """Releases the resources of all members of a running request."""
    for task in list(sched.running[request_key].members):
        scheduling.release(sched, task)


def list_placed(decisions: list[scheduling.Decision]) -> list[str]:
    return [
        decision.request_key
        for decision in decisions
        if isinstance(decision, scheduling.Place)
    ]


def list_preempted(
    decisions: list[scheduling.Decision], reason: str
) -> list[str]:
    return [
        decision.request_key
        for decision in decisions
        if isinstance(decision, scheduling.Preempt)
        and decision.reason == reason
    ]
