"""What refusals by workers say about the ownership and the worker."""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books

logger = logging.getLogger(__name__)

# How long nothing is started on a worker that takes no calls, in ms.
UNHEALTHY_REST_MS = 700


def note_refusal(
    own: ownerships.Ownership, host: books.Host, reason: runners.Refusal
) -> None:
    """Gives the ownership up where a worker has seen a higher token."""
    if reason is runners.Refusal.FENCED:
        logger.warning(
            'ownership_fenced',
            extra={'worker': host.worker.id, 'epoch': own.book.epoch},
        )
        writes.lose(own.writer)
    elif reason is runners.Refusal.UNHEALTHY:
        rest_until_ms = own.clock.now_ms() + UNHEALTHY_REST_MS
        host.doubted_until_ms = max(host.doubted_until_ms, rest_until_ms)
