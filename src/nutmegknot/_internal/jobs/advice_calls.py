"""Calls advisers for stages that only some workers may run.

An adviser is a service that tells which workers may run a stage, and gives a
ticket for each of them, the permission to start. It serves one call at a time,
so there is one task for each adviser, which takes the most urgent request next.
"""

from collections.abc import Callable
import dataclasses
import logging

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 4_000
# Wait of a request after which it may go before more urgent ones.
MAX_REQUEST_WAIT_MS = 1_500
# Longest wait for a request before it is checked whether the adviser is still
# usable.
MAX_IDLE_WAIT_MS = 1_000
# Assumed for an answer of an adviser when its tickets' expiry is computed.
MAX_REPLY_LATENCY_MS = 40


def queue_request(
    ownership: ownerships.Ownership, request: advice_requests.AdviceRequest
) -> None:
    """Queues a request, unless one for the same stage is waiting or sent."""
    advice = request.stage.advice
    if advice.is_asking:
        return
    advice.is_asking = True
    name = jobs.format_stage(request.job.spec.id, request.stage)
    ownership.advice_queue.waiting[name] = request
    ownership.advice_queue.queued_ms[name] = ownership.clock.now_ms()
    signals.notify(ownership.advice_needed)


def withdraw_request(
    ownership: ownerships.Ownership, job: jobs.Job, stage: jobs.Stage
) -> None:
    """Removes the request for a stage that can't start now, if it waits."""
    if not stage.advice.is_asking or stage.advice.is_called:
        return
    name = jobs.format_stage(job.spec.id, stage)
    if ownership.advice_queue.waiting.pop(name, None) is not None:
        del ownership.advice_queue.queued_ms[name]
        stage.advice.is_asking = False


async def run_adviser_calls(
    ownership: ownerships.Ownership,
    advise: advisers.Advise,
    is_usable: Callable[[], bool] = lambda: True,
) -> None:
    """Calls one adviser with the most urgent requests while it is usable."""
    while is_usable():
        count = ownership.advice_needed.count
        name = _choose_request(ownership)
        if name is None:
            ownership.advice_queue.idle_advisers += 1
            try:
                await signals.wait_with_timeout(
                    ownership.advice_needed, count, MAX_IDLE_WAIT_MS
                )
            finally:
                ownership.advice_queue.idle_advisers -= 1
            continue
        request = ownership.advice_queue.waiting.pop(name)
        del ownership.advice_queue.queued_ms[name]
        advice = request.stage.advice
        advice.is_called = True
        try:
            await _call_adviser(ownership, advise, name, request)
        finally:
            advice.is_asking = advice.is_called = False
        signals.notify(ownership.scheduling_needed)


def _choose_request(ownership: ownerships.Ownership) -> str | None:
    """Returns the name of the stage whose request is sent next, or None.

    It is the most urgent one. Load pattern: urgent stages need new
    advice again and again, for instance as their workers are replaced, and less
    urgent ones would never be asked about. So every other time, the oldest
    request goes first if it has waited for long.

    Requests of jobs that have ended are removed.
    """
    queue = ownership.advice_queue
    for name, request in list(queue.waiting.items()):
        if jobs.is_final(request.job):
            request.stage.advice.is_asking = False
            del queue.waiting[name]
            del queue.queued_ms[name]
    waiting = queue.waiting
    oldest = _find_oldest(queue)
    queue.was_oldest_chosen = (
        oldest is not None
        and not queue.was_oldest_chosen
        and ownership.clock.now_ms() - queue.queued_ms[oldest]
        >= MAX_REQUEST_WAIT_MS
    )
    if queue.was_oldest_chosen:
        return oldest
    return min(waiting, key=lambda name: waiting[name].rank, default=None)


def _find_oldest(queue: advice_requests.AdviceQueue) -> str | None:
    """Returns the stage whose request has waited longest, or None.

    Stages whose result will be worth nothing are left out, as each call for
    them would delay others.
    """
    for name, request in queue.waiting.items():
        if request.rank.urgency_band < stage_ranking.TOO_LATE:
            return name
    return None


def update_ranks(ownership: ownerships.Ownership) -> None:
    """Updates the ranks of the waiting requests.

    Choosing a request does not do this, since each idle adviser chooses among
    all requests whenever one is added, and a rank takes about 6 us.
    """
    waiting = ownership.advice_queue.waiting
    wall_ms = ownership.clock.wall_ms()
    for name, request in waiting.items():
        rank = stage_ranking.rank_stage(
            ownership.cluster, request.job, request.stage, wall_ms
        )
        waiting[name] = dataclasses.replace(request, rank=rank)


async def _call_adviser(
    ownership: ownerships.Ownership,
    advise: advisers.Advise,
    name: str,
    request: advice_requests.AdviceRequest,
) -> None:
    lives = {
        id: ownership.cluster.workers_by_id[id].worker.life
        for id in request.workers
        if id in ownership.cluster.workers_by_id
    }
    sent_ms = ownership.clock.now_ms()
    result = await advise(name, list(lives), CALL_TIMEOUT_MS)
    advice = request.stage.advice
    instruments.record(
        ownership.metrics.advice_ms, ownership.clock.now_ms() - sent_ms
    )
    instruments.increment(
        ownership.metrics.advice, type(result).__name__.lower()
    )
    if isinstance(result, advisers.Unadvised):
        logger.warning(
            'advice_missing', extra={'stage': name, 'why': result.detail}
        )
        return
    # Not counted from the arrival of the answer: it began before that.
    until_ms = _compute_ticket_expiry(ownership, sent_ms, result.valid_ms)
    for id, life in lives.items():
        advice.asked[id] = life
        if id in result.tickets:
            advice.tickets[id] = jobs.Ticket(result.tickets[id], until_ms, life)
        else:
            advice.tickets.pop(id, None)
    logger.info(
        'advice_taken',
        extra={
            'stage': name,
            'asked': len(lives),
            'suited': len(result.tickets),
            'after_ms': ownership.clock.now_ms() - sent_ms,
        },
    )


def _compute_ticket_expiry(
    ownership: ownerships.Ownership, sent_ms: int, valid_ms: int
) -> int:
    """Returns when the tickets of an answer expire, by this instance's clock.

    Their validity counts from when the call was sent, or, after a long call,
    from MAX_REPLY_LATENCY_MS before the answer came.
    """
    return (
        max(sent_ms, ownership.clock.now_ms() - MAX_REPLY_LATENCY_MS) + valid_ms
    )
