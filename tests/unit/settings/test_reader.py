"""Tests of reading and checking settings."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader

VALID_SETTINGS = """
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


def test_missing_settings_get_the_defaults_of_the_schema() -> None:
    settings = reader.parse_toml(VALID_SETTINGS, 'x.toml')
    assert isinstance(settings, settings_pb2.Settings)
    assert settings.membership.lease_ms == 2500
    assert list(settings.cell.domains) == ['r/d']


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('[instance', 'x.toml: not TOML'),
        (VALID_SETTINGS + '\n[colour]\n', 'x.toml: colour: unknown key'),
        (
            VALID_SETTINGS + '\n[membership]\nlease_ms = 1\n',
            'x.toml: membership.lease_ms: 1 is out of range, 200 to 60000 ms',
        ),
        (
            VALID_SETTINGS + '\n[membership]\nlease_ms = "a"\n',
            'x.toml: membership.lease_ms: must be an integer (ms)',
        ),
        (
            VALID_SETTINGS.replace('region = "r"', ''),
            'x.toml: instance.region: missing',
        ),
    ],
)
def test_error_names_the_setting(text: str, expected: str) -> None:
    result = reader.parse_toml(text, 'x.toml')
    assert isinstance(result, reader.InvalidSettings)
    assert result.detail.startswith(expected)


INCOMPLETE_TLS = """
[tls]
caller_certificate = "c.pem"
"""


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (
            VALID_SETTINGS + INCOMPLETE_TLS,
            'x.toml: tls.caller_certificate: also needs tls.caller_key',
        ),
        (
            VALID_SETTINGS + '[membership]\nauthority_ms = 2900\n',
            'x.toml: membership.authority_ms: 2900 and membership.drift_ms',
        ),
        (
            VALID_SETTINGS.replace(
                'domain = "d"', 'domain = "d"\nlisten = "host:1"'
            ),
            'x.toml: instance.listen: \'host:1\' must be "IP:PORT"',
        ),
        (
            VALID_SETTINGS.replace('http://', 'ftp://'),
            "x.toml: platform.table_url: 'ftp://127.0.0.1:1' must be an http",
        ),
        (
            VALID_SETTINGS + '[telemetry]\nlevel = "loud"\n',
            "x.toml: telemetry.level: 'loud' must be one of debug, info",
        ),
    ],
)
def test_error_names_the_setting_and_the_violated_rule(
    text: str, expected: str
) -> None:
    result = reader.parse_toml(text, 'x.toml')
    assert isinstance(result, reader.InvalidSettings)
    assert result.detail.startswith(expected)


VALUES = strategies.recursive(
    strategies.one_of(
        strategies.integers(),
        strategies.booleans(),
        strategies.floats(),
        strategies.text(max_size=5),
    ),
    lambda values: strategies.lists(values, max_size=3),
    max_leaves=4,
)
SECTIONS = strategies.sampled_from(
    ['instance', 'platform', 'cell', 'tls', 'telemetry', 'x', 'limits']
)


@hypothesis.given(text=strategies.text())
def test_arbitrary_text_gives_a_one_line_error(text: str) -> None:
    result = reader.parse_toml(text, 'x.toml')
    assert isinstance(result, reader.InvalidSettings)
    assert len(result.detail.splitlines()) <= 1 or '\n' in text


@hypothesis.given(table=strategies.dictionaries(SECTIONS, VALUES))
def test_arbitrary_values_give_an_error(table: dict[str, object]) -> None:
    lines = [f'{key} = {json.dumps(value)}' for key, value in table.items()]
    result = reader.parse_toml('\n'.join(lines), 'x.toml')
    assert isinstance(result, reader.InvalidSettings)
    assert result.detail.startswith('x.toml: ')
