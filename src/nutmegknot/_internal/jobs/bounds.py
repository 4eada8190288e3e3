"""Bounds on time under which jobs are owned and run."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds in ms; the defaults are those of docs/PLATFORM.md.

    Attributes:
      lease_ms: A standby takes over when the owner row has not changed for so
        long by its own clock.
      authority_ms: The owner acts for so long after a confirmed write; shorter
        than lease_ms by more than two clocks drift apart over it.
      renew_ms: Longest time between writes of the owner row.
      gather_ms: How long ends are gathered into one write.
      hold_ms: Length of a lease on a worker.
      fresh_ms: A lease is renewed for so long after the worker's last answer.
      most_hold_ms: Longest lease that a worker grants.
      start_ms: How long a start may take effect after it was decided on.
      poll_ms: Longest wait for an end in one call to a worker.
      busy_poll_ms: The same on a worker with runs, where a lost answer hides
        ends.
      call_ms: Longest time limit of an order to a worker.
      first_call_ms: Time limit of the first attempt at an order. Attempts are
        idempotent, and each has twice the time of the one before, so that a
        lost answer does not hold up the orders behind it.
      drift: Part by which a worker's clock may be slow.
      late_ms: An order without an answer may take effect for so long.
      list_ms: Interval of reading the list of workers.
      return_ms: Workers that left the list in a store outage are back in it so
        long after its end.
      keep_ms: How long an ended job can be looked up.
      early_ms: Margin kept before a due time against differing clocks.
      pace_ms: How long a tail may be over its target before filling tasks
        beside it are paced.
    """

    lease_ms: int = 1_000
    authority_ms: int = 850
    renew_ms: int = 250
    gather_ms: int = 25
    hold_ms: int = 4_500
    fresh_ms: int = 1_000
    most_hold_ms: int = 10_000
    start_ms: int = 1_500
    poll_ms: int = 1_000
    busy_poll_ms: int = 300
    call_ms: int = 600
    first_call_ms: int = 100
    drift: float = 0.02
    late_ms: int = 13_000
    list_ms: int = 700
    return_ms: int = 2_300
    keep_ms: int = 150_000
    early_ms: int = 0
    pace_ms: int = 600


def get_attempt_limit(limits: Bounds, attempt: int) -> int:
    """Returns the time limit of an attempt at an order, from 0 on, in ms."""
    return min(limits.call_ms, limits.first_call_ms << attempt)
