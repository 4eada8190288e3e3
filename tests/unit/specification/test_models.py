"""The models hold, and each seeded mistake is caught."""

import dataclasses

import minicheck
import pytest

from specification import limits
from specification import ownership
from specification import running

MAX_STATES = 400_000
# Enough to reach every seeded mistake; a violation found is one in any case.
MISTAKE_STATES = 30_000

# Scenario in which each mistake shows.
OWNERSHIP_MISTAKES = {
    'lapse too short': 4,
    'hold counted from the answer': 4,
    'no wait after reaching the store': 4,
    'unknown member takes over': 0,
    'asks only members of the last read': 2,
    'broken hold extended': 4,
    'missing answer counts': 2,
    'old answer counts': 4,
    'bridges although a row may know nobody': 3,
    'take-over without the row as seen': 4,
}


def list_verdicts(model: minicheck.Protocol, most: int) -> set[bool | None]:
    result = minicheck.check_safety(model, max_states=most)
    return {found['holds'] for found in result['properties'].values()}


@pytest.mark.parametrize('number', [1, 4])
def test_ownership_holds(number: int) -> None:
    model = ownership.make_model(ownership.SCENARIOS[number])
    assert list_verdicts(model, MAX_STATES) == {True}


@pytest.mark.parametrize('repeatable', [True, False])
def test_running_holds(repeatable: bool) -> None:
    model = running.make_model(running.Rules(repeatable))
    assert list_verdicts(model, MAX_STATES) == {True}


def test_limits_hold() -> None:
    model = limits.make_model(limits.Rules())
    assert list_verdicts(model, MAX_STATES) == {True}


@pytest.mark.parametrize('mistake', ownership.MISTAKES)
def test_ownership_mistake_is_caught(mistake: str) -> None:
    scenario = ownership.SCENARIOS[OWNERSHIP_MISTAKES[mistake]]
    rules = dataclasses.replace(scenario, mistake=mistake)
    verdicts = list_verdicts(ownership.make_model(rules), MISTAKE_STATES)
    assert False in verdicts


@pytest.mark.parametrize('mistake', running.MISTAKES)
def test_running_mistake_is_caught(mistake: str) -> None:
    models = [
        running.make_model(running.Rules(repeatable, mistake))
        for repeatable in (True, False)
    ]
    assert any(False in list_verdicts(m, MISTAKE_STATES) for m in models)


@pytest.mark.parametrize('mistake', limits.MISTAKES)
def test_limits_mistake_is_caught(mistake: str) -> None:
    model = limits.make_model(limits.Rules(mistake))
    assert False in list_verdicts(model, MISTAKE_STATES)
