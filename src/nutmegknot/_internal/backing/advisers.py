"""Interface of the advice service, which says which workers may run a stage."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Advised:
    """Tickets for those of the requested workers that may run the stage.

    Attributes:
      tickets: Ticket by worker id; a worker requires it to start the stage.
      valid_ms: How long the tickets are valid, in ms.
    """

    tickets: dict[str, str]
    valid_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Unadvised:
    """The call gave no advice; detail is a one-line reason."""

    detail: str


# Takes the name of the stage, worker ids and a time-out in ms.
Advise = Callable[[str, list[str], int], Awaitable[Advised | Unadvised]]

MAX_WORKERS_PER_CALL = 100
