"""State of one instance."""

import asyncio
import dataclasses
import random

from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.backing import objects
from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import routing
from nutmegknot._internal.fleet import fleets as fleet_lib
from nutmegknot._internal.ledger import ledgers as ledger_lib
from nutmegknot._internal.membership import digests
from nutmegknot._internal.membership import leases
from nutmegknot._internal.models import loads as load_lib
from nutmegknot._internal.network import channels as channel_lib
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.telemetry import metrics as metrics_lib
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks as task_lib


@dataclasses.dataclass(slots=True, frozen=True)
class Platform:
    """The platform's services."""

    table: tables.Table
    objects: objects.Objects
    fleet: platform_fleets.Fleet


@dataclasses.dataclass(slots=True)
class Instance:
    """Everything that one instance keeps in memory.

    Attributes:
      settings: All settings.
      clock: Source of time.
      rng: Source of jitter.
      platform: The platform's services.
      membership: Its lease and its view of the cell.
      ledgers: Ledger partitions that it serves, by name.
      fleets: Fleet partitions that it serves, by name.
      part_tasks: Tasks of each served partition, by name.
      tasks: Tasks of the instance itself.
      channels: Channels to the other instances.
      calls: Calls being handled.
      moving: Held while partitions are acquired, opened or handed over.
      opened: Epoch last opened of each partition.
      retry_budget: Bounds the forwarding of calls anew.
      unreached: Other members that did not answer the last digest.
      stop_began: Set when a graceful stop begins.
      received: What the digests of each other instance have told.
      assigned: What was assigned since the loads were taken.
      loads: Last known load of each fleet partition, by name.
      metrics: What it counts.
      draining: Whether the balancer is to send no more calls.
      dump_wanted: Notified when the state is to be written.
    """

    settings: settings_pb2.Settings
    clock: clock_lib.Clock
    rng: random.Random
    platform: Platform
    membership: leases.Context
    tasks: task_lib.Tasks
    ledgers: dict[str, ledger_lib.Ledger] = dataclasses.field(
        default_factory=dict
    )
    fleets: dict[str, fleet_lib.Fleet] = dataclasses.field(default_factory=dict)
    part_tasks: dict[str, task_lib.Tasks] = dataclasses.field(
        default_factory=dict
    )
    channels: channel_lib.Channels = dataclasses.field(
        default_factory=channel_lib.Channels
    )
    calls: services.Calls = dataclasses.field(default_factory=services.Calls)
    moving: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    opened: dict[str, int] = dataclasses.field(default_factory=dict)
    retry_budget: retries.Budget = dataclasses.field(
        default_factory=retries.Budget
    )
    unreached: set[str] = dataclasses.field(default_factory=set)
    stop_began: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    received: dict[str, digests.Receiver] = dataclasses.field(
        default_factory=dict
    )
    assigned: routing.Assigned = dataclasses.field(
        default_factory=routing.Assigned
    )
    loads: dict[str, load_lib.SeenLoad] = dataclasses.field(
        default_factory=dict
    )
    metrics: metrics_lib.Metrics = dataclasses.field(
        default_factory=metrics_lib.make_metrics
    )
    draining: bool = False
    dump_wanted: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
