"""What an instance knows of the cell: members, owners and configuration."""

import dataclasses

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.utils import signals

# Before every monotonic time in ms.
NEVER_MS = -(10**12)


@dataclasses.dataclass(slots=True)
class ObservedMember:
    """A member's lease row as last read.

    Attributes:
      member: The member.
      version: Version of its row.
      known_members: Ids of the members that it had read when it wrote the row.
      unchanged_since_ms: Monotonic time in ms at which this version of the row
        was first read.
      joined_ms: Monotonic time in ms at which its lease was first read, or
        first read again after it had expired.
    """

    member: partitions.Member
    version: int
    known_members: frozenset[str]
    unchanged_since_ms: int
    joined_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreStatus:
    """Whether another instance reaches the table service, by its own answer.

    Attributes:
      asked_ms: Monotonic time in ms just before the instance was asked.
      reaches_store: Whether it reaches the table service.
    """

    asked_ms: int
    reaches_store: bool


@dataclasses.dataclass(slots=True)
class View:
    """State of the cell, shared by all components of an instance.

    Attributes:
      me: This instance.
      members: Lease rows by instance id, including this instance's own.
      owners: Owner of each partition, by partition name.
      owner_versions: Version of each owner row, by partition name.
      change_version: Version of the change row at the last read of all lease
        and owner rows.
      configuration: The newest configuration read.
      known_revision: The highest revision that this or another instance read.
      confirmed_ms: Monotonic time in ms just before the last call to the table
        service that confirmed both the lease and the configuration revision.
      may_act_until_ms: Monotonic time in ms until which the instance may act.
      store_reached_since_ms: Monotonic time in ms since which the table service
        has answered every renewal; None if the last one failed.
      store_statuses: Last answer of each other instance, by instance id.
      stopping: Whether a graceful stop has begun.
      changed: Notified when any of these values changes.
      routes_changed: Notified when a partition's owner changes, becomes
        reachable or becomes unreachable.
      digest_needed: Notified when a digest should be sent at once, so that
        other instances learn of a change.
    """

    me: partitions.Member
    members: dict[str, ObservedMember] = dataclasses.field(default_factory=dict)
    owners: dict[str, partitions.Ownership] = dataclasses.field(
        default_factory=dict
    )
    owner_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    change_version: int = -1
    configuration: cells.Configuration = dataclasses.field(
        default_factory=cells.Configuration
    )
    known_revision: int = 0
    confirmed_ms: int = NEVER_MS
    may_act_until_ms: int = NEVER_MS
    store_reached_since_ms: int | None = None
    store_statuses: dict[str, StoreStatus] = dataclasses.field(
        default_factory=dict
    )
    stopping: bool = False
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    routes_changed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    digest_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


def owns(view: View, partition: str) -> bool:
    """Returns whether this instance is the last known owner of a partition."""
    owner = view.owners.get(partition)
    return owner is not None and owner.owner == view.me.id


def get_epoch(view: View, partition: str) -> int:
    """Returns the last known epoch of a partition, 0 if unknown."""
    owner = view.owners.get(partition)
    return 0 if owner is None else owner.epoch
