"""An instance that takes part in owning the jobs."""

import dataclasses
import random

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import runners
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import figures as figures_lib
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import rosters
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.network import channels as channels_lib
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import lateness as lateness_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks


@dataclasses.dataclass(slots=True, frozen=True)
class Outside:
    """What an instance reaches outside.

    Attributes:
      table: The store.
      listings: Operators' settings and the list of workers.
      runners: The workers.
      advise: The service for advice.
    """

    table: tables.Table
    listings: listings.Listings
    runners: runners.Runners
    advise: advisers.Advise


@dataclasses.dataclass(slots=True)
class Sighting:
    """The owner row as this instance saw it.

    Attributes:
      row: What it says.
      version: Its version.
      since_ms: When this version was first seen, by our clock.
      answered_ms: When its holder last answered, by our clock; 0 if never.
    """

    row: jobs_pb2.JobsOwnerRow
    version: int
    since_ms: int
    answered_ms: int = 0


@dataclasses.dataclass(slots=True)
class Node:
    """State of one instance.

    Attributes:
      id: Unique to this process.
      address: Address for calls between instances.
      domain: Its failure domain.
      strength: Processors that it has, in thousandths of a core.
      clock: Source of time.
      rng: Source of jitter.
      limits: Bounds on time.
      strongest: Most processors of an instance that could take over, as the
        owner said last, in thousandths of a core; 0 if not known.
      outside: What it reaches.
      tasks: Its tasks.
      figures: What is counted.
      catalog: Operators' settings in force; None before the first reading.
      position: Position of those settings.
      news_ms: When they were last confirmed, by our clock.
      known_revision: Newest revision that another instance has named.
      owner: The owner row; None before the first reading.
      own: The ownership, if this instance holds it.
      reach: Whether the list of workers can be read.
      relay: The ways to the store; None where there is only one.
      channels: Connections to other instances.
      is_stopping: Whether a planned stop has begun.
      started_ms: When the process started, by our clock.
      is_silent: Whether the owner left the last greeting without an answer.
      refused_ms: Since when nothing listens at the owner's address, by our
        clock; None if something does, or if that is not known.
      lateness: How late this process gets to what is due.
      changed: Notified when the owner or the settings change.
    """

    id: str
    address: str
    domain: str
    strength: int
    clock: clock_lib.Clock
    rng: random.Random
    limits: bounds.Bounds
    outside: Outside
    tasks: tasks.Tasks
    figures: figures_lib.Figures = dataclasses.field(
        default_factory=figures_lib.make_figures
    )
    strongest: int = 0
    catalog: catalogs.Catalog | None = None
    position: int = -1
    news_ms: int = 0
    known_revision: int = 0
    owner: Sighting | None = None
    own: ownerships.Ownership | None = None
    reach: rosters.Reach = dataclasses.field(default_factory=rosters.Reach)
    relay: relays.Relay | None = None
    channels: channels_lib.Channels = dataclasses.field(
        default_factory=channels_lib.Channels
    )
    is_stopping: bool = False
    started_ms: int = 0
    is_silent: bool = False
    refused_ms: int | None = None
    lateness: lateness_lib.Lateness = dataclasses.field(
        default_factory=lateness_lib.Lateness
    )
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def get_acting(node: Node) -> ownerships.Ownership | None:
    """Returns the ownership if this instance surely holds it now."""
    if node.own is None or not ownerships.may_act(node.own):
        return None
    return node.own
