"""Tests which runs are stopped for more urgent tasks."""

import pytest
from unit.decisions import listed_runs

from nutmegknot._internal.decisions import evictions
from nutmegknot._internal.decisions import plans


@pytest.mark.parametrize(
    ('percent', 'end_ms', 'is_victim'),
    # At 95 % it ends within about 50 ms, unless it hangs.
    [(None, 1_000, True), (50, 1_000, True), (95, 1_000, False)]
    + [(95, 9_000, True)],
)
def test_a_run_about_to_end_is_not_stopped(
    percent: int | None, end_ms: int, is_victim: bool
) -> None:
    """Guards against a stop that frees nothing sooner and loses work."""
    cluster, info = listed_runs.make_cluster()
    task, _ = listed_runs.add_run(cluster, info, makes_checkpoints=True)
    for at_ms in (1_000, *range(1_300, end_ms + 1, 300)):
        now_ms = listed_runs.list_run(info, task, percent, at_ms)
    plan = plans.start_plan(cluster, now_ms)
    victims = evictions.list_victims(cluster, plan, info, now_ms)
    assert bool(victims) == is_victim
