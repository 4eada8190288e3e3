"""In-memory fakes of the table service and the object store."""

from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables


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
    """

    rows: dict[str, tables.Row] = dataclasses.field(default_factory=dict)
    last_version: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    is_down: bool = False
    late: list[tables.Transaction] = dataclasses.field(default_factory=list)
    before_slow_answer: Callable[[], None] = _ignore
    rows_read: int = 0
    rows_written: int = 0


def connect_table(fake: FakeTable) -> tables.Table:
    """Returns a table client that is served by the fake."""

    async def transact(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        fault = fake.faults.pop(0) if fake.faults else ''
        if fault == 'down' or fake.is_down:
            return tables.Unavailable('down')
        if fault == 'late':
            fake.late.append(transaction)
            return tables.Uncertain('late')
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

    return tables.Table(transact, scan)


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
