"""Computes when leases of workers end.

All runs on a worker share one lease, which ends at an instant of the worker's
clock. The owner of the jobs renews it; when it expires, the worker stops all
runs.

A worker that restarts begins a new life under its id, with a clock that starts
from 0 again. A call to its earlier life that the new one carries out late names
the end of the lease by the earlier clock, which for the new one is far in the
future. So until a lease that such a call may have given has certainly expired,
runs there may be in progress. The list of workers that the owner keeps in the
table names the earlier life until then, so that a new owner finds that the
worker has restarted.
"""

from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import cluster_state

# Added to the computed end of a lease, for certainty that no run is left.
EXPIRY_MARGIN_MS = 60


def begin_life(
    info: cluster_state.WorkerInfo, ownership: ownerships.Ownership
) -> None:
    """Forgets the clock and the lease of a worker that has restarted.

    Its earlier life is still the one that `info` names.

    A call sent to its earlier life may have given the new one the longest lease
    that a worker grants, at the latest now.
    """
    longest_ms = int(
        ownership.limits.max_worker_lease_ms
        / (1 - ownership.limits.max_clock_drift)
    )
    info.lease = cluster_state.WorkerLease(
        latest_end_ms=ownership.clock.now_ms() + longest_ms + EXPIRY_MARGIN_MS,
        earlier_life=get_recorded_life(info, ownership.clock.now_ms()),
    )


def get_recorded_life(info: cluster_state.WorkerInfo, now_ms: int) -> int:
    """Returns the life of a worker that a new owner is to compare with.

    It is the earlier one while a call to it may have given the present one the
    longest lease.
    """
    if now_ms < info.lease.latest_end_ms:
        return info.lease.earlier_life
    return info.worker.life


def record_clock(
    info: cluster_state.WorkerInfo,
    clock_ms: int,
    sent_ms: int,
    now_ms: int,
    max_clock_drift: float,
) -> None:
    """Records the time of a worker's clock from an answer of the worker.

    The answer was sent before it arrived at now_ms, so the worker's clock shows
    at least clock_ms at that time. A higher bound may follow from an earlier
    answer, less the drift since then, but the clock was read after the call was
    sent, so it can't have gone on for longer than the call took. A worker whose
    clock has stood still, in a machine that was suspended, shows by that limit.

    Load pattern: this process has so much work that it reads answers late. Each
    answer by itself then makes the worker's clock look slow by that delay, and
    starts that are valid for a limited time reach the worker too late.

    Args:
      info: The worker.
      clock_ms: Time of its clock as given in the answer.
      sent_ms: When the call was sent, by this instance's clock.
      now_ms: Time now, by this instance's clock.
      max_clock_drift: Largest part by which the worker's clock may be slow.
    """
    lease = info.lease
    estimate_ms = clock_ms
    if lease.clock_ms:
        age_ms = now_ms - lease.read_ms
        earlier_ms = lease.estimate_ms + int(age_ms * (1 - max_clock_drift))
        limit_ms = clock_ms + (now_ms - sent_ms)
        estimate_ms = max(clock_ms, min(earlier_ms, limit_ms))
    lease.clock_ms = clock_ms
    lease.read_ms = now_ms
    lease.estimate_ms = estimate_ms


def estimate_clock(info: cluster_state.WorkerInfo, now_ms: int) -> int:
    """Returns a lower bound of a worker's clock now, apart from its drift."""
    return info.lease.estimate_ms + (now_ms - info.lease.read_ms)


def extend_lease(
    info: cluster_state.WorkerInfo,
    length_ms: int,
    ownership: ownerships.Ownership,
) -> int:
    """Extends the lease of a worker so that it lasts for length_ms from now.

    Returns:
      The end of the lease by the worker's clock.
    """
    until_ms = estimate_clock(info, ownership.clock.now_ms()) + length_ms
    info.lease.until_ms = max(info.lease.until_ms, until_ms)
    return until_ms


def compute_earlier_runs_expiry(
    info: cluster_state.WorkerInfo, ownership: ownerships.Ownership
) -> int:
    """Returns when no run of an earlier owner can be left on a worker.

    By then, the lease that it renewed has expired. An owner that was replaced
    early may have gone on renewing it for authority_ms, the time for which an
    owner may act without a new confirmation by the store. The lease may last
    longer if the worker has restarted.

    Returns:
      The time by this instance's clock.
    """
    lease_ms = int(
        ownership.limits.worker_lease_ms
        / (1 - ownership.limits.max_clock_drift)
    )
    usual_end_ms = (
        ownership.cluster.owned_since_ms
        + lease_ms
        + ownership.limits.authority_ms
    )
    return max(usual_end_ms, info.lease.latest_end_ms)


def compute_expiry(
    info: cluster_state.WorkerInfo, ownership: ownerships.Ownership
) -> int:
    """Returns when a worker's lease has certainly expired.

    It follows from the newest answer alone, not from the estimate: the lowest
    bound of the worker's clock gives the latest end. After a restart, a lease
    that a call to the earlier life has given may last longer.

    Returns:
      The time by this instance's clock, for a worker's clock that is slow by
      the allowed drift.
    """
    left_ms = max(0, info.lease.until_ms - info.lease.clock_ms)
    slow_ms = int(left_ms / (1 - ownership.limits.max_clock_drift))
    known_end_ms = info.lease.read_ms + slow_ms + EXPIRY_MARGIN_MS
    return max(known_end_ms, info.lease.latest_end_ms)
