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
      since_ms: Monotonic instant in ms at which the version was first seen.
    """

    member: partitions.Member
    version: int
    since_ms: int


@dataclasses.dataclass(slots=True)
class View:
    """State shared by all parts of an instance.

    Attributes:
      me: This instance.
      members: Lease rows by instance id, this one's among them.
      owners: Owner of each partition by its name.
      owner_versions: Version of each owner row.
      configuration: The newest configuration read.
      confirmed_ms: Monotonic instant in ms before the last exchange with the
        table that confirmed both the lease and the revision.
      stopping: Whether a graceful stop has begun.
      changed: Notified when any of these changes.
    """

    me: partitions.Member
    members: dict[str, Sighting] = dataclasses.field(default_factory=dict)
    owners: dict[str, partitions.Ownership] = dataclasses.field(
        default_factory=dict
    )
    owner_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    configuration: cells.Configuration = dataclasses.field(
        default_factory=cells.Configuration
    )
    confirmed_ms: int = NEVER_MS
    stopping: bool = False
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def may_act(view: View, now_ms: int, authority_ms: int) -> bool:
    """Tells whether the instance may own, authorize and start right now.

    It may while its last confirmation of lease and revision is recent. Callers
    read the clock immediately before acting, so that a process that was paused
    stops itself.

    Args:
      view: What the instance knows.
      now_ms: Monotonic instant in ms.
      authority_ms: Greatest age of the confirmation in ms.
    """
    return now_ms - view.confirmed_ms <= authority_ms


def owns(view: View, partition: str) -> bool:
    """Tells whether this instance is the last known owner of a partition."""
    owner = view.owners.get(partition)
    return owner is not None and owner.owner == view.me.id


def get_epoch(view: View, partition: str) -> int:
    """Returns the last known epoch of a partition, 0 if unknown."""
    owner = view.owners.get(partition)
    return 0 if owner is None else owner.epoch
