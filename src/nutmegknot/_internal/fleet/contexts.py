"""Dependencies of the asyncio tasks that serve a fleet partition."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """Dependencies of the asyncio tasks that serve a fleet partition.

    Attributes:
      clock: Source of time.
      rng: Source of the jitter in retry intervals.
      settings: All settings.
      platform: The platform's list of workers, and clients of the workers.
      table: The table service.
      tasks: The asyncio tasks that serve the partition.
      get_fence: Returns the condition that the partition still has this owner.
      may_act: Returns whether the instance may act for the partition now.
      request_starts: Asks a ledger partition which attempts may start.
        Returns the request keys of those that may.
      send_reports: Sends reports to the owner of a ledger partition.
        Returns whether the reports are durable there.
    """

    clock: clock_lib.Clock
    rng: random.Random
    settings: settings_pb2.Settings
    platform: worker_clients.WorkerDirectory
    table: tables.Table
    tasks: tasks.TaskSet
    get_fence: Callable[[], tables.Condition]
    may_act: Callable[[], bool]
    request_starts: Callable[
        [str, list[start_permissions.StartRequest]], Awaitable[set[str]]
    ]
    send_reports: Callable[[str, list[reports.Report]], Awaitable[bool]]
