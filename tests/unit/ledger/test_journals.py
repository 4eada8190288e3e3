"""Tests of the journal and its writer."""

import asyncio
import random

from lib import fakes
import pytest

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import segment_writer
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.models import records
from nutmegknot._internal.utils import clock as clock_lib

OWNER = 'owner/ledger-0'


def make_journal(fake: fakes.FakeTable) -> journals.Journal:
    fake.rows[OWNER] = tables.Row(OWNER, b'', 1)
    return journals.Journal('ledger-0', 1, tables.Condition(OWNER, 1))


def make_context(
    table: tables.Table, segment_bytes: int = 1 << 18
) -> segment_writer.Context:
    clock = clock_lib.make_manual_clock(clock_lib.ManualTime(1))
    rng = random.Random(1)
    return segment_writer.Context(
        table, rng, clock, 0, 100, segment_bytes, lambda _: None
    )


def start_writer(
    journal: journals.Journal, context: segment_writer.Context
) -> asyncio.Task[None]:
    return asyncio.create_task(segment_writer.run_writer_loop(journal, context))


def make_record(number: int) -> records.Record:
    return records.Record(f'team/{number}', number, records.Cancel())


async def read_segments(fake: fakes.FakeTable) -> list[segments.Segment]:
    prefix = segments.get_prefix('ledger-0')
    contents = [r.value for k, r in fake.rows.items() if k.startswith(prefix)]
    chain = await segments.decode_chain(
        'ledger-0', contents, segments.ChainPosition()
    )
    assert isinstance(chain, list)
    return chain


async def read_records(fake: fakes.FakeTable) -> list[records.Record]:
    return [
        record
        for segment in await read_segments(fake)
        for record in segment.records
    ]


@pytest.mark.parametrize('faults', [[], ['lost'], ['down', 'lost', 'lost']])
async def test_append_survives_faults(faults: list[str]) -> None:
    fake = fakes.FakeTable(faults=faults)
    journal = make_journal(fake)
    writer = start_writer(journal, make_context(fakes.connect_table(fake)))
    first = journals.append(journal, [make_record(1)])
    second = journals.append(journal, [make_record(2)])
    assert await first.completion == journals.Durable()
    assert await second.completion == journals.Durable()
    writer.cancel()
    assert await read_records(fake) == [make_record(1), make_record(2)]


async def test_new_owner_fences_writer() -> None:
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    fake.rows[OWNER] = tables.Row(OWNER, b'', 7)
    writer = start_writer(journal, make_context(fakes.connect_table(fake)))
    batch = journals.append(journal, [make_record(1)])
    assert await batch.completion == journals.Fenced()
    await writer
    assert await read_records(fake) == []
    later = journals.append(journal, [make_record(2)])
    assert await later.completion == journals.Fenced()


async def test_fenced_after_lost_answer_is_durable() -> None:
    fake = fakes.FakeTable(faults=['lost'])
    journal = make_journal(fake)
    table = fakes.connect_table(fake)

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        result = await table.transact(transaction, timeout_ms)
        fake.rows[OWNER] = tables.Row(OWNER, b'', 7)
        return result

    writer = start_writer(
        journal, make_context(tables.Table(transact, table.scan))
    )
    batch = journals.append(journal, [make_record(1)])
    assert await batch.completion == journals.Durable()
    await writer
    assert journal.fenced
    assert await read_records(fake) == [make_record(1)]


async def test_fenced_after_unknown_outcome_is_indeterminate() -> None:
    """The segment is gone, which does not tell whether it was written.

    A new owner may have taken a snapshot and overwritten the row already.
    """
    fake = fakes.FakeTable(faults=['lost'])
    journal = make_journal(fake)
    table = fakes.connect_table(fake)

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        result = await table.transact(transaction, timeout_ms)
        fake.rows = {OWNER: tables.Row(OWNER, b'', 7)}
        return result

    writer = start_writer(
        journal, make_context(tables.Table(transact, table.scan))
    )
    batch = journals.append(journal, [make_record(1)])
    assert await batch.completion == journals.Indeterminate()
    await writer


async def test_withdraw_during_outage() -> None:
    """A batch that was certainly not written can be withdrawn."""
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    was_called = asyncio.Event()

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        was_called.set()
        return tables.Unavailable('down')

    table = fakes.connect_table(fake)
    writer = start_writer(
        journal, make_context(tables.Table(transact, table.scan))
    )
    batch = journals.append(journal, [make_record(1)])
    await was_called.wait()
    while journal.in_flight:
        await asyncio.sleep(0)
    assert journals.withdraw(journal, batch)
    assert await batch.completion == journals.Withdrawn()
    assert journal.waiting_bytes == 0
    writer.cancel()


async def test_batch_that_may_be_written_can_not_be_withdrawn() -> None:
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    was_called = asyncio.Event()

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        was_called.set()
        return tables.Uncertain('lost')

    table = fakes.connect_table(fake)
    writer = start_writer(
        journal, make_context(tables.Table(transact, table.scan))
    )
    batch = journals.append(journal, [make_record(1)])
    await was_called.wait()
    assert not journals.withdraw(journal, batch)
    writer.cancel()
    assert await batch.completion == journals.Indeterminate()


async def test_segments_stay_within_maximum_size() -> None:
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    numbers = range(1, 10)
    batches = [journals.append(journal, [make_record(n)]) for n in numbers]
    max_bytes = 3 * batches[0].size
    writer = start_writer(
        journal, make_context(fakes.connect_table(fake), max_bytes)
    )
    for batch in batches:
        assert await batch.completion == journals.Durable()
    writer.cancel()
    chain = await read_segments(fake)
    assert [len(segment.records) for segment in chain] == [3, 3, 3]
    assert await read_records(fake) == [make_record(n) for n in numbers]


async def test_oversized_batch_is_written_alone() -> None:
    fake = fakes.FakeTable()
    journal = make_journal(fake)
    writer = start_writer(journal, make_context(fakes.connect_table(fake), 1))
    batch = journals.append(journal, [make_record(1), make_record(2)])
    assert await batch.completion == journals.Durable()
    writer.cancel()
    assert len(await read_segments(fake)) == 1


async def test_is_full_at_maximum_size() -> None:
    journal = make_journal(fakes.FakeTable())
    batch = journals.append(journal, [make_record(1)])
    journal.max_waiting_bytes = batch.size
    assert journals.is_full(journal)
    assert not journals.is_full(journal, journals.REPORT_QUEUE_FACTOR)
