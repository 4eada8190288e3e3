"""Cancels of jobs that the owner does not know.

The call with such a job may still be under way, for example at an instance that
is frozen. Its caller has been told that the job does not exist, so it must not
be accepted any more.
"""

import dataclasses

# How long a cancel of an unknown job is kept, in ms.
REMEMBERED_MS = 60_000
# So that calls with drawn ids can't use up the memory.
MAX_CANCELS = 10_000


@dataclasses.dataclass(slots=True)
class EarlyCancels:
    """Cancels of unknown jobs, the oldest first.

    Attributes:
      until_ms: Monotonic time in ms until which the job is refused, by customer
        and job id.
    """

    until_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )


def record_cancel(
    cancels: EarlyCancels, customer: str, job_id: str, now_ms: int
) -> None:
    """Records that an unknown job was cancelled."""
    cancels.until_ms.pop((customer, job_id), None)
    cancels.until_ms[customer, job_id] = now_ms + REMEMBERED_MS
    while cancels.until_ms:
        oldest = next(iter(cancels.until_ms))
        is_over = cancels.until_ms[oldest] < now_ms
        if not is_over and len(cancels.until_ms) <= MAX_CANCELS:
            break
        del cancels.until_ms[oldest]


def is_cancelled(
    cancels: EarlyCancels, customer: str, job_id: str, now_ms: int
) -> bool:
    """Tells whether a new job has been cancelled before it came."""
    return cancels.until_ms.get((customer, job_id), 0) >= now_ms
