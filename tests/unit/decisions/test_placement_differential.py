"""Compares scheduling passes with passes that look at all workers.

The passes of one series share a cache of eligible workers, while workers, runs,
tickets and waiting stages change between them.
"""

import dataclasses
import random

from lib import job_cells
import pytest

from benchmarks import plain_task_placement
from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import task_placement
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

PASSES = 40
POOLS = ('small', 'large')
KINDS = ('plain', 'fast')


def make_worker(rng: random.Random, number: int) -> workers.Worker:
    kind, rack = rng.choice(KINDS), f'r{rng.randrange(3)}'
    return job_cells.make_worker(
        f'w{number}',
        pool=rng.choice(POOLS),
        kind=kind,
        rack=rack,
        labels=frozenset((kind, rack)),
        capacity=resources.Resources(
            rng.choice((4_000, 16_000)), 16_000, rng.choice((0, 0, 8))
        ),
    )


def make_cluster(rng: random.Random) -> cluster_state.ClusterState:
    queues = [
        job_cells.make_queue(
            f'{pool}-{priority}-{asked}',
            pool=pool,
            priority=priority,
            needs_tickets=asked,
            advice_base_ms=50.0,
        )
        for pool in POOLS
        for priority in (0, 1, 2)
        for asked in (False, True)
    ]
    limit = resources.Resources(millicores=30_000)
    customers = (
        job_settings.Customer('free'),
        job_settings.Customer('limited', limit=limit),
    )
    settings = job_cells.make_settings(*queues, customers=customers)
    cluster = cluster_state.ClusterState(1, 0, settings)
    cluster.kind_ratios['small', 'fast'] = 0.7
    for number in range(rng.randrange(1, 14)):
        add_worker(cluster, make_worker(rng, number))
    return cluster


def add_worker(
    cluster: cluster_state.ClusterState, worker: workers.Worker
) -> None:
    cluster.workers_by_id[worker.id] = cluster_state.WorkerInfo(
        worker, is_claimed=True, is_registered=True
    )


def add_stage(
    cluster: cluster_state.ClusterState,
    rng: random.Random,
    number: int,
    now_ms: int,
) -> None:
    step = jobs.Step(
        rng.randrange(1, 8),
        resources.Resources(
            rng.choice((500, 1_500, 6_000)), 100, rng.choice((0, 0, 0, 2))
        ),
        estimate_ms=rng.choice((300, 3_000)),
        makes_checkpoints=rng.random() < 0.5,
        is_gang=rng.random() < 0.2,
        same_rack=rng.random() < 0.3,
        required_label=rng.choice(('', '', 'fast', 'r1')),
        data_rack=rng.choice(('', 'r0')),
        max_per_worker=rng.choice((0, 0, 1)),
    )
    queue = rng.choice(list(cluster.settings.queues))
    customer = rng.choice(('', 'free', 'limited'))
    spec = jobs.JobSpec(
        f'j{number}', queue, customer, '', (step,), accepted_ms=now_ms, epoch=1
    )
    job = jobs.Job(spec, is_durable=True, critical_path_ms=step.estimate_ms)
    stage = jobs.make_stage(0, 0, step)
    stage.ready_ms = now_ms - rng.choice((0, 100, 2_000))
    job.stages[0, 0] = stage
    cluster.jobs[spec.id] = job
    cluster.waiting_stages[spec.id, 0, 0] = stage


def end_and_stop_runs(
    cluster: cluster_state.ClusterState, rng: random.Random, now_ms: int
) -> None:
    for info in cluster.workers_by_id.values():
        for name, task in list(info.runs.items()):
            if rng.random() < 0.2:
                task.phase = jobs.TaskPhase.DONE
                info.run_time_ratio = rng.choice((0.8, 1.0, 1.3))
                cluster_state.release_run(cluster, name, now_ms)
            elif rng.random() < 0.1:
                task.phase = jobs.TaskPhase.STOPPING


