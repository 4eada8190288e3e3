"""Tests of decisions/preemption.py."""

import dataclasses

from unit.decisions import builders

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

URGENT = requests.PriorityClass.URGENT
BEST_EFFORT = requests.PriorityClass.BEST_EFFORT
SIZE = builders.make_size(4)


def test_urgent_request_preempts_the_cheapest_and_takes_its_place() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'))
    builders.enqueue(sched, builders.make_assignment(1, SIZE))
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(2, SIZE))
    scheduling.decide(sched, 5_000)
    builders.enqueue(
        sched, builders.make_assignment(3, SIZE, 10_000, priority=URGENT)
    )
    decisions = scheduling.decide(sched, 10_000)
    assert decisions == []
    decisions = scheduling.decide(sched, 11_000)
    assert decisions == [scheduling.Preempt('a/2', 'urgent')]
    builders.enqueue(sched, builders.make_assignment(4, SIZE))
    builders.finish_request(sched, 'a/2')
    assert builders.list_placed(scheduling.decide(sched, 11_200)) == ['a/3']


def test_urgent_request_preempts_nothing_protected() -> None:
    sched = builders.make_scheduler(builders.make_worker('p', cores=12))
    builders.enqueue(
        sched,
        builders.make_assignment(1, SIZE, repeatable=False),
        builders.make_assignment(2, SIZE, service='s'),
        builders.make_assignment(3, SIZE, priority=URGENT),
    )
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(4, SIZE, priority=URGENT))
    for now_ms in range(10_000, 20_000, 500):
        assert scheduling.decide(sched, now_ms) == []


def test_urgent_request_may_take_a_reserved_worker() -> None:
    sched = builders.make_scheduler(
        builders.make_worker('p'), policy=policies.Policy(reserve_after_ms=0)
    )
    builders.enqueue(sched, builders.make_assignment(1, builders.make_size(8)))
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(2, builders.make_size(8)))
    scheduling.decide(sched, 1_000)
    scheduling.decide(sched, 2_000)
    assert list(sched.reservations) == ['a/2']
    builders.enqueue(
        sched, builders.make_assignment(3, SIZE, 3_000, priority=URGENT)
    )
    decisions = scheduling.decide(sched, 4_000)
    assert decisions == [scheduling.Preempt('a/1', 'urgent')]
    builders.finish_request(sched, 'a/1')
    placed = builders.list_placed(scheduling.decide(sched, 4_500))
    assert placed[0] == 'a/3'


def test_urgent_request_preempts_only_after_min_run_ms() -> None:
    sched = builders.make_scheduler(
        builders.make_worker('p'), policy=policies.Policy(min_run_ms=5_000)
    )
    builders.enqueue(sched, builders.make_assignment(1, builders.make_size(8)))
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(2, SIZE, priority=URGENT))
    assert scheduling.decide(sched, 4_900) == []
    assert scheduling.decide(sched, 5_000) == [
        scheduling.Preempt('a/1', 'urgent')
    ]


def test_limit_preempts_cheapest_first_and_non_repeatable_last() -> None:
    sched = builders.make_scheduler(builders.make_worker('p', cores=16))
    builders.enqueue(
        sched,
        builders.make_assignment(1, SIZE, repeatable=False),
        builders.make_assignment(2, SIZE, service='s'),
        builders.make_assignment(3, SIZE),
        builders.make_assignment(4, SIZE, priority=BEST_EFFORT),
    )
    scheduling.decide(sched, 0)
    stopped = []
    for left in (3, 2, 1, 0):
        scheduling.set_grants(sched, {'a': resources.multiply(SIZE, left)})
        decisions = scheduling.decide(sched, 1_000)
        stopped += builders.list_preempted(decisions, 'limit')
        assert scheduling.decide(sched, 1_000) == []
    assert stopped == ['a/4', 'a/3', 'a/2', 'a/1']


def make_unfair_usage(policy: policies.Policy) -> scheduling.Scheduler:
    """Returns a scheduler where team a uses all workers and team b waits."""
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}') for n in range(4)), policy=policy
    )
    size = builders.make_size(1)
    builders.enqueue(
        sched, *(builders.make_assignment(n, size) for n in range(32))
    )
    scheduling.decide(sched, 0)
    builders.enqueue(
        sched,
        *(builders.make_assignment(n, size, 0, team='b') for n in range(32)),
    )
    return sched


def test_preemption_for_shares_ends_when_shares_are_fair() -> None:
    sched = make_unfair_usage(
        policies.Policy(preempt_batch=1.0, share_margin=0.02)
    )
    count = 0
    for now_ms in range(0, 60_000, 1_000):
        decisions = scheduling.decide(sched, now_ms)
        for key in builders.list_preempted(decisions, 'share'):
            count += 1
            assert key.startswith('a/')
            builders.finish_request(sched, key)
    usage = scheduling.compute_usage(sched)
    assert abs(usage['a'].millicores - usage['b'].millicores) <= 2_000
    assert 15 <= count <= 16


def test_no_preemption_for_shares_without_waiting_requests() -> None:
    sched = make_unfair_usage(policies.Policy())
    for key in list(sched.waiting):
        scheduling.remove_waiting(sched, key)
    for now_ms in range(0, 20_000, 1_000):
        assert scheduling.decide(sched, now_ms) == []


def test_repeated_request_is_more_costly_to_preempt() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'))
    repeated = dataclasses.replace(builders.make_assignment(1, SIZE), attempt=2)
    builders.enqueue(sched, repeated, builders.make_assignment(2, SIZE))
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(3, SIZE, priority=URGENT))
    decisions = scheduling.decide(sched, 5_000)
    assert decisions == [scheduling.Preempt('a/2', 'urgent')]
