"""Decoding of rows of the platform's store and of bodies of callers' calls."""

import base64
import json
from typing import Any

import hypothesis
from hypothesis import strategies
from lib import job_cells

from nutmegknot._internal.jobs import call_authorization
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import caller_api
from nutmegknot._internal.platform import metadata_store
from nutmegknot._internal.platform import platform_listings

REGION_BY_DOMAIN = {'a': 'region'}
WORKER_ROW: dict[str, Any] = {
    'service': 'pool',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'capacity': {'cpu': 16_000, 'memMb': 32_768},
    'labels': ['fast', 'r1-3'],
    'born': 77,
    'seq': 4,
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*WORKER_ROW, 'steps', 'spec', 'count']),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)
AUTHORIZED_CALL = call_authorization.AuthorizedCall(
    job_cells.make_queue(), 'team', 'a' * 16
)


def decode_worker(fields: object) -> workers.Worker | None:
    return platform_listings.decode_worker(
        'i-1', json.dumps(fields).encode(), REGION_BY_DOMAIN
    )


def test_worker_row_is_decoded() -> None:
    assert decode_worker(WORKER_ROW) == workers.Worker(
        id='i-1',
        region='region',
        domain='a',
        rack='r1-3',
        capacity=resources.Resources(16_000, 32_768, 0),
        address='10.128.0.9:8080',
        state=workers.TargetState.LIVE,
        pool='pool',
        kind='fast',
        labels=frozenset(('fast', 'r1-3')),
        life=77,
    )
    draining = decode_worker({**WORKER_ROW, 'state': 'draining'})
    assert draining is not None
    assert draining.state is workers.TargetState.LEAVING


def test_incomplete_or_malformed_row_is_no_worker() -> None:
    for field in ('service', 'address', 'zone', 'state', 'capacity'):
        fields = {k: v for k, v in WORKER_ROW.items() if k != field}
        assert decode_worker(fields) is None, field
    for field, value in (
        ('state', 'resting'),
        ('zone', 'elsewhere'),
        ('address', 'here'),
        ('capacity', 5),
        ('labels', 5),
        ('born', 'today'),
    ):
        assert decode_worker({**WORKER_ROW, field: value}) is None, field
    assert (
        platform_listings.decode_worker('i-1', b'\xff\x00', REGION_BY_DOMAIN)
        is None
    )
    infinite_life = json.dumps({**WORKER_ROW, 'born': float('inf')}).encode()
    assert (
        platform_listings.decode_worker('i-1', infinite_life, REGION_BY_DOMAIN)
        is None
    )


@hypothesis.given(
    field=strategies.sampled_from(sorted(WORKER_ROW)), value=JSON_VALUES
)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_no_worker_row_raises(field: str, value: object) -> None:
    decode_worker({**WORKER_ROW, field: value})
    decode_worker(value)


@hypothesis.given(value=JSON_VALUES)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_no_submission_body_raises(value: object) -> None:
    for body in (value, {'spec': 'x', 'steps': [value]}):
        spec = caller_api.decode_job_spec(
            json.dumps(body).encode(), AUTHORIZED_CALL
        )
        assert isinstance(spec, jobs.JobSpec | outcomes.Refused)


def test_submission_body_is_decoded_into_steps() -> None:
    body = {
        'spec': 'text',
        'steps': [
            {'count': 4, 'cpu': 500, 'memMb': 256, 'dataRack': 'r1-3'},
            {
                'count': 2,
                'cpu': 2_000,
                'gpu': 1,
                'after': [0],
                'gang': True,
                'sameRack': True,
                'savesProgress': True,
            },
            {'count': 1, 'longRunning': True, 'targetMs': 40, 'fills': True},
        ],
        'repeatCount': 3,
        'startAtMs': 5,
        'intervalMs': 7,
    }
    spec = caller_api.decode_job_spec(
        json.dumps(body).encode(), AUTHORIZED_CALL
    )
    assert isinstance(spec, jobs.JobSpec)
    first, second, third = spec.steps
    assert first.size == resources.Resources(500, 256)
    assert first.data_rack == 'r1-3'
    assert first.max_unavailable is None
    assert second.depends_on == (0,)
    assert second.is_gang
    assert second.same_rack
    assert second.makes_checkpoints
    assert third.is_long_running
    assert third.tail_latency_target_ms == 40
    assert third.max_unavailable == 0
    assert (spec.occurrences, spec.start_at_ms, spec.interval_ms) == (
        3,
        5,
        7,
    )


def test_too_long_payload_is_refused() -> None:
    body = {'spec': 'x' * 4_001, 'steps': []}
    refused = caller_api.decode_job_spec(
        json.dumps(body).encode(), AUTHORIZED_CALL
    )
    assert isinstance(refused, outcomes.Refused)


def test_configuration_is_decoded_into_queues_and_customers() -> None:
    settings = platform_listings.decode_settings(
        {
            'version': 7,
            'routes': [
                {
                    'name': 'r',
                    'host': 'h',
                    'pathPrefix': '/p/',
                    'service': 's',
                    'stretch': 1.5,
                    'targetLatencyMs': 250,
                    'advice': {'decideMs': 25.6, 'periodMs': 0.22},
                }
            ],
            'tenants': [
                {'name': 't', 'apiKeys': ['k'], 'weight': 6, 'cap': {'gpu': 4}}
            ],
        }
    )
    queue = settings.queues['r']
    assert queue.needs_tickets
    assert (queue.advice_base_ms, queue.advice_per_worker_us) == (25.6, 220.0)
    assert settings.customer_by_key == {'k': 't'}
    assert settings.customers['t'].limit == resources.Resources(0, 0, 4)


def test_malformed_rows_are_left_out() -> None:
    value = base64.b64encode(b'x').decode()
    rows = metadata_store.decode_rows(
        {
            'rows': [
                {'key': 'a', 'value': value, 'rowVersion': 3},
                {'value': value, 'rowVersion': 3},
                'text',
                None,
            ]
        }
    )
    assert [row.key for row in rows] == ['a']
