"""Tests of decisions/estimates.py and decisions/probation.py."""

import dataclasses
import random

from unit.decisions import builders

from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling

SMALL = builders.make_size(1)
POLICY = policies.Policy(share_after_ms=10**9)


def test_declared_run_time_is_used_until_enough_runs_are_observed() -> None:
    estimate = estimates.Estimate()
    assert estimates.estimate_run_ms(None, 500) == 500
    for _ in range(4):
        estimates.record_run(estimate, 1_000, 5_000)
    assert estimates.estimate_run_ms(estimate, 1_000) == 1_000


def test_most_runs_end_before_the_estimate() -> None:
    rng = random.Random(1)
    estimate = estimates.Estimate()
    below = 0
    for _ in range(1_000):
        run_ms = int(3_000 * rng.uniform(0.5, 1.5))
        expected_ms = estimates.estimate_run_ms(estimate, 1_000)
        below += run_ms <= expected_ms
        estimates.record_run(estimate, 1_000, run_ms)
    assert below >= 900
    assert estimates.estimate_run_ms(estimate, 1_000) < 6_000


def test_old_run_times_lose_their_weight() -> None:
    estimate = estimates.Estimate()
    for run_ms in [60_000] * 100 + [1_000] * 100:
        estimates.record_run(estimate, 0, run_ms)
    assert estimates.estimate_run_ms(estimate, 0) < 3_000


def test_repeat_gets_more_memory_within_the_largest_worker() -> None:
    estimate = estimates.Estimate()
    estimates.record_memory(estimate, 1024, 3 * 1024)
    largest = builders.make_size(8, 4)
    req = builders.make_assignment(1, builders.make_size(1, 1)).req
    assert estimates.choose_size(estimate, req, 0, largest) == req.size
    bigger = estimates.choose_size(estimate, req, 1, largest)
    assert bigger == builders.make_size(1, 3)
    large = dataclasses.replace(req, size=builders.make_size(1, 2))
    bounded = estimates.choose_size(estimate, large, 1, largest)
    assert bounded == builders.make_size(1, 4)


def test_run_time_of_a_placed_request_is_the_learned_one() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'), policy=POLICY)
    for number in range(6):
        assignment = builders.make_assignment(number, SMALL, run_ms=1_000)
        builders.enqueue(sched, assignment)
        scheduling.decide(sched, number * 10_000)
        key = f'a/{number}'
        scheduling.record_success(sched, 'p', number * 10_000 + 4_000, key)
        builders.finish_request(sched, key)
    builders.enqueue(sched, builders.make_assignment(9, SMALL, run_ms=1_000))
    scheduling.decide(sched, 100_000)
    assert sched.running['a/9'].run_ms >= 4_000


def run_and_fail(sched: scheduling.Scheduler, number: int, now_ms: int) -> str:
    """Starts a request, makes it fail, and returns the id of its worker."""
    key = f'a/{number}'
    builders.enqueue(sched, builders.make_assignment(number, SMALL, now_ms))
    scheduling.decide(sched, now_ms)
    (task,) = sched.running[key].members
    worker_id = sched.allocations[task].worker_id
    scheduling.record_failure(sched, worker_id, key, now_ms)
    builders.finish_request(sched, key)
    return worker_id


def test_worker_that_fails_everything_gets_only_probes() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'), policy=POLICY)
    for number in range(3):
        assert run_and_fail(sched, number, 1_000) == 'p'
    builders.enqueue(
        sched, *(builders.make_assignment(n, SMALL) for n in range(3, 6))
    )
    assert scheduling.decide(sched, 1_500) == []
    probes = builders.list_placed(scheduling.decide(sched, 4_000))
    assert len(probes) == 1
    assert scheduling.decide(sched, 6_000) == []
    scheduling.record_success(sched, 'p', 7_000)
    assert len(builders.list_placed(scheduling.decide(sched, 7_000))) == 2


def test_request_that_fails_on_every_worker_is_at_fault() -> None:
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}') for n in range(4)), policy=POLICY
    )
    used = [run_and_fail(sched, 1, 1_000 * count) for count in range(1, 4)]
    assert len(set(used)) == 3
    assert all(
        health.score < 0.01 for health in sched.failures.workers.values()
    )
    builders.enqueue(sched, builders.make_assignment(1, SMALL, 5_000))
    assert scheduling.decide(sched, 6_000) == [
        scheduling.GiveBack('a/1', 'failed', 'failed on 3 different workers')
    ]


def test_request_larger_than_every_worker_is_given_back() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'), policy=POLICY)
    builders.enqueue(sched, builders.make_assignment(1, builders.make_size(9)))
    assert scheduling.decide(sched, 9_000) == []
    assert scheduling.decide(sched, 10_500) == [
        scheduling.GiveBack(
            'a/1', 'domain', 'no worker of the partition is large enough'
        )
    ]
