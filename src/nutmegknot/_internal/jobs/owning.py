"""Finds the owner of the jobs, and takes the ownership over where it is free.

The owner row changes with each of the owner's writes. Who sees it unchanged
for the length of the lease, by its own clock, may replace it; the condition on
its version lets one succeed.
"""

import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import advising
from nutmegknot._internal.jobs import forgetting
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import opening
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import peers
from nutmegknot._internal.jobs import placing
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import rosters
from nutmegknot._internal.jobs import sessions
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Interval of reading the owner row while the owner is silent, in ms.
WATCH_MS = 120
STORE_MS = 700
# A weaker owner hands over to an instance that has so many times its
# processors; how long after its start and how often it looks, in ms.
YIELD_FACTOR = 1.5
YIELD_AFTER_MS = 2_000
YIELD_CHECK_MS = 250
# An owner that gets so late to what is due hands over to an instance that is
# late by at most the given part of that.
OVERLOADED_MS = 70
RELIEF_PART = 0.34
# How much longer a late instance waits for each ms before it takes over, and
# the most that it waits for that, in ms.
WAIT_PER_LATE_MS = 4
MOST_LATE_WAIT_MS = 1_000
# Time to read newer settings before the owner is greeted again, in ms.
NEWS_MS = 100
# How long nothing must have listened at the owner's address, in ms.
REFUSED_MS = 200
# How much longer an instance waits for each core that it has less than the
# strongest, which so takes over first; what that has while it is not known.
WAIT_PER_CORE_MS = 150
FULL_STRENGTH = 2_200
# Shortest time between two readings of the owner row, in ms.
LEAST_WATCH_MS = 10
READ_BOOK_MS = 6_000
# After a planned hand-over an instance waits the longer the older it is: 1 ms
# for so many ms of age, up to so many ms.
AGE_PER_WAIT = 100
MOST_AGE_WAIT_MS = 150


async def keep_owner(node: nodes.Node) -> None:
    """Follows the owner, and becomes it where it is free."""
    while not node.is_stopping:
        if node.own is not None:
            await _wait_end(node, node.own)
            continue
        if await _is_answered(node):
            continue
        await _watch(node)


async def _is_answered(node: nodes.Node) -> bool:
    """Greets the owner that is known; tells whether it is the owner still."""
    owner = node.owner
    if owner is None or not owner.row.holder:
        return False
    reply = await peers.greet(node, owner.row.address)
    if isinstance(reply, peers.Silence):
        note_silence(node, reply)
        return False
    node.refused_ms = None
    node.is_silent = False
    node.known_revision = max(node.known_revision, reply.configuration)
    if not reply.reaches_store and node.relay is not None:
        await relays.check(node.relay)
    if reply.instance != owner.row.holder and owner.row.holder:
        # The process that held it is not there any more.
        owner.since_ms = min(
            owner.since_ms, node.clock.now_ms() - node.limits.lease_ms
        )
        return False
    if reply.epoch != owner.row.epoch:
        return False
    owner.answered_ms = node.clock.now_ms()
    node.strongest = reply.strongest
    if reply.version > owner.version:
        owner.version = reply.version
    if reply.version == owner.version:
        # The row has had this version since before the answer came.
        owner.since_ms = owner.answered_ms
    signals.notify(node.changed)
    known = 0 if node.catalog is None else node.catalog.revision
    if reply.configuration > known:
        # The owner answers at once until the news has been read.
        await clock_lib.sleep(NEWS_MS)
    return True


def note_silence(node: nodes.Node, silence: peers.Silence) -> None:
    """Takes note that the owner left a greeting without an answer."""
    node.is_silent = True
    if not silence.is_refused:
        node.refused_ms = None
    elif node.refused_ms is None:
        node.refused_ms = node.clock.now_ms()


