"""Tests of decisions/grants.py."""

import random

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import grants
from nutmegknot._internal.models import resources

LIMIT = resources.Resources(20_000, 40 * 1024, 4, 20)
UNIT = builders.make_size(2, 4)


def add_all(amounts: list[resources.Resources]) -> resources.Resources:
    total = resources.ZERO
    for amount in amounts:
        total = resources.add(total, amount)
    return total


def make_partition_grant(rng: random.Random) -> grants.PartitionGrant:
    unit = builders.make_size(rng.randint(1, 6), rng.randint(1, 8))
    return grants.PartitionGrant(
        granted=builders.make_size(rng.randint(0, 9), rng.randint(0, 20)),
        held=resources.multiply(builders.make_size(), rng.randint(0, 9)),
        demand=resources.multiply(unit, rng.randint(0, 5)),
        unit=unit,
    )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    seed=strategies.integers(0, 10**6), count=strategies.integers(1, 6)
)
def test_grants_never_exceed_the_limit(seed: int, count: int) -> None:
    rng = random.Random(seed)
    partition_grants = {
        f'f{n}': make_partition_grant(rng) for n in range(count)
    }
    proposed = grants.propose_grants(LIMIT, partition_grants)
    assert proposed.keys() == partition_grants.keys()
    assert all(resources.fits(resources.ZERO, v) for v in proposed.values())
    assert resources.fits(add_all(list(proposed.values())), LIMIT)
    again = grants.propose_grants(
        LIMIT, dict(reversed(partition_grants.items()))
    )
    assert again == proposed


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(seed=strategies.integers(0, 10**6))
def test_writes_in_any_order_keep_the_sum_within_the_limit(seed: int) -> None:
    """Keeps the sum of grants within the limit although partitions act alone.

    In each round the partitions decide from the same grants, but write one
    after another, and some of them do not write at all.
    """
    rng = random.Random(seed)
    names = ['f0', 'f1', 'f2']
    rows = dict.fromkeys(names, resources.ZERO)
    held = dict.fromkeys(names, resources.ZERO)
    for _ in range(30):
        partition_grants = {
            name: grants.PartitionGrant(
                rows[name],
                held[name],
                resources.multiply(UNIT, rng.randint(0, 6)),
                UNIT,
            )
            for name in names
        }
        proposed = grants.propose_grants(LIMIT, partition_grants)
        for name in rng.sample(names, rng.randint(1, 3)):
            rows[name] = grants.compute_next_grant(name, proposed, rows, LIMIT)
            if not resources.fits(held[name], rows[name]):
                held[name] = resources.ZERO
            more = resources.add(held[name], UNIT)
            if resources.fits(more, rows[name]):
                held[name] = more
            assert resources.fits(add_all(list(rows.values())), LIMIT)
            assert resources.fits(add_all(list(held.values())), LIMIT)


def run_rounds(
    partition_grants: dict[str, grants.PartitionGrant],
    limit: resources.Resources,
) -> dict[str, resources.Resources]:
    rows = {name: grant.granted for name, grant in partition_grants.items()}
    for _ in range(10):
        now = {
            name: grants.PartitionGrant(
                rows[name], grant.held, grant.demand, grant.unit
            )
            for name, grant in partition_grants.items()
        }
        proposed = grants.propose_grants(limit, now)
        for name in rows:
            rows[name] = grants.compute_next_grant(name, proposed, rows, limit)
    return rows


def test_grants_follow_demand() -> None:
    partition_grants = {
        'f0': grants.PartitionGrant(granted=LIMIT),
        'f1': grants.PartitionGrant(
            demand=resources.multiply(UNIT, 9), unit=UNIT
        ),
    }
    rows = run_rounds(partition_grants, LIMIT)
    assert resources.fits(resources.multiply(UNIT, 9), rows['f1'])


def test_small_limit_is_not_divided_below_one_request() -> None:
    limit = builders.make_size(4, 4)
    unit = builders.make_size(3, 2)
    partition_grants = {
        f'f{n}': grants.PartitionGrant(demand=unit, unit=unit) for n in range(5)
    }
    rows = run_rounds(partition_grants, limit)
    assert sum(resources.fits(unit, row) for row in rows.values()) == 1


def test_lowered_limit_reduces_every_grant() -> None:
    held = resources.multiply(UNIT, 4)
    partition_grants = {
        f'f{n}': grants.PartitionGrant(granted=held, held=held)
        for n in range(2)
    }
    rows = run_rounds(partition_grants, held)
    assert rows['f0'] == rows['f1']
    assert resources.fits(add_all(list(rows.values())), held)


def test_small_differences_change_no_grant() -> None:
    half = resources.Resources(10_000, 20 * 1024, 2, 10)
    partition_grants = {
        'f0': grants.PartitionGrant(half, builders.make_size(), UNIT, UNIT),
        'f1': grants.PartitionGrant(half),
    }
    assert grants.propose_grants(LIMIT, partition_grants, hysteresis=0.2) == {
        'f0': half,
        'f1': half,
    }


def test_unchanged_grant_limits_the_grant_of_another() -> None:
    one_core = builders.make_size(1, 2)
    limit = resources.multiply(one_core, 20)
    partition_grants = {
        'f0': grants.PartitionGrant(
            resources.multiply(one_core, 11), resources.multiply(one_core, 9)
        ),
        'f1': grants.PartitionGrant(
            resources.multiply(one_core, 9),
            demand=resources.multiply(one_core, 10),
            unit=one_core,
        ),
    }
    proposed = grants.propose_grants(limit, partition_grants, hysteresis=0.1)
    assert proposed['f0'] == partition_grants['f0'].granted
    assert resources.fits(add_all(list(proposed.values())), limit)
