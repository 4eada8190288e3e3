"""Signals that wake all tasks that wait for them."""

import asyncio
import dataclasses

from nutmegknot._internal.utils import clock


@dataclasses.dataclass(slots=True)
class Signal:
    """A signal that counts its notifications.

    A task that waits passes the count that it saw last. So it does not miss a
    notification that came before it began to wait.

    Attributes:
      count: Number of notifications so far.
      next_notification: Future that the next notification completes; None if no
        task waits.
    """

    count: int = 0
    next_notification: asyncio.Future[None] | None = None


def notify(signal: Signal) -> None:
    """Wakes all tasks that wait for the signal."""
    signal.count += 1
    if signal.next_notification is not None:
        if not signal.next_notification.done():
            signal.next_notification.set_result(None)
        signal.next_notification = None


async def wait_for_notification(signal: Signal, seen_count: int) -> int:
    """Waits until there have been more than seen_count notifications.

    Returns:
      The number of notifications so far.
    """
    while signal.count <= seen_count:
        if signal.next_notification is None:
            signal.next_notification = (
                asyncio.get_running_loop().create_future()
            )
        await asyncio.shield(signal.next_notification)
    return signal.count


async def wait_with_timeout(
    signal: Signal, seen_count: int, wait_ms: int
) -> int:
    """Waits for more than seen_count notifications, but at most wait_ms.

    Returns:
      The number of notifications so far.
    """
    try:
        async with asyncio.timeout(clock.to_seconds(wait_ms)):
            return await wait_for_notification(signal, seen_count)
    except TimeoutError:
        return signal.count
