"""Encoding of the rows of jobs."""

from lib import job_cells
import pytest

from nutmegknot._internal.decisions import feasibility
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.schema import jobs_pb2

MAX_ROW_BYTES = 65_536


def make_largest_job() -> jobs.Job:
    """Returns the largest job that is accepted, with the most progress."""
    step = job_cells.make_step(1)
    steps = (step,) * feasibility.MAX_TASKS_PER_JOB
    spec = jobs.JobSpec('a' * 16, 'queue', 'customer', 'x' * 4_000, steps)
    job = jobs.Job(spec)
    for number in range(feasibility.MAX_TASKS_PER_JOB):
        stage = jobs.make_stage(0, number, step)
        stage.tasks[0].checkpoint = 'c' * 16
        stage.tasks[0].failed_runs = {10_001, 20_002, 30_003}
        stage.tasks[0].crashes = {
            run: jobs.Crash('i-0123456789', 1_777_729_273_594, True, True, True)
            for run in (40_004, 50_005, 60_006, 70_007)
        }
        stage.tasks[0].trial = jobs.Trial(
            80_008, 'i-0123456789', 1_777_729_273_594, '10.128.100.100:65535'
        )
        job.stages[0, number] = stage
    return job


def test_the_rows_of_the_largest_job_are_short_enough() -> None:
    job = make_largest_job()
    assert len(rows.encode_job(job)) < MAX_ROW_BYTES
    assert len(rows.encode_progress(job)) < MAX_ROW_BYTES


def test_a_job_and_its_progress_are_decoded_as_encoded() -> None:
    job = make_largest_job()
    job.stages[0, 3].tasks[0].phase = jobs.TaskPhase.DONE
    decoded = rows.decode_job(rows.encode_job(job))
    assert decoded is not None
    assert decoded.spec == job.spec
    assert rows.apply_progress(decoded, rows.encode_progress(job))
    assert decoded.stages[0, 3].done_count == 1
    task = decoded.stages[0, 4].tasks[0]
    assert task.failed_runs == {10_001, 20_002, 30_003}
    assert task.checkpoint == 'c' * 16
    assert len(task.crashes) == 4
    assert task.trial is not None


def test_a_row_that_cannot_be_decoded_is_reported() -> None:
    assert rows.decode_job(b'\xff\xff') is None
    assert not rows.apply_progress(make_largest_job(), b'\xff\xff')


@pytest.mark.parametrize(
    'part',
    [
        jobs_pb2.StageProgress(step=5_000),
        jobs_pb2.StageProgress(done=[7]),
        jobs_pb2.StageProgress(checkpoints={7: 'c'}),
        jobs_pb2.StageProgress(failures={7: jobs_pb2.RunNumbers(runs=[1])}),
        jobs_pb2.StageProgress(crashes={7: jobs_pb2.Crashes()}),
        jobs_pb2.StageProgress(trials={7: jobs_pb2.TrialRun()}),
    ],
)
def test_progress_of_tasks_that_a_job_does_not_have_is_reported(
    part: jobs_pb2.StageProgress,
) -> None:
    """Guards against a row that ends each instance that takes over."""
    row = jobs_pb2.ProgressRow(stages=[part])
    assert not rows.apply_progress(make_largest_job(), row.SerializeToString())
