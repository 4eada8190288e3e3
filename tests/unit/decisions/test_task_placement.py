"""Tests of decisions/task_placement.py."""

from lib import job_cells

from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

NOW_MS = 10_000


def make_cluster(
    *listed: workers.Worker, **customers: int
) -> cluster_state.ClusterState:
    """Returns a state with usable workers and with customers' limits.

    Args:
      listed: The workers.
      customers: Each customer's limit in millicores, by name.
    """
    settings = job_cells.make_settings(
        job_cells.make_queue(),
        job_cells.make_queue('asked', needs_tickets=True, advice_base_ms=50.0),
        customers=tuple(
            job_settings.Customer(
                name, limit=resources.Resources(millicores=limit)
            )
            for name, limit in customers.items()
        ),
    )
    cluster = cluster_state.ClusterState(1, 0, settings)
    for worker in listed:
        info = cluster_state.WorkerInfo(
            worker, is_claimed=True, is_registered=True
        )
        cluster.workers_by_id[worker.id] = info
    return cluster


def add_stage(
    cluster: cluster_state.ClusterState,
    id: str,
    step: jobs.Step,
    queue: str = 'queue',
    customer: str = '',
) -> jobs.Stage:
    """Adds a job of one step that has waited for 1 s; returns its stage."""
    spec = jobs.JobSpec(
        id, queue, customer, '', (step,), accepted_ms=NOW_MS, epoch=1
    )
    job = jobs.Job(spec, is_durable=True, critical_path_ms=step.estimate_ms)
    stage = jobs.make_stage(0, 0, step)
    stage.ready_ms = NOW_MS - 1_000
    job.stages[0, 0] = stage
    cluster.jobs[id] = job
    cluster.waiting_stages[id, 0, 0] = stage
    return stage


def make_plan(cluster: cluster_state.ClusterState) -> plans.Plan:
    return task_placement.plan_starts(cluster, NOW_MS, NOW_MS)


def list_blocking_reasons(plan: plans.Plan) -> list[str]:
    return [reason for _, reason in plan.blocked]


def test_no_more_tasks_start_than_fit_on_a_worker() -> None:
    cluster = make_cluster(job_cells.make_worker('w1'))
    add_stage(cluster, 'a', job_cells.make_step(6))
    plan = make_plan(cluster)
    assert len(plan.placed) == 4
    assert list_blocking_reasons(plan) == ['room']


def test_a_limit_holds_back_what_would_exceed_it() -> None:
    cluster = make_cluster(job_cells.make_worker('w1'), team=2_500)
    add_stage(cluster, 'a', job_cells.make_step(4), customer='team')
    plan = make_plan(cluster)
    assert len(plan.placed) == 2
    assert list_blocking_reasons(plan) == ['limit']


def test_a_gang_starts_whole_or_not_at_all() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1'), job_cells.make_worker('w2')
    )
    add_stage(cluster, 'a', job_cells.make_step(3, 3_000, is_gang=True))
    assert make_plan(cluster).placed == []
    add_stage(cluster, 'b', job_cells.make_step(2, 3_000, is_gang=True))
    placed = make_plan(cluster).placed
    assert {p.job.spec.id for p in placed} == {'b'}
    assert {p.info.worker.id for p in placed} == {'w1', 'w2'}


def test_a_gang_that_prefers_one_rack_gets_one() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1', rack='r1'),
        job_cells.make_worker('w2', rack='r2'),
        job_cells.make_worker('w3', rack='r2'),
    )
    add_stage(
        cluster,
        'a',
        job_cells.make_step(2, 3_000, is_gang=True, same_rack=True),
    )
    placed = make_plan(cluster).placed
    assert {p.info.worker.id for p in placed} == {'w2', 'w3'}


def test_a_task_starts_in_the_rack_of_its_data() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1', rack='r1'),
        job_cells.make_worker('w2', rack='r2'),
    )
    add_stage(cluster, 'a', job_cells.make_step(4, data_rack='r2'))
    assert {p.info.worker.id for p in make_plan(cluster).placed} == {'w2'}