async def _watch(node: nodes.Node) -> None:
    """Reads the owner row, and takes over if its lease has ended."""
    found = await opening.read_owner(node.outside.table, STORE_MS)
    if found is None:
        if node.owner is not None:
            # While the store is away the row may not change, so that says
            # nothing of its owner.
            node.owner.since_ms = node.clock.now_ms()
        await clock_lib.sleep(WATCH_MS)
        return
    note_row(node, found)
    wait_ms = get_wait_ms(node)
    if wait_ms == 0 and node.catalog is not None and not node.is_stopping:
        await _take_over(node, found)
        return
    await clock_lib.sleep(min(WATCH_MS, max(LEAST_WATCH_MS, wait_ms)))


def note_row(node: nodes.Node, found: opening.Owner) -> None:
    """Takes note of the owner row that was read."""
    known = node.owner
    if known is not None and known.version == found.version:
        return
    now_ms = node.clock.now_ms()
    is_new = known is None or known.row.epoch != found.row.epoch
    node.owner = nodes.Sighting(found.row, found.version, now_ms)
    if is_new:
        # What was seen of the earlier owner's address says nothing of this one.
        node.refused_ms = None
        node.is_silent = False
    elif known is not None:
        node.owner.answered_ms = known.answered_ms
    if is_new or not found.row.holder:
        logger.info(
            'owner_seen',
            extra={
                'epoch': found.row.epoch,
                'holder': found.row.holder,
                'address': found.row.address,
            },
        )
    signals.notify(node.changed)


