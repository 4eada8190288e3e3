"""Validation of whole configurations."""

import math

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources

# Characters with a meaning in request keys and table keys; names must not have
# them.
_RESERVED_CHARACTERS = frozenset('/#@.')


def find_error(config: cells.Configuration) -> str:
    """Returns what is wrong with a configuration; '' if it is valid."""
    return (
        _find_name_error(config)
        or _find_team_error(config)
        or _find_reference_error(config)
        or _find_service_error(config)
    )


def _find_name_error(config: cells.Configuration) -> str:
    names_by_kind = {
        'team': list(config.teams),
        'key': list(config.keys),
        'service': list(config.services),
        'operator key': list(config.operators),
    }
    for kind, names in names_by_kind.items():
        for name in names:
            if not name or _RESERVED_CHARACTERS.intersection(name):
                return f'{kind} {name!r}: must be a name without / # @ .'
    return ''


def _find_team_error(config: cells.Configuration) -> str:
    for team in config.teams.values():
        if not (team.share > 0 and math.isfinite(team.share)):
            return f'team {team.name}: share must be above 0'
        if _is_negative(team.limit):
            return f'team {team.name}: limit must not be negative'
    return ''


def _find_reference_error(config: cells.Configuration) -> str:
    for key in config.keys.values():
        if not key.withdrawn and key.team not in config.teams:
            return f'key {key.id}: no team {key.team!r}; withdraw the key first'
    for queue in config.queues.values():
        if queue.open_team and queue.open_team not in config.teams:
            return f'queue {queue.name}: no team {queue.open_team!r}'
    for service in config.services.values():
        if service.team not in config.teams:
            return f'service {service.name}: no team {service.team!r}'
    return ''


def _find_service_error(config: cells.Configuration) -> str:
    for service in config.services.values():
        if _is_negative(service.size) or service.size.slots < 1:
            return f'service {service.name}: size must have 1 slot or more'
    return ''


def _is_negative(amount: resources.Resources) -> bool:
    parts = (
        amount.millicores,
        amount.memory_mib,
        amount.accelerators,
        amount.slots,
    )
    return min(parts) < 0


def find_reactivated_key(
    before: cells.Configuration, after: cells.Configuration
) -> str:
    """Returns an error if a change lets a withdrawn key be used again.

    A withdrawn key must also stay in the configuration: if it were removed, a
    later change could add a key with the same id. Returns '' if all withdrawn
    keys stay withdrawn.
    """
    for section in ('keys', 'operators'):
        remaining = getattr(after, section)
        for key in getattr(before, section).values():
            if not key.withdrawn:
                continue
            current = remaining.get(key.id)
            if current is None or not current.withdrawn:
                return f'key {key.id}: is withdrawn and must stay so'
    return ''
