"""Escrow of a team's upper limit among the fleet partitions.

The table holds, for each team, its limit and what every partition has been
granted. A partition places only within its own grant, so the team stays
within its limit as long as the grants add up to no more.

Every partition keeps its own standing in the team's row and changes no other.
`choose_standing` gives the one to write: lowering its grant takes effect in
the partition before the row is written, raising it only after.
"""

from collections.abc import Mapping
import dataclasses

from nutmegknot._internal.models import resources

# Rounds in which what is left of a limit is dealt out.
_ROUNDS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Standing:
    """How a team stands in one fleet partition.

    Attributes:
      granted: The most that it may hold there now.
      held: What it holds there.
      demand: What its waiting requests there ask for.
      unit: Largest waiting request there, all members together; a smaller
        grant would let it start nothing.
    """

    granted: resources.Resources = resources.NOTHING
    held: resources.Resources = resources.NOTHING
    demand: resources.Resources = resources.NOTHING
    unit: resources.Resources = resources.NOTHING


def propose_grants(
    limit: resources.Resources,
    standings: Mapping[str, Standing],
    hysteresis: float = 0.05,
    step: float = 0.5,
) -> dict[str, resources.Resources]:
    """Proposes the next grants of one team.

    What is held stays granted as long as the limit allows; the rest goes to
    the partitions in turn, in units that let a request start, until their
    demand is met; what is left then is spread evenly. If more is held than the
    limit allows, every partition keeps the same part of what it holds, and has
    to stop the rest.

    A partition keeps its present grant if that covers what it holds and asks
    for, differs little from the proposal, and the sum allows it. A grant moves
    by at most a part of the limit or one unit at a time, unless the limit
    demands more.

    Args:
      limit: The team's upper limit in the whole fleet.
      standings: How the team stands, by partition; every partition that has
        a grant has to be among them.
      hysteresis: Difference that is left alone, as a part of the limit.
      step: The furthest that a grant moves at a time, as a part of the limit.

    Returns:
      The grants by partition. In every resource they add up to at most the
      limit. The function is pure and depends on no order, so that equal
      inputs give equal proposals everywhere.
    """
    targets = _compute_targets(limit, standings)
    total = _add_all([one.granted for one in standings.values()])
    if resources.fits(total, limit):
        margin = _scale(limit, hysteresis)
        reach = _scale(limit, step)
        for name, one in standings.items():
            if _is_near(one, targets[name], margin):
                targets[name] = one.granted
            else:
                far = resources.take_most(reach, one.unit)
                targets[name] = _move(one.granted, targets[name], far)
    return _fit_into(limit, standings, targets)


def step_grant(
    name: str,
    proposed: Mapping[str, resources.Resources],
    granted: Mapping[str, resources.Resources],
    limit: resources.Resources,
) -> resources.Resources:
    """Returns the grant that a partition may write for itself now.

    The others may still hold their present grants, so a raise goes only as
    far as these leave room; it is completed once they have lowered theirs.

    Args:
      name: The partition.
      proposed: What propose_grants returned.
      granted: The present rows of all partitions.
      limit: The team's upper limit.
    """
    others = _add_all([v for key, v in granted.items() if key != name])
    room = _lower(resources.subtract(limit, others))
    return resources.take_least(proposed[name], room)


def choose_standing(
    limit: resources.Resources,
    standings: Mapping[str, Standing],
    name: str,
    present: Standing,
) -> Standing:
    """Returns the standing that a partition may write for itself now.

    Args:
      limit: The team's upper limit in the whole fleet.
      standings: The present row, by partition.
      name: The partition.
      present: What it has now; its granted part is left out.

    Returns:
      The standing with its next grant. What is held stays granted, so that
      nobody else takes it before it is freed.
    """
    granted = standings.get(name, Standing()).granted
    mine = dataclasses.replace(present, granted=granted)
    changed = {**standings, name: mine}
    proposed = propose_grants(limit, changed)
    rows = {key: one.granted for key, one in changed.items()}
    step = step_grant(name, proposed, rows, limit)
    return dataclasses.replace(
        mine, granted=resources.take_most(step, mine.held)
    )


def choose_bound(
    limit: resources.Resources, standings: Mapping[str, Standing], name: str
) -> resources.Resources:
    """Returns the most that a partition may start up to.

    This is its grant, and less while a lowered limit is exceeded: then every
    partition comes down in proportion to its grant.
    """
    granted = standings.get(name, Standing()).granted
    total = _add_all([one.granted for one in standings.values()])
    return _scale_by(granted, limit, total)


