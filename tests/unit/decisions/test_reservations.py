"""Tests of decisions/reservations.py."""

from unit.decisions import builders

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling

SMALL = builders.make_size(1)
POLICY = policies.Policy(reserve_after_ms=2_000, share_after_ms=10**9)


def test_large_request_is_not_starved_by_small_ones() -> None:
    sched = builders.make_scheduler(
        builders.make_worker('p0'), builders.make_worker('p1'), policy=POLICY
    )
    number = 0
    ends: dict[str, int] = {}
    placed_ms = None
    for now_ms in range(0, 60_000, 250):
        for key in [key for key, end_ms in ends.items() if end_ms <= now_ms]:
            builders.finish_request(sched, key)
            del ends[key]
        while len(sched.waiting) < 40:
            number += 1
            run_ms = 3_000 + 500 * (number % 5)
            builders.enqueue(
                sched,
                builders.make_assignment(number, SMALL, now_ms, run_ms=run_ms),
            )
        if now_ms == 5_000:
            large = builders.make_assignment(
                0, builders.make_size(8), now_ms, team='b', run_ms=1_000
            )
            builders.enqueue(sched, large)
        for key in builders.list_placed(scheduling.decide(sched, now_ms)):
            ends[key] = now_ms + sched.running[key].assignment.req.run_ms
            if key == 'b/0':
                placed_ms = now_ms
    assert placed_ms is not None
    assert placed_ms < 20_000


def make_reserved() -> scheduling.Scheduler:
    """Returns a scheduler with a reservation for a gang, request b/3.

    Each of its two members needs a worker on which another request runs for
    about 16 s, so the reservation starts at about 20 s.
    """
    sched = builders.make_scheduler(
        builders.make_worker('p0'), builders.make_worker('p1'), policy=POLICY
    )
    builders.enqueue(
        sched,
        builders.make_assignment(1, builders.make_size(5), run_ms=16_384),
        builders.make_assignment(2, builders.make_size(5), run_ms=16_384),
    )
    scheduling.decide(sched, 0)
    gang = builders.make_assignment(
        3, builders.make_size(6), team='b', members=2, run_ms=1_000
    )
    builders.enqueue(sched, gang)
    scheduling.decide(sched, 0)
    scheduling.decide(sched, 3_000)
    assert list(sched.reservations) == ['b/3']
    return sched


def test_backfill_allows_only_short_or_small_requests() -> None:
    sched = make_reserved()
    builders.enqueue(
        sched,
        builders.make_assignment(
            4, builders.make_size(3), 4_000, run_ms=60_000
        ),
        builders.make_assignment(5, builders.make_size(3), 4_000, run_ms=8_000),
        builders.make_assignment(
            6, builders.make_size(2), 4_000, run_ms=60_000
        ),
    )
    placed = builders.list_placed(scheduling.decide(sched, 4_000))
    assert sorted(placed) == ['a/5', 'a/6']


def test_gang_with_a_reservation_starts_all_members_together() -> None:
    sched = make_reserved()
    builders.finish_request(sched, 'a/1')
    builders.enqueue(
        sched, builders.make_assignment(4, builders.make_size(4), 4_000)
    )
    assert builders.list_placed(scheduling.decide(sched, 5_000)) == []
    builders.finish_request(sched, 'a/2')
    placed = builders.list_placed(scheduling.decide(sched, 6_000))
    assert placed[0] == 'b/3'
    assert len(sched.running['b/3'].members) == 2
    assert not sched.reserved_workers


def test_reservation_is_dropped_with_its_request() -> None:
    sched = make_reserved()
    assert scheduling.remove_waiting(sched, 'b/3')
    assert not sched.reserved_workers
    builders.enqueue(
        sched, builders.make_assignment(4, builders.make_size(3), 4_000)
    )
    assert builders.list_placed(scheduling.decide(sched, 4_000)) == ['a/4']
