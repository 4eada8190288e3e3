"""Tests learned speeds of workers with drawn runs."""

import random

from lib import job_cells

from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs


def make_cluster(
    true_ratios: dict[str, float],
) -> cluster_state.ClusterState:
    """Returns a state with workers; those slower by 1.7 are of another kind."""
    cluster = cluster_state.ClusterState(1, 0, job_cells.make_settings())
    for id, ratio in true_ratios.items():
        kind = 'slow' if ratio > 1.7 else 'plain'
        worker = job_cells.make_worker(id, kind=kind)
        cluster.workers_by_id[id] = cluster_state.WorkerInfo(worker)
    return cluster


def finish_stage(
    cluster: cluster_state.ClusterState,
    rng: random.Random,
    true_ratios: dict[str, float],
    other: jobs.FinishedRun,
) -> None:
    """Records the ends of a stage whose tasks ran on 10 drawn workers and one.

    3 % of the tasks take seven times as long; run times vary by a fifth.
    """
    stage = jobs.make_stage(0, 0, job_cells.make_step(10))
    for id in rng.sample(sorted(true_ratios), 10):
        info = cluster.workers_by_id[id]
        factor = rng.lognormvariate(0, 0.2) * (7 if rng.random() < 0.03 else 1)
        run_ms = round(2_400 * factor * true_ratios[id])
        usual_ms = run_ms / worker_speeds.get_run_time_ratio(cluster, info)
        stage.finished_runs.append(jobs.FinishedRun(id, 1, run_ms, usual_ms))
    stage.finished_runs.append(other)
    worker_speeds.record_stage(cluster, 'queue', stage)


def get_ratios(cluster: cluster_state.ClusterState) -> list[float]:
    return [
        worker_speeds.get_run_time_ratio(cluster, info)
        for info in cluster.workers_by_id.values()
    ]


def test_a_slower_worker_is_known_after_20_runs() -> None:
    """Guards against speeds that single long tasks distort."""
    slow, others = [], []
    true_ratios = {f'w{n}': 1.0 for n in range(20)} | {'w0': 1.3}
    for seed in range(100):
        rng = random.Random(seed)
        cluster = make_cluster(true_ratios)
        while len(cluster.workers_by_id['w0'].recent_ratios) < 20:
            # A run of an earlier life of the worker, which does not count.
            other = jobs.FinishedRun('w0', 0, 2_400, 2_400.0)
            finish_stage(cluster, rng, true_ratios, other)
        first, *rest = get_ratios(cluster)
        slow.append(first)
        others += rest
    assert sum(ratio > 1.15 for ratio in slow) >= 95
    assert sum(ratio > 1.15 for ratio in others) <= 0.05 * len(others)


def test_speeds_and_run_times_do_not_drift_together() -> None:
    """Guards against ratios that all grow while usual run times shrink.

    A worker without runs has the speed of its kind.
    """
    for seed in range(5):
        rng = random.Random(seed)
        true_ratios = {f'w{n}': 0.85 + 0.015 * n for n in range(20)}
        true_ratios |= {f's{n}': 2.0 for n in range(4)}
        cluster = make_cluster(true_ratios)
        for _ in range(2_000):
            # One of unknown work, which biases what is usual in the stage.
            other = jobs.FinishedRun('gone', 1, 1, 1.0)
            finish_stage(cluster, rng, true_ratios, other)
        worker_speeds.forget_worker(cluster.workers_by_id['s0'])
        mean = sum(get_ratios(cluster)[:20]) / 20
        assert 0.85 < mean < 1.15
        for found, true in zip(
            get_ratios(cluster), true_ratios.values(), strict=True
        ):
            assert abs(found / mean - true) < 0.3 * true
