"""State that one instance keeps in memory."""

import asyncio
import dataclasses
import random

from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
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
    """Clients of the platform's services.

    Attributes:
      table: The table service.
      objects: The object store.
      worker_directory: The list of workers, and calls to them.
    """

    table: tables.Table
    objects: object_store.ObjectStore
    worker_directory: worker_clients.WorkerDirectory


@dataclasses.dataclass(slots=True)
class Instance:
    """State of one instance.

    Attributes:
      settings: All settings.
      clock: Source of time.
      rng: Source of random choices and jitter.
      platform: Clients of the platform's services.
      membership: Its lease and what it knows of the cell.
      ledgers: Ledger partitions that it serves, by name.
      fleets: Fleet partitions that it serves, by name.
      partition_tasks: Tasks of each served partition, by name.
      tasks: Tasks of the instance itself.
      channels: Channels to the other instances.
      calls: Calls being handled.
      ownership_lock: Held while partitions are acquired, opened or handed over.
      opened_epochs: Epoch under which each partition was last opened, by name.
      retry_budget: Limits how often forwarded calls are retried.
      unreachable_members: Ids of other members that did not answer the last
        digest.
      stop_started: Set when a graceful stop begins.
      digest_receivers: State received in digests, by sending instance.
      recent_assignments: Resources that this instance has assigned since the
        loads were computed.
      loads: Latest known load of each fleet partition, by name.
      metrics: Its counters, histograms and gauges.
      draining: Whether the readiness page tells load balancers to send no more
        calls.
      dump_requested: Notified when a state dump is to be written.
    """

    settings: settings_pb2.Settings
    clock: clock_lib.Clock
    rng: random.Random
    platform: Platform
    membership: leases.Context
    tasks: task_lib.TaskSet
    ledgers: dict[str, ledger_lib.Ledger] = dataclasses.field(
        default_factory=dict
    )
    fleets: dict[str, fleet_lib.Fleet] = dataclasses.field(default_factory=dict)
    partition_tasks: dict[str, task_lib.TaskSet] = dataclasses.field(
        default_factory=dict
    )
    channels: channel_lib.Channels = dataclasses.field(
        default_factory=channel_lib.Channels
    )
    calls: services.ActiveCalls = dataclasses.field(
        default_factory=services.ActiveCalls
    )
    ownership_lock: asyncio.Lock = dataclasses.field(
        default_factory=asyncio.Lock
    )
    opened_epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    retry_budget: retries.RetryBudget = dataclasses.field(
        default_factory=retries.RetryBudget
    )
    unreachable_members: set[str] = dataclasses.field(default_factory=set)
    stop_started: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    digest_receivers: dict[str, digests.Receiver] = dataclasses.field(
        default_factory=dict
    )
    recent_assignments: routing.RecentAssignments = dataclasses.field(
        default_factory=routing.RecentAssignments
    )
    loads: dict[str, load_lib.TimedLoad] = dataclasses.field(
        default_factory=dict
    )
    metrics: metrics_lib.Metrics = dataclasses.field(
        default_factory=metrics_lib.make_metrics
    )
    draining: bool = False
    dump_requested: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
