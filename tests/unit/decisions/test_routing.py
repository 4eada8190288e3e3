"""Tests of decisions/routing.py."""

import random

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import routing
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

WORKER = resources.Resources(8_000, 32 * 1024, 0, 8)
CARDS = resources.Resources(8_000, 32 * 1024, 4, 8)


def make_load(
    number: int,
    *,
    free: float = 0.5,
    shapes: tuple[resources.Resources, ...] = (WORKER,),
    services: dict[str, int] | None = None,
    is_open: bool = True,
    at_ms: int = 0,
) -> routing.PartitionLoad:
    """Returns the load of a partition of ten workers."""
    capacity = resources.multiply(shapes[0], 10)
    return routing.PartitionLoad(
        name=f'fleet-d{number}-0',
        domain=f'd{number}',
        region='region',
        epoch=number + 1,
        open=is_open,
        capacity=capacity,
        free=resources.Resources(
            int(capacity.millicores * free),
            int(capacity.memory_mib * free),
            int(capacity.accelerators * free),
            int(capacity.slots * free),
        ),
        largest_hole=shapes[0],
        shapes=shapes,
        services=services or {},
        at_ms=at_ms,
    )


def make_request(
    size: resources.Resources, members: int = 1, service: str = ''
) -> requests.Request:
    return builders.make_given(1, size, members=members, service=service).req


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    shapes=strategies.lists(strategies.sampled_from([WORKER, CARDS])),
    opened=strategies.lists(strategies.booleans(), min_size=10, max_size=10),
    cores=strategies.integers(1, 12),
    cards=strategies.integers(0, 5),
    members=strategies.integers(1, 100),
)
def test_choice_agrees_with_a_count_of_rooms(
    shapes: list[resources.Resources],
    opened: list[bool],
    cores: int,
    cards: int,
    members: int,
) -> None:
    loads = [
        make_load(number, shapes=(shape,), is_open=opened[number % 10])
        for number, shape in enumerate(shapes[:10])
    ]
    size = builders.make_size(cores, 1, cards)
    choice = routing.choose_partition(
        make_request(size, members), loads, random.Random(1), 0
    )
    able = {
        load.name
        for load in loads
        if resources.fits(size, load.shapes[0])
        and resources.fits(resources.multiply(size, members), load.capacity)
    }
    now = {load.name for load in loads if load.open} & able
    match choice:
        case routing.Chosen(name, epoch):
            assert name in now
            assert name == f'fleet-d{epoch - 1}-0'
        case routing.NeverRunnable():
            assert loads
            assert not able
        case routing.NoneOpen():
            assert not now
            assert able or not loads


def test_empty_partition_is_preferred_to_full_one() -> None:
    loads = [make_load(0, free=0.0), make_load(1, free=0.9)]
    req = make_request(builders.make_size())
    for seed in range(20):
        choice = routing.choose_partition(req, loads, random.Random(seed), 0)
        assert choice == routing.Chosen('fleet-d1-0', 2)


def test_stale_loads_do_not_gather_everything() -> None:
    loads = [make_load(0, free=0.9)] + [
        make_load(number, free=0.5) for number in range(1, 5)
    ]
    rng = random.Random(1)
    assigned = routing.Assigned()
    counts: dict[str, int] = {}
    req = make_request(builders.make_size(2, 8))
    for _ in range(200):
        choice = routing.choose_partition(req, loads, rng, 0, assigned)
        assert isinstance(choice, routing.Chosen)
        counts[choice.name] = counts.get(choice.name, 0) + 1
    assert len(counts) == 5
    assert max(counts.values()) < 100


def test_new_load_replaces_what_was_assigned() -> None:
    rng = random.Random(1)
    assigned = routing.Assigned()
    req = make_request(builders.make_size())
    routing.choose_partition(req, [make_load(0)], rng, 0, assigned)
    routing.choose_partition(req, [make_load(0, at_ms=5)], rng, 0, assigned)
    assert assigned.amounts['fleet-d0-0'] == req.size


def test_replicas_go_where_fewest_are() -> None:
    loads = [
        make_load(0, free=1.0, services={'s': 2}),
        make_load(1, free=0.1, services={'s': 1}),
    ]
    req = make_request(builders.make_size(), service='s')
    assigned = routing.Assigned()
    rng = random.Random(1)
    first = routing.choose_partition(req, loads, rng, 0, assigned)
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
