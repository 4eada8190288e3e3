"""Refusal of jobs that are invalid or can never run, before their acceptance.

Load pattern: among ordinary jobs are some that no worker can ever run, or that
exceed their customer's limit even when nothing else runs. They are refused at
once, so that nobody waits for them.
"""

from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources

# Largest number of tasks of a job. It bounds the record of the tasks' progress,
# which is rewritten with each change.
MAX_TASKS_PER_JOB = 1_000
# The same for a job with due times, over all its occurrences.
MAX_TASKS_OF_ALL_OCCURRENCES = 10_000


def find_refusal(
    cluster: cluster_state.ClusterState,
    queue: job_settings.JobQueue,
    spec: jobs.JobSpec,
) -> outcomes.Refused | None:
    """Returns the refusal of a job that can never run, otherwise None."""
    counts = [step.count for step in spec.steps]
    if not counts or min(counts) < 1 or sum(counts) > MAX_TASKS_PER_JOB:
        return _refuse(outcomes.RefusalReason.BAD_REQUEST, 'number of tasks')
    total = sum(counts) * jobs.count_occurrences(spec)
    if total > MAX_TASKS_OF_ALL_OCCURRENCES:
        return _refuse(
            outcomes.RefusalReason.BAD_REQUEST, 'number of occurrences'
        )
    customer = cluster.settings.customers.get(spec.customer)
    infos = [
        info
        for info in cluster.workers_by_id.values()
        if info.worker.pool == queue.pool
    ]
    if not all(info.is_listed for info in infos):
        # Only the platform's list tells what a worker can run. While a worker
        # of the pool is missing from it, no job is refused for lack of one.
        infos = []
    for number, step in enumerate(spec.steps):
        if any(dependency >= number for dependency in step.depends_on):
            detail = f'step {number} comes after itself or a later step'
            return _refuse(outcomes.RefusalReason.BAD_REQUEST, detail)
        limit = resources.ZERO if customer is None else customer.limit
        count = step.count if step.is_gang else 1
        needed = resources.multiply(step.size, count)
        if not job_settings.is_within(needed, limit):
            detail = f'step {number} is above the limit of {spec.customer}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
        if infos and not any(_could_run(info, step) for info in infos):
            detail = f'no worker of {queue.pool} can take step {number}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
    return None


def _could_run(info: cluster_state.WorkerInfo, step: jobs.Step) -> bool:
    if step.required_label and step.required_label not in info.worker.labels:
        return False
    return resources.fits(jobs.get_reserved(step), info.worker.capacity)


def _refuse(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason, detail)
