"""Tests learned speeds of workers with drawn runs."""

import random

from lib import job_cells

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

QUEUE = 'queue'
WORKERS = 20
SLOW_RATIO = 1.3


def make_cluster(kind: str = 'plain') -> cluster_state.ClusterState:
    cluster = cluster_state.ClusterState(1, 0, job_cells.make_settings())
    for number in range(WORKERS):
        add_worker(cluster, f'w{number}', kind)
    return cluster


def add_worker(
    cluster: cluster_state.ClusterState, id: str, kind: str
) -> cluster_state.WorkerInfo:
    info = cluster_state.WorkerInfo(job_cells.make_worker(id, kind=kind))
    cluster.workers_by_id[id] = info
    return info


def finish_stage(
    cluster: cluster_state.ClusterState,
    rng: random.Random,
    true_ratios: dict[str, float],
    count: int = 10,
) -> None:
    """Has the tasks of a stage run on drawn workers and records their ends.

    The estimate of the step is off by up to 0.9, 3 % of the tasks take seven
    times as long, and run times vary by a fifth beside that.
    """
    base_ms = rng.choice((480, 2_400, 4_500))
    estimate_ms = round(base_ms * rng.uniform(0.1, 1.9))
    step = job_cells.make_step(count, estimate_ms=estimate_ms)
    stage = jobs.make_stage(0, 0, step)
    for id in rng.sample(sorted(true_ratios), count):
        info = cluster.workers_by_id[id]
        factor = 7 if rng.random() < 0.03 else 1
        run_ms = round(
            base_ms * factor * true_ratios[id] * rng.lognormvariate(0, 0.2)
        )
        usual_ms = run_ms / worker_speeds.get_run_time_ratio(cluster, info)
        run_times.record_run(
            cluster.run_times, QUEUE, 0, step.estimate_ms, usual_ms
        )
        stage.finished_runs.append(
            jobs.FinishedRun(id, info.worker.life, run_ms, usual_ms)
        )
    worker_speeds.record_stage(cluster, QUEUE, stage)


def test_a_slower_worker_is_known_after_20_runs() -> None:
    """Guards against speeds that errors of estimates or long tasks distort."""
    slow, others = [], []
    for seed in range(100):
        rng = random.Random(seed)
        cluster = make_cluster()
        true_ratios = dict.fromkeys(cluster.workers_by_id, 1.0)
        true_ratios['w0'] = SLOW_RATIO
        while len(cluster.workers_by_id['w0'].recent_ratios) < 20:
            finish_stage(cluster, rng, true_ratios)
        found = [
            worker_speeds.get_run_time_ratio(cluster, info)
            for info in cluster.workers_by_id.values()
        ]
        slow.append(found[0])
        others += found[1:]
    assert sum(ratio > 1.15 for ratio in slow) >= 95
    assert sum(ratio > 1.15 for ratio in others) <= 0.05 * len(others)


def test_speeds_do_not_drift_together() -> None:
    """Guards against run times and speeds that grow at each other's cost."""
    for seed in range(5):
        rng = random.Random(seed)
        cluster = make_cluster()
        true_ratios = {
            id: 0.85 + 0.3 * number / (WORKERS - 1)
            for number, id in enumerate(cluster.workers_by_id)
        }
        for _ in range(2_000):
            finish_stage(cluster, rng, true_ratios)
        found = {
            id: worker_speeds.get_run_time_ratio(cluster, info)
            for id, info in cluster.workers_by_id.items()
        }
        assert 0.9 < sum(found.values()) / WORKERS < 1.1
        for id, ratio in true_ratios.items():
            assert abs(found[id] - ratio) < 0.2


def test_kinds_differ_and_new_workers_have_the_speed_of_their_kind() -> None:
    """A restarted worker may be another machine under the same id."""
    rng = random.Random(1)
    cluster = make_cluster()
    true_ratios = dict.fromkeys(cluster.workers_by_id, 1.0)
    for number in range(WORKERS):
        id = f's{number}'
        add_worker(cluster, id, 'slow')
        true_ratios[id] = 2.0
    for _ in range(100):
        finish_stage(cluster, rng, true_ratios)
    new = add_worker(cluster, 'new', 'slow')
    restarted = cluster.workers_by_id['s0']
    worker_speeds.forget_worker(restarted)
    usual = cluster.workers_by_id['w0']
    for info in (new, restarted):
        ratio = worker_speeds.get_run_time_ratio(
            cluster, info
        ) / worker_speeds.get_run_time_ratio(cluster, usual)
        assert 1.6 < ratio < 2.4


def test_runs_of_an_earlier_life_do_not_count() -> None:
    cluster = make_cluster()
    stage = jobs.make_stage(0, 0, job_cells.make_step(4))
    stage.finished_runs = [
        jobs.FinishedRun(f'w{n}', 1 + (n == 0), 500, 500.0) for n in range(4)
    ]
    worker_speeds.record_stage(cluster, QUEUE, stage)
    counts = [
        len(cluster.workers_by_id[f'w{n}'].recent_ratios) for n in range(4)
    ]
    assert counts == [0, 1, 1, 1]
