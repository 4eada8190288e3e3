"""Helpers for tests of decisions on runs that a worker lists."""

from typing import Any

from lib import job_cells

from nutmegknot._internal.decisions import run_progress
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

START_MS = 50_000


def make_cluster() -> tuple[
    cluster_state.ClusterState, cluster_state.WorkerInfo
]:
    """Returns a state with one worker."""
    cluster = cluster_state.ClusterState(1, 0, job_cells.make_settings())
    info = cluster_state.WorkerInfo(job_cells.make_worker('w1'))
    cluster.workers_by_id['w1'] = info
    return cluster, info


def add_run(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    job_id: str = 'a',
    start_ms: int = START_MS,
    **changes: Any,  # noqa: ANN401 - fields of the step
) -> tuple[jobs.Task, jobs.Stage]:
    """Adds a run of a new job's first task; start_ms is 0 if unknown."""
    step = job_cells.make_step(**changes)
    job = jobs.Job(job_cells.make_job_spec(job_id, step))
    stage = job.stages[0, 0] = jobs.make_stage(0, 0, step)
    cluster.jobs[job_id] = job
    task = stage.tasks[0]
    task.phase, task.run = jobs.TaskPhase.RUNNING, 1
    task.start_decided_ms = start_ms
    name = cluster_state.make_task_name(job, stage, 0)
    cluster_state.allocate_run(cluster, info, job, name, task)
    return task, stage


def list_run(
    info: cluster_state.WorkerInfo,
    task: jobs.Task,
    percent: int | None,
    at_ms: int,
    checkpoint: str = '',
) -> int:
    """Applies a list of the worker, at_ms after START_MS; returns that time."""
    info.last_answer_ms = START_MS + at_ms
    run_progress.record_listed(task, percent, checkpoint, info.last_answer_ms)
    return info.last_answer_ms
