"""Which jobs are refused before they are accepted.

Load pattern: jobs that no worker can ever run, or whose customer may never run
them, come beside ordinary ones; they are refused at once, so that nobody waits
for them.
"""

from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources

# The most tasks of a job, so that what is kept of them stays below the longest
# row of the store, 64 KiB: a checkpoint and failures take 45 bytes a task.
MOST_TASKS = 1_000


def judge(
    book: books.Book, queue: catalogs.Queue, order: jobs.Order
) -> outcomes.Refused | None:
    """Returns why a job can never run, or None if it may."""
    counts = [step.count for step in order.steps]
    if not counts or min(counts) < 1 or sum(counts) > MOST_TASKS:
        return _refuse(outcomes.RefusalReason.BAD_REQUEST, 'number of tasks')
    customer = book.catalog.customers.get(order.customer)
    hosts = [
        host for host in book.hosts.values() if host.worker.pool == queue.pool
    ]
    if not all(host.is_listed for host in hosts):
        # What a worker has is known from the platform's list only.
        hosts = []
    for number, step in enumerate(order.steps):
        if any(before >= number for before in step.after):
            detail = f'step {number} comes after itself or a later step'
            return _refuse(outcomes.RefusalReason.BAD_REQUEST, detail)
        limit = resources.NOTHING if customer is None else customer.limit
        count = step.count if step.all_at_once else 1
        needed = resources.multiply(step.size, count)
        if not catalogs.is_within(needed, limit):
            detail = f'step {number} is above the limit of {order.customer}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
        if hosts and not any(_could_run(host, step) for host in hosts):
            detail = f'no worker of {queue.pool} can take step {number}'
            return _refuse(outcomes.RefusalReason.NEVER_RUNNABLE, detail)
    return None


def _could_run(host: books.Host, step: jobs.Step) -> bool:
    if step.label and step.label not in host.worker.labels:
        return False
    return resources.fits(jobs.get_held(step), host.worker.capacity)


def _refuse(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason, detail)
