"""Tests of settings/reader.py."""

import json

import hypothesis
from hypothesis import strategies
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


TLS = """
[tls]
caller_certificate = "c.pem"
"""


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (
            GOOD + TLS,
            'x.toml: tls.caller_certificate: also needs tls.caller_key',
        ),
        (
            GOOD + '[membership]\nauthority_ms = 2900\n',
            'x.toml: membership.authority_ms: 2900 and membership.drift_ms',
        ),
        (
            GOOD.replace('domain = "d"', 'domain = "d"\nlisten = "host:1"'),
            'x.toml: instance.listen: \'host:1\' must be "IP:PORT"',
        ),
        (
            GOOD.replace('http://', 'ftp://'),
            "x.toml: platform.table_url: 'ftp://127.0.0.1:1' must be a http",
        ),
        (
            GOOD + '[telemetry]\nlevel = "loud"\n',
            "x.toml: telemetry.level: 'loud' must be one of debug, info",
        ),
    ],
)
def test_fault_between_keys_is_named(text: str, expected: str) -> None:
    result = reader.read_text(text, 'x.toml')
    assert isinstance(result, reader.BadSettings)
    assert result.detail.startswith(expected)


VALUES = strategies.recursive(
    strategies.one_of(
        strategies.integers(),
        strategies.booleans(),
        strategies.floats(),
        strategies.text(max_size=5),
    ),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=4,
)
KEYS = strategies.sampled_from(
    ['instance', 'platform', 'cell', 'tls', 'telemetry', 'x', 'limits']
)


@hypothesis.given(text=strategies.text())
def test_any_text_gives_settings_or_one_line(text: str) -> None:
    result = reader.read_text(text, 'x.toml')
    assert isinstance(result, reader.BadSettings)
    assert len(result.detail.splitlines()) <= 1 or '\n' in text


@hypothesis.given(tree=strategies.dictionaries(KEYS, VALUES))
def test_any_value_gives_settings_or_one_line(tree: dict[str, object]) -> None:
    lines = [f'{key} = {json.dumps(value)}' for key, value in tree.items()]
    result = reader.read_text('\n'.join(lines), 'x.toml')
    assert isinstance(result, reader.BadSettings)
    assert result.detail.startswith('x.toml: ')
