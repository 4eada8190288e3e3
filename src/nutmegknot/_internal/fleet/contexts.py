"""What the tasks of a fleet partition work with."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """What the tasks of a fleet partition work with.

    Attributes:
      clock: Source of time.
      rng: Source of jitter.
      settings: All settings.
      platform: The platform's list and workers.
      table: The table service.
      tasks: Tasks of the partition.
      get_fence: Returns the condition that the partition's owner is the same.
      may_act: Tells whether the instance may act for the partition now.
      begin: Asks a ledger partition which of the attempts may start for the
        first time; returns their request keys.
      send_reports: Sends reports to the owner of a ledger partition; tells
        whether they are durable there.
    """

    clock: clock_lib.Clock
    rng: random.Random
    settings: settings_pb2.Settings
    platform: platform_fleets.Fleet
    table: tables.Table
    tasks: tasks.Tasks
    get_fence: Callable[[], tables.Condition]
    may_act: Callable[[], bool]
    begin: Callable[[str, list[beginning.Beginning]], Awaitable[set[str]]]
    send_reports: Callable[[str, list[reports.Report]], Awaitable[bool]]
