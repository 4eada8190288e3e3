"""Weighted dominant-resource fairness (DRF) among teams in the whole fleet.

A team's dominant share is the largest part that it holds of any resource of
the fleet. The team whose dominant share is lowest for its weight goes first.
"""

from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import resources

# Weight of a team that the configuration does not name.
_DEFAULT_WEIGHT = 1.0


def set_fleet_usage(
    sched: states.Scheduler,
    usage: dict[str, resources.Resources],
    capacity: resources.Resources,
) -> None:
    """Sets each team's usage, and the capacity, of the whole fleet."""
    sched.fleet_usage = usage
    sched.fleet_capacity = capacity
    sched.usage_base = dict(sched.usage)
    sched.weighted_shares.clear()


def get_capacity(sched: states.Scheduler) -> resources.Resources:
    """Returns the fleet's capacity; this partition's until that is known."""
    if sched.fleet_capacity == resources.ZERO:
        return sched.capacity
    return sched.fleet_capacity


def compute_team_usage(
    sched: states.Scheduler, team: str
) -> resources.Resources:
    """Returns the resources that a team holds in the fleet.

    This is the fleet's usage as it was last set, with the changes in this
    partition since then; only this partition's until the former is known.
    """
    local = sched.usage.get(team, resources.ZERO)
    if sched.fleet_capacity == resources.ZERO:
        return local
    base = sched.usage_base.get(team, resources.ZERO)
    reported = sched.fleet_usage.get(team, resources.ZERO)
    return resources.add(reported, resources.subtract(local, base))


def get_weight(sched: states.Scheduler, team: str) -> float:
    """Returns the configured weight of a team."""
    team_settings = sched.configuration.teams.get(team)
    return team_settings.share if team_settings is not None else _DEFAULT_WEIGHT


def compute_share(sched: states.Scheduler, team: str) -> float:
    """Returns a team's dominant share of the fleet, from 0.0 to 1.0."""
    usage = compute_team_usage(sched, team)
    return resources.compute_dominant_share(usage, get_capacity(sched))


def compute_weighted_share(sched: states.Scheduler, team: str) -> float:
    """Returns a team's dominant share divided by its weight."""
    weighted_share = sched.weighted_shares.get(team)
    if weighted_share is None:
        weighted_share = compute_share(sched, team) / get_weight(sched, team)
        sched.weighted_shares[team] = weighted_share
    return weighted_share
