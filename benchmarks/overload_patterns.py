"""Compares orders of waiting work while a pool has too little capacity.

Load pattern: short urgent jobs come at twice the rate that the pool can do for
5 s, one customer submits most of them, and half of the workers are gone for
4 s. Placement and order are the product's; runs end as drawn.
"""

from collections.abc import Callable
import dataclasses
import random

from benchmarks import measurements
from nutmegknot._internal.decisions import backlogs
from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.decisions import pool_load
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

STEP_MS = 20
END_MS = 24_000
WORKERS = 24
CORES = 16_000
# Jobs a second that keep the workers busy to seven tenths.
USUAL_RATE = 12.0
# Times from and until which the load is above the usual, in ms.
BURST_MS = (4_000, 9_000)
BURST_FACTOR = 2.6
# Part of the jobs of the burst that one customer submits.
HOT_PART = 0.5
# Times from and until which half of the workers are gone, in ms.
OUTAGE_MS = (6_000, 10_000)
# Part of its value that a late result has for its caller.
LATE_VALUE = 0.2
# Time after the last cause at which jobs are on time again.
RECOVERED_MS = 5_000
CUSTOMERS = {
    name: job_settings.Customer(name, weight=5.0)
    for name in ('a', 'b', 'c', 'hot')
}

Assess = Callable[[cluster_state.ClusterState, int], None]


@dataclasses.dataclass(slots=True)
class Pattern:
    """State of one run of the pattern.

    Attributes:
      cluster: Jobs and workers.
      ends: Runs by the time at which they end, in ms.
      finished: Time at which each job ended, in ms.
      rates: Rates of the customers.
    """

    cluster: cluster_state.ClusterState
    ends: dict[int, list[jobs.TaskName]] = dataclasses.field(
        default_factory=dict
    )
    finished: dict[str, int] = dataclasses.field(default_factory=dict)
    rates: customer_rates.CustomerRates = dataclasses.field(
        default_factory=customer_rates.CustomerRates
    )


def _make_pattern() -> Pattern:
    queue = job_settings.JobQueue(
        'urgent',
        'host',
        '/urgent/',
        'pool',
        objective_factor=1.5,
        objective_base_ms=250,
    )
    settings = job_settings.JobSettings(
        queues={queue.name: queue}, customers=CUSTOMERS
    )
    cluster = cluster_state.ClusterState(1, 0, settings)
    for number in range(WORKERS):
        worker = workers.Worker(
            f'w{number}',
            'region',
            'a',
            'r1',
            resources.Resources(CORES, 64_000),
            pool='pool',
        )
        cluster.workers_by_id[worker.id] = cluster_state.WorkerInfo(
            worker, is_claimed=True, is_registered=True
        )
    return Pattern(cluster)


def _submit_job(
    pattern: Pattern, rng: random.Random, id: str, customer: str, now_ms: int
) -> None:
    count = max(1, min(40, int(rng.lognormvariate(2.0, 0.7))))
    step = jobs.Step(count, resources.Resources(2_700, 4_000), estimate_ms=700)
    spec = jobs.JobSpec(
        id,
        'urgent',
        customer,
        '',
        (step,),
        accepted_ms=now_ms,
        epoch=1,
        pool='pool',
    )
    job = jobs.Job(
        spec,
        is_durable=True,
        critical_path_ms=700,
    )
    job.is_excess = customer_rates.record_job(
        pattern.rates,
        CUSTOMERS[customer],
        now_ms,
        customer_rates.RateLimits(),
    )
    stage = jobs.make_stage(0, 0, step)
    stage.ready_ms = now_ms
    job.stages[0, 0] = stage
    pattern.cluster.jobs[id] = job
    pattern.cluster.waiting_stages[id, 0, 0] = stage


def _end_runs(pattern: Pattern, now_ms: int) -> None:
    cluster = pattern.cluster
    for name in pattern.ends.pop(now_ms, ()):
        stage = cluster.jobs[name.job].stages[0, 0]
        stage.tasks[name.index].phase = jobs.TaskPhase.DONE
        cluster_state.release_run(cluster, name, now_ms)
        stage.done_count += 1
        if stage.done_count == len(stage.tasks):
            pattern.finished[name.job] = now_ms


