"""Tests which runs are stopped as stuck, with drawn runs and polls."""

import random
from typing import Any

import pytest
from unit.decisions import listed_runs

from nutmegknot._internal.decisions import outliers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

DRAWS = 10_000
START_MS = listed_runs.START_MS
DEGRADED_FACTOR = 5


def find_stop(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    task: jobs.Task,
    percent: int | None,
) -> int | None:
    """Returns when a run counts as stuck that lists one percentage for good."""
    for now_ms in range(START_MS + 300, START_MS + 9_000, 300):
        listed_runs.list_run(info, task, percent, now_ms)
        if outliers.find_stuck_runs(cluster, now_ms):
            return now_ms - START_MS
    return None


def draw_poll_ms(rng: random.Random) -> int:
    """Returns the time to the next list, after lists that may be lost."""
    lost = 0
    while rng.random() < 0.05:
        lost += 1
    return rng.choice((15, 40, 150, 300, 1_000)) + 600 * lost


def test_no_run_that_makes_progress_is_stopped() -> None:
    """Guards against the loss of the work of runs that take very long.

    Runs take up to 7 times as long as their estimates, which are off by up to
    0.9, and their speed varies. Siblings may have ended far earlier.
    """
    rng = random.Random(1)
    late_runs = 0
    for _ in range(DRAWS):
        base_ms = rng.choice((480, 2_400, 4_500, 30_000))
        cluster, info = listed_runs.make_cluster()
        task, stage = listed_runs.add_run(
            cluster,
            info,
            start_ms=rng.choice((START_MS,) * 9 + (0,)),
            estimate_ms=int(base_ms * rng.uniform(0.1, 1.9)),
            makes_checkpoints=rng.random() < 0.5,
        )
        if rng.random() < 0.5:
            stage.durations_ms = [rng.randrange(base_ms // 2, base_ms)] * 3
        task.checkpoint = rng.choice(('', 'c'))
        first = rng.randrange(90) if task.checkpoint else 0
        run_ms = base_ms * rng.choice((1, 1, 2, 7)) * rng.uniform(0.8, 1.6)
        now_ms, done, is_late = START_MS, float(first), False
        while done < 100:
            poll_ms = draw_poll_ms(rng)
            now_ms += poll_ms
            done += poll_ms * rng.uniform(0.5, 1.5) * 100 / run_ms
            listed_runs.list_run(info, task, min(100, int(done)), now_ms)
            limit_ms = outliers.compute_run_limit_ms(cluster, info, stage)
            is_late |= now_ms - START_MS > limit_ms
            assert outliers.find_stuck_runs(cluster, now_ms) == []
            assert outliers.find_slow_runs(cluster, now_ms) == []
        late_runs += is_late
    assert late_runs > DRAWS / 10


@pytest.mark.parametrize('percent', [None, 0, 40, 100])
def test_a_run_that_hangs_is_stuck_past_the_limit(percent: int | None) -> None:
    """Guards against work on a hung worker that is never done.

    The limit is 4 times the estimate of 500 ms and 2,000 ms; 1.8 times the
    siblings' 500 ms and 500 ms.
    """
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(cluster, info)
    assert find_stop(cluster, info, task, percent) == 4_200
    cluster, info = listed_runs.make_cluster()
    task, stage = listed_runs.add_run(cluster, info)
    stage.durations_ms = [500, 500]
    stop_ms = find_stop(cluster, info, task, percent)
    assert stop_ms is not None
    assert stop_ms <= 1_800


@pytest.mark.parametrize(
    ('percent', 'stop_ms'), [(None, None), (0, 4_500), (40, 4_500)]
)
def test_a_hung_run_of_an_earlier_owner_is_stuck_after_the_limit(
    percent: int | None, stop_ms: int | None
) -> None:
    """Its age is not known, but its progress is seen not to grow."""
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(cluster, info, start_ms=0)
    assert find_stop(cluster, info, task, percent) == stop_ms


def test_one_list_after_a_pause_of_the_worker_proves_nothing() -> None:
    """A worker that was paused lists the progress from before at first."""
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(cluster, info)
    for percent, at_ms in ((20, 1_000), (30, 1_300), (30, 6_000)):
        listed_runs.list_run(info, task, percent, START_MS + at_ms)
    assert outliers.find_stuck_runs(cluster, START_MS + 6_000) == []


@pytest.mark.parametrize(
    ('changes', 'peers', 'saved_percent', 'is_moved'),
    [
        ({'makes_checkpoints': True}, 3, 29, True),
        # All that it has done would be lost.
        ({'makes_checkpoints': False}, 3, 0, False),
        (
            {'makes_checkpoints': True, 'is_gang': True, 'count': 2},
            3,
            19,
            False,
        ),
        # Without slow runs beside it, its task may just have more work.
        ({'makes_checkpoints': True}, 0, 29, False),
    ],
)
def test_a_slow_run_is_moved_only_for_a_clear_gain(
    changes: dict[str, Any], peers: int, saved_percent: int, is_moved: bool
) -> None:
    """Guards against work on a degraded worker, and against lost work."""
    cluster, info = listed_runs.make_cluster()
    runs = [listed_runs.add_run(cluster, info, estimate_ms=2_000, **changes)]
    runs += [
        listed_runs.add_run(cluster, info, f'b{n}', estimate_ms=2_000)
        for n in range(peers)
    ]
    runs[0][1].durations_ms = [2_000, 2_100]
    for percent in range(1, 31):
        now_ms = START_MS + percent * 20 * DEGRADED_FACTOR
        checkpoint = 'c' if percent > saved_percent else ''
        for task, _ in runs:
            listed_runs.list_run(info, task, percent, now_ms, checkpoint)
    moved = outliers.find_slow_runs(cluster, now_ms)
    assert [name.job for name in moved] == ['a'] * is_moved


def test_a_slow_run_is_not_moved_if_much_would_be_lost() -> None:
    cluster, info = listed_runs.make_cluster()
    task, stage = listed_runs.add_run(
        cluster, info, estimate_ms=2_000, makes_checkpoints=True
    )
    stage.durations_ms = [2_000, 2_100]
    info.run_time_ratio = DEGRADED_FACTOR
    moved = []
    for percent in range(1, 81):
        now_ms = START_MS + percent * 20 * DEGRADED_FACTOR
        listed_runs.list_run(info, task, percent, now_ms)
        if outliers.find_slow_runs(cluster, now_ms):
            moved.append(percent)
    # Each percent left takes 80 ms less elsewhere; each one done is lost, at
    # 20 ms, beside 500 ms for the move.
    assert 30 in moved
    assert 80 not in moved
