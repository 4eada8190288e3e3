"""Tests which stages are delayed, and which new jobs are refused."""

import random

from lib import job_cells
import pytest

from nutmegknot._internal.decisions import admission_checks
from nutmegknot._internal.decisions import backlogs
from nutmegknot._internal.decisions import customer_rates
from nutmegknot._internal.decisions import pool_load
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

NOW_MS = 100_000
URGENT = job_cells.make_queue(
    'urgent', priority=0, objective_factor=1.5, objective_base_ms=250
)
BATCH = job_cells.make_queue(
    'batch', priority=2, objective_factor=4.0, objective_base_ms=3_000
)
CUSTOMERS = (
    job_settings.Customer('usual', weight=2.0),
    job_settings.Customer('hot', weight=2.0),
    job_settings.Customer(
        'limited', weight=50.0, limit=resources.Resources(4_000)
    ),
)
LIMITS = customer_rates.RateLimits()


def make_cluster(worker_count: int = 10) -> cluster_state.ClusterState:
    """Returns a full cluster of workers of 4 cores; one of each is in use."""
    settings = job_cells.make_settings(URGENT, BATCH, customers=CUSTOMERS)
    cluster = cluster_state.ClusterState(1, 0, settings)
    cluster.takeover_complete_ms = 0
    cluster.full_pools = {'pool'}
    for number in range(worker_count):
        worker = job_cells.make_worker(f'w{number}')
        cluster.workers_by_id[worker.id] = cluster_state.WorkerInfo(
            worker, is_claimed=True, is_registered=True
        )
        add_job(cluster, f'r{number}', 1, runs_on=worker.id)
    return cluster


def make_spec(
    id: str, count: int, queue: str, customer: str, at_ms: int = NOW_MS
) -> jobs.JobSpec:
    step = job_cells.make_step(count)
    return jobs.JobSpec(
        id,
        queue,
        customer,
        '',
        (step,),
        accepted_ms=at_ms,
        epoch=1,
        pool='pool',
        priority=0 if queue == 'urgent' else 2,
    )


def add_job(
    cluster: cluster_state.ClusterState,
    id: str,
    count: int,
    queue: str = 'urgent',
    *,
    customer: str = 'usual',
    is_excess: bool = False,
    runs_on: str = '',
) -> jobs.Stage:
    spec = make_spec(id, count, queue, customer)
    job = jobs.Job(
        spec,
        is_durable=True,
        critical_path_ms=500,
        is_excess=is_excess,
    )
    stage = jobs.make_stage(0, 0, spec.steps[0])
    stage.ready_ms = NOW_MS
    job.stages[0, 0] = stage
    cluster.jobs[id] = job
    if runs_on:
        info = cluster.workers_by_id[runs_on]
        task = stage.tasks[0]
        task.phase = jobs.TaskPhase.RUNNING
        name = cluster_state.make_task_name(job, stage, 0)
        cluster_state.allocate_run(cluster, info, job, name, task)
    else:
        cluster.waiting_stages[id, 0, 0] = stage
    return stage


def assess(cluster: cluster_state.ClusterState) -> backlogs.Backlog:
    backlog = backlogs.assess_backlog(
        cluster, pool_load.LoadAverages(), NOW_MS, NOW_MS
    )
    cluster.overloaded_pools = backlog.overloaded_pools
    cluster.deferred_stages = backlog.deferred
    cluster.too_late_stages = backlog.too_late
    return backlog


def find_delay(
    cluster: cluster_state.ClusterState,
    queue: job_settings.JobQueue = URGENT,
    *,
    count: int = 4,
    is_excess: bool = False,
) -> admission_checks.ExcessiveDelay | None:
    spec = make_spec('new', count, queue.name, 'usual')
    return admission_checks.find_excessive_delay(
        cluster, assess(cluster), spec, queue, is_excess=is_excess
    )


