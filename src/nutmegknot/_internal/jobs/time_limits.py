"""Time-outs, lease lengths and intervals of owning and running jobs."""

import dataclasses

from nutmegknot._internal.decisions import customer_rates


@dataclasses.dataclass(slots=True, frozen=True)
class TimeLimits:
    """Time-outs, lease lengths and intervals in ms.

    A command is a call to a worker that changes something there, such as the
    start or the stop of a run. The defaults are those of docs/PLATFORM.md.

    Attributes:
      lease_ms: Length of the lease on the ownership of the jobs.
        A standby takes over when it has seen the owner row unchanged for so
        long by its own clock.
      authority_ms: How long after a confirmed write the owner may act.
        It is shorter than lease_ms by more than two clocks drift apart over
        that time.
      renew_ms: Longest time between two writes of the owner row.
      batch_delay_ms: How long ends of runs are collected for one write.
      worker_lease_ms: Length of a lease on a worker.
      lease_renewal_window_ms: How long after a worker's last answer its lease
        is renewed.
      max_worker_lease_ms: Longest lease that a worker grants.
      start_validity_ms: How long after the decision a start may take effect.
      poll_wait_ms: Longest wait in a call to a worker that reports ends of
        runs.
      busy_poll_wait_ms: The same for a worker that has runs.
        It is shorter since a lost answer delays the report of their ends.
      max_call_timeout_ms: Longest time-out of a command to a worker.
      first_call_timeout_ms: Time-out of the first attempt at a command.
        Attempts are idempotent, and each has twice the time-out of the one
        before, so that a lost answer does not delay the commands behind it.
      max_clock_drift: Largest part by which a worker's clock may be slow.
      lost_command_ms: How long a command without an answer may still take
        effect.
      list_interval_ms: Interval between two readings of the list of workers.
      relisting_delay_ms: How long after an outage the list is incomplete.
        Workers that left the list of workers during a store outage are back in
        it so long after the outage has ended.
      retention_ms: How long an ended job can be looked up.
      due_time_margin_ms: Added to due times, so that a fast clock starts
        nothing early.
      throttle_delay_ms: How long a tail latency may exceed its target without
        reaction. After that the opportunistic tasks on the same worker are
        throttled.
      delays_under_overload: Whether work is delayed in favour of other work in
        pools that are overloaded.
      rate_limits: How the number of jobs that a customer submits is
        measured against what it is entitled to.
    """

    lease_ms: int = 1_000
    authority_ms: int = 850
    renew_ms: int = 250
    batch_delay_ms: int = 25
    worker_lease_ms: int = 4_500
    lease_renewal_window_ms: int = 1_000
    max_worker_lease_ms: int = 10_000
    start_validity_ms: int = 1_500
    poll_wait_ms: int = 1_000
    busy_poll_wait_ms: int = 300
    max_call_timeout_ms: int = 600
    first_call_timeout_ms: int = 100
    max_clock_drift: float = 0.02
    lost_command_ms: int = 13_000
    list_interval_ms: int = 700
    relisting_delay_ms: int = 2_300
    retention_ms: int = 150_000
    due_time_margin_ms: int = 0
    throttle_delay_ms: int = 600
    delays_under_overload: bool = False
    rate_limits: customer_rates.RateLimits = dataclasses.field(
        default_factory=customer_rates.RateLimits
    )


def compute_attempt_timeout(limits: TimeLimits, attempt: int) -> int:
    """Returns the time-out of an attempt at a command in ms.

    Args:
      limits: The time-outs.
      attempt: Number of the attempt, from 0.
    """
    return min(
        limits.max_call_timeout_ms, limits.first_call_timeout_ms << attempt
    )
