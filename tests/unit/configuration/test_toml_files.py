"""Tests of configuration/toml_files.py and differences.py."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from nutmegknot._internal.configuration import differences
from nutmegknot._internal.configuration import toml_files
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import workers
from nutmegknot._internal.settings import toml_messages
from nutmegknot_standins import local_cells

CURRENT = dataclasses.replace(local_cells.make_configuration(), revision=4)


def test_printed_file_describes_current_configuration() -> None:
    text = toml_files.format_toml(CURRENT)
    assert toml_files.parse_toml(text, 'x.toml', CURRENT) == CURRENT


@hypothesis.given(name=strategies.text(max_size=8))
def test_any_team_name_is_written_and_read_back(name: str) -> None:
    if not name.isprintable():
        return
    team = dataclasses.replace(CURRENT.teams['demo'], name=name)
    config = dataclasses.replace(CURRENT, teams={name: team})
    result = toml_files.parse_toml(
        toml_files.format_toml(config), 'x.toml', CURRENT
    )
    assert result == config or (
        name == '' and isinstance(result, toml_messages.InvalidToml)
    )


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('[teams.a]\nshare = 0\n', 'x.toml: teams.a.share: 0 is out of range'),
        ('[teams.a]\nshare = nan\n', 'x.toml: teams.a.share: nan is out of'),
        ('[teams.a]\n', 'x.toml: teams.a.limit.millicores: missing'),
        ('[domains.a]\nregion="r"\n', 'x.toml: domains.a.state: missing'),
        ('[keys.a]\n', 'x.toml: keys: unknown key'),
        ('teams = 3\n', 'x.toml: teams: must be a table'),
        (
            '[queues.q]\npriority = "low"\n',
            "x.toml: queues.q.priority: 'low' must be one of urgent, normal",
        ),
    ],
)
def test_error_names_the_setting(text: str, expected: str) -> None:
    result = toml_files.parse_toml(text, 'x.toml', CURRENT)
    assert isinstance(result, toml_messages.InvalidToml)
    assert result.detail.startswith(expected)


def test_differences_hide_digests() -> None:
    closed = cells.Domain('domain-a', 'local', workers.DomainState.CLOSED)
    key = dataclasses.replace(CURRENT.keys['demo-key'], digest='0' * 64)
    after = dataclasses.replace(
        CURRENT,
        domains=CURRENT.domains | {'domain-a': closed},
        keys={'demo-key': key},
        queues={},
    )
    lines = differences.list_differences(CURRENT, after)
    assert lines == [
        '~ key demo-key: digest changed',
        "- queue batch: open_team '', max_waiting 10000, priority urgent",
        "- queue public: open_team 'demo', max_waiting 10000, priority urgent",
        '~ domain domain-a: state open -> closed',
    ]
    changed = differences.select_changed(after, CURRENT)
    assert changed.domains == {'domain-a': closed}
    assert changed.teams == {}
