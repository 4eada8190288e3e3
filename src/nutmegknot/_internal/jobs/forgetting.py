"""Removes jobs that ended long ago."""

import logging

from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

INTERVAL_MS = 5_000
# The most jobs removed at a time, so that other writes don't wait for them.
MOST_AT_A_TIME = 40


async def keep_forgetting(own: ownerships.Ownership) -> None:
    """Removes ended jobs from the book and the table on a steady tick."""
    while True:
        await clock_lib.sleep(INTERVAL_MS)
        if ownerships.may_act(own):
            forget_ended(own)


def forget_ended(own: ownerships.Ownership) -> int:
    """Removes some of the jobs that ended long ago; returns how many."""
    oldest_ms = own.clock.wall_ms() - own.limits.keep_ms
    ended = [
        job
        for job in own.book.jobs.values()
        if job.shown is not None
        and job.ended_ms < oldest_ms
        and not _has_runs(job)
    ]
    for job in ended[:MOST_AT_A_TIME]:
        del own.book.jobs[job.order.id]
        for key in (
            rows.get_job_key(job.order.id),
            rows.get_progress_key(job.order.id),
        ):
            writes.mark(own.writer, key, _remove)
    if ended:
        logger.info('jobs_forgotten', extra={'jobs': len(ended)})
    return len(ended[:MOST_AT_A_TIME])


def _has_runs(job: jobs.Job) -> bool:
    return any(
        task.worker for stage in job.stages.values() for task in stage.tasks
    )


def _remove() -> bytes | None:
    return None
