"""Sessions with workers.

Each session has two asyncio tasks: one claims and polls the worker, one sends
it starts and stops.
"""

import asyncio
import logging

from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)


async def run_poll_loop(
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
            retries.reset_backoff(backoff)
        else:
            wait_ms = retries.advance_backoff(backoff)
            await asyncio.sleep(clock.to_seconds(wait_ms))


async def claim(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Claims a worker and applies its inventory.

    Returns:
      Whether the worker accepted the claim.
    """
    lease_ms = context.settings.fleet.task_lease_ms
    session.renewed_ms = context.clock.now_ms()
    result = await session.client.claim(fleet.epoch, fleet.name, lease_ms)
    match result:
        case worker_clients.Claimed():
            session.last_answer_ms = context.clock.now_ms()
            _process_claim(fleet, session, result, context.clock.wall_ms())
            return True
        case worker_clients.StaleToken():
            _record_fencing(fleet, session)
    return False


def _process_claim(
    fleet: fleets.Fleet,
    session: fleets.Session,
    claimed: worker_clients.Claimed,
    now_ms: int,
) -> None:
    session.boot_id = claimed.boot_id
    session.last_event = claimed.last_event
    session.claimed = True
    if session.worker.state is workers.TargetState.LIVE:
        scheduling.add_worker(fleet.scheduler, session.worker)
    for entry in claimed.inventory:
        assigned_requests.update_task(fleet, session.worker.id, entry, now_ms)
    signals.notify(fleet.scheduling_needed)
    logger.info(
        'worker_claimed',
        extra={
            'worker': session.worker.id,
            'partition': fleet.name,
            'tasks': len(claimed.inventory),
        },
    )


def _record_fencing(fleet: fleets.Fleet, session: fleets.Session) -> None:
    logger.warning(
        'fleet_fenced',
        extra={'partition': fleet.name, 'worker': session.worker.id},
    )
    fleet.fenced.set()
    signals.notify(session.send_needed)
    signals.notify(fleet.scheduling_needed)


async def poll(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Polls a worker once for ended tasks; returns whether it answered."""
    settings = context.settings.fleet
    now_ms = context.clock.now_ms()
    lease_ms = settings.task_lease_ms
    if now_ms - session.last_answer_ms > lease_ms // 2 + settings.poll_ms:
        # The worker may receive calls although its answers get lost. Not
        # renewing the leases makes sure that they expire on the worker.
        lease_ms = 0
    else:
        session.renewed_ms = now_ms
    acknowledged = tuple(session.acknowledged)
    result = await session.client.poll(
        fleet.epoch,
        worker_clients.Poll(
            lease_ms, settings.poll_ms, session.last_event, acknowledged
        ),
    )
    match result:
        case worker_clients.Polled():
            session.last_answer_ms = context.clock.now_ms()
            session.last_event = result.last_event
            session.acknowledged.difference_update(acknowledged)
            for entry in result.ended:
                if entry.task not in session.acknowledged:
                    now_ms = context.clock.wall_ms()
                    assigned_requests.update_task(
                        fleet, session.worker.id, entry, now_ms
                    )
            if result.leaving:
                scheduling.remove_worker(fleet.scheduler, session.worker.id)
            return True
        case worker_clients.StaleToken():
            _record_fencing(fleet, session)
    return False


async def run_send_loop(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> None:
    """Sends starts and stops to a worker until cancelled or fenced."""
    backoff = retries.Backoff(context.rng)
    while not fleet.fenced.is_set() and not session.closed:
        count = session.send_needed.count
        sent = True
        if session.unsent_starts:
            sent = await send_starts(fleet, context, session)
        if session.unsent_stops and sent:
            sent = await send_stops(fleet, context, session)
        if sent:
            retries.reset_backoff(backoff)
            if not session.unsent_starts and not session.unsent_stops:
                await signals.wait_for_notification(session.send_needed, count)
        else:
            wait_ms = retries.advance_backoff(backoff)
            await asyncio.sleep(clock.to_seconds(wait_ms))


async def send_starts(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Sends the queued starts; returns whether the worker answered.

    A start that the worker has already received has no effect when repeated.
    """
    if not context.may_act():
        return False
    starts = list(session.unsent_starts)
    result = await session.client.start(fleet.epoch, starts)
    if isinstance(result, worker_clients.StaleToken):
        _record_fencing(fleet, session)
    if not isinstance(result, list):
        return False
    del session.unsent_starts[: len(starts)]
    for start, start_result in zip(starts, result, strict=True):
        if isinstance(start_result, worker_clients.Started):
            _process_start(fleet, session, start)
        else:
            _process_refusal(fleet, session, start, start_result.reason)
    return True


def _process_start(
    fleet: fleets.Fleet,
    session: fleets.Session,
    start: worker_clients.TaskStart,
) -> None:
    entry = session.tasks.get(start.task)
    if entry is None or entry.state is not workers.TaskState.RUNNING:
        return
    request = fleet.requests.get(start.task.request_key)
    if (
        request is None
        or not request.runs
        or request.assignment.attempt != start.task.attempt
    ):
        return
    run = request.runs[start.task.member]
    if run.state == 'starting':
        run.state = 'running'
        assigned_requests.process_member_states(fleet, request)


def _process_refusal(
    fleet: fleets.Fleet,
    session: fleets.Session,
    start: worker_clients.TaskStart,
    reason: str,
) -> None:
    fleets.drop_task(fleet, session, start.task)
    scheduling.release(fleet.scheduler, start.task)
    session.unsent_stops.discard(start.task)
    request = fleet.requests.get(start.task.request_key)
    if (
        request is None
        or not request.runs
        or request.assignment.attempt != start.task.attempt
    ):
        return
    logger.warning(
        'start_refused',
        extra={'worker': session.worker.id, 'reason': reason},
    )
    run = request.runs[start.task.member]
    run.state = 'stopped'
    run.detail = f'{session.worker.id} refused the start: {reason}'
    if (
        len(request.runs) == 1
        and not request.stop_reason
        and reason != 'stopped'
    ):
        request.runs = []
        scheduling.add_waiting(fleet.scheduler, request.assignment)
        signals.notify(fleet.scheduling_needed)
    else:
        assigned_requests.process_member_states(fleet, request)


async def send_stops(
    fleet: fleets.Fleet, context: contexts.Context, session: fleets.Session
) -> bool:
    """Sends the queued stops; returns whether the worker accepted them."""
    tasks = list(session.unsent_stops)
    grace_ms = context.settings.fleet.grace_ms
    result = await session.client.stop(fleet.epoch, tasks, grace_ms)
    if isinstance(result, worker_clients.StaleToken):
        _record_fencing(fleet, session)
    if result is not None:
        return False
    session.unsent_stops.difference_update(tasks)
    return True
