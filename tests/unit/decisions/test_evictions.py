"""Tests which runs are stopped for more urgent tasks."""

import pytest
from unit.decisions import listed_runs

from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import plans


@pytest.mark.parametrize(
    ('percent', 'now_ms', 'is_victim'),
    [
        (None, 1_000, True),
        (50, 1_000, True),
        # It ends within about 50 ms, which a stop takes as well.
        (95, 1_000, False),
        # It hangs, and is not about to end.
        (95, 9_000, True),
    ],
)
def test_a_run_about_to_end_is_not_stopped(
    percent: int | None, now_ms: int, is_victim: bool
) -> None:
    """Guards against a stop that frees nothing sooner and loses work."""
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(
        cluster, info, estimate_ms=1_000, makes_checkpoints=True
    )
    start_ms = listed_runs.START_MS
    for at_ms in (1_000, *range(1_300, now_ms + 1, 300)):
        listed_runs.list_run(info, task, percent, start_ms + at_ms)
    plan = plans.start_plan(cluster, start_ms + now_ms)
    victims = evictions.list_victims(cluster, plan, info, start_ms + now_ms)
    assert bool(victims) == is_victim
