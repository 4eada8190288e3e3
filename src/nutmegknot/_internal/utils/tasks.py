"""Sets of asyncio tasks that are cancelled together when their owner ends.

An exception that a task does not catch means that an invariant is violated. The
first one is stored; the code that waits for it then stops the process. A task
that serves one peer or one worker is run again instead, so that one malformed
message does not end the service of all others.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import logging
from typing import Any

from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

# Wait before a task that has failed is run again.
RERUN_DELAY_MS = 100


@dataclasses.dataclass(slots=True)
class TaskSet:
    """A set of running tasks.

    Attributes:
      running: Tasks that have not ended.
      first_error: Completed with the first exception that a task did not catch.
    """

    running: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    first_error: asyncio.Future[BaseException] = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


def spawn(
    tasks: TaskSet, coroutine: Coroutine[Any, Any, None], name: str
) -> asyncio.Task[None]:
    """Starts a coroutine as a task of the set and returns the task."""
    task = asyncio.create_task(coroutine, name=name)
    tasks.running.add(task)
    task.add_done_callback(lambda ended: _record_end(tasks, ended))
    return task


def spawn_restartable(
    tasks: TaskSet,
    run: Callable[[], Coroutine[Any, Any, None]],
    name: str,
) -> asyncio.Task[None]:
    """Starts a task of the set that is run again after an unexpected error.

    Args:
      tasks: The set.
      run: Returns the coroutine to run; called again after each error.
      name: Name of the task.
    """
    return spawn(tasks, _run_again_after_errors(run, name), name)


async def _run_again_after_errors(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    while True:
        try:
            await run()
            return
        except Exception as error:
            logger.exception(
                'task_failed', extra={'task': name, 'why': repr(error)}
            )
        await clock.sleep(RERUN_DELAY_MS)


def _record_end(tasks: TaskSet, ended: asyncio.Task[None]) -> None:
    tasks.running.discard(ended)
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None and not tasks.first_error.done():
        tasks.first_error.set_result(error)


async def wait_for_error(tasks: TaskSet) -> BaseException:
    """Waits until a task raises an exception that it does not catch.

    Returns:
      The first such exception of the set.
    """
    return await asyncio.shield(tasks.first_error)


async def cancel_all(tasks: TaskSet) -> None:
    """Cancels all tasks of the set and waits until they have ended."""
    running = list(tasks.running)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancels one task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
