"""The settings file: each setting in its section, and none left out unseen."""

import copy
import json
import logging
import pathlib
from typing import Any

import pytest

from nutmegknot._internal.platform import instance_process
from nutmegknot._internal.platform import process_settings

ROW_BYTES = 16_384
SETTINGS: dict[str, Any] = {
    'nodeName': 'front-a-1',
    'role': 'instance',
    'ip': '127.0.0.2',
    'zone': 'a',
    'zones': {'a': 'region', 'b': 'region'},
    'listen': {'front': '127.0.0.2:8686', 'ready': '127.0.0.2:8689'},
    'portRange': [7180, 7195],
    'limits': {
        'cpuShare': 0.537,
        'cores': 2,
        'memoryMb': 300,
        'maxFds': 4_100,
    },
    'bounds': {'maxHoldMs': 6_000, 'graceS': 6},
    'advice': '127.0.0.3:8683',
    'platform': {'address': '127.0.0.4:8683', 'rowBytes': ROW_BYTES},
}
# Settings that change how the process works, by section.
USED = [
    ('', 'nodeName'),
    ('', 'ip'),
    ('', 'zone'),
    ('', 'zones'),
    ('', 'portRange'),
    ('limits', 'cpuShare'),
    ('limits', 'cores'),
    ('limits', 'memoryMb'),
    ('limits', 'maxFds'),
    ('bounds', 'maxHoldMs'),
    ('platform', 'address'),
    ('platform', 'rowBytes'),
]


def read(
    folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch, fields: object
) -> process_settings.ProcessSettings | process_settings.InvalidSettings:
    path = folder / 'settings.json'
    path.write_text(json.dumps(fields), encoding='utf-8')
    monkeypatch.setenv(process_settings.SETTINGS_VARIABLE, str(path))
    return process_settings.read_settings()


def test_the_longest_row_is_read_from_the_section_of_the_store(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against rows that the store refuses (TWICE, review/8).

    The setting was read from another section, where it never is, so that the
    default was in force on a store with shorter rows.
    """
    settings = read(tmp_path, monkeypatch, SETTINGS)
    assert isinstance(settings, process_settings.ProcessSettings)
    assert settings.max_row_bytes == ROW_BYTES
    assert settings.limits.max_worker_lease_ms == 6_000
    assert settings.defaulted == ()


@pytest.mark.parametrize(('section', 'name'), USED)
def test_a_setting_that_is_elsewhere_is_noticed(
    section: str,
    name: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a default in force that nobody knows of (review/8)."""
    fields = copy.deepcopy(SETTINGS)
    holder = fields[section] if section else fields
    elsewhere = fields['limits' if section != 'limits' else 'platform']
    elsewhere[name] = holder.pop(name)
    settings = read(tmp_path, monkeypatch, fields)
    if isinstance(settings, process_settings.InvalidSettings):
        assert name in settings.detail
        return
    assert settings.defaulted == (f'{section}.{name}',)
    with caplog.at_level(logging.WARNING):
        instance_process.log_settings(settings)
    assert [record.message for record in caplog.records] == [
        'settings_defaulted'
    ]


@pytest.mark.parametrize('value', [0, -1, 'long', [], 1e30])
@pytest.mark.parametrize(
    ('section', 'name'), [('platform', 'rowBytes'), ('bounds', 'maxHoldMs')]
)
def test_a_limit_that_is_no_number_above_0_is_invalid(
    section: str,
    name: str,
    value: object,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fields = copy.deepcopy(SETTINGS)
    fields[section][name] = value
    settings = read(tmp_path, monkeypatch, fields)
    assert isinstance(settings, process_settings.InvalidSettings)
