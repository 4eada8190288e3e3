"""Interface of the platform's transactional table service.

A table is a sorted map from text keys to bytes, each with a version that
rises with every write of the key. An adapter fills in Table.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

ABSENT = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A key with its value and version (1 or higher)."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """Demands that a key has a version; ABSENT demands that it has no row."""

    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Sets a key to a value, or deletes it if value is None."""

    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """Conditions, writes and reads that take effect together or not at all.

    Attributes:
      conditions: All must hold, or nothing is written.
      writes: Rows to write.
      reads: Keys to read in the state after the writes.
    """

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    reads: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """The transaction took effect.

    Attributes:
      versions: New version by written key.
      rows: The rows read that exist, by key.
    """

    versions: dict[str, int]
    rows: dict[str, Row]


@dataclasses.dataclass(slots=True, frozen=True)
class ConditionFailed:
    """A condition did not hold, so nothing was written.

    Attributes:
      key: The first key whose condition failed.
      row: Its present row, or None.
    """

    key: str
    row: Row | None


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """The service was not reached; nothing was written."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Uncertain:
    """The answer was lost; the writes may have taken effect, now or later."""

    detail: str


Result = Committed | ConditionFailed | Unavailable | Uncertain
ScanResult = list[Row] | Unavailable


@dataclasses.dataclass(slots=True, frozen=True)
class Table:
    """Access to the table service.

    Attributes:
      transact: Runs a transaction; the second argument is a time limit in ms.
      scan: Returns the rows whose keys start with a prefix, sorted by key, with
        a time limit in ms.
    """

    transact: Callable[[Transaction, int], Awaitable[Result]]
    scan: Callable[[str, int], Awaitable[ScanResult]]