def give_advice(
    cluster: cluster_state.ClusterState, rng: random.Random, now_ms: int
) -> None:
    for stage in cluster.waiting_stages.values():
        for id, info in cluster.workers_by_id.items():
            if rng.random() >= 0.2:
                continue
            life = info.worker.life
            stage.advice.asked[id] = life
            if rng.random() < 0.5:
                until_ms = now_ms + rng.choice((0, 200, 900))
                stage.advice.tickets[id] = jobs.Ticket('t', until_ms, life)


def draw_calls(cluster: cluster_state.ClusterState, rng: random.Random) -> int:
    """Draws which stages ask for advice, and the number of idle advisers."""
    for stage in cluster.waiting_stages.values():
        stage.advice.is_asking = rng.random() < 0.3
        stage.advice.is_called = stage.advice.is_asking and rng.random() < 0.5
    return rng.randrange(3)


def change_workers(
    cluster: cluster_state.ClusterState, rng: random.Random, number: int
) -> None:
    """Lets a worker come, go, restart with another size, or be claimed."""
    info = rng.choice(list(cluster.workers_by_id.values()))
    change = rng.randrange(6)
    if change == 0:
        info.is_claimed = not info.is_claimed
    elif change == 1:
        info.worker = dataclasses.replace(
            info.worker,
            life=info.worker.life + 1,
            capacity=resources.Resources(8_000, 16_000),
        )
    elif change == 2 and len(cluster.workers_by_id) > 1 and not info.runs:
        del cluster.workers_by_id[info.worker.id]
    elif change == 3:
        add_worker(cluster, make_worker(rng, 100 + number))
    elif change == 4 and not info.runs:
        # The same worker under a new session.
        add_worker(cluster, info.worker)


def apply_plan(
    cluster: cluster_state.ClusterState, plan: plans.Plan, now_ms: int
) -> None:
    for placement in plan.placed:
        task = placement.stage.tasks[placement.index]
        task.phase = jobs.TaskPhase.RUNNING
        task.run += 1
        task.start_decided_ms = now_ms
        name = cluster_state.make_task_name(
            placement.job, placement.stage, placement.index
        )
        cluster_state.allocate_run(
            cluster, placement.info, placement.job, name, task
        )
    for name in plan.evicted:
        cluster.jobs[name.job].stages[0, 0].tasks[
            name.index
        ].phase = jobs.TaskPhase.STOPPING


def describe(plan: plans.Plan, now_ms: int) -> dict[str, object]:
    """Returns what a plan decides, in a form that can be compared."""
    return {
        'placed': [
            (p.job.spec.id, p.index, p.info.worker.id, p.ticket)
            for p in plan.placed
        ],
        'evicted': plan.evicted,
        'reserved': plan.reserved,
        'asked': [
            (request.job.spec.id, request.workers)
            for request in plan.advice_requests
        ],
        'blocked': [
            (ranked.job.spec.id, reason)
            for ranked, reason in plan.blocked
            if ranked.stage.ready_ms is not None
            and now_ms - ranked.stage.ready_ms
            >= task_placement.EXPLAIN_AFTER_MS
        ],
    }


@pytest.mark.parametrize('seed', range(60))
def test_pass_decides_as_one_that_looks_at_all_workers(seed: int) -> None:
    rng = random.Random(seed)
    cluster = make_cluster(rng)
    cache = plans.EligibilityCache()
    now_ms = 10_000
    for number in range(PASSES):
        for _ in range(rng.randrange(3)):
            add_stage(cluster, rng, rng.randrange(10**9), now_ms)
        end_and_stop_runs(cluster, rng, now_ms)
        give_advice(cluster, rng, now_ms)
        change_workers(cluster, rng, number)
        idle_advisers = draw_calls(cluster, rng)
        plan = task_placement.plan_starts(
            cluster, now_ms, now_ms, cache, idle_advisers=idle_advisers
        )
        plain = plain_task_placement.plan_starts(
            cluster, now_ms, now_ms, idle_advisers=idle_advisers
        )
        assert describe(plan, now_ms) == describe(plain, now_ms)
        apply_plan(cluster, plan, now_ms)
        now_ms += rng.choice((10, 100, 400))
