"""Retention: removes jobs that ended long ago, and expired early cancels."""

import logging

from nutmegknot._internal.jobs import early_cancels
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

RETENTION_INTERVAL_MS = 5_000
# The removal of more jobs at a time would delay other writes.
MAX_JOBS_PER_REMOVAL = 40
# Ten batches of the writer. In the time for which a cancel is kept, more can be
# removed than early_cancels.MAX_CANCELS.
MAX_CANCELS_PER_REMOVAL = 10 * writers.MAX_ROWS_PER_BATCH


async def run_retention(ownership: ownerships.Ownership) -> None:
    """Removes ended jobs from memory and the table at a fixed interval."""
    while True:
        await clock.sleep(RETENTION_INTERVAL_MS)
        if ownerships.may_act(ownership):
            remove_expired_jobs(ownership)
            remove_expired_cancels(ownership)


def remove_expired_jobs(ownership: ownerships.Ownership) -> int:
    """Removes some of the jobs that ended long ago.

    Returns:
      The number of jobs removed.
    """
    oldest_ms = ownership.clock.wall_ms() - ownership.limits.retention_ms
    ended = [
        job
        for job in ownership.cluster.jobs.values()
        if job.persisted_final_state is not None
        and job.ended_ms < oldest_ms
        and not _has_runs(job)
    ]
    for job in ended[:MAX_JOBS_PER_REMOVAL]:
        del ownership.cluster.jobs[job.spec.id]
        for key in (
            rows.get_job_key(job.spec.id),
            rows.get_progress_key(job.spec.id),
        ):
            writers.queue_write(ownership.writer, key, rows.encode_removal)
    if ended:
        logger.info('jobs_forgotten', extra={'jobs': len(ended)})
    return len(ended[:MAX_JOBS_PER_REMOVAL])


def remove_expired_cancels(ownership: ownerships.Ownership) -> None:
    """Removes some of the cancels of unknown jobs that have expired."""
    expired = early_cancels.remove_expired(
        ownership.early_cancels,
        ownership.clock.now_ms(),
        MAX_CANCELS_PER_REMOVAL,
    )
    for digest in expired:
        writers.queue_write(
            ownership.writer,
            rows.get_early_cancel_key(digest),
            rows.encode_removal,
        )


def _has_runs(job: jobs.Job) -> bool:
    """Tells whether a run of the job may be left on a worker."""
    return any(
        task.worker for stage in job.stages.values() for task in stage.tasks
    )
