"""Sessions with workers: one task polls, one sends starts and stops."""

import asyncio
import logging

from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)


async def keep_session(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> None:
    """Claims a worker, then polls it until cancelled or fenced."""
    backoff = retries.Backoff(context.rng)
    while not fleet.fenced.is_set() and not session.closed:
        if not context.may_act():
            answered = False
        elif not session.claimed:
            answered = await claim(fleet, context, session)
        else:
            answered = await poll(fleet, context, session)
        if answered:
            retries.reset(backoff)
        else:
            wait_ms = retries.take_wait(backoff)
            await asyncio.sleep(clock_lib.to_seconds(wait_ms))


async def claim(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Claims a worker and takes its inventory; tells whether it answered."""
    lease_ms = context.settings.fleet.task_lease_ms
    session.renewed_ms = context.clock.now_ms()
    result = await session.target.claim(fleet.epoch, fleet.name, lease_ms)
    match result:
        case platform_fleets.Claimed():
            session.answered_ms = context.clock.now_ms()
            _take_claim(fleet, session, result, context.clock.wall_ms())
            return True
        case platform_fleets.StaleToken():
            _fence(fleet, session)
    return False


def _take_claim(
    fleet: fleets.Fleet,
    session: fleets.Session,
    claimed: platform_fleets.Claimed,
    now_ms: int,
) -> None:
    session.boot = claimed.boot
    session.event = claimed.event
    session.claimed = True
    if session.worker.state is workers.TargetState.LIVE:
        scheduling.add_worker(fleet.scheduler, session.worker)
    for entry in claimed.inventory:
        jobs.take_entry(fleet, session.worker.id, entry, now_ms)
    signals.notify(fleet.changed)
    logger.info(
        'worker_claimed',
        extra={
            'worker': session.worker.id,
            'partition': fleet.name,
            'tasks': len(claimed.inventory),
        },
    )


def _fence(fleet: fleets.Fleet, session: fleets.Session) -> None:
    logger.warning(
        'fleet_fenced',
        extra={'partition': fleet.name, 'worker': session.worker.id},
    )
    fleet.fenced.set()
    signals.notify(session.wake)
    signals.notify(fleet.changed)


async def poll(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Polls a worker for news once; tells whether it answered."""
    settings = context.settings.fleet
    now_ms = context.clock.now_ms()
    lease_ms = settings.task_lease_ms
    if now_ms - session.answered_ms > lease_ms // 2 + settings.poll_ms:
        # The worker may hear without being heard; no further renewal lets its
        # leases lapse for certain.
        lease_ms = 0
    else:
        session.renewed_ms = now_ms
    acknowledged = tuple(session.acknowledged)
    result = await session.target.poll(
        fleet.epoch,
        platform_fleets.Poll(
            lease_ms, settings.poll_ms, session.event, acknowledged
        ),
    )
    match result:
        case platform_fleets.Polled():
            session.answered_ms = context.clock.now_ms()
            session.event = result.event
            session.acknowledged.difference_update(acknowledged)
            for entry in result.ended:
                if entry.task not in session.acknowledged:
                    now_ms = context.clock.wall_ms()
                    jobs.take_entry(fleet, session.worker.id, entry, now_ms)
            if result.leaving:
                scheduling.remove_worker(fleet.scheduler, session.worker.id)
            return True
        case platform_fleets.StaleToken():
            _fence(fleet, session)
    return False


async def keep_sending(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> None:
    """Sends starts and stops to a worker until cancelled or fenced."""
    backoff = retries.Backoff(context.rng)
    while not fleet.fenced.is_set() and not session.closed:
        count = session.wake.count
        sent = True
        if session.starts:
            sent = await send_starts(fleet, context, session)
        if session.stops and sent:
            sent = await send_stops(fleet, context, session)
        if sent:
            retries.reset(backoff)
            if not session.starts and not session.stops:
                await signals.wait_beyond(session.wake, count)
        else:
            wait_ms = retries.take_wait(backoff)
            await asyncio.sleep(clock_lib.to_seconds(wait_ms))


async def send_starts(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Sends the waiting starts; a repeat of one that arrived is harmless."""
    if not context.may_act():
        return False
    orders = list(session.starts)
    result = await session.target.start(fleet.epoch, orders)
    if isinstance(result, platform_fleets.StaleToken):
        _fence(fleet, session)
    if not isinstance(result, list):
        return False
    del session.starts[: len(orders)]
    for order, one in zip(orders, result, strict=True):
        if isinstance(one, platform_fleets.Started):
            _take_start(fleet, session, order)
        else:
            _take_refusal(fleet, session, order, one.reason)
    return True


def _take_start(
    fleet: fleets.Fleet, session: fleets.Session, order: platform_fleets.Start
) -> None:
    entry = session.tasks.get(order.task)
    if entry is None or entry.state is not workers.TaskState.RUNNING:
        return
    job = fleet.jobs.get(order.task.request_key)
    if job is None or not job.runs or job.given.attempt != order.task.attempt:
        return
    run = job.runs[order.task.member]
    if run.state == 'starting':
        run.state = 'running'
        jobs.follow(fleet, job)


def _take_refusal(
    fleet: fleets.Fleet,
    session: fleets.Session,
    order: platform_fleets.Start,
    reason: str,
) -> None:
    fleets.drop_task(fleet, session, order.task)
    scheduling.release(fleet.scheduler, order.task)
    session.stops.discard(order.task)
    job = fleet.jobs.get(order.task.request_key)
    if job is None or not job.runs or job.given.attempt != order.task.attempt:
        return
    logger.warning(
        'start_refused',
        extra={'worker': session.worker.id, 'reason': reason},
    )
    run = job.runs[order.task.member]
    run.state = 'stopped'
    run.detail = f'{session.worker.id} refused the start: {reason}'
    if len(job.runs) == 1 and not job.stopping and reason != 'stopped':
        job.runs = []
        scheduling.add_waiting(fleet.scheduler, job.given)
        signals.notify(fleet.changed)
    else:
        jobs.follow(fleet, job)


async def send_stops(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Sends the waiting stops; tells whether the worker took them."""
    tasks = list(session.stops)
    grace_ms = context.settings.fleet.grace_ms
    result = await session.target.stop(fleet.epoch, tasks, grace_ms)
    if isinstance(result, platform_fleets.StaleToken):
        _fence(fleet, session)
    if result is not None:
        return False
    session.stops.difference_update(tasks)
    return True
