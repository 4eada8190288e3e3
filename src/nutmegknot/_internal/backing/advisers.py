"""Interface of the service that says which workers may run a stage."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Advised:
    """Tickets for the suited ones of the workers asked about.

    Attributes:
      tickets: Ticket by worker id.
      valid_ms: How long they hold.
    """

    tickets: dict[str, str]
    valid_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Unadvised:
    """No advice came; detail is one line."""

    detail: str


# Name of the stage, worker ids, time limit in ms.
Advise = Callable[[str, list[str], int], Awaitable[Advised | Unadvised]]

MOST_WORKERS = 100
