"""Division of a team's resource limit among the fleet partitions.

The table has a row for each team with the grant of each fleet partition: the
most resources that the team may hold there. A partition places requests only
within its own grant, so the team stays within its limit as long as the grants
add up to no more than the limit.

Every partition writes only its own grant in the row. It applies a lower grant
before writing it, and a higher grant only after writing it, so that the sum of
the grants in use never exceeds the sum of the grants in the row.
"""

from collections.abc import Mapping
import dataclasses

from nutmegknot._internal.models import resources

# Number of rounds in which the unused part of a limit is distributed.
_DISTRIBUTION_ROUNDS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class PartitionGrant:
    """Grant, usage and demand of a team in one fleet partition.

    Attributes:
      granted: The most resources that the team may hold there.
      held: Resources that the team holds there.
      demand: Total resources of the team's waiting requests there.
      unit: For each resource, the most that one of these requests needs for
        all of its members together. If less than this is added to a grant, that
        may not be enough for any request to start.
    """

    granted: resources.Resources = resources.ZERO
    held: resources.Resources = resources.ZERO
    demand: resources.Resources = resources.ZERO
    unit: resources.Resources = resources.ZERO


def propose_grants(
    limit: resources.Resources,
    partition_grants: Mapping[str, PartitionGrant],
    hysteresis: float = 0.05,
    step: float = 0.5,
) -> dict[str, resources.Resources]:
    """Proposes the next grants of one team in all fleet partitions.

    Each partition is granted what the team holds there, as long as the limit
    allows it. The rest of the limit is distributed to the partitions in rounds
    until their demand is met, in amounts with which a request can start. What
    then remains is divided evenly. If the team holds more than its limit, every
    partition keeps the same fraction of what the team holds there, and has to
    stop the rest.

    A partition keeps its present grant if that covers usage and demand, differs
    little from the proposal, and the sum of all grants allows it. Otherwise the
    grant changes by at most a fraction of the limit or one unit at a time,
    whichever is more, unless the limit requires a larger change.

    Args:
      limit: The team's limit in the whole fleet.
      partition_grants: The present grants, usage and demand by partition; must
        include every partition that has a grant.
      hysteresis: Change of a grant that is not worth making, as a fraction of
        the limit.
      step: Largest change of a grant at a time, as a fraction of the limit.

    Returns:
      The grants by partition. For every resource they add up to at most the
      limit. The result does not depend on the order of partition_grants, so
      that all instances compute the same proposal from the same input.
    """
    targets = _compute_targets(limit, partition_grants)
    total = _add_all(
        [
            partition_grant.granted
            for partition_grant in partition_grants.values()
        ]
    )
    if resources.fits(total, limit):
        margin = _scale(limit, hysteresis)
        base_step = _scale(limit, step)
        for name, partition_grant in partition_grants.items():
            if _may_keep_grant(partition_grant, targets[name], margin):
                targets[name] = partition_grant.granted
            else:
                max_step = resources.compute_maximum(
                    base_step, partition_grant.unit
                )
                targets[name] = _limit_change(
                    partition_grant.granted, targets[name], max_step
                )
    return _fit_into_limit(limit, partition_grants, targets)


def compute_next_grant(
    name: str,
    proposed: Mapping[str, resources.Resources],
    granted: Mapping[str, resources.Resources],
    limit: resources.Resources,
) -> resources.Resources:
    """Returns the grant that a partition may write for itself now.

    The other partitions may still use their present grants. A grant is
    therefore raised only as far as these leave room, and further once the
    other partitions have lowered theirs.

    Args:
      name: The partition.
      proposed: The grants that propose_grants returned.
      granted: The present grants of all partitions.
      limit: The team's limit in the whole fleet.
    """
    others = _add_all([v for key, v in granted.items() if key != name])
    available = _clamp_negative(resources.subtract(limit, others))
    return resources.compute_minimum(proposed[name], available)


