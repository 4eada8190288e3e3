"""Differences between two configurations."""

import dataclasses
from typing import Any

from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources

# Sections of a configuration with the word for one item of each.
SECTIONS = {
    'teams': 'team',
    'keys': 'key',
    'queues': 'queue',
    'services': 'service',
    'domains': 'domain',
    'operators': 'operator key',
}
_HIDDEN = frozenset({'digest', 'payload'})


def list_differences(
    before: cells.Configuration, after: cells.Configuration
) -> list[str]:
    """Returns one line for each item added, removed or changed."""
    lines = []
    for section, word in SECTIONS.items():
        old, new = getattr(before, section), getattr(after, section)
        for name in sorted(old.keys() | new.keys()):
            if name not in old:
                lines.append(f'+ {word} {name}: {_show_fields(new[name])}')
            elif name not in new:
                lines.append(f'- {word} {name}: {_show_fields(old[name])}')
            elif old[name] != new[name]:
                changed = _show_changes(old[name], new[name])
                lines.append(f'~ {word} {name}: {changed}')
    return lines


def keep_changed(
    config: cells.Configuration, other: cells.Configuration
) -> cells.Configuration:
    """Returns only those items of a configuration that differ in another."""
    kept = {
        section: {
            name: item
            for name, item in getattr(config, section).items()
            if getattr(other, section).get(name) != item
        }
        for section in SECTIONS
    }
    return cells.Configuration(revision=config.revision, **kept)


def _show_fields(item: Any) -> str:  # noqa: ANN401 - any item of a section
    names = [field.name for field in dataclasses.fields(item)][1:]
    return ', '.join(
        f'{name} {_show(name, getattr(item, name))}' for name in names
    )


def _show_changes(old: Any, new: Any) -> str:  # noqa: ANN401 - any item
    parts = []
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name in _HIDDEN:
            parts.append(f'{field.name} changed')
        else:
            shown = f'{_show("", before)} -> {_show("", after)}'
            parts.append(f'{field.name} {shown}')
    return ', '.join(parts)


def _show(name: str, value: object) -> str:
    if name in _HIDDEN:
        return '(hidden)'
    if isinstance(value, resources.Resources):
        return (
            f'{value.millicores}m/{value.memory_mib}MiB/'
            f'{value.accelerators}acc/{value.slots}slots'
        )
    # Enumerations are shown by the name that files use.
    name_of = getattr(value, 'name', None)
    return name_of.lower() if name_of else repr(value)