def is_due(
    limit: resources.Resources,
    standings: Mapping[str, Standing],
    name: str,
    chosen: Standing,
) -> bool:
    """Tells whether a chosen standing is worth a write.

    Grants are written when they move. What a partition wants is written only
    while the limit is short or its grant is lacking, and when it has changed by
    a factor of two, as the others then decide on it.
    """
    present = standings.get(name, Standing())
    if chosen.granted != present.granted:
        return True
    before = _get_wanted(present)
    after = _get_wanted(chosen)
    wanted = [_get_wanted(one) for one in standings.values()]
    is_short = not resources.fits(_add_all(wanted), limit)
    if resources.fits(after, chosen.granted) and not is_short:
        return False
    return not (_is_double(before, after) and _is_double(after, before))


def _get_wanted(one: Standing) -> resources.Resources:
    return resources.add(one.held, one.demand)


def _is_double(left: resources.Resources, right: resources.Resources) -> bool:
    """Tells whether left is at most twice right."""
    return resources.fits(left, resources.multiply(right, 2))


def _compute_targets(
    limit: resources.Resources, standings: Mapping[str, Standing]
) -> dict[str, resources.Resources]:
    held = _add_all([one.held for one in standings.values()])
    if not resources.fits(held, limit):
        return {
            name: _scale_by(one.held, limit, held)
            for name, one in standings.items()
        }
    left = resources.subtract(limit, held)
    targets = {name: one.held for name, one in standings.items()}
    missing = {name: one.demand for name, one in standings.items()}
    for _ in range(_ROUNDS):
        for name in sorted(standings):
            given = _deal(standings[name], missing[name], left)
            targets[name] = resources.add(targets[name], given)
            missing[name] = resources.subtract(missing[name], given)
            left = resources.subtract(left, given)
    spare = _scale(left, 1 / max(1, len(standings)))
    return {name: resources.add(t, spare) for name, t in targets.items()}


def _deal(
    one: Standing, missing: resources.Resources, left: resources.Resources
) -> resources.Resources:
    """Returns what a partition gets in one round."""
    if missing == resources.NOTHING:
        return resources.NOTHING
    part = resources.take_most(_scale(one.demand, 1 / _ROUNDS), one.unit)
    part = resources.take_least(part, missing)
    if resources.fits(part, left):
        return part
    unit = resources.take_least(one.unit, missing)
    return unit if resources.fits(unit, left) else resources.NOTHING


def _is_near(
    one: Standing, target: resources.Resources, margin: resources.Resources
) -> bool:
    """Tells whether a grant may stay as it is."""
    needed = resources.add(one.held, one.demand)
    lower = resources.subtract(target, margin)
    upper = resources.add(target, margin)
    return (
        resources.fits(resources.take_least(needed, target), one.granted)
        and resources.fits(lower, one.granted)
        and resources.fits(one.granted, upper)
    )


def _move(
    present: resources.Resources,
    target: resources.Resources,
    reach: resources.Resources,
) -> resources.Resources:
    """Returns target, but no further from present than reach."""
    lowest = _lower(resources.subtract(present, reach))
    highest = resources.add(present, reach)
    return resources.take_most(resources.take_least(target, highest), lowest)


def _fit_into(
    limit: resources.Resources,
    standings: Mapping[str, Standing],
    targets: dict[str, resources.Resources],
) -> dict[str, resources.Resources]:
    """Cuts raises, and then everything, until the sum is within the limit."""
    kept = {
        name: resources.take_least(targets[name], one.granted)
        for name, one in standings.items()
    }
    room = _lower(resources.subtract(limit, _add_all(list(kept.values()))))
    for name in sorted(targets):
        raised = resources.subtract(targets[name], kept[name])
        given = resources.take_least(raised, room)
        room = resources.subtract(room, given)
        kept[name] = resources.add(kept[name], given)
    total = _add_all(list(kept.values()))
    if resources.fits(total, limit):
        return kept
    return {name: _scale_by(v, limit, total) for name, v in kept.items()}


def _add_all(amounts: list[resources.Resources]) -> resources.Resources:
    total = resources.NOTHING
    for amount in amounts:
        total = resources.add(total, amount)
    return total


def _scale(amount: resources.Resources, part: float) -> resources.Resources:
    return resources.Resources(
        int(amount.millicores * part),
        int(amount.memory_mib * part),
        int(amount.accelerators * part),
        int(amount.slots * part),
    )


def _scale_by(
    amount: resources.Resources,
    limit: resources.Resources,
    total: resources.Resources,
) -> resources.Resources:
    """Cuts amount in those parts of which total exceeds limit."""

    def cut(value: int, most: int, every: int) -> int:
        return value if every <= most else value * most // every

    return resources.Resources(
        cut(amount.millicores, limit.millicores, total.millicores),
        cut(amount.memory_mib, limit.memory_mib, total.memory_mib),
        cut(amount.accelerators, limit.accelerators, total.accelerators),
        cut(amount.slots, limit.slots, total.slots),
    )


def _lower(amount: resources.Resources) -> resources.Resources:
    """Returns amount with its negative parts as 0."""
    return resources.take_most(amount, resources.NOTHING)