def test_no_worker_gets_more_of_a_stage_than_allowed() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1'), job_cells.make_worker('w2')
    )
    add_stage(cluster, 'a', job_cells.make_step(6, max_per_worker=2))
    placed = make_plan(cluster).placed
    counts = [p.info.worker.id for p in placed]
    assert counts.count('w1') == counts.count('w2') == 2


def test_a_label_is_required() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1'),
        job_cells.make_worker('w2', labels=frozenset(('fast',))),
    )
    add_stage(cluster, 'a', job_cells.make_step(4, required_label='fast'))
    assert {p.info.worker.id for p in make_plan(cluster).placed} == {'w2'}
    add_stage(cluster, 'b', job_cells.make_step(1, required_label='other'))
    assert 'no_worker' in list_blocking_reasons(make_plan(cluster))


def test_opportunistic_tasks_avoid_latency_sensitive_ones() -> None:
    cluster = make_cluster(
        job_cells.make_worker('w1'), job_cells.make_worker('w2')
    )
    sensitive = add_stage(
        cluster,
        's',
        job_cells.make_step(1, is_long_running=True, tail_latency_target_ms=50),
    )
    job = cluster.jobs['s']
    name = cluster_state.make_task_name(job, sensitive, 0)
    cluster_state.allocate_run(
        cluster, cluster.workers_by_id['w1'], job, name, sensitive.tasks[0]
    )
    sensitive.tasks[0].phase = jobs.TaskPhase.RUNNING
    del cluster.waiting_stages['s', 0, 0]
    add_stage(
        cluster, 'f', job_cells.make_step(2, 8_000, is_opportunistic=True)
    )
    placed = make_plan(cluster).placed
    assert [p.info.worker.id for p in placed] == ['w2', 'w2']


def test_resources_are_held_while_a_ticket_is_requested() -> None:
    cluster = make_cluster(job_cells.make_worker('w1'))
    stage = add_stage(
        cluster, 'a', job_cells.make_step(1, 4_000), queue='asked'
    )
    stage.advice.asked['w1'] = 1
    stage.advice.tickets['w1'] = jobs.Ticket('old', NOW_MS - 1, 1)
    add_stage(cluster, 'b', job_cells.make_step(4))
    plan = make_plan(cluster)
    assert plan.placed == []
    assert [request.workers for request in plan.advice_requests] == [['w1']]
    assert list_blocking_reasons(plan) == ['ticket', 'room']


def test_nothing_is_held_while_a_request_for_advice_waits() -> None:
    """Guards against work that waits beside free workers (LOST).

    Resources were held for each stage whose request for a ticket waited for an
    adviser, for many seconds and for more stages than could be answered.
    """
    cluster = make_cluster(
        job_cells.make_worker('w1'), job_cells.make_worker('w2')
    )
    stages = [
        add_stage(cluster, id, job_cells.make_step(1, 4_000), queue='asked')
        for id in 'ab'
    ]
    for number, stage in enumerate(stages, 1):
        stage.advice.asked = {'w1': 1, 'w2': 1}
        ticket = jobs.Ticket('old', NOW_MS - 1, 1)
        stage.advice.tickets = {f'w{number}': ticket}
    add_stage(cluster, 'c', job_cells.make_step(8))
    plan = make_plan(cluster)
    assert {p.info.worker.id for p in plan.placed} == {'w2'}
    plan = task_placement.plan_starts(cluster, NOW_MS, NOW_MS, idle_advisers=0)
    assert len(plan.placed) == 8
    stages[1].advice.is_asking = True
    plan = make_plan(cluster)
    assert {p.info.worker.id for p in plan.placed} == {'w2'}
    stages[1].advice.is_called = True
    assert make_plan(cluster).placed == []


