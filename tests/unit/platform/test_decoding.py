"""What the adapter makes of the platform's rows and of callers' bodies."""

import base64
import json
from typing import Any

import hypothesis
from hypothesis import strategies
from lib import job_cells

from nutmegknot._internal.jobs import admitting
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import fronts
from nutmegknot._internal.platform import notices
from nutmegknot._internal.platform import store

REGIONS = {'a': 'region'}
ENTRY: dict[str, Any] = {
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
ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*ENTRY, 'steps', 'spec', 'count']),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)
ADMITTED = admitting.Admitted(job_cells.make_queue(), 'team', 'a' * 16)


def decode(fields: object) -> workers.Worker | None:
    return notices.decode_worker('i-1', json.dumps(fields).encode(), REGIONS)


def test_a_worker_is_read_into_our_own_words() -> None:
    assert decode(ENTRY) == workers.Worker(
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
    draining = decode({**ENTRY, 'state': 'draining'})
    assert draining is not None
    assert draining.state is workers.TargetState.LEAVING


def test_an_entry_that_lacks_something_names_no_worker() -> None:
    for field in ('service', 'address', 'zone', 'state', 'capacity'):
        fields = {k: v for k, v in ENTRY.items() if k != field}
        assert decode(fields) is None, field
    for field, value in (
        ('state', 'resting'),
        ('zone', 'elsewhere'),
        ('address', 'here'),
        ('capacity', 5),
        ('labels', 5),
        ('born', 'today'),
    ):
        assert decode({**ENTRY, field: value}) is None, field
    assert notices.decode_worker('i-1', b'\xff\x00', REGIONS) is None
    endless = json.dumps({**ENTRY, 'born': float('inf')}).encode()
    assert notices.decode_worker('i-1', endless, REGIONS) is None


@hypothesis.given(field=strategies.sampled_from(sorted(ENTRY)), value=ANYTHING)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_no_entry_breaks_anything(field: str, value: object) -> None:
    decode({**ENTRY, field: value})
    decode(value)


@hypothesis.given(value=ANYTHING)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_no_body_breaks_anything(value: object) -> None:
    for body in (value, {'spec': 'x', 'steps': [value]}):
        order = fronts.decode_order(json.dumps(body).encode(), ADMITTED)
        assert isinstance(order, jobs.Order | outcomes.Refused)


def test_a_body_is_read_into_steps() -> None:
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
    order = fronts.decode_order(json.dumps(body).encode(), ADMITTED)
    assert isinstance(order, jobs.Order)
    first, second, third = order.steps
    assert first.size == resources.Resources(500, 256)
    assert first.data_rack == 'r1-3'
    assert first.may_miss is None
    assert second.after == (0,)
    assert second.all_at_once
    assert second.one_rack
    assert second.saves_progress
    assert third.lasting
    assert third.tail_target_ms == 40
    assert third.may_miss == 0
    assert (order.occurrences, order.start_at_ms, order.interval_ms) == (
        3,
        5,
        7,
    )


def test_a_description_that_is_too_long_is_refused() -> None:
    body = {'spec': 'x' * 4_001, 'steps': []}
    refused = fronts.decode_order(json.dumps(body).encode(), ADMITTED)
    assert isinstance(refused, outcomes.Refused)


def test_a_configuration_is_read_into_queues_and_customers() -> None:
    catalog = notices.decode_catalog(
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
    queue = catalog.queues['r']
    assert queue.needs_tickets
    assert (queue.advice_ms, queue.advice_worker_us) == (25.6, 220.0)
    assert catalog.customer_by_key == {'k': 't'}
    assert catalog.customers['t'].limit == resources.Resources(0, 0, 4)


def test_rows_that_cannot_be_read_are_left_out() -> None:
    value = base64.b64encode(b'x').decode()
    rows = store.decode_rows(
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
