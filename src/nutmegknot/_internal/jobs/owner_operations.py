"""Operations of the owner for callers: accept, look up, cancel, count jobs."""

import asyncio
import dataclasses
import logging

from nutmegknot._internal.decisions import feasibility
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.jobs import early_cancels
from nutmegknot._internal.jobs import overload
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.telemetry import instruments

logger = logging.getLogger(__name__)

# Shortest time after which a caller may retry while the store takes no writes.
MIN_STORE_RETRY_AFTER_MS = 1_000
# Largest random addition to the time before a retry, as a part of that time, so
# that callers do not all retry at once.
RETRY_JITTER_RATIO = 0.5

SubmitOutcome = outcomes.SubmitOutcome
CancelOutcome = outcomes.Cancelled | outcomes.NotFound | outcomes.Unknown


async def submit(
    ownership: ownerships.Ownership, spec: jobs.JobSpec
) -> SubmitOutcome:
    """Accepts a job, answering once it is in the store.

    A repeated call for the same job gets the outcome of the first one.
    """
    known = ownership.cluster.jobs.get(spec.id)
    reference = jobs.JobReference(spec.id, spec.customer, spec.queue)
    if known is not None and not _is_meant(ownership, known, reference):
        return _log_refusal(
            spec,
            outcomes.Refused(
                outcomes.RefusalReason.ID_IN_USE, 'another job has this id'
            ),
        )
    if known is not None and known.is_durable:
        return outcomes.Accepted(spec.id)
    pending = ownership.pending_submissions.get(spec.id)
    if pending is None:
        refused = _find_refusal(ownership, spec)
        if refused is not None:
            return refused
        # Added at once, so that a cancel that comes next finds the job.
        job = _add_job(ownership, spec)
        pending = asyncio.ensure_future(_write_job(ownership, job))
        ownership.pending_submissions[spec.id] = pending
        pending.add_done_callback(
            lambda _: ownership.pending_submissions.pop(spec.id, None)
        )
    return await asyncio.shield(pending)


async def _write_job(
    ownership: ownerships.Ownership, job: jobs.Job
) -> SubmitOutcome:
    """Waits until a new job is written, and forgets it if it can't be."""
    spec = job.spec
    key = rows.get_job_key(spec.id)
    written = await writers.wait_durable(ownership.writer, (key,))
    match written:
        case writers.WriteOutcome.DURABLE:
            # An older row may still wait to be written.
            job.is_durable = True
            instruments.record(
                ownership.metrics.accept_ms,
                ownership.clock.now_ms() - job.known_since_ms,
            )
            logger.info(
                'job_accepted',
                extra={
                    'job': spec.id,
                    'queue': spec.queue,
                    'customer': spec.customer,
                    'steps': len(spec.steps),
                    'tasks': sum(step.count for step in spec.steps),
                    'objective_ms': stage_ranking.compute_objective_ms(
                        ownership.cluster, job
                    ),
                    'epoch': ownership.cluster.epoch,
                },
            )
            return outcomes.Accepted(spec.id)
        case writers.WriteOutcome.WITHDRAWN:
            ownership.cluster.jobs.pop(spec.id, None)
            overload.forget_rejected_job(ownership, job)
            if jobs.is_final(job):
                # It was cancelled meanwhile. The row with its final state would
                # be taken for that of a later job with this id.
                writers.queue_write(
                    ownership.writer,
                    rows.get_progress_key(spec.id),
                    rows.encode_removal,
                )
            return _log_refusal(
                spec,
                outcomes.Refused(
                    outcomes.RefusalReason.UNAVAILABLE,
                    'the store does not take writes',
                    choose_retry_after(ownership),
                ),
            )
        case writers.WriteOutcome.UNKNOWN:
            return outcomes.Unknown('the ownership was lost while writing')


def _find_refusal(
    ownership: ownerships.Ownership, spec: jobs.JobSpec
) -> outcomes.Refused | None:
    digest = early_cancels.make_digest(
        jobs.JobReference(spec.id, spec.customer, spec.queue)
    )
    if early_cancels.is_cancelled(
        ownership.early_cancels, digest, ownership.clock.now_ms()
    ):
        reason = outcomes.RefusalReason.CANCELLED
        return _log_refusal(
            spec, outcomes.Refused(reason, 'cancelled before it arrived')
        )
    queue = ownership.cluster.settings.queues.get(spec.queue)
    if queue is None:
        reason = outcomes.RefusalReason.UNKNOWN_QUEUE
        return _log_refusal(spec, outcomes.Refused(reason, spec.queue))
    refused = feasibility.find_refusal(ownership.cluster, queue, spec)
    if refused is None and not rows.is_valid_id(spec.id):
        refused = outcomes.Refused(
            outcomes.RefusalReason.BAD_REQUEST, 'id of the job'
        )
    max_bytes = min(
        rows.MAX_JOB_BYTES, writers.compute_max_value_bytes(ownership.writer)
    )
    if refused is None and rows.measure_spec(spec) > max_bytes:
        refused = outcomes.Refused(
            outcomes.RefusalReason.BAD_REQUEST, 'size of the job'
        )
    failing_ms = writers.compute_store_failure_ms(ownership.writer)
    if refused is None and failing_ms > writers.MAX_STORE_FAILURE_MS:
        refused = outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE,
            'the store does not answer',
            choose_retry_after(ownership),
        )
    if refused is None:
        refused = overload.find_refusal(ownership, spec, queue)
    return None if refused is None else _log_refusal(spec, refused)


