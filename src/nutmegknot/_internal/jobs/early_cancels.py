"""Cancels of jobs that the owner does not know.

The call with such a job may still be under way, for example at an instance that
is frozen. Its caller has been told that the job does not exist, so it must not
be accepted any more, by this owner or a later one. Each cancel is in the table
before it is acknowledged.

A cancel is identified by a digest of the customer and the job's id, so its size
does not depend on what callers send.
"""

import dataclasses
import hashlib
import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs

logger = logging.getLogger(__name__)

# How long a cancel of an unknown job is kept, in ms. A new owner counts from
# its takeover, since the clocks of two instances can't be compared.
REMEMBERED_MS = 60_000
# So that calls with drawn ids can't use up the memory. Further cancels are not
# acknowledged until older ones have expired.
MAX_CANCELS = 10_000
# Length of a digest in bytes.
DIGEST_BYTES = 16


@dataclasses.dataclass(slots=True)
class EarlyCancels:
    """Cancels of unknown jobs, the oldest first.

    Attributes:
      until_ms: Monotonic time in ms until which the job is refused, by digest.
    """

    until_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def make_digest(reference: jobs.JobReference) -> str:
    """Returns the digest of the customer and the id of a job."""
    text = f'{len(reference.customer)} {reference.customer} {reference.id}'
    raw = text.encode(errors='surrogateescape')
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def record_cancel(cancels: EarlyCancels, digest: str, now_ms: int) -> bool:
    """Records that an unknown job was cancelled.

    Returns:
      Whether it was recorded; not if there are too many.
    """
    is_known = cancels.until_ms.pop(digest, None) is not None
    if not is_known and len(cancels.until_ms) >= MAX_CANCELS:
        return False
    cancels.until_ms[digest] = now_ms + REMEMBERED_MS
    return True


def is_cancelled(cancels: EarlyCancels, digest: str, now_ms: int) -> bool:
    """Tells whether a new job has been cancelled before it came."""
    return cancels.until_ms.get(digest, 0) >= now_ms


def remove_expired(
    cancels: EarlyCancels, now_ms: int, max_count: int
) -> list[str]:
    """Forgets the oldest cancels that have expired.

    Args:
      cancels: The cancels.
      now_ms: Monotonic time in ms.
      max_count: Most cancels to forget.

    Returns:
      The digests of those that were forgotten.
    """
    expired: list[str] = []
    for digest, until_ms in cancels.until_ms.items():
        if until_ms >= now_ms or len(expired) >= max_count:
            break
        expired.append(digest)
    for digest in expired:
        del cancels.until_ms[digest]
    return expired


def load_cancels(found: list[tables.Row], now_ms: int) -> EarlyCancels:
    """Returns the cancels that earlier owners have stored.

    Args:
      found: Rows with the prefix rows.EARLY_CANCEL_PREFIX.
      now_ms: Monotonic time in ms.
    """
    cancels = EarlyCancels()
    for row in found:
        digest = row.key.removeprefix(rows.EARLY_CANCEL_PREFIX)
        cancels.until_ms[digest] = now_ms + REMEMBERED_MS
    if found:
        logger.info('early_cancels_loaded', extra={'cancels': len(found)})
    return cancels
