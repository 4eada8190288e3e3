"""Tests of the choice of preferred owners."""

import collections

import pytest

from nutmegknot._internal.utils import hashing

PARTITIONS = [f'ledger-{n}' for n in range(6)] + [
    f'fleet-d-{n}' for n in range(10)
]


@pytest.mark.parametrize('count', [1, 2, 5, 6, 7])
def test_partitions_are_spread_evenly_in_any_order(count: int) -> None:
    members = [f'instance-{n}' for n in range(count)]
    owners = hashing.assign_owners(PARTITIONS, reversed(members))
    assert owners == hashing.assign_owners(reversed(PARTITIONS), members)
    assert owners.keys() == set(PARTITIONS)
    for kind, total in (('ledger', 6), ('fleet', 10)):
        counts = collections.Counter(
            owner for name, owner in owners.items() if name.startswith(kind)
        )
        assert max(counts.values()) <= -(-total // count)


def test_without_members_there_are_no_owners() -> None:
    assert hashing.assign_owners(PARTITIONS, []) == {}