def get_wait_ms(node: nodes.Node) -> int:
    """Returns after which time this instance may replace the owner, in ms.

    It is 0 once it may, if nothing is heard of the owner until then.
    """
    owner = node.owner
    if owner is None:
        return node.limits.lease_ms
    spare = max(0, (node.strongest or FULL_STRENGTH) - node.strength)
    patience_ms = spare * WAIT_PER_CORE_MS // clock_lib.MS_PER_S
    patience_ms += min(
        MOST_LATE_WAIT_MS, int(WAIT_PER_LATE_MS * node.lateness.mean_ms)
    )
    if owner.version == tables.ABSENT or not owner.row.holder:
        # In a rolling restart the youngest process is stopped last.
        age_ms = node.clock.now_ms() - node.started_ms
        patience_ms += min(MOST_AGE_WAIT_MS, age_ms // AGE_PER_WAIT)
        lease_ms = 0
    elif owner.row.address == node.address:
        # An earlier process at our own address, which has ended.
        return 0
    else:
        lease_ms = node.limits.lease_ms
    free_ms = owner.since_ms + lease_ms + patience_ms
    if node.refused_ms is not None:
        # Its process has ended. Should it live on behind a broken network, its
        # next write fails, and workers that were claimed refuse its orders.
        free_ms = min(free_ms, node.refused_ms + REFUSED_MS + patience_ms)
    return max(0, free_ms - node.clock.now_ms())


async def _take_over(node: nodes.Node, found: opening.Owner) -> None:
    sent_ms = node.clock.now_ms()
    owner = await opening.take_over(
        node.outside.table, found, node.id, node.address, STORE_MS
    )
    if owner is None:
        await clock_lib.sleep(WATCH_MS)
        return
    logger.info(
        'ownership_gained',
        extra={
            'epoch': owner.row.epoch,
            'before': found.row.holder,
            'version': owner.version,
        },
    )
    note_row(node, owner)
    await open_ownership(node, owner, sent_ms)


async def open_ownership(
    node: nodes.Node, owner: opening.Owner, sent_ms: int
) -> None:
    """Reads the book and begins to serve as the owner."""
    writer = writes.Writer(
        node.outside.table,
        node.clock,
        owner.row,
        owner.version,
        sent_ms,
        node.figures,
    )
    part = tasks.Tasks(broken=node.tasks.broken)
    tasks.spawn(
        part,
        writes.keep_writing(
            writer, node.limits.gather_ms, node.limits.renew_ms, node.rng
        ),
        'write',
    )
    book = await _read_book(node, writer)
    if book is None:
        await _give_up(writer, part)
        return
    own = ownerships.Ownership(
        node.clock,
        node.rng,
        node.limits,
        node.outside.runners,
        {},
        writer,
        book,
        part,
        node.figures,
        node.relay,
    )

    def take_written() -> None:
        placing.take_written(own)
        sessions.take_written(own)

    writer.on_written = take_written
    _begin(node, own)


async def _read_book(
    node: nodes.Node, writer: writes.Writer
) -> books.Book | None:
    """Reads the book until it can be read; None if that takes too long."""
    assert node.catalog is not None, 'an owner has read the settings'
    until_ms = node.clock.now_ms() + READ_BOOK_MS
    while True:
        book = await opening.read_book(
            node.outside.table,
            writer.row.epoch,
            node.clock.now_ms(),
            node.catalog,
        )
        if not isinstance(book, tables.Unavailable):
            return book
        logger.warning('book_unread', extra={'why': book.detail})
        if writer.is_lost or node.clock.now_ms() > until_ms:
            return None
        await clock_lib.sleep(WATCH_MS)


async def _give_up(writer: writes.Writer, part: tasks.Tasks) -> None:
    if not writer.is_lost:
        await release(writer)
    await tasks.cancel_all(part)


def _begin(node: nodes.Node, own: ownerships.Ownership) -> None:
    for job in own.book.jobs.values():
        if jobs.is_timed(job.order):
            own.timed.add(job.order.id)
        placing.advance(own, job)
    part = own.tasks
    for worker in own.book.earlier:
        sessions.open_session(own, worker, is_listed=False)
    tasks.spawn(
        part,
        rosters.keep_roster(own, node.outside.listings, node.reach),
        'roster',
    )
    tasks.spawn(part, placing.keep_placing(own), 'place')
    tasks.spawn(
        part,
        advising.keep_advising(own, node.outside.advise),
        'advise',
    )
    tasks.spawn(part, forgetting.keep_forgetting(own), 'forget')
    # Settings may have come while the book was read.
    if node.catalog is not None:
        own.book.catalog = node.catalog
    node.own = own
    counters.count(node.figures.takeovers, 'gained')
    logger.info(
        'jobs_opened',
        extra={
            'epoch': own.book.epoch,
            'jobs': len(own.book.jobs),
            'after_ms': own.clock.now_ms() - own.writer.confirmed_ms,
        },
    )
    signals.notify(node.changed)


async def _wait_end(node: nodes.Node, own: ownerships.Ownership) -> None:
    """Waits until the ownership is lost, and closes it."""
    count = 0
    while not own.writer.is_lost:
        count = await signals.wait_at_most(
            own.writer.ended, count, YIELD_CHECK_MS
        )
        if not own.writer.is_lost and _should_yield(node, own):
            logger.info(
                'ownership_yielded',
                extra={
                    'epoch': own.book.epoch,
                    'strength': node.strength,
                    'late_ms': int(node.lateness.mean_ms),
                },
            )
            await release(own.writer)
    await close(node)


def _should_yield(node: nodes.Node, own: ownerships.Ownership) -> bool:
    """Tells whether another instance would own the jobs much better."""
    age_ms = node.clock.now_ms() - own.book.opened_ms
    if node.relay is None or age_ms < YIELD_AFTER_MS:
        return False
    late_ms = node.lateness.mean_ms
    standbys = relays.list_standbys(node.relay)
    if late_ms >= OVERLOADED_MS:
        return any(p.late_ms <= late_ms * RELIEF_PART for p in standbys)
    return any(
        peer.strength >= node.strength * YIELD_FACTOR
        and peer.late_ms < OVERLOADED_MS
        for peer in standbys
    )


async def close(node: nodes.Node) -> None:
    """Stops serving as the owner at once."""
    own, node.own = node.own, None
    if own is None:
        return
    counters.count(node.figures.takeovers, 'ended')
    logger.info('jobs_closed', extra={'epoch': own.book.epoch})
    signals.notify(node.changed)
    await tasks.cancel_all(own.tasks)


async def release(writer: writes.Writer) -> None:
    """Writes that the jobs have no owner, so that another takes over."""
    writer.row.holder = ''
    writes.mark(writer, RELEASE_MARK, lambda: None, is_hurried=True)
    await writes.wait_written(writer)
    if not writer.is_lost:
        writes.lose(writer)


# A row that is never there; removing it has the owner row written at once.
RELEASE_MARK = 'jobs/released'
