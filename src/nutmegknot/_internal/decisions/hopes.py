"""Refusal of jobs that are invalid or can never run, before their acceptance.

Load pattern: among ordinary jobs are some that no worker can ever run, or that
exceed their customer's limit even when nothing else runs. They are refused at
once, so that nobody waits for them.
"""

from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources

# Largest number of tasks of a job. It keeps the record of the tasks' progress
# below the store's limit of 64 KiB for a row: a task's checkpoint and failures
# take 45 bytes.
MOST_TASKS = 1_000


def judge(
    cluster: books.Book, queue: catalogs.Queue, spec: jobs.Order
) -> outcomes.Refused | None:
    """Returns the refusal of a job that can never run, otherwise None."""
    counts = [step.count for step in spec.steps]
    if not counts or min(counts) < 1 or sum(counts) > MOST_TASKS:
        return _refuse(outcomes.RefusalReason.BAD_REQUEST, 'number of tasks')
    customer = cluster.catalog.customers.get(spec.customer)
    infos = [
        info
        for info in cluster.hosts.values()
        if info.worker.pool == queue.pool
    ]
    if not all(info.is_listed for info in infos):
        # Only the platform's list tells what a worker can run. While a worker
        # of the pool is missing from it, no job is refused for lack of one.
        infos = []
    for number, step in enumerate(spec.steps):
        if any(dependency >= number for dependency in step.after):
            detail = f'step {number} comes after itself or a later step'
            return _refuse(outcomes.RefusalReason.BAD_REQUEST, detail)
        limit = resources.NOTHING if customer is None else customer.limit
        count = step.count if step.all_at_once else 1
        needed = resources.multiply(step.size, count)
        if not catalogs.is_within(needed, limit):
            detail = f'step {number} is above the limit of {spec.customer}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
        if infos and not any(_could_run(info, step) for info in infos):
            detail = f'no worker of {queue.pool} can take step {number}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
    return None


def _could_run(info: books.Host, step: jobs.Step) -> bool:
    if step.label and step.label not in info.worker.labels:
        return False
    return resources.fits(jobs.get_held(step), info.worker.capacity)


def _refuse(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason, detail)