def _start_tasks(pattern: Pattern, rng: random.Random, now_ms: int) -> None:
    cluster = pattern.cluster
    for placement in task_placement.plan_starts(cluster, now_ms, now_ms).placed:
        task = placement.stage.tasks[placement.index]
        task.phase = jobs.TaskPhase.RUNNING
        task.start_decided_ms = now_ms
        name = cluster_state.make_task_name(
            placement.job, placement.stage, task.index
        )
        cluster_state.allocate_run(
            cluster, placement.info, placement.job, name, task
        )
        steps = max(1, int(rng.lognormvariate(0, 0.15) * 620 / STEP_MS))
        pattern.ends.setdefault(now_ms + steps * STEP_MS, []).append(name)
    for key, stage in list(cluster.waiting_stages.items()):
        if all(t.phase is not jobs.TaskPhase.WAITING for t in stage.tasks):
            del cluster.waiting_stages[key]


def run_pattern(seed: int, assess: Assess) -> Pattern:
    """Runs the pattern with one way of assessing the backlog."""
    pattern = _make_pattern()
    arrivals, durations = random.Random(seed), random.Random(seed + 1)
    next_ms, number = 0.0, 0
    for now_ms in range(0, END_MS, STEP_MS):
        is_burst = BURST_MS[0] <= now_ms < BURST_MS[1]
        while next_ms <= now_ms:
            customer = arrivals.choice('abc')
            if is_burst and arrivals.random() < HOT_PART:
                customer = 'hot'
            _submit_job(pattern, arrivals, str(number), customer, now_ms)
            number += 1
            rate = USUAL_RATE * (BURST_FACTOR if is_burst else 1.0)
            next_ms += arrivals.expovariate(rate) * 1_000
        is_outage = OUTAGE_MS[0] <= now_ms < OUTAGE_MS[1]
        for n, info in enumerate(pattern.cluster.workers_by_id.values()):
            info.is_listed = not (is_outage and n % 2)
        _end_runs(pattern, now_ms)
        if now_ms % 100 == 0:
            assess(pattern.cluster, now_ms)
        _start_tasks(pattern, durations, now_ms)
    return pattern


def assess_backlog(cluster: cluster_state.ClusterState, now_ms: int) -> None:
    """Marks the stages that are delayed, as the owner of the jobs does."""
    backlog = backlogs.assess_backlog(
        cluster, pool_load.LoadAverages(), now_ms, now_ms
    )
    cluster.overloaded_pools = backlog.overloaded_pools
    cluster.deferred_stages = backlog.deferred
    cluster.too_late_stages = backlog.too_late


def _compute_value(pattern: Pattern, job: jobs.Job) -> float:
    """Returns the part of its value that a job has for its caller."""
    ended_ms = pattern.finished.get(job.spec.id)
    if ended_ms is None:
        return 0.0
    objective_ms = stage_ranking.compute_objective_ms(pattern.cluster, job)
    after_ms = ended_ms - job.spec.accepted_ms
    if after_ms <= objective_ms:
        return 1.0
    is_useful = after_ms <= stage_ranking.EXPIRY_FACTOR * objective_ms
    return LATE_VALUE if is_useful else 0.0


def _measure(pattern: Pattern) -> dict[str, float]:
    """Returns the mean value of groups of jobs, weighted by their work."""
    groups: dict[str, list[tuple[float, int]]] = {}
    last_cause_ms = max(BURST_MS[1], OUTAGE_MS[1])
    for job in pattern.cluster.jobs.values():
        sent_ms = job.spec.accepted_ms
        if sent_ms > END_MS - 4_000:
            continue
        value = (_compute_value(pattern, job), job.spec.steps[0].count)
        if BURST_MS[0] <= sent_ms < last_cause_ms + RECOVERED_MS:
            groups.setdefault('burst', []).append(value)
            if job.spec.customer != 'hot':
                groups.setdefault('others', []).append(value)
        elif sent_ms < BURST_MS[0]:
            groups.setdefault('usual', []).append(value)
        if sent_ms >= last_cause_ms + RECOVERED_MS:
            groups.setdefault('recovered', []).append(value)
    return {
        name: sum(value * work for value, work in values)
        / sum(work for _, work in values)
        for name, values in groups.items()
    }


def measure_overload(seed: int) -> list[measurements.Measurement]:
    """Measures the order by the end of the objectives and the present one."""
    baseline = _measure(run_pattern(seed, lambda cluster, now_ms: None))
    present = _measure(run_pattern(seed, assess_backlog))
    results = []
    for name in ('usual', 'burst', 'others', 'recovered'):
        results += [
            measurements.Measurement(
                f'overload_{name}_baseline', baseline[name], 'parts'
            ),
            measurements.Measurement(
                f'overload_{name}', present[name], 'parts'
            ),
        ]
    results.append(
        measurements.Measurement(
            'overload_recovery',
            present['recovered'] / present['usual'],
            'ratio',
            '>=0.9',
        )
    )
    return results


if __name__ == '__main__':
    measurements.print_measurements(measure_overload(20_261))
