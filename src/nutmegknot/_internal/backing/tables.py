"""Interface of the platform's transactional table service.

A table is a sorted map from text keys to values of bytes. Each key has a
version that rises with every write of the key. An adapter for a table service
provides the functions of Table.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

# Version in a condition that demands that the key has no row.
ABSENT = 0
# Longest value of a row, unless the service names another limit.
DEFAULT_MAX_VALUE_BYTES = 65_536


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A key with its value and version (1 or higher)."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Demands that a key has the version; ABSENT demands that it has no row."""

    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Sets a key to a value, or deletes the row if the value is None."""

    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """Conditions, writes and reads that take effect together or not at all.

    Attributes:
      conditions: Unless all of them hold, nothing is written.
      writes: Rows to write or delete.
      reads: Keys to read; the result includes the effect of the writes.
    """

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    reads: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """The transaction was committed.

    Attributes:
      versions: New version of each written key.
      rows: Rows that were read, by key; keys without a row are left out.
    """

    versions: dict[str, int]
    rows: dict[str, Row]


@dataclasses.dataclass(slots=True, frozen=True)
class ConditionFailed:
    """A condition did not hold, so nothing was written.

    Attributes:
      key: The first key whose condition failed.
      row: The current row of the key, or None if there is none.
    """

    key: str
    row: Row | None


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """The service could not be reached or rejected the call.

    Nothing was written.

    Attributes:
      detail: Cause for the log.
      is_invalid: Whether the service rejected the call for what it contains, so
        that a repetition of it can't succeed.
    """

    detail: str
    is_invalid: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Uncertain:
    """No usable reply came.

    The writes may have taken effect, or may still take effect later.
    """

    detail: str


TransactionResult = Committed | ConditionFailed | Unavailable | Uncertain
ScanResult = list[Row] | Unavailable


@dataclasses.dataclass(slots=True, frozen=True)
class Table:
    """Access to the table service.

    A transaction with a longer value than max_value_bytes is rejected.

    Attributes:
      transact: Runs a transaction; the second argument is a time-out in ms.
      scan: Returns the rows whose keys start with a prefix, sorted by key; the
        second argument is a time-out in ms.
      max_value_bytes: Longest value of a row.
    """

    transact: Callable[[Transaction, int], Awaitable[TransactionResult]]
    scan: Callable[[str, int], Awaitable[ScanResult]]
    max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES
