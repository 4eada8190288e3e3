"""Checks that the models hold and that each deliberate mistake is found."""

import dataclasses

import minicheck
import pytest

from specification import customer_limits
from specification import ownership
from specification import request_execution
from specification import team_limits

MAX_STATES = 400_000
# Enough to find every deliberate mistake. Fewer states than the whole model
# are no weakness here: a violation that is found is real in any case.
MISTAKE_STATES = 30_000

# Index in ownership.SCENARIOS of a scenario in which the mistake is found.
OWNERSHIP_MISTAKES = {
    'lease expiry too short': 4,
    'authority counted from the answer': 4,
    'no wait after reaching the store': 4,
    'unlisted member takes over': 0,
    'asks only members of the last read': 2,
    'expired authority extended': 4,
    'missing answer counts': 2,
    'expired answer counts': 4,
    'authority extended although the row may list nobody': 3,
    'take-over without the row version that was read': 4,
}


def list_verdicts(
    model: minicheck.Protocol, max_states: int
) -> set[bool | None]:
    result = minicheck.check_safety(model, max_states=max_states)
    return {
        property_result['holds']
        for property_result in result['properties'].values()
    }


@pytest.mark.parametrize('number', [1, 4])
def test_ownership_holds(number: int) -> None:
    model = ownership.make_model(ownership.SCENARIOS[number])
    assert list_verdicts(model, MAX_STATES) == {True}


@pytest.mark.parametrize('repeatable', [True, False])
def test_running_holds(repeatable: bool) -> None:
    model = request_execution.make_model(request_execution.Rules(repeatable))
    assert list_verdicts(model, MAX_STATES) == {True}


def test_limits_hold() -> None:
    model = team_limits.make_model(team_limits.Rules())
    assert list_verdicts(model, MAX_STATES) == {True}


@pytest.mark.parametrize('mistake', ownership.MISTAKES)
def test_ownership_mistake_is_caught(mistake: str) -> None:
    scenario = ownership.SCENARIOS[OWNERSHIP_MISTAKES[mistake]]
    rules = dataclasses.replace(scenario, mistake=mistake)
    verdicts = list_verdicts(ownership.make_model(rules), MISTAKE_STATES)
    assert False in verdicts


@pytest.mark.parametrize('mistake', request_execution.MISTAKES)
def test_running_mistake_is_caught(mistake: str) -> None:
    models = [
        request_execution.make_model(
            request_execution.Rules(repeatable, mistake)
        )
        for repeatable in (True, False)
    ]
    assert any(False in list_verdicts(m, MISTAKE_STATES) for m in models)


@pytest.mark.parametrize('mistake', team_limits.MISTAKES)
def test_limits_mistake_is_caught(mistake: str) -> None:
    model = team_limits.make_model(team_limits.Rules(mistake))
    assert False in list_verdicts(model, MISTAKE_STATES)


def test_customer_limits_hold() -> None:
    model = customer_limits.make_model(customer_limits.Rules())
    assert list_verdicts(model, MAX_STATES) == {True}


@pytest.mark.parametrize('mistake', customer_limits.MISTAKES)
def test_customer_limits_mistake_is_caught(mistake: str) -> None:
    model = customer_limits.make_model(customer_limits.Rules(mistake))
    assert False in list_verdicts(model, MISTAKE_STATES)