def choose_grant(
    limit: resources.Resources,
    partition_grants: Mapping[str, PartitionGrant],
    name: str,
    present: PartitionGrant,
) -> PartitionGrant:
    """Returns the entry that a partition may write into the team's row now.

    Args:
      limit: The team's limit in the whole fleet.
      partition_grants: The team's row as it is in the table, by partition.
      name: The partition.
      present: Present usage and demand in the partition; granted is ignored.

    Returns:
      The usage and demand of present with the partition's next grant. What the
      team holds there stays granted, so that no other partition is granted it
      before it is freed.
    """
    granted = partition_grants.get(name, PartitionGrant()).granted
    own = dataclasses.replace(present, granted=granted)
    changed = {**partition_grants, name: own}
    proposed = propose_grants(limit, changed)
    rows = {
        key: partition_grant.granted for key, partition_grant in changed.items()
    }
    step = compute_next_grant(name, proposed, rows, limit)
    return dataclasses.replace(
        own, granted=resources.compute_maximum(step, own.held)
    )


def compute_start_limit(
    limit: resources.Resources,
    partition_grants: Mapping[str, PartitionGrant],
    name: str,
) -> resources.Resources:
    """Returns the most that a team may hold in a partition after a start.

    This is the partition's grant. While the grants add up to more than a
    limit that has been lowered, it is less, in proportion to the grant.
    """
    granted = partition_grants.get(name, PartitionGrant()).granted
    total = _add_all(
        [
            partition_grant.granted
            for partition_grant in partition_grants.values()
        ]
    )
    return _scale_down(granted, limit, total)


def is_write_due(
    limit: resources.Resources,
    partition_grants: Mapping[str, PartitionGrant],
    name: str,
    chosen: PartitionGrant,
) -> bool:
    """Returns whether a chosen entry has to be written into the row.

    A changed grant is always written. Usage and demand of a partition matter to
    other partitions only while the team wants more than its limit, or more than
    its grant in this partition; then they are written if their sum has changed
    by more than a factor of two.
    """
    present = partition_grants.get(name, PartitionGrant())
    if chosen.granted != present.granted:
        return True
    before = _compute_wanted(present)
    after = _compute_wanted(chosen)
    wanted = [
        _compute_wanted(partition_grant)
        for partition_grant in partition_grants.values()
    ]
    is_short = not resources.fits(_add_all(wanted), limit)
    if resources.fits(after, chosen.granted) and not is_short:
        return False
    return not (
        _is_at_most_double(before, after) and _is_at_most_double(after, before)
    )


def _compute_wanted(partition_grant: PartitionGrant) -> resources.Resources:
    return resources.add(partition_grant.held, partition_grant.demand)


def _is_at_most_double(
    left: resources.Resources, right: resources.Resources
) -> bool:
    """Returns whether left is at most twice right, for every resource."""
    return resources.fits(left, resources.multiply(right, 2))


def _compute_targets(
    limit: resources.Resources, partition_grants: Mapping[str, PartitionGrant]
) -> dict[str, resources.Resources]:
    held = _add_all(
        [partition_grant.held for partition_grant in partition_grants.values()]
    )
    if not resources.fits(held, limit):
        return {
            name: _scale_down(partition_grant.held, limit, held)
            for name, partition_grant in partition_grants.items()
        }
    remaining = resources.subtract(limit, held)
    targets = {
        name: partition_grant.held
        for name, partition_grant in partition_grants.items()
    }
    missing = {
        name: partition_grant.demand
        for name, partition_grant in partition_grants.items()
    }
    for _ in range(_DISTRIBUTION_ROUNDS):
        for name in sorted(partition_grants):
            added = _compute_round_amount(
                partition_grants[name], missing[name], remaining
            )
            targets[name] = resources.add(targets[name], added)
            missing[name] = resources.subtract(missing[name], added)
            remaining = resources.subtract(remaining, added)
    even_share = _scale(remaining, 1 / max(1, len(partition_grants)))
    return {name: resources.add(t, even_share) for name, t in targets.items()}


