"""Weighted dominant-resource fairness over the usage of the whole fleet."""

from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import resources

_DEFAULT_SHARE = 1.0


def set_fleet_usage(
    sched: states.Scheduler,
    usage: dict[str, resources.Resources],
    capacity: resources.Resources,
) -> None:
    """Sets what each team holds, and what there is, in the whole fleet."""
    sched.fleet_usage = usage
    sched.fleet_capacity = capacity
    sched.usage_base = dict(sched.usage)
    sched.distances.clear()


def get_capacity(sched: states.Scheduler) -> resources.Resources:
    """Returns what the fleet has, as far as it is known."""
    if sched.fleet_capacity == resources.NOTHING:
        return sched.capacity
    return sched.fleet_capacity


def compute_team_usage(
    sched: states.Scheduler, team: str
) -> resources.Resources:
    """Returns what a team holds in the fleet, with local changes since."""
    here = sched.usage.get(team, resources.NOTHING)
    if sched.fleet_capacity == resources.NOTHING:
        return here
    base = sched.usage_base.get(team, resources.NOTHING)
    reported = sched.fleet_usage.get(team, resources.NOTHING)
    return resources.add(reported, resources.subtract(here, base))


def get_weight(sched: states.Scheduler, team: str) -> float:
    """Returns the weight of a team."""
    known = sched.configuration.teams.get(team)
    return known.share if known is not None else _DEFAULT_SHARE


def compute_share(sched: states.Scheduler, team: str) -> float:
    """Returns a team's dominant share of the fleet, from 0.0 to 1.0."""
    usage = compute_team_usage(sched, team)
    return resources.compute_dominant_share(usage, get_capacity(sched))


def compute_distance(sched: states.Scheduler, team: str) -> float:
    """Returns a team's dominant share over its weight; lowest goes first."""
    distance = sched.distances.get(team)
    if distance is None:
        distance = compute_share(sched, team) / get_weight(sched, team)
        sched.distances[team] = distance
    return distance
