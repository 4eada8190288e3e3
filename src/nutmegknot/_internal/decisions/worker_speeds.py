"""Speed of workers, learned from runs there against the same work elsewhere.

Load pattern: workers of one kind differ in speed by a third, a few tasks take
seven times as long as others, and the estimates of callers are off by up to
0.9. An estimate holds for all tasks of a step, so its error is left out if the
runs of a step are compared with each other.

A ratio is the run time on a worker divided by what is usual; a slow worker has
a high one. The median of the last ratios is not moved by single long tasks. It
is drawn towards the value of the worker's kind while there are few, and the
kind's towards 1. Both have a limited number of ratios and never lose that pull
entirely: as run times are learned from runs whose ratio was taken out, only
this keeps all ratios from drifting together.
"""

import statistics

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

# Number of the last runs on a worker whose ratios count.
MAX_WORKER_RUNS = 25
# Number of the last runs on workers of a kind whose ratios count.
MAX_KIND_RUNS = 101
# Number of runs that weigh as much as the value of the worker's kind. With 3, a
# worker slower by 1.3 was not seen as slower by 1.15 after 20 runs in 6 of 100
# draws; with 2, in 3 of them.
KIND_WEIGHT_RUNS = 2
# Number of runs of a kind that weigh as much as the ratio 1.
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
    key = (info.worker.pool, info.worker.kind)
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
    """Adds a ratio; returns the median of the last ones, drawn to a default."""
    recent.append(ratio)
    if len(recent) > max_runs:
        del recent[0]
    count = len(recent)
    return (count * statistics.median(recent) + weight_runs * default) / (
        count + weight_runs
    )


def forget_worker(info: cluster_state.WorkerInfo) -> None:
    """Discards the speed of a worker that has restarted."""
    info.recent_ratios.clear()
    info.run_time_ratio = 0.0
