"""Tests the choice of the work that is delayed under overload."""

import itertools

import hypothesis
from hypothesis import strategies

from nutmegknot._internal.decisions import deferrals

WORK = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 50),
        strategies.integers(0, 200),
        strategies.booleans(),
    ),
    max_size=7,
)


def make_candidates(
    rows: list[tuple[int, int, bool]],
) -> list[deferrals.Candidate]:
    return [
        deferrals.Candidate((f'j{n}', 0, 0), float(work), float(latest), excess)
        for n, (work, latest, excess) in enumerate(rows)
    ]


def meets_all(kept: list[deferrals.Candidate], rate: float) -> bool:
    """Tells whether work started in the order of its latest starts is on time.

    This is the reference: each piece starts once those before it have started.
    """
    total_ms = 0.0
    for item in sorted(kept, key=lambda item: item.latest_start_ms):
        total_ms += item.work_ms
        if total_ms / rate > item.latest_start_ms:
            return False
    return True


@hypothesis.given(WORK, strategies.sampled_from((0.25, 1.0)))
def test_what_is_kept_starts_in_time(
    rows: list[tuple[int, int, bool]], rate: float
) -> None:
    """Guards against work that is kept in vain and delays the rest."""
    candidates = make_candidates(rows)
    selection = deferrals.choose_deferred(
        candidates, lambda work_ms: work_ms / rate
    )
    kept = [c for c in candidates if c.key not in selection.deferred]
    assert meets_all(kept, rate)
    assert abs(selection.kept_ms - sum(c.work_ms for c in kept)) < 1e-6


@hypothesis.given(WORK, strategies.sampled_from((0.25, 1.0)))
def test_as_few_as_possible_are_delayed(
    rows: list[tuple[int, int, bool]], rate: float
) -> None:
    """Compares the choice with all subsets, without customers above a rate."""
    candidates = make_candidates([(w, at, False) for w, at, _ in rows])
    selection = deferrals.choose_deferred(
        candidates, lambda work_ms: work_ms / rate
    )
    best = max(
        count
        for count in range(len(candidates) + 1)
        for kept in itertools.combinations(candidates, count)
        if meets_all(list(kept), rate)
    )
    assert len(candidates) - len(selection.deferred) == best


@hypothesis.given(WORK)
def test_nothing_is_delayed_while_all_can_start_in_time(
    rows: list[tuple[int, int, bool]],
) -> None:
    """Guards against jobs that are delayed although capacity suffices."""
    candidates = make_candidates(rows)
    hypothesis.assume(meets_all(candidates, 1.0))
    assert not deferrals.choose_deferred(
        candidates, lambda work_ms: work_ms
    ).deferred


def test_jobs_in_excess_are_delayed_first() -> None:
    """One customer submits five times its usual; the others stay on time."""
    usual = [(10, 100, False)] * 8
    excess = [(2, 100, True)] * 30
    candidates = make_candidates(usual + excess)
    selection = deferrals.choose_deferred(candidates, lambda work_ms: work_ms)
    delayed = {c.key for c in candidates if c.key in selection.deferred}
    assert delayed <= {c.key for c in candidates if c.is_excess}
    assert len(delayed) == 20


def test_work_behind_more_urgent_classes_is_delayed() -> None:
    """Work of classes that go first takes the time that is left."""
    candidates = make_candidates([(1, 50, False), (1, 200, False)])
    selection = deferrals.choose_deferred(
        candidates, lambda work_ms: 100.0 + work_ms
    )
    assert selection.deferred == {('j0', 0, 0)}
    assert selection.kept_ms == 1.0
