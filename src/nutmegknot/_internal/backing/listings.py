"""Interface of what the platform tells: operators' settings and workers."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Listed:
    """All workers that the platform lists now."""

    workers: dict[str, workers.Worker]


@dataclasses.dataclass(slots=True, frozen=True)
class News:
    """The operators' settings as of a position.

    Attributes:
      catalog: The newest settings; None while there are none.
      position: Rises with each change of them.
    """

    catalog: catalogs.Catalog | None
    position: int


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryGone:
    """Changes since the position are not kept any more; read anew."""


@dataclasses.dataclass(slots=True, frozen=True)
class Listings:
    """Access to what the platform tells.

    Attributes:
      read_catalog: Reads the settings whole; takes a time limit in ms.
      follow_catalog: Waits for a change since the last reading; takes the
        longest wait in ms and a time limit in ms.
      list_workers: Reads the list of workers; takes a time limit in ms.
    """

    read_catalog: Callable[[int], Awaitable[News | tables.Unavailable]]
    follow_catalog: Callable[
        [int, int], Awaitable[News | HistoryGone | tables.Unavailable]
    ]
    list_workers: Callable[[int], Awaitable[Listed | tables.Unavailable]]
