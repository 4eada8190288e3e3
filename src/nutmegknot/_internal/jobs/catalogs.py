"""Keeps the operators' settings in force; never older ones."""

import asyncio
import logging

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

READ_MS = 1_000
RETRY_MS = 150
# Longest wait for a change: short where no other instance would tell of it.
ALONE_WAIT_MS = 1_000
WAIT_MS = 5_000
# Allowed beyond the wait before a call counts as lost, in ms.
ANSWER_MS = 700
# How long after the owner's last answer it is relied on for news, in ms.
RELY_MS = 1_200


async def keep_catalog(node: nodes.Node) -> None:
    """Reads the settings whole, then follows their changes."""
    is_whole = False
    read: listings.News | listings.HistoryGone | tables.Unavailable
    while True:
        if not is_whole:
            read = await node.outside.listings.read_catalog(READ_MS)
        else:
            read = await _follow(node)
        match read:
            case listings.News():
                is_whole = True
                take_news(node, read)
            case listings.HistoryGone():
                logger.warning('settings_history_gone')
                is_whole = False
            case tables.Unavailable(detail):
                logger.warning('settings_unread', extra={'why': detail})
                # What was missed meanwhile is read whole.
                is_whole = False
                await clock_lib.sleep(RETRY_MS)


async def _follow(
    node: nodes.Node,
) -> listings.News | listings.HistoryGone | tables.Unavailable:
    """Waits for a change, but not when another instance tells of one."""
    wait_ms = ALONE_WAIT_MS
    if node.own is None and node.owner is not None:
        age_ms = node.clock.now_ms() - node.owner.answered_ms
        if age_ms < RELY_MS:
            wait_ms = WAIT_MS
    following = asyncio.ensure_future(
        node.outside.listings.follow_catalog(wait_ms, wait_ms + ANSWER_MS)
    )
    count = node.changed.count
    try:
        while not following.done():
            told = asyncio.create_task(signals.wait_beyond(node.changed, count))
            await asyncio.wait(
                (following, told), return_when=asyncio.FIRST_COMPLETED
            )
            told.cancel()
            count = node.changed.count
            known = 0 if node.catalog is None else node.catalog.revision
            if not following.done() and node.known_revision > known:
                return await node.outside.listings.read_catalog(READ_MS)
        return following.result()
    finally:
        following.cancel()


def take_news(node: nodes.Node, news: listings.News) -> None:
    """Puts newer settings in force."""
    node.news_ms = node.clock.now_ms()
    known = 0 if node.catalog is None else node.catalog.revision
    if news.catalog is None or news.position <= node.position:
        return
    if news.catalog.revision < known:
        logger.error(
            'settings_older',
            extra={'revision': news.catalog.revision, 'in_force': known},
        )
        return
    node.position = news.position
    if news.catalog == node.catalog:
        return
    node.catalog = news.catalog
    if node.own is not None:
        node.own.book.catalog = news.catalog
        signals.notify(node.own.changed)
    logger.info(
        'settings_in_force',
        extra={
            'revision': news.catalog.revision,
            'position': news.position,
            'queues': len(news.catalog.queues),
            'customers': len(news.catalog.customers),
            'closed': ','.join(sorted(news.catalog.closed_domains)),
        },
    )
    signals.notify(node.changed)
