"""Ceilings for the resources that the runs of each customer may use.

The owner of the jobs writes the ceilings to the table and keeps the usage of
each customer at or below them. The next owner reads them: until it has found
all runs of earlier owners, the ceilings bound what the others can use.

Two bounds are kept apart. What is unfound is a ceiling less the runs that were
found. What is unlocated is the size of the tasks that may have a run. Unknown
runs can use no more than the lower one; see decisions/usage_bounds.py.
"""

import dataclasses

from nutmegknot._internal.models import resources

# Ceilings by customer. A customer that is not named has no ceiling, and a
# resource of which the amount is 0 has none.
Ceilings = dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class UsageCeilings:
    """Ceilings in the table, and what is known of the runs of earlier owners.

    Times are the owner's monotonic time.

    Attributes:
      stored: Ceilings that are in the table.
      pending: Ceilings that are being written; None if none are. Usage stays
        within the lower one of both.
      pending_write: Number of that write.
      queued_ms: When the last write was queued.
      checked_ms: When the ceilings were last compared with the usage.
      inherited: Ceilings that earlier owners kept to; None if none of their
        runs is left that this owner does not know of.
      unlocated: The most that the tasks of earlier owners which this owner has
        not found can use, by customer, when it was last computed; see
        decisions/usage_bounds.py. None before that.
      located_ms: When it was last computed.
      found: Resources of the runs of earlier owners that this owner has found,
        by customer, whether they have ended since or not.
    """

    stored: Ceilings = dataclasses.field(default_factory=dict)
    pending: Ceilings | None = None
    pending_write: int = 0
    queued_ms: int = 0
    checked_ms: int = 0
    inherited: Ceilings | None = None
    unlocated: dict[str, resources.Resources] | None = None
    located_ms: int = 0
    found: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )


def record_found_run(
    ceilings: UsageCeilings, customer: str, size: resources.Resources
) -> None:
    """Records that a run of an earlier owner was found on a worker."""
    if ceilings.inherited is None:
        return
    found = ceilings.found.get(customer, resources.ZERO)
    ceilings.found[customer] = resources.add(found, size)
    if ceilings.unlocated is not None:
        left = ceilings.unlocated.get(customer, resources.ZERO)
        ceilings.unlocated[customer] = resources.compute_maximum(
            resources.subtract(left, size), resources.ZERO
        )


def record_all_found(ceilings: UsageCeilings) -> None:
    """Records that no unknown run of an earlier owner is left."""
    ceilings.inherited = None
    ceilings.unlocated = None
    ceilings.found.clear()
