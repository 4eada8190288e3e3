"""Writes of the owner: which of them count as durable."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from lib import fakes
from lib import job_cells

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import job_metrics
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock as clock_lib

BATCH_DELAY_MS = 25
RENEW_MS = 350


def make_writer(
    table: tables.Table, fake: fakes.FakeTable, clock: clock_lib.Clock
) -> writers.Writer:
    row = jobs_pb2.JobsOwnerRow(epoch=1, holder='me', address='me:1')
    fake.last_version += 1
    fake.rows[rows.OWNER_KEY] = tables.Row(
        rows.OWNER_KEY, row.SerializeToString(), fake.last_version
    )
    return writers.Writer(
        table,
        clock,
        row,
        fake.last_version,
        clock.now_ms(),
        job_metrics.make_job_metrics(),
    )


def run_script(
    script: Callable[
        [writers.Writer, fakes.FakeTable, asyncio.Event], Awaitable[None]
    ],
) -> None:
    """Runs a script with a writer.

    The store's answers are held back while the event is not set.
    """

    async def run(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        fake = fakes.FakeTable()
        access = fakes.connect_table(fake)
        may_answer = asyncio.Event()
        may_answer.set()

        async def transact(
            transaction: tables.Transaction, timeout_ms: int
        ) -> tables.TransactionResult:
            result = await access.transact(transaction, timeout_ms)
            await may_answer.wait()
            return result

        table = tables.Table(transact, access.scan)
        writer = make_writer(table, fake, cell.clock)
        task = asyncio.create_task(
            writers.run_writer(
                writer, BATCH_DELAY_MS, RENEW_MS, random.Random(1)
            )
        )
        await script(writer, fake, may_answer)
        task.cancel()

    job_cells.run(run)


def test_a_row_queued_again_does_not_count_as_durable_too_early() -> None:
    """Guards against a task that runs again although its run had ended.

    Two ends of runs of one job came while another batch was being written. The
    first one counted as durable too early, so its worker forgot it, and the
    owner was killed before it had written the row. Found as TWICE in trouble-3
    and in incident inc-5398 of the site ezokita-sched.
    """

    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        may_answer.clear()
        writers.queue_write(writer, 'other', lambda: b'o', is_hurried=True)
        await asyncio.sleep(0.01)
        first = writers.queue_write(writer, 'job', lambda: b'1')
        waiter = asyncio.create_task(writers.wait_durable(writer))
        await asyncio.sleep(0)
        writers.queue_write(writer, 'job', lambda: b'2')
        may_answer.set()
        await asyncio.sleep(0.005)
        assert 'job' not in fake.rows
        assert writer.last_durable < first
        assert not waiter.done()
        assert await waiter is writers.WriteOutcome.DURABLE
        assert fake.rows['job'].value == b'2'

    run_script(script)


def test_a_job_that_is_in_the_table_is_not_refused() -> None:
    """Guards against a job that is refused and runs.

    The job's row was written in a batch that left out an older row, which had
    been queued again. As the job's caller waited for that one too, it was told
    in the outage that followed that the job's row had been withdrawn.
    """

    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        writers.queue_write(writer, 'old', lambda: b'1')
        writers.queue_write(writer, 'job', lambda: b'j')
        waiter = asyncio.create_task(writers.wait_durable(writer, ('job',)))
        await asyncio.sleep(0)
        for number in range(writers.MAX_ROWS_PER_BATCH):
            writers.queue_write(writer, f'other {number}', lambda: b'o')
        writers.queue_write(writer, 'old', lambda: b'2')
        fake.faults = ['', *['down'] * 20]
        outcome = await waiter
        assert 'job' in fake.rows
        assert outcome is writers.WriteOutcome.DURABLE

    run_script(script)


def test_a_batch_that_was_not_written_is_written_later() -> None:
    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        fake.is_down = True
        first = writers.queue_write(
            writer, 'job', lambda: b'1', is_hurried=True
        )
        await asyncio.sleep(0.1)
        writers.queue_write(writer, 'job', lambda: b'2')
        assert writer.last_durable < first
        fake.is_down = False
        assert (
            await writers.wait_durable(writer) is writers.WriteOutcome.DURABLE
        )
        assert fake.rows['job'].value == b'2'

    run_script(script)


def test_a_delayed_write_does_not_undo_a_later_one() -> None:
    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        fake.faults = ['late']
        writers.queue_write(writer, 'job', lambda: b'1', is_hurried=True)
        assert (
            await writers.wait_durable(writer) is writers.WriteOutcome.DURABLE
        )
        writers.queue_write(writer, 'job', lambda: b'2', is_hurried=True)
        assert (
            await writers.wait_durable(writer) is writers.WriteOutcome.DURABLE
        )
        fakes.apply_late(fake)
        assert fake.rows['job'].value == b'2'

    run_script(script)


def test_a_write_whose_answer_was_lost_counts_as_durable() -> None:
    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        fake.faults = ['lost', 'down']
        writers.queue_write(writer, 'job', lambda: b'1', is_hurried=True)
        assert (
            await writers.wait_durable(writer) is writers.WriteOutcome.DURABLE
        )
        assert fake.rows['job'].value == b'1'
        assert not writer.is_lost

    run_script(script)


def test_an_owner_that_was_replaced_writes_nothing() -> None:
    async def script(
        writer: writers.Writer, fake: fakes.FakeTable, may_answer: asyncio.Event
    ) -> None:
        fake.last_version += 1
        fake.rows[rows.OWNER_KEY] = tables.Row(
            rows.OWNER_KEY,
            jobs_pb2.JobsOwnerRow(epoch=2, holder='x').SerializeToString(),
            fake.last_version,
        )
        writers.queue_write(writer, 'job', lambda: b'1', is_hurried=True)
        assert (
            await writers.wait_durable(writer) is writers.WriteOutcome.UNKNOWN
        )
        assert writer.is_lost
        assert 'job' not in fake.rows

    run_script(script)