def test_nothing_is_delayed_or_refused_while_capacity_suffices() -> None:
    cluster = make_cluster()
    for number in range(5):
        add_job(cluster, f'u{number}', 4)
    assert not assess(cluster).deferred
    assert find_delay(cluster) is None
    assert find_delay(cluster, is_excess=True) is None


def test_large_jobs_are_delayed_so_that_small_ones_are_on_time() -> None:
    """All jobs would end late one after the other if none were delayed."""
    cluster = make_cluster()
    for number in range(8):
        add_job(cluster, f's{number}', 4)
    for number in range(4):
        add_job(cluster, f'l{number}', 100)
    backlog = assess(cluster)
    assert backlog.deferred
    assert {key[0][0] for key in backlog.deferred} == {'l'}


def test_jobs_above_a_customers_rate_are_delayed_first() -> None:
    cluster = make_cluster()
    for number in range(8):
        add_job(cluster, f'u{number}', 4)
    for number in range(40):
        add_job(cluster, f'h{number}', 4, customer='hot', is_excess=True)
    backlog = assess(cluster)
    assert {key[0][0] for key in backlog.deferred} == {'h'}


def test_work_at_its_customers_limit_delays_no_others() -> None:
    """A customer at its limit has far more work than may run."""
    cluster = make_cluster()
    for number in range(60):
        add_job(cluster, f'c{number}', 4, customer='limited')
    add_job(cluster, 'u', 4)
    backlog = assess(cluster)
    assert {key[0][0] for key in backlog.deferred} == {'c'}
    assert find_delay(cluster) is None


def test_a_job_that_would_end_too_late_is_refused() -> None:
    cluster = make_cluster()
    for number in range(300):
        add_job(cluster, f'b{number}', 40, 'batch')
    assert find_delay(cluster) is None, 'more urgent work goes first'
    assert find_delay(cluster, BATCH) is None, 'a small job costs little'
    delay = find_delay(cluster, BATCH, count=40)
    assert delay is not None
    assert delay.backlog_ms > delay.max_wait_ms
    assert delay.drain_ms > 0


def test_jobs_in_excess_are_refused_before_others() -> None:
    cluster = make_cluster()
    refused_at: dict[bool, int] = {}
    for number in range(400):
        add_job(cluster, f'b{number}', 40, 'batch')
        for is_excess in (True, False):
            delay = find_delay(cluster, BATCH, count=40, is_excess=is_excess)
            if delay is not None:
                refused_at.setdefault(is_excess, number)
        if len(refused_at) == 2:
            break
    assert refused_at[True] < refused_at[False]


def test_an_unknown_processing_rate_refuses_nothing() -> None:
    """No worker of the pool is usable, so nothing is known of its rate."""
    cluster = make_cluster()
    for number in range(300):
        add_job(cluster, f'b{number}', 40, 'batch')
    cluster.workers_by_id.clear()
    assert find_delay(cluster, BATCH, count=40) is None


def test_waiting_for_other_things_than_capacity_refuses_nothing() -> None:
    """Many stages wait for advice or for few workers in a pool with room."""
    cluster = make_cluster()
    cluster.full_pools.clear()
    for number in range(300):
        add_job(cluster, f'b{number}', 40, 'batch')
    assert not assess(cluster).deferred
    assert find_delay(cluster, BATCH, count=40) is None


def test_long_runs_of_other_classes_are_work_that_ends() -> None:
    """Batch runs hold most of the pool; the urgent job ends after them.

    It was refused, as if the batch runs held their workers without end.
    """
    cluster = make_cluster()
    for number in range(30):
        worker = f'w{number % 10}'
        add_job(cluster, f'b{number}', 1, 'batch', runs_on=worker)
    for number in range(8):
        add_job(cluster, f'u{number}', 4)
    assert find_delay(cluster) is None


