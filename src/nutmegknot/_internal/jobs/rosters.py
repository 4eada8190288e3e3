"""Keeps the owner's sessions in step with the platform's list of workers."""

import dataclasses
import logging

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import sessions
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

LIST_TIMEOUT_MS = 800
RETRY_MS = 200


@dataclasses.dataclass(slots=True)
class Reach:
    """Whether the platform's list can be read.

    Attributes:
      lost_ms: When a reading failed last, by our clock; None if none did.
      is_lost: Whether the last reading failed.
    """

    lost_ms: int | None = None
    is_lost: bool = False


async def keep_roster(
    own: ownerships.Ownership, source: listings.Listings, reach: Reach
) -> None:
    """Reads the list of workers on a steady tick."""
    while True:
        result = await source.list_workers(LIST_TIMEOUT_MS)
        claims = own.claimed.count
        now_ms = own.clock.now_ms()
        if isinstance(result, tables.Unavailable):
            note_failure(reach, now_ms, result.detail)
            await clock_lib.sleep(RETRY_MS)
            continue
        if reach.is_lost:
            reach.is_lost = False
            logger.info('list_regained', extra={'workers': len(result.workers)})
        take_list(own, result, _is_complete(own, reach, now_ms))
        due_ms = now_ms + own.limits.list_ms
        while now_ms < due_ms:
            _judge_settled(own, now_ms)
            claims = await signals.wait_at_most(
                own.claimed, claims, due_ms - now_ms
            )
            now_ms = own.clock.now_ms()


def note_failure(reach: Reach, now_ms: int, detail: str) -> None:
    """Takes note that the list could not be read."""
    if not reach.is_lost:
        logger.warning('list_lost', extra={'why': detail})
    reach.is_lost = True
    reach.lost_ms = now_ms


def _is_complete(own: ownerships.Ownership, reach: Reach, now_ms: int) -> bool:
    """Tells whether workers that are not listed are gone."""
    if reach.lost_ms is None:
        return True
    return now_ms - reach.lost_ms >= own.limits.return_ms


def take_list(
    own: ownerships.Ownership, listed: listings.Listed, is_complete: bool
) -> None:
    """Opens sessions with new workers, and takes note of changes."""
    hosts = own.book.hosts
    for id, worker in listed.workers.items():
        host = hosts.get(id)
        if host is None:
            logger.info(
                'worker_listed',
                extra={
                    'worker': id,
                    'pool': worker.pool,
                    'domain': worker.domain,
                    'life': worker.life,
                },
            )
            sessions.open_session(own, worker)
            continue
        host.is_listed = True
        if worker == host.worker:
            continue
        if worker.life > host.worker.life:
            sessions.begin_life(own, host, worker, 'listed')
        elif worker.life == host.worker.life:
            _note_state(host.worker, worker)
            host.worker = worker
        signals.notify(own.changed)
    for id, host in list(hosts.items()):
        if id not in listed.workers and is_complete and host.is_listed:
            host.is_listed = False
            logger.info(
                'worker_unlisted',
                extra={'worker': id, 'runs': len(host.runs)},
            )


def _note_state(before: workers.Worker, now: workers.Worker) -> None:
    if now.state is not before.state:
        logger.info(
            'worker_state',
            extra={'worker': now.id, 'state': now.state.value},
        )


def _judge_settled(own: ownerships.Ownership, now_ms: int) -> None:
    """Finds out when no unseen run of an earlier owner can be under way."""
    book = own.book
    if book.settled_ms is not None and now_ms >= book.settled_ms:
        return
    hosts = book.hosts.values()
    if all(host.is_claimed or host.is_gone for host in hosts):
        book.settled_ms = now_ms
        logger.info(
            'runs_settled',
            extra={
                'epoch': book.epoch,
                'after_ms': now_ms - book.opened_ms,
                'workers': len(book.hosts),
            },
        )
        signals.notify(own.changed)
        return
    book.settled_ms = leases.compute_settled(own)
