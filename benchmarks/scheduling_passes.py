"""Measures the processor time of a scheduling pass of the owner of the jobs.

All workers are full, and stages wait for room. A pass after which nothing has
changed and one after the end of a single run are timed, beside the pass that
looks at all workers for each stage (plain_task_placement).
"""

from collections.abc import Callable
import functools
import random
import statistics
import time

from benchmarks import measurements
from benchmarks import plain_task_placement
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

WORKERS = 940
RUNS = 21_000
WAITING_STAGES = 200
# A third of the stages is of a queue whose workers demand tickets.
TICKET_DIVISOR = 3
TICKETS_PER_STAGE = 9
TASKS_PER_STAGE = 10
PASSES = 8
NOW_MS = 1_000_000
_NS_PER_MS = 1_000_000
_OCCUPANT = resources.Resources(2_000, 4_000)

Pass = Callable[[cluster_state.ClusterState], plans.Plan]


def make_cluster(
    worker_count: int, runs: int, stages: int, seed: int
) -> cluster_state.ClusterState:
    """Returns full workers and stages that wait for room on them."""
    rng = random.Random(seed)
    queues = [
        job_settings.JobQueue('plain', '', '/plain/', 'pool', priority=1),
        job_settings.JobQueue(
            'advised', '', '/advised/', 'pool', priority=1, needs_tickets=True
        ),
    ]
    settings = job_settings.JobSettings(
        revision=1, queues={queue.name: queue for queue in queues}
    )
    cluster = cluster_state.ClusterState(1, 0, settings)
    runs_each = runs // worker_count
    for number in range(worker_count):
        worker = workers.Worker(
            f'w{number}',
            'region',
            f'd{number % 5}',
            f'r{number // 12}',
            resources.multiply(_OCCUPANT, runs_each),
            address='',
            pool='pool',
            kind='plain',
            life=1,
        )
        info = cluster_state.WorkerInfo(
            worker, is_claimed=True, is_registered=True
        )
        cluster.workers_by_id[worker.id] = info
        _occupy(cluster, info, runs_each)
    for number in range(stages):
        _add_stage(cluster, rng, number)
    return cluster


def _occupy(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    count: int,
) -> None:
    step = jobs.Step(count, _OCCUPANT, estimate_ms=60_000)
    spec = jobs.JobSpec(f'run-{info.worker.id}', 'plain', '', '', (step,))
    job = jobs.Job(spec, is_durable=True)
    stage = jobs.make_stage(0, 0, step)
    job.stages[0, 0] = stage
    cluster.jobs[spec.id] = job
    for task in stage.tasks:
        task.phase = jobs.TaskPhase.RUNNING
        task.run = 1
        task.start_decided_ms = NOW_MS - 1_000
        name = cluster_state.make_task_name(job, stage, task.index)
        cluster_state.allocate_run(cluster, info, job, name, task)


def _add_stage(
    cluster: cluster_state.ClusterState, rng: random.Random, number: int
) -> None:
    step = jobs.Step(
        TASKS_PER_STAGE,
        resources.Resources(rng.randrange(1_000, 4_000), 2_000),
        estimate_ms=1_000,
    )
    is_advised = number % TICKET_DIVISOR == 0
    queue = 'advised' if is_advised else 'plain'
    spec = jobs.JobSpec(
        f'wait-{number}', queue, '', '', (step,), accepted_ms=NOW_MS, epoch=1
    )
    job = jobs.Job(spec, is_durable=True, critical_path_ms=1_000)
    stage = jobs.make_stage(0, 0, step)
    stage.ready_ms = NOW_MS - 100
    if is_advised:
        stage.advice.is_asking = stage.advice.is_called = True
        for id in rng.sample(list(cluster.workers_by_id), TICKETS_PER_STAGE):
            stage.advice.asked[id] = 1
            stage.advice.tickets[id] = jobs.Ticket('t', NOW_MS + 2_000, 1)
    job.stages[0, 0] = stage
    cluster.jobs[spec.id] = job
    cluster.waiting_stages[spec.id, 0, 0] = stage


def _end_run(cluster: cluster_state.ClusterState, rng: random.Random) -> None:
    """Ends one run; its resources become free."""
    info = rng.choice(list(cluster.workers_by_id.values()))
    if not info.runs:
        return
    name, task = next(iter(info.runs.items()))
    task.phase = jobs.TaskPhase.DONE
    cluster_state.release_run(cluster, name, NOW_MS)


def _time_passes(
    cluster: cluster_state.ClusterState,
    run_pass: Pass,
    change: Callable[[], None],
) -> float:
    """Returns the median processor time of a pass after a change, in ms."""
    run_pass(cluster)
    times_ms = []
    for _ in range(PASSES):
        change()
        started_ns = time.process_time_ns()
        run_pass(cluster)
        times_ms.append((time.process_time_ns() - started_ns) / _NS_PER_MS)
    return statistics.median(times_ms)


def _measure_size(divisor: int, seed: int) -> dict[str, float]:
    """Returns the times at the planned size divided by a number, by name."""
    results = {}
    for name in ('plain', 'new'):
        cache = plans.EligibilityCache()
        run_pass: Pass
        if name == 'plain':
            run_pass = _run_plain_pass
        else:
            run_pass = _make_cached_pass(cache)
        cluster = make_cluster(
            WORKERS // divisor, RUNS // divisor, WAITING_STAGES // divisor, seed
        )
        rng = random.Random(seed)
        results[f'{name}_idle'] = _time_passes(cluster, run_pass, lambda: None)
        results[f'{name}_end'] = _time_passes(
            cluster, run_pass, functools.partial(_end_run, cluster, rng)
        )
    return results


def _run_plain_pass(cluster: cluster_state.ClusterState) -> plans.Plan:
    return plain_task_placement.plan_starts(cluster, NOW_MS, NOW_MS)


def _make_cached_pass(cache: plans.EligibilityCache) -> Pass:
    return lambda cluster: task_placement.plan_starts(
        cluster, NOW_MS, NOW_MS, cache
    )


def measure_passes(seed: int) -> list[measurements.Measurement]:
    """Measures passes at the planned size and at a third of it."""
    full, third = _measure_size(1, seed), _measure_size(3, seed)
    return [
        measurements.Measurement(
            'pass_unchanged', full['new_idle'], 'ms', '<=0.2'
        ),
        measurements.Measurement('pass_one_end', full['new_end'], 'ms', '<=1'),
        measurements.Measurement(
            'pass_growth',
            full['new_end'] / max(third['new_end'], 1e-6),
            'ratio',
            '<=1.5',
        ),
        measurements.Measurement(
            'pass_unchanged_plain', full['plain_idle'], 'ms'
        ),
        measurements.Measurement('pass_one_end_plain', full['plain_end'], 'ms'),
        measurements.Measurement('pass_one_end_third', third['new_end'], 'ms'),
        measurements.Measurement(
            'pass_one_end_third_plain', third['plain_end'], 'ms'
        ),
    ]


if __name__ == '__main__':
    measurements.print_measurements(measure_passes(20_261))
