"""Interface of the platform's data: operators' settings and worker list."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Listed:
    """All workers that the platform lists at present, by worker id."""

    workers: dict[str, workers.Worker]


@dataclasses.dataclass(slots=True, frozen=True)
class News:
    """The operators' settings as of a position in the history of changes.

    Attributes:
      settings: The newest settings; None if operators have set none yet.
      position: Number that rises with each change of the settings.
    """

    catalog: catalogs.Catalog | None
    position: int


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryGone:
    """The store no longer keeps all changes since the last known position.

    The settings have to be read in full again.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class Listings:
    """Access to the operators' settings and the list of workers.

    Attributes:
      read_settings: Reads the settings in full; takes a time-out in ms.
      watch_settings: Waits for a change since the settings were last read. It
        takes the longest wait and a time-out for the whole call, both in ms.
      list_workers: Reads the list of workers; takes a time-out in ms.
    """

    read_catalog: Callable[[int], Awaitable[News | tables.Unavailable]]
    follow_catalog: Callable[
        [int, int], Awaitable[News | HistoryGone | tables.Unavailable]
    ]
    list_workers: Callable[[int], Awaitable[Listed | tables.Unavailable]]
