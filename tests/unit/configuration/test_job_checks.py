"""Tests of configuration/job_checks.py and of the decoding of its input."""

import copy
import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest
from unit.configuration import builders

from nutmegknot._internal.configuration import job_checks
from nutmegknot._internal.configuration import job_differences
from nutmegknot._internal.platform import configuration_files
from nutmegknot._internal.platform import platform_listings
from nutmegknot._internal.utils import json_fields


def check(fields: dict[str, Any]) -> list[str]:
    listed = configuration_files.decode_workers(
        json.dumps(builders.WORKERS).encode()
    )
    assert isinstance(listed, configuration_files.WorkerFile)
    assert not listed.unreadable_parts
    return builders.list_lines(
        job_checks.find_findings(builders.decode(fields), listed.workers)
    )


def test_sound_configuration_has_no_findings() -> None:
    """Guards against warnings that operators learn to ignore."""
    assert check(builders.SOUND) == []
    assert (
        builders.list_lines(
            job_checks.find_findings(builders.decode(builders.SOUND))
        )
        == []
    )


@pytest.mark.parametrize(
    ('path', 'value', 'expected'),
    [
        (
            'routes.1.pathPrefix',
            '/render/',
            'warning routes[1].pathPrefix: no call matches, as queue'
            " 'render' has the same host and prefix",
        ),
        (
            'routes.0.host',
            'jobs.example:8080',
            'warning routes[0].host: no call matches, as the host must be a'
            ' name without a port',
        ),
        (
            'routes.0.name',
            'preview',
            "warning routes[0].name: a later queue has the name 'preview' too"
            ' and replaces this one',
        ),
        (
            'services.0.name',
            'other',
            "warning routes[0].service: there is no pool 'cpu-pool'",
        ),
        (
            'tenants.1.apiKeys',
            [],
            "warning tenants[1].apiKeys: customer 'games' has no key, so no"
            ' call can be its',
        ),
        (
            'tenants.1.apiKeys',
            ['k-games', 'k-film-2'],
            'warning tenants[0].apiKeys: 1 key(s) count as those of customer'
            " 'games', which lists them too",
        ),
        (
            'tenants.1.apiKeys',
            [''],
            'warning tenants[1].apiKeys: a key is empty, so calls without a'
            ' key count as this customer',
        ),
        (
            'tenants.0.weight',
            0,
            'warning tenants[0].weight: 0 has the same effect as leaving the'
            ' field out',
        ),
        (
            'routes.1.timeoutMs',
            25,
            'warning routes[1].timeoutMs: 25 ms is less than the 26 ms that'
            ' advice takes for 2 worker(s)',
        ),
        (
            'routes.1',
            {
                **builders.SOUND['routes'][1],
                'targetLatencyMs': 0,
                'stretch': 0.5,
            },
            'warning routes[1].targetLatencyMs: no job can meet its objective,'
            ' which is 0.5 times its own run time',
        ),
        (
            'tenants.0.cap.gpu',
            3,
            'warning tenants[0].cap.gpu: 3 accelerators is less than any'
            ' worker has; the smallest has 8',
        ),
        (
            'tenants.0.cap.cpu',
            64_001,
            'note tenants[0].cap.cpu: 64001 millicores is more than the 64000'
            ' of all workers',
        ),
    ],
)
def test_fault_is_found(path: str, value: object, expected: str) -> None:
    """Guards against faults that only show when callers are refused."""
    assert check(builders.change(path, value)) == [expected]


def test_limits_far_below_the_room_are_noted() -> None:
    """Guards against workers that no customer may use."""
    fields = builders.change('tenants.0.cap.cpu', 16_000)
    fields['tenants'][1]['cap'] = {'cpu': 15_999}
    assert check(fields) == [
        'warning tenants[1].cap.cpu: 15999 millicores is less than any worker'
        ' has; the smallest has 16000',
        'note tenants: all limits together allow 31999 of the 64000 millicores'
        ' of the workers',
    ]


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        (builders.change('version', 'x'), 'version: not a number: str'),
        (
            builders.change('routes.1.advice', 5),
            'routes[1].advice: not an object',
        ),
        (
            builders.change('routes.1.advice', {'decideMs': 1}),
            'routes[1].advice.periodMs: is missing',
        ),
        (builders.change('routes.0', {}), 'routes[0].name: is missing'),
        (
            builders.change('tenants.0.weight', -1),
            'tenants[0].weight: number out of range',
        ),
        (
            builders.change('tenants.1.apiKeys', ['a', ['b']]),
            'tenants[1].apiKeys[1]: not a text: list',
        ),
        (builders.change('limits', [[]]), 'limits: not an object'),
        ([], ': not an object'),
    ],
)
def test_unreadable_part_is_located(fields: object, expected: str) -> None:
    """Guards against errors that name no place among hundreds of entries."""
    parts = configuration_files.decode_configuration(
        json.dumps(fields).encode()
    )
    assert isinstance(parts, list)
    assert f'{parts[0].place}: {parts[0].why}' == expected


ODD_VALUES = strategies.sampled_from(
    ['\ud800', 10**400, 2**60, 2**31, -1, 0, 0.5, [], {}, ['x'], 'x']
)
JSON_VALUES = ODD_VALUES | strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    'name',
                    'pathPrefix',
                    'service',
                    'advice',
                    'decideMs',
                    'cpu',
                    'x',
                ]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=4,
)


def edit(data: strategies.DataObject, value: Any) -> Any:  # noqa: ANN401
    """Returns a JSON value with one part, at any depth, replaced or removed."""
    if not isinstance(value, list | dict) or not value:
        return data.draw(JSON_VALUES)
    if not data.draw(strategies.integers(0, 9)):
        return data.draw(JSON_VALUES)
    keys = list(value) if isinstance(value, dict) else range(len(value))
    key: Any = data.draw(strategies.sampled_from(keys))
    changed = copy.copy(value)
    if data.draw(strategies.integers(0, 9)):
        changed[key] = edit(data, value[key])
    else:
        del changed[key]
    return changed


@hypothesis.settings(
    derandomize=True,
    max_examples=1000,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(data=strategies.data())
def test_check_and_instances_agree_on_what_is_readable(
    data: strategies.DataObject,
) -> None:
    """Guards against a configuration that passes but is never in force."""
    fields = builders.SOUND
    for _ in range(data.draw(strategies.integers(0, 2))):
        fields = edit(data, fields)
    raw = json.dumps(fields).encode()
    try:
        settings = platform_listings.decode_settings(
            json_fields.decode_object(raw)
        )
    except json_fields.ERRORS:
        settings = None
    result = configuration_files.decode_configuration(raw)
    hypothesis.event('unreadable' if isinstance(result, list) else 'readable')
    if isinstance(result, list):
        assert settings is None
        assert result
        return
    assert result.settings == settings
    job_checks.find_findings(result, ())
    for before, after in (
        (result, builders.decode(builders.SOUND)),
        (builders.decode(builders.SOUND), result),
    ):
        job_differences.list_differences(before, after)
