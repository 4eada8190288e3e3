"""Tests learned run times with drawn tasks."""

import random

import hypothesis
from hypothesis import strategies
from lib import job_cells
import pytest

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import run_time_histograms

QUEUE = 'queue'


def draw_run(rng: random.Random, off: float) -> tuple[int, int]:
    """Returns an estimate that is off by a part, and a run time, in ms."""
    base_ms = rng.choice((480, 700, 2_400, 4_500))
    factor = rng.lognormvariate(0, 0.2) * (7 if rng.random() < 0.03 else 1)
    return round(base_ms * rng.uniform(1 - off, 1 + off)), round(
        base_ms * factor
    )


@hypothesis.given(
    strategies.integers(0, 10**7),
    strategies.floats(0, 1),
    strategies.integers(1, 500),
)
@hypothesis.settings(derandomize=True)
def test_without_observations_the_estimate_is_the_callers(
    estimate_ms: int, quantile: float, count: int
) -> None:
    """Existing deployments and new queues are served by callers' estimates."""
    known = run_time_histograms.RunTimes()
    run_times.record_run(known, 'other', 0, 100, 700)
    run_times.record_run(known, QUEUE, 1, 100, 700)
    step = job_cells.make_step(count, estimate_ms=estimate_ms)
    key = (known, QUEUE, 0)
    queue = job_cells.make_queue(QUEUE)
    settings = job_cells.make_settings(queue)
    cluster = cluster_state.ClusterState(1, 0, settings, stage_times=known)
    assert {
        run_times.estimate_quantile_ms(*key, estimate_ms, quantile),
        run_times.estimate_mean_ms(*key, estimate_ms),
        *stage_ranking.estimate_steps(cluster, queue, (step, step))[:1],
    } == {estimate_ms}


@pytest.mark.parametrize('off', [0.2, 0.9])
def test_90_percent_quantile_holds_after_200_runs(off: float) -> None:
    """Guards against a quantile that the few long tasks or the blend distort.

    Each seed is judged by 400 further runs; the mean and nearly all seeds have
    to be within the bounds, as the quantile of 200 draws is itself uncertain.
    """
    shares = []
    for seed in range(100):
        rng = random.Random(seed)
        known = run_time_histograms.RunTimes()
        for _ in range(200):
            run_times.record_run(known, QUEUE, 0, *draw_run(rng, off))
        held = 0
        for _ in range(400):
            estimate_ms, run_ms = draw_run(rng, off)
            held += run_ms <= run_times.estimate_quantile_ms(
                known, QUEUE, 0, estimate_ms, 0.9
            )
        shares.append(held / 400)
    assert 0.85 <= sum(shares) / len(shares) <= 0.95
    assert sum(0.85 <= share <= 0.95 for share in shares) >= 90


def test_estimates_follow_work_that_changes() -> None:
    known = run_time_histograms.RunTimes()
    for run_ms in [100] * 6_000 + [400] * 500:
        run_times.record_run(known, QUEUE, 0, 100, run_ms)
    for quantile in (0.5, 0.9):
        ms = run_times.estimate_quantile_ms(known, QUEUE, 0, 100, quantile)
        assert 380 <= ms <= 440


@hypothesis.given(
    strategies.lists(strategies.integers(1, 10**6), min_size=1, max_size=50),
    strategies.lists(strategies.floats(0, 1), min_size=2, max_size=6),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_quantiles_rise_and_stay_within_the_observations(
    observed: list[int], quantiles: list[float]
) -> None:
    """Rounding must not leave a quantile without a bucket, or out of order."""
    known = run_time_histograms.RunTimes()
    for run_ms in observed:
        run_times.record_run(known, QUEUE, 0, 10_000, run_ms)
    found = [
        run_times.estimate_quantile_ms(known, QUEUE, 0, 10_000, quantile)
        for quantile in sorted(quantiles)
    ]
    assert found == sorted(found)
    assert found[0] >= min(*observed, 10_000) * 0.95 - 1
    assert found[-1] <= max(*observed, 10_000) * 1.05 + 1


def test_paths_are_the_longest_chains_from_each_step() -> None:
    steps = tuple(
        job_cells.make_step(estimate_ms=ms, depends_on=before)
        for ms, before in ((100, ()), (900, (0,)), (50, (0,)), (10, (1, 2)))
    )
    paths = stage_ranking.compute_paths(steps, [s.estimate_ms for s in steps])
    assert paths == (1_010, 910, 60, 10)


@hypothesis.given(
    strategies.integers(1_000, 10**5),
    strategies.integers(10, 99),
    strategies.integers(0, 10**5),
)
@hypothesis.settings(derandomize=True)
def test_time_left_follows_progress(
    run_ms: int, percent: int, expected_ms: int
) -> None:
    """Guards against an estimate that outweighs what a run shows."""
    age_ms = run_ms * percent // 100
    left_ms = run_times.estimate_left_ms(age_ms, percent, expected_ms)
    assert abs(left_ms - (run_ms - age_ms)) <= 0.1 * run_ms + 2


def test_time_left_without_progress_follows_the_expected_run_time() -> None:
    assert run_times.estimate_left_ms(300, 0, 1_000) == 700
    assert run_times.estimate_left_ms(1_500, 0, 1_000) == 1_500
    assert run_times.estimate_left_ms(1_500, 100, 9_000) == 0
