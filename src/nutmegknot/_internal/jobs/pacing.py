"""Holds filling tasks back where they disturb tasks that serve users.

Load pattern: filling tasks share a worker with serving ones, and the tail of
the serving ones' response times rises for seconds at a time.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs

logger = logging.getLogger(__name__)

# Part of the target below which filling tasks may work more again.
RELAXED_PART = 0.7
# Percent that filling tasks get at each step down, and are given at each up.
STEPS_DOWN = (50, 20, 0)
STEP_UP = 20
FULL = 100


def adjust(
    own: ownerships.Ownership, host: books.Host, inventory: runners.Inventory
) -> None:
    """Sets how much filling tasks on a worker may work, from the tails."""
    if not host.filling:
        return
    pressure = _measure(own.book, inventory) if host.serving else 0.0
    now_ms = own.clock.now_ms()
    before = host.pace
    if pressure > 1.0:
        if host.pressed_ms is None:
            host.pressed_ms = now_ms
        if now_ms - host.pressed_ms >= own.limits.pace_ms:
            host.pace = next((p for p in STEPS_DOWN if p < host.pace), 0)
    else:
        host.pressed_ms = None
        if pressure < RELAXED_PART:
            host.pace = min(FULL, host.pace + STEP_UP)
    if host.pace != before:
        logger.info(
            'worker_paced',
            extra={
                'worker': host.worker.id,
                'percent': host.pace,
                'before': before,
                'pressure': round(pressure, 2),
            },
        )
    _send_pace(own, host)


def _measure(book: books.Book, inventory: runners.Inventory) -> float:
    """Returns the largest tail as a part of its target."""
    largest = 0.0
    for row in inventory.runs:
        stage = books.find_stage(book, row.name)
        if stage is not None and stage.step.tail_target_ms:
            largest = max(largest, row.load / stage.step.tail_target_ms)
    return largest


def _send_pace(own: ownerships.Ownership, host: books.Host) -> None:
    for name, task in host.runs.items():
        stage = books.find_stage(own.book, name)
        is_running = task.phase is jobs.Phase.RUNNING
        if stage is None or not stage.step.fills or not is_running:
            continue
        if task.pace == host.pace:
            continue
        task.pace = host.pace
        _order(own, host, name, task.run, host.pace)


def _order(
    own: ownerships.Ownership,
    host: books.Host,
    name: jobs.TaskName,
    run: int,
    percent: int,
) -> None:
    async def send() -> None:
        if not ownerships.may_act(own):
            return
        result = await own.runners.pace(
            host.worker,
            name,
            run,
            percent,
            own.book.epoch,
            own.limits.call_ms,
        )
        if not isinstance(result, runners.Taken):
            # The next inventory shows the pace that is in force.
            logger.info(
                'pace_not_taken',
                extra={
                    'task': jobs.format_task(name),
                    'worker': host.worker.id,
                    'result': type(result).__name__,
                },
            )

    orders = own.orders.get(host.worker.id)
    if orders is not None:
        orders.queue.put_nowait(send)
