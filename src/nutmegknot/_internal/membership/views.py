"""What an instance knows about the cell."""

import dataclasses

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.utils import signals

NEVER_MS = -(10**12)


@dataclasses.dataclass(slots=True)
class Sighting:
    """A member's lease row as last read.

    Attributes:
      member: The member.
      version: Version of its row.
      known: The members that it had read before it wrote the row.
      since_ms: Monotonic instant in ms at which the version was first seen.
      joined_ms: Monotonic instant in ms at which its lease was first seen, or
        first seen again after it had lapsed.
    """

    member: partitions.Member
    version: int
    known: frozenset[str]
    since_ms: int
    joined_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What another instance last said about its contact with the table.

    Attributes:
      asked_ms: Monotonic instant in ms before the question was sent.
      reaches: Whether it reaches the table service.
    """

    asked_ms: int
    reaches: bool


@dataclasses.dataclass(slots=True)
class View:
    """State shared by all parts of an instance.

    Attributes:
      me: This instance.
      members: Lease rows by instance id, this one's among them.
      owners: Owner of each partition by its name.
      owner_versions: Version of each owner row.
      change: Version of the change row up to which both are known.
      configuration: The newest configuration read.
      known_revision: The highest revision heard of.
      confirmed_ms: Monotonic instant in ms before the last exchange with the
        table that confirmed both the lease and the revision.
      held_until_ms: Monotonic instant in ms up to which the instance may act.
      reached_since_ms: Monotonic instant in ms since which the table has
        answered without a break; None if the last attempt failed.
      answers: What other instances last said, by instance id.
      stopping: Whether a graceful stop has begun.
      changed: Notified when any of these changes.
      routes: Notified when an owner changes or is reached or not reached.
      news: Notified when other instances should hear of a change at once.
    """

    me: partitions.Member
    members: dict[str, Sighting] = dataclasses.field(default_factory=dict)
    owners: dict[str, partitions.Ownership] = dataclasses.field(
        default_factory=dict
    )
    owner_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    change: int = -1
    configuration: cells.Configuration = dataclasses.field(
        default_factory=cells.Configuration
    )
    known_revision: int = 0
    confirmed_ms: int = NEVER_MS
    held_until_ms: int = NEVER_MS
    reached_since_ms: int | None = None
    answers: dict[str, Answer] = dataclasses.field(default_factory=dict)
    stopping: bool = False
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    routes: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    news: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def owns(view: View, partition: str) -> bool:
    """Tells whether this instance is the last known owner of a partition."""
    owner = view.owners.get(partition)
    return owner is not None and owner.owner == view.me.id


def get_epoch(view: View, partition: str) -> int:
    """Returns the last known epoch of a partition, 0 if unknown."""
    owner = view.owners.get(partition)
    return 0 if owner is None else owner.epoch
