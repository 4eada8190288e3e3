"""HTTP calls to the platform as plain values.

Nothing here interprets the contents of a call, so an instance that can't reach
the platform's store can forward its calls through another instance.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """An HTTP request to the platform.

    Attributes:
      method: HTTP method.
      path: Path of the URL.
      params: Query parameters.
      body: Fields of the JSON body; None for a request without a body.
    """

    method: str
    path: str
    params: dict[str, str] = dataclasses.field(default_factory=dict)
    body: dict[str, Any] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """The response to a call.

    Attributes:
      status: HTTP status.
      fields: Fields of the JSON body; empty if the body is empty or is no JSON
        object.
    """

    status: int
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class NoAnswer:
    """The call failed without a response.

    Attributes:
      was_sent: Whether the call may have reached the server.
      detail: Reason of the failure, in one line.
    """

    was_sent: bool
    detail: str


# Makes a call, with a time-out in ms.
Fetch = Callable[[Call, int], Awaitable[Reply | NoAnswer]]
