"""Tests of configuration/changes.py."""

import dataclasses
import hashlib

from lib import fakes
import pytest

from nutmegknot._internal.backing import tables
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import operator_pb2

TIMEOUT_MS = 100
LIMIT = resources.Resources(1000, 1000, 0, 4)


def make_change(
    revision: int, nonce: str, share: float = 1.0
) -> changes.Change:
    config = cells.Configuration(
        revision=revision, teams={'t': cells.Team('t', share, LIMIT)}
    )
    return changes.Change(config, 'asha', 'test', nonce, at_ms=7)


def read_audit(
    fake: fakes.FakeTable, revision: int
) -> operator_pb2.ConfigurationAudit:
    row = fake.rows[changes.get_audit_key(revision)]
    return operator_pb2.ConfigurationAudit.FromString(row.value)


async def test_change_writes_chained_audit_rows() -> None:
    fake = fakes.FakeTable()
    table = fakes.connect_table(fake)
    await changes.apply_change(table, make_change(0, 'a'), TIMEOUT_MS)
    await changes.apply_change(table, make_change(1, 'b', 2.0), TIMEOUT_MS)
    first, second = read_audit(fake, 1), read_audit(fake, 2)
    assert (second.operator, second.reason, second.at_ms) == ('asha', 'test', 7)
    assert list(second.changes) == ['~ team t: share 1.0 -> 2.0']
    assert second.before.teams[0].share == 1.0
    assert second.after.teams[0].share == 2.0
    assert first.previous_hash == b''
    stored = fake.rows[changes.get_audit_key(1)].value
    assert second.previous_hash == hashlib.sha256(stored).digest()


@pytest.mark.parametrize(
    'faults', [['', 'lost'], ['', 'lost', 'down', 'down'], ['down']]
)
async def test_change_takes_effect_once_despite_lost_answers(
    faults: list[str],
) -> None:
    fake = fakes.FakeTable(faults=list(faults))
    result = await changes.apply_change(
        fakes.connect_table(fake), make_change(0, 'a'), TIMEOUT_MS
    )
    assert isinstance(result, changes.Applied)
    assert result.configuration.revision == 1
    assert list(fake.rows) == [
        'revision',
        'configuration',
        changes.get_audit_key(1),
    ]


async def test_repeated_call_takes_effect_once() -> None:
    fake = fakes.FakeTable()
    table = fakes.connect_table(fake)
    await changes.apply_change(table, make_change(0, 'a'), TIMEOUT_MS)
    await changes.apply_change(table, make_change(1, 'b', 2.0), TIMEOUT_MS)
    again = await changes.apply_change(table, make_change(0, 'a'), TIMEOUT_MS)
    assert isinstance(again, changes.Applied)
    assert again.configuration.revision == 1
    current = await changes.read_configuration(table, TIMEOUT_MS)
    assert isinstance(current, cells.Configuration)
    assert current.teams['t'].share == 2.0


async def test_second_change_of_same_revision_is_not_made() -> None:
    table = fakes.connect_table(fakes.FakeTable())
    await changes.apply_change(table, make_change(0, 'a'), TIMEOUT_MS)
    result = await changes.apply_change(
        table, make_change(0, 'b', 2.0), TIMEOUT_MS
    )
    assert isinstance(result, changes.RevisionConflict)
    assert result.configuration.teams['t'].share == 1.0


async def test_no_success_is_reported_while_table_is_down() -> None:
    fake = fakes.FakeTable(faults=['down'] * 20)
    result = await changes.apply_change(
        fakes.connect_table(fake), make_change(0, 'a'), TIMEOUT_MS
    )
    assert isinstance(result, tables.Unavailable)
    assert fake.rows == {}


@pytest.mark.parametrize('is_gone', [True, False])
async def test_withdrawn_key_stays_withdrawn(is_gone: bool) -> None:
    table = fakes.connect_table(fakes.FakeTable())
    change = make_change(0, 'a')
    key = cells.Key('k', 't', keys.compute_digest('s'), withdrawn=True)
    config = dataclasses.replace(change.configuration, keys={'k': key})
    first = dataclasses.replace(change, configuration=config)
    await changes.apply_change(table, first, TIMEOUT_MS)
    revived = dataclasses.replace(key, withdrawn=False)
    config = dataclasses.replace(
        config, revision=1, keys={} if is_gone else {'k': revived}
    )
    second = changes.Change(config, 'asha', 'test', 'b', 8)
    result = await changes.apply_change(table, second, TIMEOUT_MS)
    assert isinstance(result, changes.Invalid)
    assert 'withdrawn' in result.detail
