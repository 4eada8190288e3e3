"""Differences between two configurations, for operators and the audit."""

import dataclasses
from typing import Any

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources

# What one item of each section of a configuration is called in a difference.
ITEM_NAMES = {
    'teams': 'team',
    'keys': 'key',
    'queues': 'queue',
    'services': 'service',
    'domains': 'domain',
    'operators': 'operator key',
}
# Fields of which no values are shown: hashes of secrets, and payloads.
_HIDDEN_FIELDS = frozenset({'digest', 'payload'})


def list_differences(
    before: cells.Configuration, after: cells.Configuration
) -> list[str]:
    """Returns one line for each item that was added, removed or changed.

    Lines start with '+' for an added, '-' for a removed and '~' for a changed
    item.
    """
    lines = []
    for section, kind in ITEM_NAMES.items():
        old, new = getattr(before, section), getattr(after, section)
        for name in sorted(old.keys() | new.keys()):
            if name not in old:
                lines.append(f'+ {kind} {name}: {_format_fields(new[name])}')
            elif name not in new:
                lines.append(f'- {kind} {name}: {_format_fields(old[name])}')
            elif old[name] != new[name]:
                changed = _format_changes(old[name], new[name])
                lines.append(f'~ {kind} {name}: {changed}')
    return lines


def select_changed(
    config: cells.Configuration, other: cells.Configuration
) -> cells.Configuration:
    """Returns the items of a configuration that differ from another's.

    These are the items that the other lacks or has with other values.
    """
    differing = {
        section: {
            name: item
            for name, item in getattr(config, section).items()
            if getattr(other, section).get(name) != item
        }
        for section in ITEM_NAMES
    }
    return cells.Configuration(revision=config.revision, **differing)


def _format_fields(item: Any) -> str:  # noqa: ANN401 - any item of a section
    names = [field.name for field in dataclasses.fields(item)][1:]
    return ', '.join(
        f'{name} {_format_value(name, getattr(item, name))}' for name in names
    )


def _format_changes(old: Any, new: Any) -> str:  # noqa: ANN401 - any item
    parts = []
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name in _HIDDEN_FIELDS:
            parts.append(f'{field.name} changed')
        else:
            values = (
                f'{_format_value("", before)} -> {_format_value("", after)}'
            )
            parts.append(f'{field.name} {values}')
    return ', '.join(parts)


def _format_value(name: str, value: object) -> str:
    if name in _HIDDEN_FIELDS:
        return '(hidden)'
    if isinstance(value, resources.Resources):
        return (
            f'{value.millicores}m/{value.memory_mib}MiB/'
            f'{value.accelerators}acc/{value.slots}slots'
        )
    # Members of an enumeration are written as in configuration files.
    enum_name = getattr(value, 'name', None)
    return enum_name.lower() if enum_name else repr(value)