def _compute_round_amount(
    partition_grant: PartitionGrant,
    missing: resources.Resources,
    remaining: resources.Resources,
) -> resources.Resources:
    """Returns how much one round of distribution adds to a grant."""
    if missing == resources.ZERO:
        return resources.ZERO
    amount = resources.compute_maximum(
        _scale(partition_grant.demand, 1 / _DISTRIBUTION_ROUNDS),
        partition_grant.unit,
    )
    amount = resources.compute_minimum(amount, missing)
    if resources.fits(amount, remaining):
        return amount
    unit = resources.compute_minimum(partition_grant.unit, missing)
    return unit if resources.fits(unit, remaining) else resources.ZERO


def _may_keep_grant(
    partition_grant: PartitionGrant,
    target: resources.Resources,
    margin: resources.Resources,
) -> bool:
    """Returns whether a grant may stay as it is."""
    needed = resources.add(partition_grant.held, partition_grant.demand)
    lower = resources.subtract(target, margin)
    upper = resources.add(target, margin)
    return (
        resources.fits(
            resources.compute_minimum(needed, target), partition_grant.granted
        )
        and resources.fits(lower, partition_grant.granted)
        and resources.fits(partition_grant.granted, upper)
    )


def _limit_change(
    present: resources.Resources,
    target: resources.Resources,
    max_step: resources.Resources,
) -> resources.Resources:
    """Returns target, limited to a change of max_step from present."""
    lowest = _clamp_negative(resources.subtract(present, max_step))
    highest = resources.add(present, max_step)
    return resources.compute_maximum(
        resources.compute_minimum(target, highest), lowest
    )


def _fit_into_limit(
    limit: resources.Resources,
    partition_grants: Mapping[str, PartitionGrant],
    targets: dict[str, resources.Resources],
) -> dict[str, resources.Resources]:
    """Reduces the targets until their sum is within the limit.

    Raises over the present grants are reduced first; if that is not enough, all
    grants are scaled down.
    """
    kept = {
        name: resources.compute_minimum(targets[name], partition_grant.granted)
        for name, partition_grant in partition_grants.items()
    }
    available = _clamp_negative(
        resources.subtract(limit, _add_all(list(kept.values())))
    )
    for name in sorted(targets):
        raised = resources.subtract(targets[name], kept[name])
        added = resources.compute_minimum(raised, available)
        available = resources.subtract(available, added)
        kept[name] = resources.add(kept[name], added)
    total = _add_all(list(kept.values()))
    if resources.fits(total, limit):
        return kept
    return {name: _scale_down(v, limit, total) for name, v in kept.items()}


def _add_all(amounts: list[resources.Resources]) -> resources.Resources:
    total = resources.ZERO
    for amount in amounts:
        total = resources.add(total, amount)
    return total


def _scale(amount: resources.Resources, factor: float) -> resources.Resources:
    return resources.Resources(
        int(amount.millicores * factor),
        int(amount.memory_mib * factor),
        int(amount.accelerators * factor),
        int(amount.slots * factor),
    )


def _scale_down(
    amount: resources.Resources,
    limit: resources.Resources,
    total: resources.Resources,
) -> resources.Resources:
    """Scales amount by limit / total in each resource where total is larger."""

    def cut(value: int, maximum: int, in_total: int) -> int:
        return value if in_total <= maximum else value * maximum // in_total

    return resources.Resources(
        cut(amount.millicores, limit.millicores, total.millicores),
        cut(amount.memory_mib, limit.memory_mib, total.memory_mib),
        cut(amount.accelerators, limit.accelerators, total.accelerators),
        cut(amount.slots, limit.slots, total.slots),
    )


def _clamp_negative(amount: resources.Resources) -> resources.Resources:
    """Returns amount with 0 in place of negative values."""
    return resources.compute_maximum(amount, resources.ZERO)
