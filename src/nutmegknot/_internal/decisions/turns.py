"""Order in which waiting stages get room.

Load pattern: more work waits than fits. Classes go first; within a class the
job whose objective ends soonest, then jobs whose objective can't be met any
more; last what a customer sends beyond its allowance.
"""

from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import questions

# Multiples of the objective after which nothing is earned by a job.
LATE_FACTOR = 3
# Bands of the order within a class.
IN_TIME, LATE, PAST_USE = range(3)


def rank_stage(
    book: books.Book, job: jobs.Job, stage: jobs.Stage, wall_ms: int
) -> questions.Rank:
    """Returns the place of a stage in the order."""
    queue = books.get_queue(book, job.order)
    begin_ms = compute_due(job.order, stage.occurrence)
    objective_ms = compute_objective(book, job)
    due_ms = begin_ms + objective_ms
    left_ms = stage.step.estimate_ms
    band = IN_TIME
    if wall_ms + left_ms > begin_ms + LATE_FACTOR * objective_ms:
        band = PAST_USE
    elif wall_ms + left_ms > due_ms:
        band = LATE
    if stage.step.lasting:
        band = IN_TIME
    return questions.Rank(queue.priority, band, due_ms)


def compute_due(order: jobs.Order, occurrence: int) -> int:
    """Returns when an occurrence is due, since the Unix epoch in ms."""
    if not jobs.is_timed(order):
        return order.accepted_ms
    return order.start_at_ms + occurrence * order.interval_ms


def compute_objective(book: books.Book, job: jobs.Job) -> int:
    """Returns how long a job may take by its queue's settings in ms."""
    queue = books.get_queue(book, job.order)
    return int(queue.stretch * job.chain_ms) + queue.target_ms
