"""What the owner does for callers: accept, look up, cancel and count jobs."""

import asyncio
import dataclasses
import logging

from nutmegknot._internal.decisions import hopes
from nutmegknot._internal.decisions import turns
from nutmegknot._internal.jobs import ends
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.telemetry import counters

logger = logging.getLogger(__name__)

# When a caller may come back after the store has refused to write, in ms, and
# the part by which returns are spread.
STORE_RETRY_MS = 1_000
RETRY_SPREAD = 0.5

SubmitOutcome = outcomes.Submitted
CancelOutcome = outcomes.Cancelled | outcomes.NotFound | outcomes.Unknown


async def submit(own: ownerships.Ownership, order: jobs.Order) -> SubmitOutcome:
    """Accepts a job once it is in the table; a repeat finds the first one."""
    known = own.book.jobs.get(order.id)
    if known is not None and known.is_durable:
        return outcomes.Accepted(order.id)
    under_way = own.accepting.get(order.id)
    if under_way is None:
        refused = _judge(own, order)
        if refused is not None:
            return refused
        under_way = asyncio.ensure_future(_accept(own, order))
        own.accepting[order.id] = under_way
        under_way.add_done_callback(lambda _: own.accepting.pop(order.id, None))
    return await asyncio.shield(under_way)


async def _accept(
    own: ownerships.Ownership, order: jobs.Order
) -> SubmitOutcome:
    """Enters a job and has it written."""
    came_ms = own.clock.now_ms()
    job = _enter(own, order)
    key = rows.get_job_key(order.id)
    written = await writes.wait_written(own.writer, (key,))
    match written:
        case writes.Written.DURABLE:
            counters.record(own.figures.accept_ms, own.clock.now_ms() - came_ms)
            logger.info(
                'job_accepted',
                extra={
                    'job': order.id,
                    'queue': order.queue,
                    'customer': order.customer,
                    'steps': len(order.steps),
                    'tasks': sum(step.count for step in order.steps),
                    'objective_ms': turns.compute_objective(own.book, job),
                    'epoch': own.book.epoch,
                },
            )
            return outcomes.Accepted(order.id)
        case writes.Written.WITHDRAWN:
            own.book.jobs.pop(order.id, None)
            return _log_refusal(
                order,
                outcomes.Refused(
                    outcomes.RefusalReason.UNAVAILABLE,
                    'the store does not take writes',
                    choose_return(own),
                ),
            )
        case writes.Written.UNKNOWN:
            return outcomes.Unknown('the ownership was lost while writing')


def _judge(
    own: ownerships.Ownership, order: jobs.Order
) -> outcomes.Refused | None:
    queue = own.book.catalog.queues.get(order.queue)
    if queue is None:
        reason = outcomes.RefusalReason.UNKNOWN_QUEUE
        return _log_refusal(order, outcomes.Refused(reason, order.queue))
    refused = hopes.judge(own.book, queue, order)
    failing_ms = writes.get_failing_ms(own.writer)
    if refused is None and failing_ms > writes.WITHDRAW_AFTER_MS:
        refused = outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE,
            'the store does not answer',
            choose_return(own),
        )
    return None if refused is None else _log_refusal(order, refused)


def choose_return(own: ownerships.Ownership) -> int:
    """Returns when a caller may come back in an outage of the store, in ms.

    Load pattern: callers whose jobs can't be stored come back again and again,
    a few times each. They are told to wait for as long as the outage has gone
    on, so that their last try comes after most outages, and not all at once.
    """
    wait_ms = max(STORE_RETRY_MS, writes.get_failing_ms(own.writer))
    return wait_ms + int(own.rng.random() * RETRY_SPREAD * wait_ms)


def _log_refusal(
    order: jobs.Order, refused: outcomes.Refused
) -> outcomes.Refused:
    logger.info(
        'job_refused',
        extra={
            'job': order.id,
            'queue': order.queue,
            'customer': order.customer,
            'why': refused.reason.value,
            'detail': refused.detail,
            'retry_after_ms': refused.retry_after_ms,
        },
    )
    return refused


def _enter(own: ownerships.Ownership, order: jobs.Order) -> jobs.Job:
    """Puts a job into the book and has it written."""
    queue = own.book.catalog.queues[order.queue]
    job = jobs.Job(
        dataclasses.replace(
            order,
            epoch=own.book.epoch,
            accepted_ms=order.accepted_ms or own.clock.wall_ms(),
            pool=queue.pool,
            attempts=queue.attempts,
            priority=queue.priority,
        ),
        known_ms=own.clock.now_ms(),
        chain_ms=jobs.compute_chain(order.steps),
    )
    own.book.jobs[order.id] = job
    own.touched.add(order.id)
    if jobs.is_timed(order):
        own.timed.add(order.id)
    job.accepted = job.marked = writes.mark(
        own.writer,
        rows.get_job_key(order.id),
        lambda: rows.encode_job(job),
        is_hurried=True,
    )
    return job


def look(
    own: ownerships.Ownership, job_id: str, customer: str
) -> jobs.JobState | outcomes.NotFound:
    """Returns the state of a job as far as it is in the table."""
    job = own.book.jobs.get(job_id)
    if job is None or job.order.customer != customer:
        return outcomes.NotFound(job_id)
    if job.shown is not None:
        return job.shown
    return jobs.JobState.RUNNING if job.has_begun else jobs.JobState.QUEUED


async def cancel(
    own: ownerships.Ownership, job_id: str, customer: str
) -> CancelOutcome:
    """Cancels a job; answered once that is in the table."""
    job = own.book.jobs.get(job_id)
    if job is None or job.order.customer != customer:
        return outcomes.NotFound(job_id)
    if not jobs.is_final(job):
        ends.finish_job(own, job, jobs.JobState.CANCELLED, 'caller')
    if job.shown is None:
        written = await writes.wait_written(own.writer)
        if written is not writes.Written.DURABLE:
            return outcomes.Unknown('the ownership was lost while writing')
    return outcomes.Cancelled(job.has_begun)


def count_waiting(own: ownerships.Ownership, queue: str) -> int:
    """Returns how many accepted jobs of a queue have not begun."""
    return sum(
        1
        for job in own.book.jobs.values()
        if job.order.queue == queue
        and job.is_durable
        and not job.has_begun
        and not jobs.is_final(job)
        and not jobs.is_timed(job.order)
    )
