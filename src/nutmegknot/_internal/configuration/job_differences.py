"""Differences between a configuration and the one in force, for operators.

Only what instances read is compared. A change is risky if it can stop work that
is served with the configuration in force.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from nutmegknot._internal.models import job_configurations
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import resources

# Changes of these fields of a queue have calls refused, or tasks run on other
# workers.
_RISKY_QUEUE_FIELDS = frozenset({'host', 'prefix', 'pool', 'is_open'})
_LIMITED_RESOURCES = ('millicores', 'memory_mib', 'accelerators')

_Findings = Iterator[job_configurations.Finding]


def list_differences(
    before: job_configurations.JobConfiguration,
    after: job_configurations.JobConfiguration,
) -> list[job_configurations.Finding]:
    """Returns one finding for each change from the configuration in force.

    Args:
      before: The configuration in force.
      after: The configuration that should replace it.
    """
    return [
        *_compare_revisions(before.settings, after.settings),
        *_compare_queues(before, after),
        *_compare_customers(before, after),
        *_compare_pools(before, after),
    ]


def _report(
    place: job_configurations.Place, text: str, *, is_risky: bool
) -> job_configurations.Finding:
    severities = job_configurations.Severity
    severity = severities.RISKY_CHANGE if is_risky else severities.CHANGE
    return job_configurations.Finding(severity, place, text)


def _compare_revisions(
    before: job_settings.JobSettings, after: job_settings.JobSettings
) -> _Findings:
    whole = job_configurations.Section.WHOLE
    if after.revision <= before.revision:
        yield job_configurations.Finding(
            job_configurations.Severity.ERROR,
            job_configurations.Place(whole, None, 'revision'),
            f'{after.revision} is not above {before.revision}, which is in'
            ' force',
        )
    if after.max_body_bytes != before.max_body_bytes:
        yield _report(
            job_configurations.Place(whole, None, 'max_body_bytes'),
            _format_change(before.max_body_bytes, after.max_body_bytes),
            is_risky=after.max_body_bytes < before.max_body_bytes,
        )


def _compare_names(
    section: job_configurations.Section,
    kind: str,
    before: Mapping[str, object],
    indexes: Mapping[str, int],
) -> _Findings:
    """Reports added and removed entries.

    Args:
      section: Section of the entries.
      kind: What one entry is called.
      before: Names of the entries in force.
      indexes: Number of each entry in the new configuration, by name.
    """
    for name in before:
        if name not in indexes:
            yield _report(
                job_configurations.Place(section),
                f'{kind} {name!r} is removed',
                is_risky=True,
            )
    for name, index in indexes.items():
        if name not in before:
            yield _report(
                job_configurations.Place(section, index),
                f'{kind} {name!r} is added',
                is_risky=False,
            )


def _compare_queues(
    before: job_configurations.JobConfiguration,
    after: job_configurations.JobConfiguration,
) -> _Findings:
    section = job_configurations.Section.QUEUES
    indexes = {queue.name: index for index, queue in enumerate(after.queues)}
    old_queues = before.settings.queues
    yield from _compare_names(section, 'queue', old_queues, indexes)
    names = [field.name for field in dataclasses.fields(job_settings.JobQueue)]
    for name, queue in after.settings.queues.items():
        if name not in old_queues:
            continue
        for field in names:
            old, new = getattr(old_queues[name], field), getattr(queue, field)
            if old != new:
                yield _report(
                    job_configurations.Place(section, indexes[name], field),
                    f'queue {name!r}: {_format_change(old, new)}',
                    is_risky=field in _RISKY_QUEUE_FIELDS,
                )


def _compare_customers(
    before: job_configurations.JobConfiguration,
    after: job_configurations.JobConfiguration,
) -> _Findings:
    section = job_configurations.Section.CUSTOMERS
    indexes = {
        customer.name: index for index, customer in enumerate(after.customers)
    }
    old_customers = before.settings.customers
    yield from _compare_names(section, 'customer', old_customers, indexes)
    old_keys = _group_keys(before.settings)
    new_keys = _group_keys(after.settings)
    for name, customer in after.settings.customers.items():
        if name not in old_customers:
            continue
        old = old_customers[name]
        index = indexes[name]
        yield from _compare_keys(
            job_configurations.Place(section, index, 'keys'),
            name,
            old_keys.get(name, frozenset()),
            new_keys.get(name, frozenset()),
        )
        if old.weight != customer.weight:
            yield _report(
                job_configurations.Place(section, index, 'weight'),
                f'customer {name!r}:'
                f' {_format_change(old.weight, customer.weight)}',
                is_risky=customer.weight < old.weight,
            )
        yield from _compare_limits(index, name, old.limit, customer.limit)


def _group_keys(
    settings: job_settings.JobSettings,
) -> dict[str, frozenset[str]]:
    """Returns the keys that count as each customer, by the customer's name."""
    grouped: dict[str, set[str]] = {}
    for key, name in settings.customer_by_key.items():
        grouped.setdefault(name, set()).add(key)
    return {name: frozenset(keys) for name, keys in grouped.items()}


def _compare_keys(
    place: job_configurations.Place,
    name: str,
    before: frozenset[str],
    after: frozenset[str],
) -> _Findings:
    """Reports how many keys are added and removed; keys are not shown."""
    removed, added = len(before - after), len(after - before)
    if removed:
        yield _report(
            place, f'customer {name!r}: {removed} key(s) removed', is_risky=True
        )
    if added:
        yield _report(
            place, f'customer {name!r}: {added} key(s) added', is_risky=False
        )


def _compare_limits(
    index: int,
    name: str,
    before: resources.Resources,
    after: resources.Resources,
) -> _Findings:
    for resource in _LIMITED_RESOURCES:
        old, new = getattr(before, resource), getattr(after, resource)
        if old == new:
            continue
        yield _report(
            job_configurations.Place(
                job_configurations.Section.CUSTOMERS, index, f'limit.{resource}'
            ),
            f'customer {name!r}: {_format_limit(old)} -> {_format_limit(new)}',
            is_risky=bool(new) and (not old or new < old),
        )


def _format_limit(amount: int) -> str:
    return str(amount) if amount else 'no limit'


def _compare_pools(
    before: job_configurations.JobConfiguration,
    after: job_configurations.JobConfiguration,
) -> _Findings:
    if before.pools is None or after.pools is None:
        return
    yield from _compare_names(
        job_configurations.Section.POOLS,
        'pool',
        dict.fromkeys(before.pools),
        {name: index for index, name in enumerate(after.pools)},
    )


def _format_change(before: object, after: object) -> str:
    return f'{_format_value(before)} -> {_format_value(after)}'


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return repr(value)
