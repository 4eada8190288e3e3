"""Interface of single calls to the store, in the platform's own encoding.

Nothing here knows what a call says, so that an instance which does not reach
the store can hand its calls to another one.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call.

    Attributes:
      method: HTTP method.
      path: Path.
      params: Parameters of the query.
      body: Fields of the body; None for none.
    """

    method: str
    path: str
    params: dict[str, str] = dataclasses.field(default_factory=dict)
    body: dict[str, Any] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """An answer.

    Attributes:
      status: HTTP status.
      fields: The body's fields; empty if it has none.
    """

    status: int
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class NoAnswer:
    """No answer came.

    Attributes:
      was_sent: Whether the call may have reached the other side.
      detail: One line.
    """

    was_sent: bool
    detail: str


# Call, time limit in ms.
Fetch = Callable[[Call, int], Awaitable[Reply | NoAnswer]]
