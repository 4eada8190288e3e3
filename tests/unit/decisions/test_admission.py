"""Tests of decisions/admission.py."""

import random

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import admission
from nutmegknot._internal.models import requests

REQUEST = builders.make_given(1, builders.make_size()).req


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    rate=strategies.integers(1, 20),
    burst=strategies.integers(1, 20),
    steps=strategies.lists(strategies.integers(0, 500), max_size=80),
)
def test_bucket_agrees_with_a_count_of_every_interval(
    rate: int, burst: int, steps: list[int]
) -> None:
    bucket = admission.Bucket(rate, burst, burst)
    now_ms = 0
    taken: list[int] = []
    for step in steps:
        now_ms += step
        if admission.take_token(bucket, now_ms):
            taken.append(now_ms)
        for start_ms in taken:
            since = sum(at_ms >= start_ms for at_ms in taken)
            allowed = burst + rate * (now_ms - start_ms) / 1_000
            assert since <= allowed + 1e-6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(seed=strategies.integers(0, 10**6))
def test_queues_stay_within_their_bounds(seed: int) -> None:
    rng = random.Random(seed)
    gate = admission.Gate(most_waiting=20)
    waiting: list[requests.Request] = []
    for step in range(200):
        if waiting and rng.random() < 0.3:
            admission.leave(gate, waiting.pop(rng.randrange(len(waiting))))
            continue
        req = builders.make_given(
            step,
            builders.make_size(),
            team=rng.choice('abc'),
            priority=rng.choice(list(requests.PriorityClass)),
        ).req
        verdict = admission.admit(gate, req, 8, step * 100, rng)
        count = sum(one.team == req.team for one in waiting)
        if isinstance(verdict, admission.Admitted):
            assert count < 8
            waiting.append(req)
        else:
            assert verdict.retry_after_ms > 0
            assert count >= 8 or len(waiting) >= 10
        assert gate.total == len(waiting) <= 20


def test_urgent_requests_find_room_when_others_do_not() -> None:
    rng = random.Random(1)
    gate = admission.Gate(most_waiting=10)
    verdicts = [admission.admit(gate, REQUEST, 99, 0, rng) for _ in range(10)]
    assert isinstance(verdicts[8], admission.Admitted)
    assert isinstance(verdicts[9], admission.Overloaded)
    urgent = builders.make_given(
        2, builders.make_size(), priority=requests.PriorityClass.URGENT
    ).req
    verdict = admission.admit(gate, urgent, 99, 0, rng)
    assert verdict == admission.Admitted()


def test_retries_are_limited_only_in_a_crowd() -> None:
    rng = random.Random(1)
    gate = admission.Gate(most_waiting=100, retry_rate=1.0, retry_burst=2.0)

    def retry() -> bool:
        verdict = admission.admit(gate, REQUEST, 99, 0, rng, is_retry=True)
        return isinstance(verdict, admission.Admitted)

    assert all(retry() for _ in range(50))
    assert [retry() for _ in range(4)] == [True, True, False, False]


def test_hint_grows_with_the_queue() -> None:
    rng = random.Random(1)
    gate = admission.Gate(most_waiting=10, leave_rate=5.0, total=10)
    near = admission.admit(gate, REQUEST, 99, 0, rng)
    gate.total = 40
    far = admission.admit(gate, REQUEST, 99, 0, rng)
    assert isinstance(near, admission.Overloaded)
    assert isinstance(far, admission.Overloaded)
    assert far.retry_after_ms > near.retry_after_ms
