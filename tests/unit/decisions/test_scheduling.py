"""Tests of decisions/scheduling.py against a scan, and of its invariants."""

import random

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

TEAMS = ('a', 'b', 'c')
GRANT = resources.Resources(20_000, 40 * 1024, 4, 12)


def check_capacity(sched: scheduling.Scheduler) -> None:
    """Checks that allocations and free resources of each worker add up."""
    for worker_id, worker in sched.schedulable_workers.items():
        held = resources.ZERO
        for allocation in sched.allocations.values():
            if allocation.worker_id == worker_id:
                held = resources.add(held, allocation.size)
        assert resources.fits(held, worker.capacity)
        assert sched.free[worker_id] == resources.subtract(
            worker.capacity, held
        )


def check_grants(sched: scheduling.Scheduler) -> None:
    """Checks the usage of each team, and that no grant is exceeded."""
    usage: dict[str, resources.Resources] = {}
    for allocation in sched.allocations.values():
        before = usage.get(allocation.team, resources.ZERO)
        usage[allocation.team] = resources.add(before, allocation.size)
    assert usage == scheduling.compute_usage(sched)
    if sched.grants is not None:
        for team, amount in usage.items():
            assert resources.fits(amount, sched.grants[team])


def check_gangs(sched: scheduling.Scheduler) -> None:
    """Checks that running requests were placed with all of their members."""
    for run in sched.running.values():
        assert run.members <= sched.allocations.keys()
    assert not sched.running.keys() & sched.waiting.keys()


def leaves_headroom(left: resources.Resources, worker: workers.Worker) -> bool:
    """Returns whether enough is left beside each free accelerator.

    Enough is half of its proportional part of processors and memory, and one
    slot.
    """
    accelerators = worker.capacity.accelerators
    if left.accelerators <= 0:
        return True
    return (
        2 * left.millicores * accelerators
        >= left.accelerators * worker.capacity.millicores
        and 2 * left.memory_mib * accelerators
        >= left.accelerators * worker.capacity.memory_mib
        and left.slots >= left.accelerators
    )


def has_room_by_scan(sched: scheduling.Scheduler, key: str) -> bool:
    """Returns whether a scan of all workers finds room for a request."""
    req = sched.waiting[key].req
    total_size = resources.multiply(req.size, req.members)
    usage = sched.usage.get(req.team, resources.ZERO)
    if sched.grants is not None and not resources.fits(
        resources.add(usage, total_size), sched.grants[req.team]
    ):
        return False
    keeps_headroom = (
        sched.keeps_accelerator_headroom and not req.size.accelerators
    )
    member_count = 0
    for worker_id in sched.schedulable_workers:
        free = sched.free[worker_id]
        while resources.fits(req.size, free):
            left = resources.subtract(free, req.size)
            if keeps_headroom and not leaves_headroom(
                left, sched.schedulable_workers[worker_id]
            ):
                break
            free = left
            member_count += 1
    return member_count >= req.members


def add_random_request(sched: scheduling.Scheduler, rng: random.Random) -> None:
    number = rng.randrange(10**9)
    size = builders.make_size(
        rng.choice([1, 2, 4, 8]),
        rng.choice([1, 4, 16]),
        rng.choice([0, 0, 0, 1, 2]),
    )
    assignment = builders.make_assignment(
        number,
        size,
        team=rng.choice(TEAMS),
        members=rng.choice([1, 1, 1, 2, 5]),
        priority=rng.choice(list(requests.PriorityClass)),
        accepted_ms=number % 50,
        service=rng.choice(['', '', 's']),
    )
    scheduling.add_waiting(sched, assignment)


def take_step(sched: scheduling.Scheduler, rng: random.Random) -> None:
    """Adds, ends or removes a request, or replaces a worker, at random."""
    kind = rng.randrange(10)
    if kind < 5:
        add_random_request(sched, rng)
    elif kind < 8 and sched.allocations:
        scheduling.release(sched, rng.choice(list(sched.allocations)))
    elif kind == 8 and sched.waiting:
        key = rng.choice(list(sched.waiting))
        assert scheduling.remove_waiting(sched, key)
    elif sched.schedulable_workers:
        worker_id = rng.choice(list(sched.schedulable_workers))
        worker = sched.schedulable_workers[worker_id]
        scheduling.remove_worker(sched, worker_id)
        if rng.random() < 0.3:
            scheduling.forget_worker(sched, worker_id)
        if rng.random() < 0.8:
            scheduling.add_worker(sched, worker)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    seed=strategies.integers(0, 10**6), limited=strategies.booleans()
)
def test_places_every_request_that_a_scan_could_place(
    seed: int, limited: bool
) -> None:
    rng = random.Random(seed)
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}', rack=f'r{n % 2}') for n in range(4)),
        builders.make_worker('x0', accelerators=4),
        builders.make_worker('x1', accelerators=2),
        policy=builders.PLACEMENT_ONLY_POLICY,
    )
    if limited:
        scheduling.set_grants(sched, dict.fromkeys(TEAMS, GRANT))
    for step in range(60):
        take_step(sched, rng)
        # Gangs that did not fit are tried again only after 100 ms.
        decisions = scheduling.decide(sched, step * 1000)
        decisions += scheduling.decide(sched, step * 1000 + 500)
        for decision in decisions:
            assert isinstance(decision, scheduling.Place)
            tasks = sched.running[decision.request_key].members
            assert len(tasks) == len(decision.workers)
        check_capacity(sched)
        check_grants(sched)
        check_gangs(sched)
        if any(
            assignment.req.size.accelerators
            for assignment in sched.waiting.values()
        ):
            assert sched.keeps_accelerator_headroom
        for key in sched.waiting:
            assert not has_room_by_scan(sched, key), key