def test_a_burst_of_urgent_work_refuses_no_batch_work() -> None:
    """Urgent runs fill the pool for a moment, and 1 s of their work waits.

    The batch job was refused, as if only a twentieth of the pool were left.
    """
    cluster = make_cluster()
    for number in range(30):
        add_job(cluster, f'r{number}+', 1, runs_on=f'w{number % 10}')
    for number in range(20):
        add_job(cluster, f'u{number}', 4)
    add_job(cluster, 'b', 4, 'batch')
    assert find_delay(cluster, BATCH) is None
    assert find_delay(cluster, BATCH, is_excess=True) is None


def test_a_job_that_is_too_large_alone_is_not_refused_for_the_backlog() -> None:
    cluster = make_cluster()
    add_job(cluster, 'u', 1)
    assert find_delay(cluster, count=1_000) is None


def test_a_backlog_of_a_removed_customer_is_no_error() -> None:
    """Settings change between the assessment and the submission."""
    cluster = make_cluster()
    for number in range(60):
        add_job(cluster, f'c{number}', 4, customer='limited')
    backlog = assess(cluster)
    del cluster.settings.customers['limited']
    spec = make_spec('new', 4, 'urgent', 'limited')
    admission_checks.find_excessive_delay(
        cluster, backlog, spec, URGENT, is_excess=False
    )


def test_work_without_value_goes_after_all_classes() -> None:
    cluster = make_cluster()
    cluster.overloaded_pools = {'pool'}
    expired = add_job(cluster, 'e', 1)
    batch = add_job(cluster, 'b', 1, 'batch')
    ranks = [
        stage_ranking.rank_stage(
            cluster, cluster.jobs[id], stage, NOW_MS + 10_000
        )
        for id, stage in (('e', expired), ('b', batch))
    ]
    assert ranks[0] > ranks[1]


@pytest.mark.parametrize('seed', range(5))
def test_a_new_owner_gives_no_second_allowance(seed: int) -> None:
    """Rates that a new owner rebuilds are those of the owner before."""
    rng = random.Random(seed)
    customers = {customer.name: customer for customer in CUSTOMERS}
    before = customer_rates.CustomerRates()
    accepted: list[jobs.Job] = []
    at_ms = NOW_MS
    for number in range(200):
        at_ms += rng.randrange(400)
        name = rng.choice(('usual', 'hot', 'hot', 'hot'))
        job = jobs.Job(make_spec(str(number), 1, 'urgent', name, at_ms))
        job.is_excess = customer_rates.record_job(
            before, customers[name], at_ms, LIMITS
        )
        accepted.append(job)
    marks = [job.is_excess for job in accepted]
    assert any(marks)
    loaded = list(accepted)
    rng.shuffle(loaded)
    after = customer_rates.rebuild_rates(loaded, customers, LIMITS)
    assert [job.is_excess for job in accepted] == marks
    for name in ('usual', 'hot'):
        assert customer_rates.count_recent(
            before, name, at_ms, LIMITS
        ) == customer_rates.count_recent(after, name, at_ms, LIMITS)


def test_a_customer_within_its_rate_is_never_in_excess() -> None:
    rates = customer_rates.CustomerRates()
    customer = CUSTOMERS[0]
    for number in range(100):
        assert not customer_rates.record_job(
            rates, customer, NOW_MS + 500 * number, LIMITS
        )
    assert not customer_rates.record_job(rates, None, NOW_MS, LIMITS)


@pytest.mark.parametrize('factor', (1.05, 1.2, 5.0))
def test_a_customer_above_its_rate_keeps_its_entitlement(
    factor: float,
) -> None:
    """Jobs in excess used up the entitlement, so that all were in excess."""
    rates = customer_rates.CustomerRates()
    customer = job_settings.Customer('hot', weight=10.0)
    within = sum(
        not customer_rates.record_job(
            rates, customer, NOW_MS + int(n * 100 / factor), LIMITS
        )
        for n in range(int(300 * factor))
    )
    assert within >= 300


def test_a_customer_without_a_weight_is_never_in_excess() -> None:
    rates = customer_rates.CustomerRates()
    customer = job_settings.Customer('free')
    assert not any(
        customer_rates.record_job(rates, customer, NOW_MS, LIMITS)
        for _ in range(100)
    )
