"""Asks for advice on stages whose queue lets only some workers run them.

Each adviser serves one call at a time, so one task for each adviser takes the
most urgent question next.
"""

from collections.abc import Callable
import logging

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import questions as questions_lib
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Time limit of a call for advice, and longest wait for a question, in ms.
CALL_MS = 4_000
IDLE_MS = 1_000
# Longest way of an answer that is allowed for when a ticket's end is computed,
# in ms.
ANSWER_WAY_MS = 40


def ask(own: ownerships.Ownership, wanted: questions_lib.Question) -> None:
    """Queues a question, unless the stage is being asked about."""
    advice = wanted.stage.advice
    if advice.is_asking:
        return
    advice.is_asking = True
    name = jobs.format_stage(wanted.job.order.id, wanted.stage)
    own.questions.waiting[name] = wanted
    signals.notify(own.asked)


async def keep_advising(
    own: ownerships.Ownership,
    advise: advisers.Advise,
    is_usable: Callable[[], bool] = lambda: True,
) -> None:
    """Has one adviser answer the most urgent questions while it is usable."""
    while is_usable():
        count = own.asked.count
        name = _choose(own.questions)
        if name is None:
            await signals.wait_at_most(own.asked, count, IDLE_MS)
            continue
        wanted = own.questions.waiting.pop(name)
        try:
            await _ask_adviser(own, advise, name, wanted)
        finally:
            wanted.stage.advice.is_asking = False
        signals.notify(own.changed)


def _choose(questions: questions_lib.Questions) -> str | None:
    """Returns the name of the most urgent question that is still of use."""
    for name, wanted in list(questions.waiting.items()):
        if jobs.is_final(wanted.job):
            wanted.stage.advice.is_asking = False
            del questions.waiting[name]
    waiting = questions.waiting
    return min(waiting, key=lambda name: waiting[name].rank, default=None)


async def _ask_adviser(
    own: ownerships.Ownership,
    advise: advisers.Advise,
    name: str,
    wanted: questions_lib.Question,
) -> None:
    lives = {
        id: own.book.hosts[id].worker.life
        for id in wanted.workers
        if id in own.book.hosts
    }
    sent_ms = own.clock.now_ms()
    result = await advise(name, list(lives), CALL_MS)
    advice = wanted.stage.advice
    counters.record(own.figures.advice_ms, own.clock.now_ms() - sent_ms)
    counters.count(own.figures.advice, type(result).__name__.lower())
    if isinstance(result, advisers.Unadvised):
        logger.warning(
            'advice_missing', extra={'stage': name, 'why': result.detail}
        )
        return
    # Counted from the call, as the adviser may have begun to count early.
    until_ms = _compute_end(own, sent_ms, result.valid_ms)
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
            'after_ms': own.clock.now_ms() - sent_ms,
        },
    )


def _compute_end(own: ownerships.Ownership, sent_ms: int, valid_ms: int) -> int:
    """Returns when tickets end by our clock: not before the answer came."""
    return max(sent_ms, own.clock.now_ms() - ANSWER_WAY_MS) + valid_ms
