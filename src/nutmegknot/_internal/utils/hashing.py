"""Stable hashes: partition of a request and preferred owners."""

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
