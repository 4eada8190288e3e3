"""Tests of decisions/admission.py."""

import random

import hypothesis
from hypothesis import strategies
from unit.decisions import builders

from nutmegknot._internal.decisions import admission
from nutmegknot._internal.models import requests

REQUEST = builders.make_assignment(1, builders.make_size()).req


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    rate=strategies.integers(1, 20),
    burst=strategies.integers(1, 20),
    steps=strategies.lists(strategies.integers(0, 500), max_size=80),
)
def test_token_bucket_bounds_every_interval(
    rate: int, burst: int, steps: list[int]
) -> None:
    bucket = admission.TokenBucket(rate, burst, burst)
    now_ms = 0
    taken: list[int] = []
    for step in steps:
        now_ms += step
        if admission.take_token(bucket, now_ms):
            taken.append(now_ms)
        for start_ms in taken:
            taken_since = sum(at_ms >= start_ms for at_ms in taken)
            allowed = burst + rate * (now_ms - start_ms) / 1_000
            assert taken_since <= allowed + 1e-6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(seed=strategies.integers(0, 10**6))
def test_queues_stay_within_their_bounds(seed: int) -> None:
    rng = random.Random(seed)
    state = admission.AdmissionState(max_total=20)
    waiting: list[requests.Request] = []
    for step in range(200):
        if waiting and rng.random() < 0.3:
            admission.record_departure(
                state, waiting.pop(rng.randrange(len(waiting)))
            )
            continue
        req = builders.make_assignment(
            step,
            builders.make_size(),
            team=rng.choice('abc'),
            priority=rng.choice(list(requests.PriorityClass)),
        ).req
        result = admission.admit(state, req, 8, step * 100, rng)
        count = sum(other.team == req.team for other in waiting)
        if isinstance(result, admission.Admitted):
            assert count < 8
            waiting.append(req)
        else:
            assert result.retry_after_ms > 0
            assert count >= 8 or len(waiting) >= 10
        assert state.total == len(waiting) <= 20


def test_urgent_requests_find_room_when_others_do_not() -> None:
    rng = random.Random(1)
    state = admission.AdmissionState(max_total=10)
    results = [admission.admit(state, REQUEST, 99, 0, rng) for _ in range(10)]
    assert isinstance(results[8], admission.Admitted)
    assert isinstance(results[9], admission.Overloaded)
    urgent = builders.make_assignment(
        2, builders.make_size(), priority=requests.PriorityClass.URGENT
    ).req
    result = admission.admit(state, urgent, 99, 0, rng)
    assert result == admission.Admitted()


def test_retries_are_limited_only_when_half_full() -> None:
    rng = random.Random(1)
    state = admission.AdmissionState(
        max_total=100, retry_rate=1.0, retry_burst=2.0
    )

    def retry() -> bool:
        result = admission.admit(state, REQUEST, 99, 0, rng, is_retry=True)
        return isinstance(result, admission.Admitted)

    assert all(retry() for _ in range(50))
    assert [retry() for _ in range(4)] == [True, True, False, False]


def test_retry_after_grows_with_the_queue() -> None:
    rng = random.Random(1)
    state = admission.AdmissionState(max_total=10, departure_rate=5.0, total=10)
    short_queue = admission.admit(state, REQUEST, 99, 0, rng)
    state.total = 40
    long_queue = admission.admit(state, REQUEST, 99, 0, rng)
    assert isinstance(short_queue, admission.Overloaded)
    assert isinstance(long_queue, admission.Overloaded)
    assert long_queue.retry_after_ms > short_queue.retry_after_ms
