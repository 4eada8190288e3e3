"""Tests which runs are stopped as stuck, with drawn runs and polls."""

import random

from lib import job_cells

from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.decisions import run_progress
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

DRAWS = 10_000
START_MS = 50_000


def make_run(
    *, is_adopted: bool = False, **changes: object
) -> tuple[cluster_state.ClusterState, cluster_state.WorkerInfo, jobs.Task]:
    """Returns a state with one run, of the first task of a stage."""
    settings = job_cells.make_settings()
    cluster = cluster_state.ClusterState(1, 0, settings)
    info = cluster_state.WorkerInfo(job_cells.make_worker('w1'))
    cluster.workers_by_id['w1'] = info
    step = job_cells.make_step(1, 1_000, **changes)
    job = jobs.Job(job_cells.make_job_spec('a', step))
    stage = job.stages[0, 0] = jobs.make_stage(0, 0, step)
    cluster.jobs['a'] = job
    task = stage.tasks[0]
    task.phase, task.run = jobs.TaskPhase.RUNNING, 1
    if not is_adopted:
        task.start_decided_ms = START_MS
    name = cluster_state.make_task_name(job, stage, 0)
    cluster_state.allocate_run(cluster, info, job, name, task)
    return cluster, info, task


def list_run(
    info: cluster_state.WorkerInfo,
    task: jobs.Task,
    percent: int | None,
    now_ms: int,
) -> None:
    info.last_answer_ms = now_ms
    run_progress.record_listed(task, percent, '', now_ms)


def find_stop(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    task: jobs.Task,
    percent: int | None,
    most_ms: int,
) -> int | None:
    """Returns when a run counts as stuck that lists one percentage for good."""
    for now_ms in range(START_MS + 300, START_MS + most_ms, 300):
        list_run(info, task, percent, now_ms)
        if outliers.find_stuck_runs(cluster, now_ms):
            return now_ms - START_MS
    return None


def draw_poll_ms(rng: random.Random) -> int:
    """Returns the time to the next list, which may be lost several times."""
    lost = 0
    while rng.random() < 0.05:
        lost += 1
    return rng.choice((15, 40, 150, 300, 1_000)) + 600 * lost


def test_no_run_that_makes_progress_is_stuck() -> None:
    """Guards against the loss of the work of runs that take very long.

    Runs take up to 7 times as long as their estimates, which are off by up to
    0.9, and their speed varies. Siblings may have ended far earlier.
    """
    rng = random.Random(1)
    late_runs = 0
    for _ in range(DRAWS):
        base_ms = rng.choice((480, 2_400, 4_500, 30_000))
        cluster, info, task = make_run(
            estimate_ms=int(base_ms * rng.uniform(0.1, 1.9)),
            is_adopted=rng.random() < 0.1,
            makes_checkpoints=rng.random() < 0.5,
        )
        stage = cluster.jobs['a'].stages[0, 0]
        if rng.random() < 0.5:
            stage.durations_ms = [rng.randrange(base_ms // 2, base_ms)] * 3
        task.checkpoint = rng.choice(('', 'c'))
        first = rng.randrange(90) if task.checkpoint else 0
        run_ms = base_ms * rng.choice((1, 1, 2, 7)) * rng.uniform(0.8, 1.6)
        now_ms, done, is_late = START_MS, float(first), False
        while done < 100:
            poll_ms = draw_poll_ms(rng)
            now_ms += poll_ms
            done += poll_ms * rng.uniform(0.5, 1.5) * 100 / run_ms
            list_run(info, task, min(100, int(done)), now_ms)
            limit_ms = outliers.compute_run_limit_ms(cluster, info, stage)
            is_late |= now_ms - START_MS > limit_ms
            assert outliers.find_stuck_runs(cluster, now_ms) == []
        late_runs += is_late
    print('LATE', late_runs)
    assert late_runs > DRAWS / 10


def test_a_run_that_hangs_is_stuck_past_the_limit() -> None:
    """Guards against work on a hung worker that is never done.

    The limit is 4 times the estimate of 500 ms and 2,000 ms; 1.8 times the
    siblings' 500 ms and 500 ms.
    """
    for percent in (None, 0, 40, 100):
        cluster, info, task = make_run()
        assert find_stop(cluster, info, task, percent, 9_000) == 4_200
        cluster, info, task = make_run()
        cluster.jobs['a'].stages[0, 0].durations_ms = [500, 500]
        stop_ms = find_stop(cluster, info, task, percent, 9_000)
        assert stop_ms is not None
        assert stop_ms <= 1_800


def test_a_hung_run_of_an_earlier_owner_is_stuck_after_the_limit() -> None:
    """Its age is not known, but its progress is seen not to grow."""
    for percent, stop_ms in ((None, None), (0, 4_500), (40, 4_500)):
        cluster, info, task = make_run(is_adopted=True)
        assert find_stop(cluster, info, task, percent, 9_000) == stop_ms


def test_one_list_after_a_pause_of_the_worker_proves_nothing() -> None:
    """A worker that was paused lists the progress from before at first."""
    cluster, info, task = make_run()
    list_run(info, task, 20, START_MS + 1_000)
    list_run(info, task, 30, START_MS + 1_300)
    list_run(info, task, 30, START_MS + 6_000)
    assert outliers.find_stuck_runs(cluster, START_MS + 6_000) == []
