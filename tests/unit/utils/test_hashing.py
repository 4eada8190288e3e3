"""Tests of utils/hashing.py."""

import collections

import pytest

from nutmegknot._internal.utils import hashing

NAMES = [f'ledger-{n}' for n in range(6)] + [f'fleet-d-{n}' for n in range(10)]


@pytest.mark.parametrize('count', [1, 2, 5, 6, 7])
def test_no_member_has_more_than_its_part(count: int) -> None:
    members = [f'instance-{n}' for n in range(count)]
    owners = hashing.assign_owners(NAMES, reversed(members))
    assert owners == hashing.assign_owners(reversed(NAMES), members)
    assert owners.keys() == set(NAMES)
    for kind, total in (('ledger', 6), ('fleet', 10)):
        given = collections.Counter(
            owner for name, owner in owners.items() if name.startswith(kind)
        )
        assert max(given.values()) <= -(-total // count)


def test_nobody_owns_without_members() -> None:
    assert hashing.assign_owners(NAMES, []) == {}