def take_disruptive_step(
    sched: scheduling.Scheduler, rng: random.Random, stopping: list[str]
) -> None:
    """Makes a random change; may also close the domain or end a request."""
    kind = rng.randrange(8)
    if kind == 0:
        closed = rng.random() < 0.5
        scheduling.set_configuration(
            sched, builders.make_configuration(*TEAMS, closed=closed)
        )
    elif kind == 1 and stopping:
        key = stopping.pop(0)
        if key in sched.running:
            builders.finish_request(sched, key)
    else:
        take_step(sched, rng)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(seed=strategies.integers(0, 10**6))
def test_invariants_hold_with_every_policy(seed: int) -> None:
    rng = random.Random(seed)
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}', rack=f'r{n % 2}') for n in range(4)),
        builders.make_worker('x0', accelerators=4),
    )
    scheduling.set_grants(sched, dict.fromkeys(TEAMS, GRANT))
    stopping: list[str] = []
    for step in range(80):
        take_disruptive_step(sched, rng, stopping)
        now_ms = step * rng.choice([300, 1000])
        for decision in scheduling.decide(sched, now_ms):
            match decision:
                case scheduling.Place(key, worker_ids, _):
                    assert not domains.is_closed(sched)
                    assert sched.schedulable_workers.keys() >= set(worker_ids)
                    assert len(sched.running[key].members) == len(worker_ids)
                case scheduling.Preempt(key, reason):
                    assert key not in stopping
                    assert reason == 'domain' or not domains.is_closed(sched)
                    stopping.append(key)
                case scheduling.GiveBack(key, _, _):
                    assert key not in sched.running
        check_capacity(sched)
        check_grants(sched)
        check_gangs(sched)
        assert not (domains.is_closed(sched) and sched.waiting)
        for worker_id, key in sched.reserved_workers.items():
            assert worker_id in sched.reservations[key].reserved


def test_closed_domain_gives_all_requests_back() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'))
    scheduling.add_waiting(
        sched, builders.make_assignment(1, builders.make_size())
    )
    scheduling.set_configuration(
        sched, builders.make_configuration('a', closed=True)
    )
    assert scheduling.decide(sched, 0) == [
        scheduling.GiveBack('a/1', 'domain', 'domain is closed')
    ]
    assert not sched.waiting


def test_order_is_priority_class_then_share_then_age() -> None:
    sched = builders.make_scheduler(builders.make_worker('p', cores=4))
    running = builders.make_assignment(0, builders.make_size(1))
    scheduling.add_waiting(sched, running)
    scheduling.decide(sched, 0)
    size = builders.make_size(1)
    urgent = requests.PriorityClass.URGENT
    for assignment in (
        builders.make_assignment(1, size, team='a', accepted_ms=1),
        builders.make_assignment(2, size, team='b', accepted_ms=2),
        builders.make_assignment(
            3, size, team='a', accepted_ms=3, priority=urgent
        ),
    ):
        scheduling.add_waiting(sched, assignment)
    placed = [d.request_key for d in scheduling.decide(sched, 10)]
    assert placed == ['a/3', 'b/2', 'a/1']


def test_share_follows_weight_and_fleet_usage() -> None:
    sched = builders.make_scheduler(builders.make_worker('p', cores=2))
    usage = {'a': builders.make_size(10, 10), 'b': builders.make_size(5, 5)}
    scheduling.set_fleet_usage(sched, usage, builders.UNLIMITED)
    size = builders.make_size(1)
    for number, team in enumerate(('a', 'b', 'c')):
        scheduling.add_waiting(
            sched, builders.make_assignment(number, size, team=team)
        )
    placed = [d.request_key for d in scheduling.decide(sched, 0)]
    assert placed == ['c/2', 'b/1']


def test_accelerator_workers_are_kept_for_accelerator_work() -> None:
    sched = builders.make_scheduler(
        builders.make_worker('x', accelerators=1), builders.make_worker('p')
    )
    scheduling.add_waiting(
        sched, builders.make_assignment(1, builders.make_size(1))
    )
    decisions = scheduling.decide(sched, 0)
    assert decisions == [scheduling.Place('a/1', ('p',), builders.make_size(1))]


def test_replicas_are_spread_over_racks() -> None:
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}', rack=f'r{n // 2}') for n in range(6))
    )
    for number in range(3):
        assignment = builders.make_assignment(
            number, builders.make_size(), service='s'
        )
        scheduling.add_waiting(sched, assignment)
    scheduling.decide(sched, 0)
    racks = {
        sched.schedulable_workers[h.worker_id].rack
        for h in sched.allocations.values()
    }
    assert racks == {'r0', 'r1', 'r2'}


def test_running_tasks_count_before_their_worker_is_known() -> None:
    sched = builders.make_scheduler()
    size = builders.make_size(6)
    scheduling.allocate(
        sched, workers.TaskId('a/1'), states.Allocation('p', 'a', size)
    )
    scheduling.add_worker(sched, builders.make_worker('p', cores=8))
    assert sched.free['p'].millicores == 2000