def choose_retry_after(ownership: ownerships.Ownership) -> int:
    """Returns how long a caller is to wait in an outage of the store, in ms.

    Load pattern: callers whose jobs can't be stored retry, a few times each.
    They are told to wait for as long as the outage has lasted so far, so that
    their last attempt comes after the end of most outages. Jitter keeps them
    from retrying all at once.
    """
    wait_ms = max(
        MIN_STORE_RETRY_AFTER_MS,
        writers.compute_store_failure_ms(ownership.writer),
    )
    return wait_ms + int(ownership.rng.random() * RETRY_JITTER_RATIO * wait_ms)


def _log_refusal(
    spec: jobs.JobSpec, refused: outcomes.Refused
) -> outcomes.Refused:
    logger.info(
        'job_refused',
        extra={
            'job': spec.id,
            'queue': spec.queue,
            'customer': spec.customer,
            'why': refused.reason.value,
            'detail': refused.detail,
            'retry_after_ms': refused.retry_after_ms,
        },
    )
    return refused


def _add_job(ownership: ownerships.Ownership, spec: jobs.JobSpec) -> jobs.Job:
    """Adds a job to the owner's memory and queues a write of it."""
    queue = ownership.cluster.settings.queues[spec.queue]
    job = jobs.Job(
        dataclasses.replace(
            spec,
            epoch=ownership.cluster.epoch,
            accepted_ms=spec.accepted_ms or ownership.clock.wall_ms(),
            pool=queue.pool,
            max_failed_runs=queue.max_failed_runs,
            priority=queue.priority,
            needs_tickets=queue.needs_tickets,
        ),
        known_since_ms=ownership.clock.now_ms(),
        critical_path_ms=jobs.compute_critical_path(spec.steps),
    )
    stage_ranking.estimate_job(ownership.cluster, queue, job)
    overload.record_accepted_job(ownership, job)
    ownership.cluster.jobs[spec.id] = job
    ownership.unsaved_jobs.add(spec.id)
    if jobs.has_schedule(spec):
        ownership.timed_jobs.add(spec.id)
    job.acceptance_write = job.latest_write = writers.queue_write(
        ownership.writer,
        rows.get_job_key(spec.id),
        lambda: rows.encode_job(job),
        is_hurried=True,
    )
    return job


def _is_meant(
    ownership: ownerships.Ownership,
    job: jobs.Job,
    reference: jobs.JobReference,
) -> bool:
    """Tells whether a caller means a job that has the id it names.

    A job whose queue has been removed or renamed is found at any queue.
    """
    is_elsewhere = (
        reference.queue not in ('', job.spec.queue)
        and job.spec.queue in ownership.cluster.settings.queues
    )
    return job.spec.customer == reference.customer and not is_elsewhere


def get_job_state(
    ownership: ownerships.Ownership, reference: jobs.JobReference
) -> jobs.JobState | outcomes.NotFound:
    """Returns the state of a job; a final one only once it is in the store."""
    job = ownership.cluster.jobs.get(reference.id)
    if job is None or not _is_meant(ownership, job, reference):
        return outcomes.NotFound(reference.id)
    if job.persisted_final_state is not None:
        return job.persisted_final_state
    return jobs.JobState.RUNNING if job.has_started else jobs.JobState.QUEUED


async def cancel(
    ownership: ownerships.Ownership, reference: jobs.JobReference
) -> CancelOutcome:
    """Cancels a job, answering once that is in the store."""
    job = ownership.cluster.jobs.get(reference.id)
    if job is None or not _is_meant(ownership, job, reference):
        return await _cancel_unknown_job(ownership, reference)
    if not jobs.is_final(job):
        reconciliation.finish_job(
            ownership, job, jobs.JobState.CANCELLED, 'caller'
        )
    if job.persisted_final_state is None:
        written = await writers.wait_durable(ownership.writer)
        if written is not writers.WriteOutcome.DURABLE:
            return outcomes.Unknown('the ownership was lost while writing')
        if ownership.cluster.jobs.get(reference.id) is not job:
            # The job was not stored and is forgotten, with its cancel.
            return await _cancel_unknown_job(ownership, reference)
        if not ownerships.is_written(ownership, job):
            return outcomes.Unknown('the store rejects the state of the job')
    return outcomes.Cancelled(job.has_started)


async def _cancel_unknown_job(
    ownership: ownerships.Ownership, reference: jobs.JobReference
) -> CancelOutcome:
    """Bars a job that is not known, answering once that is in the store.

    The call with the job may reach this owner later, or the next one.
    """
    digest = early_cancels.make_digest(reference)
    is_recorded = early_cancels.record_cancel(
        ownership.early_cancels, digest, ownership.clock.now_ms()
    )
    if not is_recorded:
        return outcomes.Unknown('too many cancels of unknown jobs')
    epoch, wall_ms = ownership.cluster.epoch, ownership.clock.wall_ms()
    writers.queue_write(
        ownership.writer,
        rows.get_early_cancel_key(digest),
        lambda: rows.encode_early_cancel(epoch, wall_ms),
    )
    written = await writers.wait_durable(ownership.writer)
    if written is not writers.WriteOutcome.DURABLE:
        return outcomes.Unknown('the ownership was lost while writing')
    return outcomes.NotFound(reference.id)


def count_waiting_jobs(ownership: ownerships.Ownership, queue: str) -> int:
    """Returns how many accepted jobs of a queue have not begun."""
    return sum(
        1
        for job in ownership.cluster.jobs.values()
        if job.spec.queue == queue
        and job.is_durable
        and not job.has_started
        and not jobs.is_final(job)
        and not jobs.has_schedule(job.spec)
    )
