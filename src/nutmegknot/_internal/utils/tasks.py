"""Tasks that live as long as their owner.

An exception that leaves a task is a broken invariant: it is kept, and whoever
waits with wait_broken gets it and stops the process.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Tasks:
    """A set of running tasks.

    Attributes:
      running: Tasks that have not ended.
      broken: Set to the first exception that left a task.
    """

    running: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    broken: asyncio.Future[BaseException] = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


def spawn(
    tasks: Tasks, work: Coroutine[Any, Any, None], name: str
) -> asyncio.Task[None]:
    """Starts work as a task of the set and returns the task."""
    task = asyncio.create_task(work, name=name)
    tasks.running.add(task)
    task.add_done_callback(lambda done: _settle(tasks, done))
    return task


def _settle(tasks: Tasks, done: asyncio.Task[None]) -> None:
    tasks.running.discard(done)
    if done.cancelled():
        return
    error = done.exception()
    if error is not None and not tasks.broken.done():
        tasks.broken.set_result(error)


async def wait_broken(tasks: Tasks) -> BaseException:
    """Waits until an exception leaves a task, and returns it."""
    return await asyncio.shield(tasks.broken)


async def cancel_all(tasks: Tasks) -> None:
    """Cancels the tasks of the set and waits until they have ended."""
    running = list(tasks.running)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancels one task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
