"""Stable hashes: partition of a request and preferred owners."""

import collections
from collections.abc import Iterable

import xxhash

from nutmegknot._internal.models import requests


def choose_ledger(request_key: str, partitions: int) -> str:
    """Returns the name of the ledger partition that keeps a request.

    Only what stands before the first '@' counts, so that all generations of a
    service's replica, 'service/NAME/NUMBER@GENERATION', are kept together.
    """
    stem = request_key.partition('@')[0]
    number = xxhash.xxh64_intdigest(stem.encode()) % partitions
    return f'ledger-{number}'


def choose_owner(partition: str, members: Iterable[str]) -> str:
    """Returns the preferred owner by rendezvous hashing, '' if no member."""
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
    """Returns the preferred owner of each partition, none if no member.

    Rendezvous hashing with a bound: no member gets more than its even part of
    the partitions of one kind, rounded up. The kind is what stands before the
    first '-' of a partition's name.
    """
    names = sorted(partitions)
    ids = sorted(members)
    if not ids:
        return {}
    kinds = collections.Counter(_get_kind(name) for name in names)
    given: collections.Counter[tuple[str, str]] = collections.Counter()
    owners = {}
    for name in names:
        kind = _get_kind(name)
        bound = -(-kinds[kind] // len(ids))
        free = [id for id in ids if given[kind, id] < bound]
        owners[name] = choose_owner(name, free)
        given[kind, owners[name]] += 1
    return owners


def _get_kind(partition: str) -> str:
    return partition.partition('-')[0]


def compute_fingerprint(req: requests.Request) -> str:
    """Returns a hash of everything a caller says in a request."""
    said = (
        req.queue,
        req.size,
        req.members,
        int(req.priority),
        req.repeatable,
        req.deadline_ms,
        req.run_ms,
        req.payload,
    )
    return xxhash.xxh128_hexdigest(repr(said).encode())
