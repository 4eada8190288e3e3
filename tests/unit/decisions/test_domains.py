"""Tests of decisions/domains.py."""

from unit.decisions import builders

from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import requests

SMALL = builders.make_size(1)
POLICY = policies.Policy(drain_ms=10_000, finish_ms=10_000, ramp_ms=10_000)


def set_closed(sched: scheduling.Scheduler, closed: bool) -> None:
    scheduling.set_configuration(
        sched, builders.make_configuration('a', closed=closed)
    )


def make_running() -> scheduling.Scheduler:
    """Returns a scheduler with 20 running requests on 4 workers."""
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}') for n in range(4)), policy=POLICY
    )
    builders.enqueue(
        sched,
        *(builders.make_assignment(n, SMALL) for n in range(17)),
        builders.make_assignment(17, SMALL, service='s'),
        builders.make_assignment(
            18, SMALL, priority=requests.PriorityClass.URGENT
        ),
        builders.make_assignment(19, SMALL, repeatable=False),
    )
    scheduling.decide(sched, 0)
    return sched


def test_requests_are_moved_in_batches_services_first() -> None:
    sched = make_running()
    set_closed(sched, closed=True)
    moved = []
    for now_ms in range(0, 13_000, 1_000):
        decisions = scheduling.decide(sched, 100_000 + now_ms)
        batch = builders.list_preempted(decisions, 'domain')
        assert len(batch) <= 3
        moved += batch
    assert moved[:2] == ['a/17', 'a/18']
    assert len(moved) == 19
    assert 'a/19' not in moved


def test_request_expected_to_end_soon_is_left_to_finish() -> None:
    sched = builders.make_scheduler(builders.make_worker('p'), policy=POLICY)
    builders.enqueue(sched, builders.make_assignment(1, SMALL, run_ms=8_192))
    scheduling.decide(sched, 1_000)
    set_closed(sched, closed=True)
    for now_ms in (3_000, 8_000, 13_000):
        assert scheduling.decide(sched, now_ms) == []
    assert builders.list_preempted(
        scheduling.decide(sched, 13_100), 'domain'
    ) == ['a/1']


def test_load_of_reopened_domain_rises_gradually() -> None:
    sched = builders.make_scheduler(
        *(builders.make_worker(f'p{n}') for n in range(4)), policy=POLICY
    )
    set_closed(sched, closed=True)
    scheduling.decide(sched, 1_000)
    set_closed(sched, closed=False)
    builders.enqueue(
        sched, *(builders.make_assignment(n, SMALL) for n in range(40))
    )
    counts = []
    for now_ms in range(2_000, 14_000, 1_000):
        scheduling.decide(sched, now_ms)
        counts.append(len(sched.allocations))
    assert counts[0] <= 4
    assert counts[5] <= 17
    assert counts[-1] == 32
    assert not domains.is_closed(sched)
