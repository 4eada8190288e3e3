"""Tests of codec/policies.py and of the settings in examples/."""

import pathlib

import pytest

from nutmegknot._internal.codec import policies as codec
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
MINIMAL = """
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


def test_defaults_of_schema_and_policy_agree() -> None:
    settings = reader.parse_toml(MINIMAL, 'x.toml')
    assert isinstance(settings, settings_pb2.Settings)
    assert codec.decode_policy(settings.decisions) == policies.Policy()


@pytest.mark.parametrize('name', ['menon-varghese.toml', 'ezokita.toml'])
def test_examples_are_valid_and_differ_from_defaults(name: str) -> None:
    settings = reader.read_file(EXAMPLES / name)
    assert isinstance(settings, settings_pb2.Settings)
    assert codec.decode_policy(settings.decisions) != policies.Policy()
    assert len(settings.cell.domains) == 3