def test_a_ticket_that_expires_before_the_start_is_sent_is_renewed() -> None:
    """Guards against starts that workers refuse as their tickets have expired.

    The owner's commands left it up to 1 s late, and 375 starts had tickets that
    were over by then. Found in quiet-1 --small of the site mvhd-sched-large.
    """
    cluster = make_cluster(job_cells.make_worker('w1'))
    stage = add_stage(cluster, 'a', job_cells.make_step(), queue='asked')
    stage.advice.asked['w1'] = 1
    stage.advice.tickets['w1'] = jobs.Ticket('ticket', NOW_MS + 300, 1)
    assert len(make_plan(cluster).placed) == 1
    plan = task_placement.plan_starts(cluster, NOW_MS, NOW_MS, lag_ms=200)
    assert plan.placed == []
    assert [request.workers for request in plan.advice_requests] == [['w1']]
    # A new ticket is enough, however large the lag is.
    stage.advice.tickets['w1'] = jobs.Ticket('ticket', NOW_MS + 600, 1)
    plan = task_placement.plan_starts(cluster, NOW_MS, NOW_MS, lag_ms=9_000)
    assert len(plan.placed) == 1


def test_advice_is_requested_on_others_once_advised_workers_are_full() -> None:
    """Guards against a long-running step that stays short of tasks.

    The step allows one task on each worker. Of 30 workers asked about, advice
    named 8, and each of these had a task already. Their tickets were renewed
    again and again, and no other worker was asked about for the ninth task.
    Found in scale-1 of the site mvhd-sched-grown.
    """
    listed = [job_cells.make_worker(f'w{i}') for i in range(3)]
    cluster = make_cluster(*listed)
    step = job_cells.make_step(2, 100, max_per_worker=1, is_long_running=True)
    stage = add_stage(cluster, 'a', step, 'asked')
    job = cluster.jobs['a']
    stage.advice.asked = {'w0': 1, 'w1': 1}
    stage.advice.tickets = {'w0': jobs.Ticket('ticket', NOW_MS - 1, 1)}
    cluster_state.allocate_run(
        cluster,
        cluster.workers_by_id['w0'],
        job,
        cluster_state.make_task_name(job, stage, 0),
        stage.tasks[0],
    )
    stage.tasks[0].phase = jobs.TaskPhase.RUNNING
    plan = make_plan(cluster)
    assert [request.workers for request in plan.advice_requests] == [['w2']]


def test_nothing_starts_on_unusable_workers() -> None:
    for change in (
        {'is_claimed': False},
        {'is_listed': False},
        {'is_registered': False},
        {'unexpected_runs': {'x.0.0.0': 1}},
        {'no_starts_before_ms': NOW_MS + 1},
        {'unanswered_since_ms': NOW_MS - plans.MAX_SILENCE_MS},
    ):
        cluster = make_cluster(job_cells.make_worker('w1'))
        for field, value in change.items():
            setattr(cluster.workers_by_id['w1'], field, value)
        add_stage(cluster, 'a', job_cells.make_step())
        assert make_plan(cluster).placed == [], change


def test_no_advice_is_requested_for_customers_at_their_limits() -> None:
    """Guards against tasks that wait for advice beside free workers (LOST).

    Stages whose customers were at their limits were asked about again and
    again, as tickets expire, and those that could start waited for an adviser
    (review/7).
    """
    cluster = make_cluster(
        job_cells.make_worker('w1'),
        job_cells.make_worker('w2'),
        full=1_000,
        free=9_000,
    )
    cluster.usage['full'] = resources.Resources(1_000, 100)
    held = add_stage(
        cluster, 'a', job_cells.make_step(3), 'asked', customer='full'
    )
    add_stage(cluster, 'b', job_cells.make_step(3), 'asked', customer='free')
    plan = make_plan(cluster)
    assert [request.job.spec.id for request in plan.advice_requests] == ['b']
    assert [ranked.stage for ranked in plan.at_limit] == [held]
    assert plan.reserved == set()
    cluster.usage['full'] = resources.ZERO
    plan = make_plan(cluster)
    assert len(plan.advice_requests) == 2
    assert plan.at_limit == []


def test_a_gang_beyond_its_customers_limit_gets_no_advice() -> None:
    cluster = make_cluster(job_cells.make_worker('w1'), half=2_500)
    step = job_cells.make_step(3, is_gang=True)
    add_stage(cluster, 'a', step, 'asked', customer='half')
    plan = make_plan(cluster)
    assert plan.advice_requests == []
    assert len(plan.at_limit) == 1
