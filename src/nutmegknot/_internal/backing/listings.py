"""Interface of the platform's data: operators' settings and worker list."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerList:
    """All workers that the platform lists at present, by worker id."""

    workers: dict[str, workers.Worker]


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """The operators' settings as of a position in the history of changes.

    Attributes:
      settings: The newest settings; None if operators have set none yet.
      position: Number that rises with each change of the settings.
    """

    settings: job_settings.JobSettings | None
    position: int


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryExpired:
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

    read_settings: Callable[
        [int], Awaitable[SettingsUpdate | tables.Unavailable]
    ]
    watch_settings: Callable[
        [int, int],
        Awaitable[SettingsUpdate | HistoryExpired | tables.Unavailable],
    ]
    list_workers: Callable[[int], Awaitable[WorkerList | tables.Unavailable]]
