"""Measures the journal: throughput, rows written, recovery, snapshots.

The table is the fake one in memory, with a fixed delay for each call. Prints
one line for each figure; exits with 1 if one misses its target.
"""

import asyncio
import dataclasses
import math
import sys
import time

from lib import makers
from lib import partitions

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.ledger import writing
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.settings import reader
from nutmegknot._internal.utils import clock as clock_lib

STORE_S = 0.005
ENTRIES = 20_000
CALLERS = 500
ROUNDS = 20
PARTITIONS = 6
RATE = 270
RATE_S = 10
MS_PER_S = 1_000
# The least that the settings ask for; the rest is at its defaults.
SETTINGS = """
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


@dataclasses.dataclass(slots=True)
class Rows:
    """Rows written through a delayed table."""

    written: int = 0


def delay(table: tables.Table, rows: Rows) -> tables.Table:
    """Returns a table whose calls take STORE_S."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.Result:
        await asyncio.sleep(STORE_S)
        rows.written += len(transaction.writes)
        return await table.transact(transaction, timeout_ms)

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        await asyncio.sleep(STORE_S)
        return await table.scan(prefix, timeout_ms)

    return tables.Table(transact, scan)


def read_commit_ms() -> int:
    """Returns the default interval between two writes in ms."""
    loaded = reader.read_text(SETTINGS, 'defaults')
    assert not isinstance(loaded, reader.BadSettings), loaded
    return loaded.ledger.commit_ms


async def serve(cell: partitions.Cell, rows: Rows) -> partitions.Owner:
    """Returns an owner that writes at the default interval."""
    owner = await partitions.take_over(cell)
    await partitions.stop(owner)
    owner.ledger.journal.fenced = False
    owner.ledger.journal.max_waiting_bytes = 1 << 30
    store = partitions.make_store(cell)
    context = dataclasses.replace(
        partitions.make_writer(cell, owner.ledger, store),
        table=delay(store.table, rows),
        clock=clock_lib.make_system_clock(),
        commit_ms=read_commit_ms(),
    )
    work = writing.keep_writing(owner.ledger.journal, context)
    owner.writer = asyncio.create_task(work)
    return owner


async def run_request(owner: partitions.Owner, name: str) -> float:
    """Takes a request from accept to outcome; returns the accept's time in s.

    Its three records are written in three segments.
    """
    ledger, context = owner.ledger, owner.context
    req = makers.make_request(name, payload=b'x' * 200)
    began_s = time.monotonic()
    outcome = await accepting.submit(ledger, context, req, 60_000)
    accepted_s = time.monotonic() - began_s
    assert isinstance(outcome, outcomes.Accepted), outcome
    ended = reports.Ended(outcomes.Finished((b'y' * 200,)))
    for news in (reports.Running(('worker-0',)), ended):
        report = reports.Report(f't/{name}', 0, partitions.FLEET, 1, news)
        assert await reporting.take_reports(ledger, context, [report])
    return accepted_s


async def measure_throughput() -> float:
    """Returns records per second of one partition under closed-loop load."""
    owner = await serve(partitions.Cell(), Rows())

    async def call(caller: int) -> None:
        for number in range(ROUNDS):
            await run_request(owner, f'{caller}-{number}')

    began_s = time.monotonic()
    await asyncio.gather(*(call(n) for n in range(CALLERS)))
    took_s = time.monotonic() - began_s
    await partitions.stop(owner)
    return 3 * CALLERS * ROUNDS / took_s


async def measure_rate() -> tuple[float, float]:
    """Runs RATE requests a second over all partitions for RATE_S.

    Returns:
      Rows written per second, and the 99th percentile of the accept in ms.
    """
    rows = Rows()
    owners = [await serve(partitions.Cell(), rows) for _ in range(PARTITIONS)]
    began_s = time.monotonic()
    calls = []
    for number in range(RATE * RATE_S):
        due_s = began_s + number / RATE
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        owner = owners[number % PARTITIONS]
        calls.append(asyncio.create_task(run_request(owner, f'{number}')))
    waits_s = sorted(await asyncio.gather(*calls))
    took_s = time.monotonic() - began_s
    for owner in owners:
        await partitions.stop(owner)
    p99_s = waits_s[math.ceil(0.99 * len(waits_s)) - 1]
    return rows.written / took_s, p99_s * MS_PER_S


async def measure_recovery() -> tuple[float, float, float]:
    """Recovers ENTRIES open entries.

    Returns:
      Time in ms from segments alone, time in ms from a snapshot, and the
      longest time in ms for which taking it kept other tasks waiting.
    """
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    owner.ledger.journal.max_waiting_bytes = 1 << 30
    made = [
        makers.make_request(str(n), payload=b'x' * 200) for n in range(ENTRIES)
    ]
    await asyncio.gather(
        *(
            accepting.submit(owner.ledger, owner.context, req, 60_000)
            for req in made
        )
    )
    segments_ms = await recover(cell)
    began_s = time.monotonic()
    snapshots.capture(owner.ledger)
    capture_ms = (time.monotonic() - began_s) * MS_PER_S
    assert await snapshotting.take_snapshot(owner.snapshotter)
    await partitions.stop(owner)
    return segments_ms, await recover(cell), capture_ms


async def recover(cell: partitions.Cell) -> float:
    """Returns the time in ms that a recovery takes."""
    ledger = partitions.acquire(partitions.Cell())
    store = partitions.make_store(cell)
    store = dataclasses.replace(store, table=delay(store.table, Rows()))
    began_s = time.monotonic()
    recovered = await recovery.recover(ledger, store)
    took_s = time.monotonic() - began_s
    assert isinstance(recovered, recovery.Recovered), recovered
    assert len(ledger.entries) == ENTRIES
    return took_s * MS_PER_S


def show(name: str, value: float, unit: str, target: str, is_ok: bool) -> bool:
    """Prints a line and returns whether the target is met."""
    ok = 'yes' if is_ok else 'no'
    print(
        f'bench name={name} value={value:.1f} unit={unit} '
        f'target={target} ok={ok}'
    )
    return is_ok


async def measure() -> bool:
    """Prints all figures and returns whether all targets are met."""
    records = await measure_throughput()
    rows, accept_ms = await measure_rate()
    segments_ms, snapshot_ms, capture_ms = await measure_recovery()
    shown = [
        show('journal_records', records, 'per_s', '>=810', records >= 810),
        show('journal_rows', rows, 'per_s', '<=90', rows <= 90),
        show('accept_p99', accept_ms, 'ms', '<=150', accept_ms <= 150),
        show(
            'recovery_segments', segments_ms, 'ms', '<=2000', segments_ms < 2000
        ),
        show(
            'recovery_snapshot', snapshot_ms, 'ms', '<=2000', snapshot_ms < 2000
        ),
        show('snapshot_capture', capture_ms, 'ms', '<=100', capture_ms <= 100),
    ]
    return all(shown)


if __name__ == '__main__':
    sys.exit(0 if asyncio.run(measure()) else 1)
