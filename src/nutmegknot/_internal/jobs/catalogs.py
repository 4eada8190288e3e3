"""Updates of the operators' settings in memory, never to older ones."""

import asyncio
import logging

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

SETTINGS_READ_TIMEOUT_MS = 1_000
SETTINGS_RETRY_DELAY_MS = 150
# Longest wait in a call for a change, where no other instance would notify this
# one of the change.
UNNOTIFIED_WAIT_MS = 1_000
# Longest wait in a call for a change, where the owner would notify this one.
NOTIFIED_WAIT_MS = 5_000
# Time-out of a call for a change, beyond its wait.
WAIT_TIMEOUT_MARGIN_MS = 700
# How long after its last answer the owner is expected to notify this instance.
OWNER_ANSWER_VALIDITY_MS = 1_200


async def follow_settings(node: nodes.Node) -> None:
    """Reads all settings, then waits for their changes, until cancelled."""
    is_complete = False
    read: listings.News | listings.HistoryGone | tables.Unavailable
    while True:
        if not is_complete:
            read = await node.outside.listings.read_catalog(
                SETTINGS_READ_TIMEOUT_MS
            )
        else:
            read = await _wait_for_change(node)
        match read:
            case listings.News():
                is_complete = True
                apply_settings(node, read)
            case listings.HistoryGone():
                logger.warning('settings_history_gone')
                is_complete = False
            case tables.Unavailable(detail):
                logger.warning('settings_unread', extra={'why': detail})
                # Changes may have been missed, so all settings are read again.
                is_complete = False
                await clock_lib.sleep(SETTINGS_RETRY_DELAY_MS)


async def _wait_for_change(
    node: nodes.Node,
) -> listings.News | listings.HistoryGone | tables.Unavailable:
    """Waits for a change; reads all settings if an instance knows newer ones.

    The wait is long if the owner has answered lately, since it would notify
    this instance of a change.
    """
    wait_ms = UNNOTIFIED_WAIT_MS
    if node.own is None and node.owner is not None:
        age_ms = node.clock.now_ms() - node.owner.answered_ms
        if age_ms < OWNER_ANSWER_VALIDITY_MS:
            wait_ms = NOTIFIED_WAIT_MS
    change = asyncio.ensure_future(
        node.outside.listings.follow_catalog(
            wait_ms, wait_ms + WAIT_TIMEOUT_MARGIN_MS
        )
    )
    count = node.changed.count
    try:
        while not change.done():
            notified = asyncio.create_task(
                signals.wait_beyond(node.changed, count)
            )
            await asyncio.wait(
                (change, notified), return_when=asyncio.FIRST_COMPLETED
            )
            notified.cancel()
            count = node.changed.count
            revision_in_force = (
                0 if node.catalog is None else node.catalog.revision
            )
            if not change.done() and node.known_revision > revision_in_force:
                return await node.outside.listings.read_catalog(
                    SETTINGS_READ_TIMEOUT_MS
                )
        return change.result()
    finally:
        change.cancel()


def apply_settings(node: nodes.Node, update: listings.News) -> None:
    """Puts settings that were read in force if they are newer."""
    node.news_ms = node.clock.now_ms()
    revision_in_force = 0 if node.catalog is None else node.catalog.revision
    if update.catalog is None or update.position <= node.settings_position:
        return
    if update.catalog.revision < revision_in_force:
        logger.error(
            'settings_older',
            extra={
                'revision': update.catalog.revision,
                'in_force': revision_in_force,
            },
        )
        return
    node.settings_position = update.position
    if update.catalog == node.catalog:
        return
    node.catalog = update.catalog
    if node.own is not None:
        node.own.book.catalog = update.catalog
        signals.notify(node.own.changed)
    logger.info(
        'settings_in_force',
        extra={
            'revision': update.catalog.revision,
            'position': update.position,
            'queues': len(update.catalog.queues),
            'customers': len(update.catalog.customers),
            'closed': ','.join(sorted(update.catalog.closed_domains)),
        },
    )
    signals.notify(node.changed)
