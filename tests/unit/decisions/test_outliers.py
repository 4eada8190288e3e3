"""Tests which runs are stopped as stuck or slow, with drawn runs and polls."""

import random
from typing import Any

import pytest
from unit.decisions import listed_runs

from nutmegknot._internal.decisions import outliers

DRAWS = 10_000
START_MS = listed_runs.START_MS


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
        done = float(rng.randrange(90)) if task.checkpoint else 0.0
        run_ms = base_ms * rng.choice((1, 1, 2, 7)) * rng.uniform(0.8, 1.6)
        at_ms = 0
        while done < 100:
            poll_ms = draw_poll_ms(rng)
            at_ms += poll_ms
            done += poll_ms * rng.uniform(0.5, 1.5) * 100 / run_ms
            percent = min(100, int(done))
            now_ms = listed_runs.list_run(info, task, percent, at_ms)
            assert outliers.find_stuck_runs(cluster, now_ms) == []
            assert outliers.find_slow_runs(cluster, now_ms) == []
        limit_ms = outliers.compute_run_limit_ms(cluster, info, stage)
        late_runs += at_ms > limit_ms
    assert late_runs > DRAWS / 10


@pytest.mark.parametrize('percent', [None, 0, 40, 100])
@pytest.mark.parametrize(
    ('start_ms', 'durations_ms', 'earliest_ms', 'latest_ms'),
    [(START_MS, [], 4_200, 4_200), (START_MS, [500, 500], 1_500, 1_800)]
    # A run of an earlier owner; its limit counts from its first list.
    + [(0, [], 4_500, 4_500)],
)
def test_a_run_that_hangs_is_stuck_past_the_limit(
    percent: int | None,
    start_ms: int,
    durations_ms: list[int],
    earliest_ms: int,
    latest_ms: int,
) -> None:
    """Guards against work on a hung worker that is never done.

    The limit is 4 times the estimate of 500 ms and 2,000 ms, or 1.8 times the
    siblings' 500 ms and 500 ms.
    """
    cluster, info = listed_runs.make_cluster()
    task, stage = listed_runs.add_run(cluster, info, start_ms=start_ms)
    stage.durations_ms = durations_ms
    for at_ms in range(300, 9_000, 300):
        now_ms = listed_runs.list_run(info, task, percent, at_ms)
        if outliers.find_stuck_runs(cluster, now_ms):
            assert earliest_ms <= at_ms <= latest_ms
            return
    # Nothing is known of its age.
    assert (percent, start_ms) == (None, 0)


def test_one_list_after_a_pause_of_the_worker_proves_nothing() -> None:
    """A worker that was paused lists the progress from before at first."""
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(cluster, info)
    for percent, at_ms in ((20, 1_000), (30, 1_300), (30, 6_000)):
        now_ms = listed_runs.list_run(info, task, percent, at_ms)
    assert outliers.find_stuck_runs(cluster, now_ms) == []


@pytest.mark.parametrize(
    ('peers', 'changes', 'is_saved', 'moved'),
    [
        (3, {'makes_checkpoints': True}, True, (30, 80)),
        # Each percent done would be lost, at 20 ms; each one left takes 80 ms
        # less elsewhere.
        (3, {'makes_checkpoints': True}, False, (30,)),
        (3, {'makes_checkpoints': False}, False, ()),
        (3, {'makes_checkpoints': True, 'is_gang': True, 'count': 2}, True, ()),
        # Without slow runs beside it, its task may just have more work.
        (0, {'makes_checkpoints': True}, True, ()),
    ],
)
def test_a_slow_run_is_moved_only_for_a_clear_gain(
    peers: int, changes: dict[str, Any], is_saved: bool, moved: tuple[int, ...]
) -> None:
    """Guards against work on a worker slower by 5, and against lost work."""
    cluster, info = listed_runs.make_cluster()
    runs = [listed_runs.add_run(cluster, info, estimate_ms=2_000, **changes)]
    runs[0][1].durations_ms = [2_000, 2_100]
    for n in range(peers):
        runs.append(
            listed_runs.add_run(cluster, info, f'b{n}', estimate_ms=2_000)
        )
    found = []
    for percent in range(1, 81):
        for task, _ in runs:
            checkpoint = str(percent) if is_saved else ''
            now_ms = listed_runs.list_run(
                info, task, percent, percent * 100, checkpoint
            )
        if percent in (30, 80) and outliers.find_slow_runs(cluster, now_ms):
            found.append(percent)
    assert tuple(found) == moved
