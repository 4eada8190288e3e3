"""Leases of the runs on a worker, by the worker's own clock."""

from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import books

# Kept between the computed end of a lease and what is taken for certain, in ms.
MARGIN_MS = 60


def note_clock(host: books.Host, clock_ms: int, now_ms: int) -> None:
    """Takes note of a worker's clock as an answer showed it.

    The answer was given before it came, so the worker's clock is at least this
    far now.
    """
    host.lease.clock_ms = clock_ms
    host.lease.read_ms = now_ms


def estimate_clock(host: books.Host, now_ms: int) -> int:
    """Returns the least that a worker's clock shows now, but for its drift."""
    return host.lease.clock_ms + (now_ms - host.lease.read_ms)


def extend(host: books.Host, length_ms: int, own: ownerships.Ownership) -> int:
    """Returns the end of a lease of some length, and counts it as given."""
    until_ms = estimate_clock(host, own.clock.now_ms()) + length_ms
    host.lease.until_ms = max(host.lease.until_ms, until_ms)
    return until_ms


def compute_settled(own: ownerships.Ownership) -> int:
    """Returns when no run of an earlier owner can be left, by our clock.

    An owner that was replaced early may have gone on for its authority.
    """
    lapse_ms = int(own.limits.hold_ms / (1 - own.limits.drift))
    return own.book.opened_ms + lapse_ms + own.limits.authority_ms


def compute_lapse(host: books.Host, own: ownerships.Ownership) -> int:
    """Returns when the worker's lease has surely ended, by our clock."""
    left_ms = max(0, host.lease.until_ms - host.lease.clock_ms)
    slow_ms = int(left_ms / (1 - own.limits.drift))
    return host.lease.read_ms + slow_ms + MARGIN_MS
