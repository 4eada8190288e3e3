"""Updates of the operators' settings in memory, never to older ones."""

import asyncio
import logging

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.utils import clock
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
    read: listings.SettingsUpdate | listings.HistoryExpired | tables.Unavailable
    while True:
        if not is_complete:
            read = await node.backends.listings.read_settings(
                SETTINGS_READ_TIMEOUT_MS
            )
        else:
            read = await _wait_for_change(node)
        match read:
            case listings.SettingsUpdate():
                is_complete = True
                apply_settings(node, read)
            case listings.HistoryExpired():
                logger.warning('settings_history_gone')
                is_complete = False
            case tables.Unavailable(detail):
                logger.warning('settings_unread', extra={'why': detail})
                # Changes may have been missed, so all settings are read again.
                is_complete = False
                await clock.sleep(SETTINGS_RETRY_DELAY_MS)


async def _wait_for_change(
    node: nodes.Node,
) -> listings.SettingsUpdate | listings.HistoryExpired | tables.Unavailable:
    """Waits for a change; reads all settings if an instance knows newer ones.

    The wait is long if the owner has answered lately, since it would notify
    this instance of a change.
    """
    wait_ms = UNNOTIFIED_WAIT_MS
    if node.ownership is None and node.owner is not None:
        age_ms = node.clock.now_ms() - node.owner.answered_ms
        if age_ms < OWNER_ANSWER_VALIDITY_MS:
            wait_ms = NOTIFIED_WAIT_MS
    change = asyncio.ensure_future(
        node.backends.listings.watch_settings(
            wait_ms, wait_ms + WAIT_TIMEOUT_MARGIN_MS
        )
    )
    count = node.changed.count
    try:
        while not change.done():
            notified = asyncio.create_task(
                signals.wait_for_notification(node.changed, count)
            )
            await asyncio.wait(
                (change, notified), return_when=asyncio.FIRST_COMPLETED
            )
            notified.cancel()
            count = node.changed.count
            revision_in_force = (
                0 if node.settings is None else node.settings.revision
            )
            if not change.done() and node.known_revision > revision_in_force:
                return await node.backends.listings.read_settings(
                    SETTINGS_READ_TIMEOUT_MS
                )
        return change.result()
    finally:
        change.cancel()


def apply_settings(node: nodes.Node, update: listings.SettingsUpdate) -> None:
    """Puts settings that were read in force if they are newer."""
    node.settings_confirmed_ms = node.clock.now_ms()
    revision_in_force = 0 if node.settings is None else node.settings.revision
    if update.settings is None or update.position <= node.settings_position:
        return
    if update.settings.revision < revision_in_force:
        logger.error(
            'settings_older',
            extra={
                'revision': update.settings.revision,
                'in_force': revision_in_force,
            },
        )
        return
    node.settings_position = update.position
    if update.settings == node.settings:
        return
    node.settings = update.settings
    if node.ownership is not None:
        node.ownership.cluster.settings = update.settings
        signals.notify(node.ownership.scheduling_needed)
    logger.info(
        'settings_in_force',
        extra={
            'revision': update.settings.revision,
            'position': update.position,
            'queues': len(update.settings.queues),
            'customers': len(update.settings.customers),
            'closed': ','.join(sorted(update.settings.closed_domains)),
        },
    )
    signals.notify(node.changed)
