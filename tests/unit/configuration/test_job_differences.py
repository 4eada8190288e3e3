"""Tests of configuration/job_differences.py."""

import copy
from typing import Any

import pytest
from unit.configuration import builders

from nutmegknot._internal.configuration import job_differences

BEFORE = builders.SOUND


def list_changes(after: dict[str, Any]) -> list[str]:
    return builders.list_lines(
        job_differences.list_differences(
            builders.decode(BEFORE), builders.decode(after)
        )
    )


def test_version_that_is_not_above_is_an_error() -> None:
    """Guards against a change that instances ignore or learn of too late."""
    assert list_changes(BEFORE) == [
        'error version: 12 is not above 12, which is in force'
    ]
    assert list_changes({**BEFORE, 'version': 13}) == []


@pytest.mark.parametrize(
    ('path', 'value', 'expected'),
    [
        (
            'routes.0.service',
            'gpu-pool',
            "risky-change routes[0].service: queue 'render':"
            " 'cpu-pool' -> 'gpu-pool'",
        ),
        (
            'routes.0.priority',
            1,
            "change routes[0].priority: queue 'render': 2 -> 1",
        ),
        (
            'routes.1.advice.periodMs',
            0.25,
            "change routes[1].advice.periodMs: queue 'preview': 500.0 -> 250.0",
        ),
        (
            'tenants.0.apiKeys',
            ['k-film-2'],
            "risky-change tenants[0].apiKeys: customer 'film': 1 key(s)"
            ' removed',
        ),
        (
            'tenants.0.weight',
            5,
            "risky-change tenants[0].weight: customer 'film': 6.0 -> 5.0",
        ),
        (
            'tenants.1.weight',
            3,
            "change tenants[1].weight: customer 'games': 2.0 -> 3.0",
        ),
        (
            'tenants.0.cap.gpu',
            0,
            "change tenants[0].cap.gpu: customer 'film': 8 -> no limit",
        ),
        (
            'tenants.1.cap',
            {'cpu': 1},
            "risky-change tenants[1].cap.cpu: customer 'games': no limit -> 1",
        ),
        (
            'limits.maxBodyBytes',
            9,
            'risky-change limits.maxBodyBytes: 65536 -> 9',
        ),
    ],
)
def test_change_is_listed(path: str, value: object, expected: str) -> None:
    """Guards against risky-changes that look like harmless ones."""
    after = builders.change(path, value)
    assert list_changes({**after, 'version': 13}) == [expected]


def test_removed_and_added_entries_are_listed() -> None:
    """Guards against a queue or customer that is dropped by mistake."""
    after = copy.deepcopy(BEFORE)
    after['version'] = 13
    del after['routes'][0], after['tenants'][0], after['services'][0]
    after['tenants'].append({'name': 'new', 'apiKeys': ['k']})
    assert list_changes(after) == [
        "risky-change routes: queue 'render' is removed",
        "risky-change tenants: customer 'film' is removed",
        "change tenants[1]: customer 'new' is added",
        "risky-change services: pool 'cpu-pool' is removed",
    ]
