"""Hashes with the same values on all instances.

They decide which ledger partition keeps a request and which instance should own
a partition, and tell whether two requests are equal.
"""

import collections
from collections.abc import Iterable

import xxhash

from nutmegknot._internal.models import requests


def choose_ledger(request_key: str, partitions: int) -> str:
    """Returns the name of the ledger partition that keeps a request.

    Only the part of the key before the first '@' is hashed. The keys of a
    service's replica are 'service/NAME/NUMBER@GENERATION', so all generations
    of the replica are in the same partition.
    """
    stem = request_key.partition('@')[0]
    partition_number = xxhash.xxh64_intdigest(stem.encode()) % partitions
    return f'ledger-{partition_number}'


def choose_owner(partition: str, members: Iterable[str]) -> str:
    """Chooses a partition's owner by rendezvous hashing; '' without members."""
    return max(
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f'{partition}@{member}'.encode()
        ),
        default='',
    )


def assign_owners(
    partitions: Iterable[str], members: Iterable[str]
) -> dict[str, str]:
    """Returns the preferred owner of each partition; {} without members.

    This is rendezvous hashing with a limit: no member gets more partitions of
    one kind than their number divided by the number of members, rounded up. The
    kind is the part of a partition's name before the first '-'.
    """
    names = sorted(partitions)
    ids = sorted(members)
    if not ids:
        return {}
    partition_counts = collections.Counter(_get_kind(name) for name in names)
    assigned_counts: collections.Counter[tuple[str, str]] = (
        collections.Counter()
    )
    owners = {}
    for name in names:
        kind = _get_kind(name)
        max_partitions = -(-partition_counts[kind] // len(ids))
        candidates = [
            id for id in ids if assigned_counts[kind, id] < max_partitions
        ]
        owners[name] = choose_owner(name, candidates)
        assigned_counts[kind, owners[name]] += 1
    return owners


def _get_kind(partition: str) -> str:
    return partition.partition('-')[0]


def compute_fingerprint(req: requests.Request) -> str:
    """Returns a hash of all fields of a request that its caller sets."""
    fields = (
        req.queue,
        req.size,
        req.members,
        int(req.priority),
        req.repeatable,
        req.deadline_ms,
        req.run_ms,
        req.payload,
    )
    return xxhash.xxh128_hexdigest(repr(fields).encode())
