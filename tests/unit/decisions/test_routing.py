"""Tests of decisions/routing.py."""

import random
from typing import Any

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import routing
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

WORKER = resources.Resources(8_000, 32 * 1024, 0, 8)
ACCELERATOR_WORKER = resources.Resources(8_000, 32 * 1024, 4, 8)


def make_load(
    number: int,
    *,
    free: float = 0.5,
    shape: resources.Resources = WORKER,
    is_inventory_complete: bool = True,
    **fields: Any,  # noqa: ANN401 - fields of a load
) -> loads.TimedLoad:
    """Returns the load of a partition with ten equal workers."""
    at_ms = fields.pop('at_ms', 0)
    capacity = resources.multiply(shape, 10)
    load = loads.Load(
        partition=f'fleet-d{number}-0',
        domain=f'd{number}',
        region='region',
        epoch=number + 1,
        is_inventory_complete=is_inventory_complete,
        capacity=capacity,
        free=resources.Resources(
            int(capacity.millicores * free),
            int(capacity.memory_mib * free),
            int(capacity.accelerators * free),
            int(capacity.slots * free),
        ),
        largest_free=shape,
        capacity_groups=(loads.CapacityGroup(shape, 10),),
        **fields,
    )
    return loads.TimedLoad(load, at_ms)


def make_request(
    size: resources.Resources, members: int = 1, service: str = ''
) -> requests.Request:
    return builders.make_assignment(
        1, size, members=members, service=service
    ).req


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    shapes=strategies.lists(
        strategies.sampled_from([WORKER, ACCELERATOR_WORKER])
    ),
    is_open=strategies.lists(strategies.booleans(), min_size=10, max_size=10),
    cores=strategies.integers(1, 12),
    accelerators=strategies.integers(0, 5),
    members=strategies.integers(1, 100),
)
def test_choice_agrees_with_a_count_of_members_that_fit(
    shapes: list[resources.Resources],
    is_open: list[bool],
    cores: int,
    accelerators: int,
    members: int,
) -> None:
    timed_loads = [
        make_load(number, shape=shape, is_open=is_open[number % 10])
        for number, shape in enumerate(shapes[:10])
    ]
    size = builders.make_size(cores, 1, accelerators)
    choice = routing.choose_partition(
        make_request(size, members), timed_loads, random.Random(1), 0
    )
    suitable = set()
    for timed_load in timed_loads:
        member_count = 0
        for _ in range(10):
            free = timed_load.load.capacity_groups[0].capacity
            while resources.fits(size, free):
                free = resources.subtract(free, size)
                member_count += 1
        if member_count >= members:
            suitable.add(timed_load.load.partition)
    open_and_suitable = {
        timed_load.load.partition
        for timed_load in timed_loads
        if timed_load.load.is_open
    } & suitable
    match choice:
        case routing.Chosen(name, epoch):
            assert name in open_and_suitable
            assert name == f'fleet-d{epoch - 1}-0'
        case routing.NeverRunnable():
            assert timed_loads
            assert not suitable
        case routing.NoOpenPartition():
            assert not open_and_suitable
            assert suitable or not timed_loads


def test_no_request_is_never_runnable_while_workers_are_unknown() -> None:
    req = make_request(builders.make_size(99))
    rng = random.Random(1)
    timed_loads = [make_load(0), make_load(1, is_inventory_complete=False)]
    choice = routing.choose_partition(req, timed_loads, rng, 0)
    assert choice == routing.Chosen('fleet-d1-0', 2)
    choice = routing.choose_partition(req, timed_loads[:1], rng, 0)
    assert isinstance(choice, routing.NeverRunnable)


def test_free_partition_is_preferred_to_full_one() -> None:
    timed_loads = [make_load(0, free=0.0), make_load(1, free=0.9)]
    req = make_request(builders.make_size())
    for seed in range(20):
        choice = routing.choose_partition(
            req, timed_loads, random.Random(seed), 0
        )
        assert choice == routing.Chosen('fleet-d1-0', 2)


def test_requests_are_spread_although_loads_are_not_updated() -> None:
    timed_loads = [make_load(0, free=0.9)] + [
        make_load(number, free=0.5) for number in range(1, 5)
    ]
    rng = random.Random(1)
    assigned = routing.RecentAssignments()
    counts: dict[str, int] = {}
    req = make_request(builders.make_size(2, 8))
    for _ in range(200):
        choice = routing.choose_partition(req, timed_loads, rng, 0, assigned)
        assert isinstance(choice, routing.Chosen)
        counts[choice.name] = counts.get(choice.name, 0) + 1
    assert len(counts) == 5
    assert max(counts.values()) < 100


def test_new_load_replaces_recent_assignments() -> None:
    rng = random.Random(1)
    assigned = routing.RecentAssignments()
    req = make_request(builders.make_size())
    routing.choose_partition(req, [make_load(0)], rng, 0, assigned)
    routing.choose_partition(req, [make_load(0, at_ms=5)], rng, 0, assigned)
    assert assigned.amounts['fleet-d0-0'] == req.size


def test_replica_goes_to_the_partition_with_fewest() -> None:
    timed_loads = [
        make_load(0, free=1.0, services={'s': 2}),
        make_load(1, free=0.1, services={'s': 1}),
    ]
    req = make_request(builders.make_size(), service='s')
    assigned = routing.RecentAssignments()
    rng = random.Random(1)
    first = routing.choose_partition(req, timed_loads, rng, 0, assigned)
    assert first == routing.Chosen('fleet-d1-0', 2)


def test_partition_to_avoid_is_the_last_resort() -> None:
    req = make_request(builders.make_size())
    avoid = frozenset({'fleet-d0-0'})
    rng = random.Random(1)
    both = [make_load(0, free=1.0), make_load(1, free=0.0)]
    choice = routing.choose_partition(req, both, rng, 0, avoid=avoid)
    assert choice == routing.Chosen('fleet-d1-0', 2)
    choice = routing.choose_partition(req, both[:1], rng, 0, avoid=avoid)
    assert choice == routing.Chosen('fleet-d0-0', 1)
