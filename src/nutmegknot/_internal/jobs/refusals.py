"""Handles refusals of commands by workers.

Each command has the epoch of the owner of the jobs as a fencing token. A worker
refuses tokens lower than one that it has seen: a later owner exists then.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state

logger = logging.getLogger(__name__)

# After this time, tasks may start again on a worker that took no calls.
UNHEALTHY_BACKOFF_MS = 700
_BACKOFF_REASONS = (runners.Refusal.UNHEALTHY, runners.Refusal.OTHER_LIFE)


def handle_refusal(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    reason: runners.Refusal,
) -> None:
    """Acts on a refusal, depending on its reason.

    The ownership of the jobs is given up if the worker has seen a higher
    fencing token. Nothing is started for a while on a worker that is unhealthy,
    or in another life than is known, which the next poll shows.
    """
    if reason is runners.Refusal.FENCED:
        logger.warning(
            'ownership_fenced',
            extra={'worker': info.worker.id, 'epoch': ownership.cluster.epoch},
        )
        writers.stop_writing(ownership.writer)
    elif reason in _BACKOFF_REASONS:
        backoff_until_ms = ownership.clock.now_ms() + UNHEALTHY_BACKOFF_MS
        info.no_starts_before_ms = max(
            info.no_starts_before_ms, backoff_until_ms
        )
