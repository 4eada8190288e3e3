"""In-memory fakes of the table service and the object store."""

import asyncio
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables

MAX_CALL_BYTES = 1_000_000
MAX_CALL_ENTRIES = 100


def _ignore() -> None:
    pass


@dataclasses.dataclass(slots=True)
class FakeTable:
    """A table in memory into which tests inject faults.

    Attributes:
      rows: Rows by key.
      last_version: Version of the newest write.
      faults: Faults of the next transactions, one for each in order: 'down'
        (it is not executed), 'lost' (it is executed and the answer is lost),
        'late' (the answer is lost and apply_late executes it), 'slow' (it is
        executed and the answer is delayed) or '' (no fault).
      is_down: Whether the service rejects every call.
      late: Transactions that apply_late will execute.
      before_slow_answer: Callback that runs before the answer to a slow
        transaction.
      rows_read: Rows read so far, by transactions and scans.
      rows_written: Rows written so far.
      answer_ms: How long each transaction takes.
      max_value_bytes: Longest value of a row; longer ones are rejected.
      rejected: Keys of the values that were too long.
    """

    rows: dict[str, tables.Row] = dataclasses.field(default_factory=dict)
    last_version: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    is_down: bool = False
    late: list[tables.Transaction] = dataclasses.field(default_factory=list)
    before_slow_answer: Callable[[], None] = _ignore
    rows_read: int = 0
    rows_written: int = 0
    answer_ms: int = 0
    max_value_bytes: int = tables.DEFAULT_MAX_VALUE_BYTES
    rejected: list[str] = dataclasses.field(default_factory=list)


def connect_table(fake: FakeTable) -> tables.Table:
    """Returns a table client that is served by the fake."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        fault = fake.faults.pop(0) if fake.faults else ''
        if fake.answer_ms:
            await asyncio.sleep(fake.answer_ms / 1000)
        if fault == 'down' or fake.is_down:
            return tables.Unavailable('down')
        if fault == 'late':
            fake.late.append(transaction)
            return tables.Uncertain('late')
        rejected = _find_invalid_row(fake, transaction)
        if rejected is not None:
            fake.rejected.append(rejected)
            return tables.Unavailable('status 400', is_invalid=True)
        result = _transact(fake, transaction)
        if fault == 'slow':
            fake.before_slow_answer()
        return tables.Uncertain('lost') if fault == 'lost' else result

    async def scan(prefix: str, timeout_ms: int) -> tables.ScanResult:
        if fake.is_down:
            return tables.Unavailable('down')
        keys = sorted(key for key in fake.rows if key.startswith(prefix))
        fake.rows_read += len(keys)
        return [fake.rows[key] for key in keys]

    return tables.Table(transact, scan, fake.max_value_bytes)


def _find_invalid_row(
    fake: FakeTable, transaction: tables.Transaction
) -> str | None:
    """Returns the key at which a transaction exceeds a limit of the store.

    The limits are those of the users' platform: the longest value, and a call
    of 1 MB and 100 entries.
    """
    call_bytes, entries = 0, len(transaction.conditions)
    for write in transaction.writes:
        value = write.value or b''
        call_bytes += len(value) * 4 // 3 + len(write.key)
        entries += 1
        if (
            len(value) > fake.max_value_bytes
            or call_bytes > MAX_CALL_BYTES
            or entries > MAX_CALL_ENTRIES
        ):
            return write.key
    return None


def apply_late(fake: FakeTable) -> None:
    """Executes all late transactions."""
    late, fake.late = fake.late, []
    for transaction in late:
        _transact(fake, transaction)


def _transact(
    fake: FakeTable, transaction: tables.Transaction
) -> tables.TransactionResult:
    for condition in transaction.conditions:
        row = fake.rows.get(condition.key)
        if (row.version if row else tables.ABSENT) != condition.version:
            return tables.ConditionFailed(condition.key, row)
    versions = {}
    for write in transaction.writes:
        fake.last_version += 1
        fake.rows_written += 1
        if write.value is None:
            fake.rows.pop(write.key, None)
            continue
        row = tables.Row(write.key, write.value, fake.last_version)
        fake.rows[write.key] = row
        versions[write.key] = row.version
    read = {k: fake.rows[k] for k in transaction.reads if k in fake.rows}
    fake.rows_read += len(read)
    return tables.Committed(versions, read)


@dataclasses.dataclass(slots=True)
class FakeObjects:
    """An object store in memory into which tests inject faults.

    Attributes:
      contents: Contents by name.
      faults: Faults of the next writes and deletions, one for each in order:
        'down' (it is not executed), 'lost' (it is executed and the answer is
        lost) or '' (no fault).
    """

    contents: dict[str, bytes] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)


def connect_objects(fake: FakeObjects) -> object_store.ObjectStore:
    """Returns an object store client that is served by the fake."""

    def answer(fault: str) -> object_store.PutResult:
        if fault == 'lost':
            return tables.Uncertain('lost')
        return object_store.Stored()

    async def put(
        name: str, value: bytes, timeout_ms: int
    ) -> object_store.PutResult:
        fault = fake.faults.pop(0) if fake.faults else ''
        if fault == 'down':
            return tables.Unavailable('down')
        fake.contents[name] = value
        return answer(fault)

    async def get(name: str, timeout_ms: int) -> object_store.GetResult:
        return fake.contents.get(name, object_store.Missing())

    async def delete(name: str, timeout_ms: int) -> object_store.DeleteResult:
        fault = fake.faults.pop(0) if fake.faults else ''
        if fault == 'down':
            return tables.Unavailable('down')
        fake.contents.pop(name, None)
        return answer(fault)

    return object_store.ObjectStore(put, get, delete)
