"""Orders to stop runs."""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import fences
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

# Wait between attempts to stop a run whose worker does not answer, in ms.
RETRY_MS = 300


def stop_run(
    own: ownerships.Ownership, name: jobs.TaskName, task: jobs.Task, why: str
) -> None:
    """Has a run stopped; its resources stay counted until it is gone."""
    if task.phase is jobs.Phase.STOPPING:
        return
    counters.count(own.figures.stops, why)
    host = own.book.hosts.get(task.worker)
    logger.info(
        'run_stopping',
        extra={
            'task': jobs.format_task(name),
            'run': task.run,
            'worker': task.worker,
            'why': why,
        },
    )
    if task.phase is not jobs.Phase.DONE:
        task.phase = jobs.Phase.STOPPING
    # Not settled before the worker has answered the stop.
    task.settled_ms = own.clock.now_ms() + own.limits.late_ms
    if host is not None:
        send_stop(own, host, name, task.run)


def stop_unknown(
    own: ownerships.Ownership, host: books.Host, name: jobs.TaskName, run: int
) -> None:
    """Has a run stopped that has no place in the book."""
    logger.warning(
        'run_unwanted',
        extra={
            'task': jobs.format_task(name),
            'run': run,
            'worker': host.worker.id,
        },
    )
    send_stop(own, host, name, run)


def send_stop(
    own: ownerships.Ownership, host: books.Host, name: jobs.TaskName, run: int
) -> None:
    """Queues the order to stop a run on a worker."""
    orders = own.orders.get(host.worker.id)
    if orders is not None:
        orders.queue.put_nowait(lambda: _send(own, host, name, run))


async def _send(
    own: ownerships.Ownership, host: books.Host, name: jobs.TaskName, run: int
) -> None:
    """Orders a stop until the worker has answered it or has ended."""
    life = host.worker.life
    attempt = 0
    while host.worker.life == life and ownerships.may_act(own):
        result = await own.runners.stop(
            host.worker,
            name,
            run,
            own.book.epoch,
            bounds.get_attempt_limit(own.limits, attempt),
        )
        attempt += 1
        match result:
            case runners.Taken():
                _settle(own, host, name, run)
                return
            case runners.Refused(reason):
                fences.note_refusal(own, host, reason)
                if reason in (runners.Refusal.OLD, runners.Refusal.FENCED):
                    _settle(own, host, name, run)
                    return
            case runners.Unanswered() | runners.Unreached():
                pass
        if own.book.hosts.get(host.worker.id) is not host:
            return
        await clock_lib.sleep(RETRY_MS)


def _settle(
    own: ownerships.Ownership, host: books.Host, name: jobs.TaskName, run: int
) -> None:
    """Takes note that the run ends, and can't start any more."""
    task = host.runs.get(name)
    if task is not None and task.run == run:
        task.settled_ms = own.clock.now_ms()
