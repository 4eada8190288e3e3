"""Odd entries among the operators' rows."""

import base64
import json
from typing import Any

from lib import job_cells
import pytest

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.jobs import rows as rows_lib
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.platform import platform_listings

ROUTE: dict[str, Any] = {
    'name': 'queue',
    'pathPrefix': '/q/',
    'service': 'pool',
    'attempts': 3,
    'stretch': 2.0,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE],
    'tenants': [{'name': 'team', 'apiKeys': ['key'], 'weight': 1}],
}
WAVE = {'wave': 3, 'machines': ['m1'], 'durationS': 9, 'cap': 1}
DEEP = '[' * 50_000 + ']' * 50_000


async def read_settings(
    rows: dict[str, str],
) -> listings.SettingsUpdate:
    """Returns the settings after a reading of the rows."""

    async def fetch(
        call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply:
        listed = [
            {
                'key': key,
                'value': base64.b64encode(value.encode()).decode(),
                'rowVersion': 5,
            }
            for key, value in rows.items()
        ]
        return platform_calls.Reply(200, {'rowVersion': 5, 'rows': listed})

    source = platform_listings.connect(fetch, {})
    update = await source.read_settings(100)
    assert isinstance(update, listings.SettingsUpdate)
    return update


@pytest.mark.parametrize(
    'text',
    [
        DEEP,
        '{"wave":' + DEEP + '}',
        json.dumps({**WAVE, 'durationS': 10**30}),
        json.dumps({**WAVE, 'cap': -1}),
        json.dumps({**WAVE, 'machines': 'm1'}),
        json.dumps({**WAVE, 'machines': [['m1']]}),
        json.dumps({**WAVE, 'machines': ['\ud800']}),
        json.dumps({**WAVE, 'wave': 10**30}),
        json.dumps({**WAVE, 'durationS': 0}).replace('0', '1e999'),
        'null',
    ],
)
async def test_an_odd_wave_leaves_the_others(text: str) -> None:
    update = await read_settings(
        {
            'config': json.dumps(CONFIGURATION),
            'wave/2': text,
            'wave/3': json.dumps(WAVE),
        }
    )
    assert update.settings is not None
    assert list(update.settings.waves) == [3]


@pytest.mark.parametrize(
    'text',
    [
        DEEP,
        json.dumps({**CONFIGURATION, 'limits': 0}).replace('0', DEEP),
        json.dumps({**CONFIGURATION, 'routes': 5}),
        json.dumps({**CONFIGURATION, 'version': 10**30}),
        *(
            json.dumps({**CONFIGURATION, 'routes': [{**ROUTE, **fields}]})
            for fields in (
                {'attempts': 10**30},
                {'attempts': -1},
                {'priority': 10**30},
                {'stretch': 1e308 * 10},
                {'stretch': float('nan')},
                {'targetLatencyMs': 10**30},
                {'service': '\ud800'},
                {'service': ['pool']},
                {'name': 5},
                {'advice': {'decideMs': -1, 'periodMs': 1}},
            )
        ),
        *(
            json.dumps({**CONFIGURATION, 'tenants': [{'name': 'a', **fields}]})
            for fields in (
                {'weight': float('nan')},
                {'cap': {'cpu': -1}},
                {'cap': {'cpu': 10**30}},
                {'apiKeys': 'key'},
                {'apiKeys': [['key']]},
            )
        ),
    ],
)
async def test_odd_settings_leave_those_in_force(text: str) -> None:
    update = await read_settings({'config': text})
    assert update.settings is None


async def test_settings_that_are_in_force_can_be_used() -> None:
    update = await read_settings({'config': json.dumps(CONFIGURATION)})
    assert update.settings is not None
    queue = update.settings.queues['queue']
    spec = job_cells.make_job_spec('a', job_cells.make_step())
    cluster = cluster_state.ClusterState(1, 0, update.settings)
    job = jobs.Job(spec, critical_path_ms=500)
    assert stage_ranking.compute_objective_ms(cluster, job) == 1_000
    assert queue.max_failed_runs == 3
    assert rows_lib.encode_job(job)
