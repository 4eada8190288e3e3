"""Tests of decisions/explanations.py: every reason to wait is explained."""

from unit.decisions import builders

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling

POLICY = policies.Policy(reserve_after_ms=2_000, share_after_ms=10**9)


def make_waiting() -> scheduling.Scheduler:
    """Returns a scheduler where request a/2 waits, as the worker is full."""
    sched = builders.make_scheduler(builders.make_worker('p'), policy=POLICY)
    builders.enqueue(sched, builders.make_assignment(1, builders.make_size(6)))
    scheduling.decide(sched, 0)
    builders.enqueue(sched, builders.make_assignment(2, builders.make_size(4)))
    return sched


def test_running_request_has_no_explanation() -> None:
    assert scheduling.explain(make_waiting(), 'a/1', 0) == ''


def test_share_is_explained_before_the_first_attempt() -> None:
    line = scheduling.explain(make_waiting(), 'a/2', 0)
    assert line.startswith('share: team a holds 0.750 of the fleet')


def test_capacity_is_explained() -> None:
    sched = make_waiting()
    scheduling.decide(sched, 100)
    line = scheduling.explain(sched, 'a/2', 100)
    assert line.startswith('capacity: none of the 1 workers')


def test_reservation_is_explained() -> None:
    sched = make_waiting()
    scheduling.decide(sched, 100)
    scheduling.decide(sched, 3_000)
    line = scheduling.explain(sched, 'a/2', 3_000)
    assert line.startswith('reservation: room is kept on 1 workers (p)')


def test_limit_is_explained() -> None:
    sched = make_waiting()
    scheduling.set_grants(sched, {'a': builders.make_size(7, 7)})
    line = scheduling.explain(sched, 'a/2', 0)
    assert line.startswith('limit: team a holds')


def test_closed_domain_is_explained() -> None:
    sched = make_waiting()
    scheduling.set_configuration(
        sched, builders.make_configuration('a', closed=True)
    )
    line = scheduling.explain(sched, 'a/2', 0)
    assert line == 'domain: domain is closed'
