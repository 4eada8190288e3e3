"""State of an instance as owner or standby of the jobs."""

import dataclasses
import random

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import runners
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import job_metrics
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.jobs import time_limits
from nutmegknot._internal.jobs import worker_discovery
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.network import channels as channels_lib
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import event_loop_lag
from nutmegknot._internal.utils import processor_speed
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Backends:
    """Services outside the process that an instance calls.

    Attributes:
      table: The table with the rows of the jobs.
      listings: Access to the operators' settings and the list of workers.
      runners: Access to workers.
      advise: Asks the advice service which workers may run a stage.
    """

    table: tables.Table
    listings: listings.Listings
    runners: runners.Runners
    advise: advisers.Advise


@dataclasses.dataclass(slots=True)
class ObservedOwner:
    """The owner row as this instance last read it.

    Attributes:
      row: The owner row.
      version: Its version.
      unchanged_since_ms: From when on the lease counts, by this instance's
        clock. It is the time when this version was first seen, or the owner's
        last answer with it if that came later.
      answered_ms: When the owner last answered, by this instance's clock; 0 if
        never.
    """

    row: jobs_pb2.JobsOwnerRow
    version: int
    unchanged_since_ms: int
    answered_ms: int = 0


@dataclasses.dataclass(slots=True)
class Node:
    """State of this instance.

    Standbys are the instances that can take over the ownership. Times are by
    this instance's clock.

    Attributes:
      id: Unique to this process.
      address: Address for calls from other instances.
      domain: Failure domain.
      millicores: Processors of this instance, in thousandths of a core.
      clock: Source of time.
      rng: Source of jitter.
      limits: Time-outs, lease lengths and intervals.
      backends: Services that it calls.
      tasks: asyncio tasks that live as long as the instance.
      metrics: Metrics.
      max_standby_millicores: Processors of the largest standby; 0 if unknown.
        They are in thousandths of a core, as the owner told them last.
      settings: Operators' settings in force; None before the first reading.
      settings_position: Position of these settings in their history.
      settings_confirmed_ms: When these settings were last confirmed to be the
        newest.
      known_revision: Newest revision of the settings known to any instance.
      owner: The owner row as last read; None before the first reading.
      ownership: The ownership if this instance is the owner, otherwise None.
      list_availability: Whether the list of workers can be read.
      routes: Routes to the store; None if there is only the direct one.
      channels: Connections to other instances.
      is_stopping: Whether a planned stop has begun.
      started_ms: When the instance started.
      is_owner_silent: Whether the owner did not answer the last greeting.
      refused_since_ms: Since when the owner's address has refused connections;
        None if it has not, or if that is not known.
      lateness: How late timers of this process fire.
      speed: Speed of the processor as this process measures it.
      owner_lag_ms: Largest recent delay of the owner's timers; 0 if unknown.
        It is what the owner told last.
      missed_greetings: Number of greetings in a row that the owner did not
        answer.
      next_greeting_ms: When the next greeting to an owner that does not answer
        may be sent.
      max_message_bytes: Budget for the messages of other instances that are
        being received.
      changed: Notified when the owner or the settings change.
    """

    id: str
    address: str
    domain: str
    millicores: int
    clock: clock_lib.Clock
    rng: random.Random
    limits: time_limits.TimeLimits
    backends: Backends
    tasks: tasks.TaskSet
    metrics: job_metrics.JobMetrics = dataclasses.field(
        default_factory=job_metrics.make_job_metrics
    )
    max_standby_millicores: int = 0
    settings: job_settings.JobSettings | None = None
    settings_position: int = -1
    settings_confirmed_ms: int = 0
    known_revision: int = 0
    owner: ObservedOwner | None = None
    ownership: ownerships.Ownership | None = None
    list_availability: worker_discovery.ListAvailability = dataclasses.field(
        default_factory=worker_discovery.ListAvailability
    )
    routes: store_routes.StoreRoutes | None = None
    channels: channels_lib.Channels = dataclasses.field(
        default_factory=channels_lib.Channels
    )
    is_stopping: bool = False
    started_ms: int = 0
    is_owner_silent: bool = False
    refused_since_ms: int | None = None
    lateness: event_loop_lag.EventLoopLag = dataclasses.field(
        default_factory=event_loop_lag.EventLoopLag
    )
    speed: processor_speed.ProcessorSpeed = dataclasses.field(
        default_factory=processor_speed.ProcessorSpeed
    )
    owner_lag_ms: int = 0
    missed_greetings: int = 0
    next_greeting_ms: int = 0
    max_message_bytes: int = services.MAX_HELD_BYTES
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def get_valid_ownership(node: Node) -> ownerships.Ownership | None:
    """Returns the ownership if this instance may act as the owner now."""
    if node.ownership is None or not ownerships.may_act(node.ownership):
        return None
    return node.ownership
