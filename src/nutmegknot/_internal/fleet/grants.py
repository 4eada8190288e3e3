"""Division of a team's upper limit among fleet partitions.

A row for each team holds what every fleet partition may use. A partition
changes its own part only: upwards as far as the sum stays within the limit,
downwards no further than what it holds.
"""

import dataclasses

from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """The part of one fleet partition.

    Attributes:
      amount: The most it may hold.
      wanted: What it holds and what its waiting requests ask for.
    """

    amount: resources.Resources
    wanted: resources.Resources


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """What a team has in one fleet partition.

    Attributes:
      held: What its tasks hold.
      wanted: What they hold and what its waiting requests ask for.
    """

    held: resources.Resources
    wanted: resources.Resources


Grants = dict[str, Grant]
NO_GRANT = Grant(resources.NOTHING, resources.NOTHING)
# A partition takes at most this part of its even part of what nobody wants.
SPARE_DIVISOR = 2


def add_amounts(grants: Grants, leave_out: str = '') -> resources.Resources:
    """Returns the sum of the amounts of all partitions but one."""
    total = resources.NOTHING
    for fleet, grant in grants.items():
        if fleet != leave_out:
            total = resources.add(total, grant.amount)
    return total


def add_wanted(grants: Grants, leave_out: str = '') -> resources.Resources:
    """Returns the sum of what all partitions but one want."""
    total = resources.NOTHING
    for fleet, grant in grants.items():
        if fleet != leave_out:
            total = resources.add(total, grant.wanted)
    return total


def choose_bound(
    limit: resources.Resources, grants: Grants, fleet: str
) -> resources.Resources:
    """Returns the most that a partition may start up to.

    This is its amount, and less while a lowered limit is exceeded: then every
    partition comes down in proportion to its amount.
    """
    mine = grants[fleet].amount if fleet in grants else resources.NOTHING
    return _divide_fairly(limit, mine, add_amounts(grants))


def _divide_fairly(
    limit: resources.Resources,
    mine: resources.Resources,
    total: resources.Resources,
) -> resources.Resources:
    """Returns mine in the parts where total is within limit, else a part."""
    part = resources.divide(limit, mine, total)
    return resources.Resources(
        mine.millicores
        if total.millicores <= limit.millicores
        else part.millicores,
        mine.memory_mib
        if total.memory_mib <= limit.memory_mib
        else part.memory_mib,
        mine.accelerators
        if total.accelerators <= limit.accelerators
        else part.accelerators,
        mine.slots if total.slots <= limit.slots else part.slots,
    )


def choose_grant(
    limit: resources.Resources,
    grants: Grants,
    fleet: str,
    demand: Demand,
    partitions: int,
) -> Grant:
    """Chooses the next grant of a partition.

    While all that is wanted fits into the limit, each partition gets what it
    wants and a part of what is left, so that few requests need a new grant.
    Otherwise each gets its part in proportion to what it wants, and what it
    holds beyond that is won back as its tasks end.

    Args:
      limit: The team's upper limit in the whole fleet.
      grants: All present grants of the team, by fleet partition.
      fleet: The partition to choose for.
      demand: What the team holds and wants there.
      partitions: Number of fleet partitions.

    Returns:
      Its next grant. With it the sum of all amounts is within the limit, unless
      the others already exceed it or more is held.
    """
    total = resources.add(add_wanted(grants, fleet), demand.wanted)
    spare = resources.subtract(limit, total)
    spare = resources.take_most(spare, resources.NOTHING)
    extra = resources.split(spare, SPARE_DIVISOR * partitions)
    fair = _divide_fairly(limit, demand.wanted, total)
    room = resources.subtract(limit, add_amounts(grants, fleet))
    room = resources.take_most(room, resources.NOTHING)
    amount = resources.take_least(resources.add(fair, extra), room)
    return Grant(resources.take_most(demand.held, amount), demand.wanted)


def is_due(
    limit: resources.Resources,
    grants: Grants,
    fleet: str,
    chosen: Grant,
) -> bool:
    """Tells whether a chosen grant is worth a write.

    A partition takes more only when it lacks something, tells the others once
    what it lacks, and gives back only when something is lacking somewhere.
    """
    present = grants.get(fleet, NO_GRANT)
    others = add_wanted(grants, fleet)
    is_short = not resources.fits(
        resources.add(others, chosen.wanted), limit
    ) or not resources.fits(add_amounts(grants), limit)
    if not resources.fits(chosen.wanted, present.amount):
        gains = not resources.fits(chosen.amount, present.amount)
        return gains or not _is_near(present.wanted, chosen.wanted)
    return is_short and chosen.amount != present.amount


def _is_near(left: resources.Resources, right: resources.Resources) -> bool:
    """Tells whether two amounts differ by less than a factor of two."""
    return resources.fits(
        left, resources.multiply(right, 2)
    ) and resources.fits(right, resources.multiply(left, 2))
