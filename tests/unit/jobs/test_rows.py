"""Rows of jobs in the table."""

from lib import job_cells

from nutmegknot._internal.decisions import hopes
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs

LONGEST_ROW = 65_536


def make_largest() -> jobs.Job:
    """Returns the largest job that is accepted, with all that is kept of it."""
    step = job_cells.make_step(1)
    steps = (step,) * hopes.MOST_TASKS
    order = jobs.Order('a' * 16, 'queue', 'customer', 'x' * 4_000, steps)
    job = jobs.Job(order)
    for number in range(hopes.MOST_TASKS):
        stage = jobs.make_stage(0, number, step)
        stage.tasks[0].checkpoint = 'c' * 16
        stage.tasks[0].failed_runs = {10_001, 20_002, 30_003}
        job.stages[0, number] = stage
    return job


def test_the_largest_job_stays_below_the_longest_row() -> None:
    job = make_largest()
    assert len(rows.encode_job(job)) < LONGEST_ROW
    assert len(rows.encode_progress(job)) < LONGEST_ROW


def test_what_is_kept_of_a_job_is_read_back() -> None:
    job = make_largest()
    job.stages[0, 3].tasks[0].phase = jobs.Phase.DONE
    read = rows.decode_job(rows.encode_job(job))
    assert read is not None
    assert read.order == job.order
    assert rows.apply_progress(read, rows.encode_progress(job))
    assert read.stages[0, 3].done == 1
    task = read.stages[0, 4].tasks[0]
    assert task.failed_runs == {10_001, 20_002, 30_003}
    assert task.checkpoint == 'c' * 16


def test_a_row_that_cannot_be_read_is_told() -> None:
    assert rows.decode_job(b'\xff\xff') is None
    assert not rows.apply_progress(make_largest(), b'\xff\xff')
