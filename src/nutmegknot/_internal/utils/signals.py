"""Notification of any number of waiting tasks."""

import asyncio
import dataclasses

from nutmegknot._internal.utils import clock as clock_lib


@dataclasses.dataclass(slots=True)
class Signal:
    """Counts notifications, so that a waiter misses none.

    Attributes:
      count: Notifications so far.
      next: Completed by the next notification; None if nobody waits.
    """

    count: int = 0
    next: asyncio.Future[None] | None = None


def notify(signal: Signal) -> None:
    """Wakes all waiters."""
    signal.count += 1
    if signal.next is not None:
        if not signal.next.done():
            signal.next.set_result(None)
        signal.next = None


async def wait_beyond(signal: Signal, count: int) -> int:
    """Waits until there were more than count notifications.

    Returns:
      The number of notifications so far.
    """
    while signal.count <= count:
        if signal.next is None:
            signal.next = asyncio.get_running_loop().create_future()
        await asyncio.shield(signal.next)
    return signal.count


async def wait_at_most(signal: Signal, count: int, wait_ms: int) -> int:
    """Waits like wait_beyond, but at most wait_ms."""
    try:
        async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
            return await wait_beyond(signal, count)
    except TimeoutError:
        return signal.count
