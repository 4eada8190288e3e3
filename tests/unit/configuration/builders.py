"""Builds configurations of queues and customers for tests."""

import copy
import json
from typing import Any

from nutmegknot._internal.models import job_configurations
from nutmegknot._internal.platform import configuration_files

SOUND: dict[str, Any] = {
    'version': 12,
    'routes': [
        {
            'name': 'render',
            'host': 'jobs.example',
            'pathPrefix': '/render/',
            'service': 'cpu-pool',
            'priority': 2,
            'attempts': 3,
            'stretch': 4.0,
            'targetLatencyMs': 3000,
        },
        {
            'name': 'preview',
            'host': 'jobs.example',
            'pathPrefix': '/render/preview/',
            'service': 'gpu-pool',
            'stretch': 1.5,
            'targetLatencyMs': 250,
            'timeoutMs': 2500,
            'advice': {'decideMs': 25, 'periodMs': 0.5, 'validMs': 900},
            'public': False,
            'colour': 'green',
        },
    ],
    'services': [
        {'name': 'cpu-pool', 'admissionCheck': 'none'},
        {'name': 'gpu-pool'},
    ],
    'tenants': [
        {
            'name': 'film',
            'apiKeys': ['k-film-1', 'k-film-2'],
            'weight': 6,
            'cap': {'cpu': 48_000, 'memMb': 0, 'gpu': 8},
        },
        {'name': 'games', 'apiKeys': ['k-games'], 'weight': 2},
    ],
    'limits': {'maxBodyBytes': 65_536},
}
WORKERS = [
    {
        'service': f'{kind}-pool',
        'capacity': {'cpu': 16_000, 'memMb': 64_000, 'gpu': cards},
        'labels': [kind, 'rack-1'],
        'state': 'ready',
    }
    for kind, cards in (('cpu', 0), ('gpu', 8))
    for _ in range(2)
]


def change(path: str, value: object) -> dict[str, Any]:
    """Returns the sound configuration with another value at a dotted path."""
    fields = copy.deepcopy(SOUND)
    *parents, last = path.split('.')
    entry: Any = fields
    for part in parents:
        entry = entry[int(part) if isinstance(entry, list) else part]
    entry[int(last) if isinstance(entry, list) else last] = value
    return fields


def decode(fields: object) -> job_configurations.JobConfiguration:
    result = configuration_files.decode_configuration(
        json.dumps(fields).encode()
    )
    assert not isinstance(result, list), result
    return result


def list_lines(findings: list[job_configurations.Finding]) -> list[str]:
    return [
        f'{finding.severity.value} '
        f'{configuration_files.format_place(finding.place)}: {finding.text}'
        for finding in findings
    ]
