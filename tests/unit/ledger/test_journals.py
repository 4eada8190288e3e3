"""Tests of ledger/journals.py."""

import asyncio
import random

from lib import fakes
import pytest

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.models import records
from nutmegknot._internal.platform import tables

OWNER = 'owner/ledger-0'


def make_journal(fake: fakes.FakeTable) -> journals.Journal:
    fake.rows[OWNER] = tables.Row(OWNER, b'', 1)
    return journals.Journal('ledger-0', 1, tables.Condition(OWNER, 1))


def make_context(fake: fakes.FakeTable) -> journals.Context:
    table = fakes.connect_table(fake)
    return journals.Context(table, random.Random(1), 0, 100)


def make_record(number: int) -> records.Record:
    return records.Record(f'team/{number}', number, records.Cancel())


async def recover(fake: fakes.FakeTable) -> list[records.Record]:
    found = await journals.recover(
        journals.Journal('ledger-0', 2, tables.Condition(OWNER, 1)),
        make_context(fake),
    )
    assert isinstance(found, list)
    return found


@pytest.mark.parametrize('faults', [[], ['lost'], ['down', 'lost', 'lost']])
async def test_append_survives_faults(faults: list[str]) -> None:
    fake = fakes.FakeTable(faults=faults)
    journal = make_journal(fake)
    writer = asyncio.create_task(
        journals.keep_writing(journal, make_context(fake))
    )
    first = journals.append(journal, [make_record(1)])
    second = journals.append(journal, [make_record(2)])
    assert await first.written == journals.Durable()
    assert await second.written == journals.Durable()
    writer.cancel()
    assert await recover(fake) == [make_record(1), make_record(2)]


async def test_new_owner_fences() -> None:
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    fake.rows[OWNER] = tables.Row(OWNER, b'', 7)
    writer = asyncio.create_task(
        journals.keep_writing(journal, make_context(fake))
    )
    batch = journals.append(journal, [make_record(1)])
    assert await batch.written == journals.Fenced()
    await writer
    assert await recover(fake) == []
