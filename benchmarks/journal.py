"""Measures throughput, written rows, recovery and snapshots of the journal.

The journal is the log in which a ledger partition stores its records. The table
is a fake in memory with a fixed delay for each call. Prints one line for each
result; exits with 1 if a target is missed.
"""

import asyncio
import dataclasses
import math
import sys
import time

from lib import ledger_partitions
from lib import makers

from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import recovery
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import segment_writer
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.settings import reader
from nutmegknot._internal.utils import clock

TABLE_DELAY_S = 0.005
ENTRY_COUNT = 20_000
CALLERS = 500
REQUESTS_PER_CALLER = 20
PARTITIONS = 6
REQUESTS_PER_S = 270
RATE_DURATION_S = 10
MS_PER_S = 1_000
# Only the required settings; all others have their defaults.
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
class RowCount:
    """Number of rows written through a delayed table."""

    written: int = 0


def delay_calls(table: tables.Table, rows: RowCount) -> tables.Table:
    """Returns a table whose calls take TABLE_DELAY_S longer."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        await asyncio.sleep(TABLE_DELAY_S)
        rows.written += len(transaction.writes)
        return await table.transact(transaction, timeout_ms)

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        await asyncio.sleep(TABLE_DELAY_S)
        return await table.scan(prefix, timeout_ms)

    return tables.Table(transact, scan)


def read_write_interval_ms() -> int:
    """Returns the default interval between two writes in ms."""
    loaded = reader.parse_toml(SETTINGS, 'defaults')
    assert not isinstance(loaded, reader.InvalidSettings), loaded
    return loaded.ledger.commit_ms


async def start_owner(
    environment: ledger_partitions.Environment, rows: RowCount
) -> ledger_partitions.PartitionOwner:
    """Returns a partition owner that writes at the default interval."""
    owner = await ledger_partitions.take_over(environment)
    await ledger_partitions.stop(owner)
    owner.ledger.journal.fenced = False
    owner.ledger.journal.max_waiting_bytes = 1 << 30
    store = ledger_partitions.make_store(environment)
    context = dataclasses.replace(
        ledger_partitions.make_writer(environment, owner.ledger, store),
        table=delay_calls(store.table, rows),
        clock=clock.make_system_clock(),
        min_write_interval_ms=read_write_interval_ms(),
    )
    work = segment_writer.run_writer_loop(owner.ledger.journal, context)
    owner.writer = asyncio.create_task(work)
    return owner


async def run_request(
    owner: ledger_partitions.PartitionOwner, name: str
) -> float:
    """Runs a request from submission to outcome.

    Its three records are written in three segments. Returns the time in s until
    it was accepted.
    """
    ledger, context = owner.ledger, owner.context
    req = makers.make_request(name, payload=b'x' * 200)
    started_s = time.monotonic()
    outcome = await request_operations.submit(ledger, context, req, 60_000)
    accepted_s = time.monotonic() - started_s
    assert isinstance(outcome, outcomes.Accepted), outcome
    ended = reports.Ended(outcomes.Finished((b'y' * 200,)))
    for update in (reports.Running(('worker-0',)), ended):
        report = reports.Report(
            f't/{name}', 0, ledger_partitions.FLEET_PARTITION, 1, update
        )
        assert await report_processing.process_reports(
            ledger, context, [report]
        )
    return accepted_s


async def measure_throughput() -> float:
    """Returns records per second of one partition under closed-loop load."""
    owner = await start_owner(ledger_partitions.Environment(), RowCount())

    async def call(caller: int) -> None:
        for number in range(REQUESTS_PER_CALLER):
            await run_request(owner, f'{caller}-{number}')

    started_s = time.monotonic()
    await asyncio.gather(*(call(n) for n in range(CALLERS)))
    elapsed_s = time.monotonic() - started_s
    await ledger_partitions.stop(owner)
    return 3 * CALLERS * REQUESTS_PER_CALLER / elapsed_s


async def measure_rate() -> tuple[float, float]:
    """Runs requests at a constant rate, spread over all partitions.

    Returns:
      Rows written per second, and the 99th percentile of the time to acceptance
      in ms.
    """
    rows = RowCount()
    owners = [
        await start_owner(ledger_partitions.Environment(), rows)
        for _ in range(PARTITIONS)
    ]
    started_s = time.monotonic()
    calls = []
    for number in range(REQUESTS_PER_S * RATE_DURATION_S):
        due_s = started_s + number / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        owner = owners[number % PARTITIONS]
        calls.append(asyncio.create_task(run_request(owner, f'{number}')))
    waits_s = sorted(await asyncio.gather(*calls))
    elapsed_s = time.monotonic() - started_s
    for owner in owners:
        await ledger_partitions.stop(owner)
    p99_s = waits_s[math.ceil(0.99 * len(waits_s)) - 1]
    return rows.written / elapsed_s, p99_s * MS_PER_S


async def measure_recovery() -> tuple[float, float, float]:
    """Measures the recovery of ENTRY_COUNT open entries.

    Returns:
      Time in ms of a recovery from segments only, time in ms of a recovery from
      a snapshot, and time in ms for which taking the snapshot blocks other
      tasks.
    """
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    owner.ledger.journal.max_waiting_bytes = 1 << 30
    new_requests = [
        makers.make_request(str(n), payload=b'x' * 200)
        for n in range(ENTRY_COUNT)
    ]
    await asyncio.gather(
        *(
            request_operations.submit(owner.ledger, owner.context, req, 60_000)
            for req in new_requests
        )
    )
    segments_ms = await measure_recovery_ms(environment)
    started_s = time.monotonic()
    snapshots.capture(owner.ledger)
    capture_ms = (time.monotonic() - started_s) * MS_PER_S
    assert await snapshot_creation.take_snapshot(owner.snapshotter)
    await ledger_partitions.stop(owner)
    return segments_ms, await measure_recovery_ms(environment), capture_ms


async def measure_recovery_ms(
    environment: ledger_partitions.Environment,
) -> float:
    """Returns the time in ms of a recovery."""
    ledger = ledger_partitions.acquire(ledger_partitions.Environment())
    store = ledger_partitions.make_store(environment)
    store = dataclasses.replace(
        store, table=delay_calls(store.table, RowCount())
    )
    started_s = time.monotonic()
    recovered = await recovery.recover(ledger, store)
    elapsed_s = time.monotonic() - started_s
    assert isinstance(recovered, recovery.Recovered), recovered
    assert len(ledger.entries) == ENTRY_COUNT
    return elapsed_s * MS_PER_S


def print_result(
    name: str, value: float, unit: str, target: str, is_ok: bool
) -> bool:
    """Prints a result and returns whether the target is met."""
    ok = 'yes' if is_ok else 'no'
    print(
        f'bench name={name} value={value:.1f} unit={unit} '
        f'target={target} ok={ok}'
    )
    return is_ok


async def measure_all() -> bool:
    """Prints all results and returns whether all targets are met."""
    records = await measure_throughput()
    rows, accept_ms = await measure_rate()
    segments_ms, snapshot_ms, capture_ms = await measure_recovery()
    targets_met = [
        print_result(
            'journal_records', records, 'per_s', '>=810', records >= 810
        ),
        print_result('journal_rows', rows, 'per_s', '<=90', rows <= 90),
        print_result('accept_p99', accept_ms, 'ms', '<=150', accept_ms <= 150),
        print_result(
            'recovery_segments', segments_ms, 'ms', '<=2000', segments_ms < 2000
        ),
        print_result(
            'recovery_snapshot', snapshot_ms, 'ms', '<=2000', snapshot_ms < 2000
        ),
        print_result(
            'snapshot_capture', capture_ms, 'ms', '<=100', capture_ms <= 100
        ),
    ]
    return all(targets_met)


if __name__ == '__main__':
    sys.exit(0 if asyncio.run(measure_all()) else 1)
