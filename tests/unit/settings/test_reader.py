"""Tests of settings/reader.py."""

import pytest

from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader

GOOD = """
[instance]
region = "r"
domain = "d"
[platform]
table_url = "http://127.0.0.1:1"
objects_url = "http://127.0.0.1:1"
fleet_url = "http://127.0.0.1:1"
[cell]
domains = ["r/d"]
"""


def test_defaults_come_from_schema() -> None:
    settings = reader.read_text(GOOD, 'x.toml')
    assert isinstance(settings, settings_pb2.Settings)
    assert settings.membership.lease_ms == 2500
    assert list(settings.cell.domains) == ['r/d']


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('[instance', 'x.toml: not TOML'),
        (GOOD + '\n[colour]\n', 'x.toml: colour: unknown key'),
        (
            GOOD + '\n[membership]\nlease_ms = 1\n',
            'x.toml: membership.lease_ms: 1 is out of range, 200 to 60000 ms',
        ),
        (
            GOOD + '\n[membership]\nlease_ms = "a"\n',
            'x.toml: membership.lease_ms: must be an integer (ms)',
        ),
        (GOOD.replace('region = "r"', ''), 'x.toml: instance.region: missing'),
    ],
)
def test_fault_is_named(text: str, expected: str) -> None:
    result = reader.read_text(text, 'x.toml')
    assert isinstance(result, reader.BadSettings)
    assert result.detail.startswith(expected)
