"""Speed of workers, learned from runs there against the same work elsewhere.

Load pattern: workers of one kind differ in speed by a third, a few tasks take
seven times as long as others, and the estimates of callers are off by up to
0.9. An estimate holds for all tasks of a step, so its error is left out if the
runs of a step are compared with each other.

A ratio is the run time on a worker divided by what is usual; a slow worker has
a high one. The mean of the middle half of the last ratios, or the median of a
few, is not moved by single long tasks. It is drawn towards the value of the
worker's kind while there are few, and the kind's towards 1. What is usual
follows from runs whose ratio was taken out, so that a bias would add up from
run to run. Ratios are therefore divided by the middle of those of the pool,
which keeps a usual run there at 1.
"""

import statistics

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

# Number of the last runs on a worker whose ratios count.
MAX_WORKER_RUNS = 25
# Number of the last runs on workers of a kind whose ratios count.
MAX_KIND_RUNS = 101
# Number of the last runs on workers of a pool whose middle counts as usual.
MAX_POOL_RUNS = 101
# Largest ratio that is recorded. A long task that is the first run on a worker
# would otherwise keep other runs away from it.
MAX_RATIO = 3.0
# Number of ratios from which on the mean of their middle half is taken, which
# has a smaller error than the median.
MIN_MEAN_RUNS = 5
# Number of runs that weigh as much as the value of the worker's kind. The
# weight of runs grows with the square of their number: a single one may be a
# long task, and 20 of them count almost alone.
KIND_WEIGHT_RUNS = 3
# Number of runs of a kind or a pool that weigh as much as the ratio 1.
USUAL_WEIGHT_RUNS = 5
# Number of finished runs in a step from which on they are compared with each
# other rather than with learned run times.
MIN_SIBLINGS = 4
# Number of observed runs from which on learned run times are compared with.
MIN_LEARNED_RUNS = 30


def get_run_time_ratio(
    cluster: cluster_state.ClusterState, info: cluster_state.WorkerInfo
) -> float:
    """Returns the run time on a worker divided by the usual one."""
    if info.run_time_ratio:
        return info.run_time_ratio
    return cluster.kind_ratios.get((info.worker.pool, info.worker.kind), 1.0)


def get_kind_ratio(
    cluster: cluster_state.ClusterState, info: cluster_state.WorkerInfo
) -> float:
    """Returns the run time on workers of a kind divided by the estimates.

    Placement uses it: differences of single workers are small against their
    noise, and would undo the packing of equal workers.
    """
    key = (info.worker.pool, info.worker.kind)
    return cluster.run_time_ratios.get(key, 1.0)


def record_stage(
    cluster: cluster_state.ClusterState, queue: str, stage: jobs.Stage
) -> None:
    """Updates the speeds of the workers that ran the tasks of a stage.

    It is called once all tasks are done: the runs that end first are the short
    ones, and those on slow workers end last.

    Args:
      cluster: State of the jobs and workers.
      queue: Name of the queue of the stage's job.
      stage: The stage.
    """
    runs, stage.finished_runs = stage.finished_runs, []
    usual_ms: float
    if len(runs) >= MIN_SIBLINGS:
        usual_ms = statistics.median(run.usual_ms for run in runs)
    else:
        histogram = cluster.run_times.histograms.get((queue, stage.number))
        if histogram is None or histogram.count < MIN_LEARNED_RUNS:
            return
        usual_ms = run_times.estimate_quantile_ms(
            cluster.run_times, queue, stage.number, stage.step.estimate_ms, 0.5
        )
    for run in runs:
        info = cluster.workers_by_id.get(run.worker)
        if info is not None and info.worker.life == run.life and usual_ms > 0:
            _record_ratio(cluster, info, run.run_ms / usual_ms)


def _record_ratio(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    ratio: float,
) -> None:
    pool, kind = info.worker.pool, info.worker.kind
    key = (pool, kind)
    pool_ratios = cluster.recent_pool_ratios.setdefault(pool, [])
    ratio /= _update_ratio(
        pool_ratios, ratio, MAX_POOL_RUNS, USUAL_WEIGHT_RUNS, 1.0
    )
    kind_ratios = cluster.recent_kind_ratios.setdefault(key, [])
    kind_ratio = _update_ratio(
        kind_ratios, ratio, MAX_KIND_RUNS, USUAL_WEIGHT_RUNS, 1.0
    )
    cluster.kind_ratios[key] = kind_ratio
    info.run_time_ratio = _update_ratio(
        info.recent_ratios, ratio, MAX_WORKER_RUNS, KIND_WEIGHT_RUNS, kind_ratio
    )


def _update_ratio(
    recent: list[float],
    ratio: float,
    max_runs: int,
    weight_runs: int,
    default: float,
) -> float:
    """Adds a ratio; returns the middle of the last ones, drawn to a default."""
    recent.append(min(ratio, MAX_RATIO))
    if len(recent) > max_runs:
        del recent[0]
    count = len(recent)
    left_out = count // 4 if count >= MIN_MEAN_RUNS else (count - 1) // 2
    middle = statistics.fmean(sorted(recent)[left_out : count - left_out])
    trust = count**2 / (count**2 + weight_runs**2)
    return trust * middle + (1 - trust) * default


def forget_worker(info: cluster_state.WorkerInfo) -> None:
    """Discards the speed of a worker that has restarted."""
    info.recent_ratios.clear()
    info.run_time_ratio = 0.0
