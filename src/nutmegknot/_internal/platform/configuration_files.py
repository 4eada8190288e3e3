"""Adapter that decodes files with operators' settings, and names their places.

platform_listings.decode_settings, with which instances read the settings, is
the only judge of what is readable.
"""

from collections.abc import Callable
import dataclasses
import json
from typing import Any

from nutmegknot._internal.models import job_configurations
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import platform_listings
from nutmegknot._internal.utils import json_fields

# Decodes a value in place; returns the error, or None if it is readable.
_FindError = Callable[[Any], Exception | None]

_SECTIONS = {
    job_configurations.Section.WHOLE: '',
    job_configurations.Section.QUEUES: 'routes',
    job_configurations.Section.CUSTOMERS: 'tenants',
    job_configurations.Section.POOLS: 'services',
}
# Field of the platform, by section and attribute of the decoded entry.
_FIELDS = {
    job_configurations.Section.WHOLE: {
        'revision': 'version',
        'max_body_bytes': 'limits.maxBodyBytes',
    },
    job_configurations.Section.QUEUES: {
        'name': 'name',
        'host': 'host',
        'prefix': 'pathPrefix',
        'pool': 'service',
        'priority': 'priority',
        'max_failed_runs': 'attempts',
        'objective_factor': 'stretch',
        'objective_base_ms': 'targetLatencyMs',
        'is_open': 'public',
        'needs_tickets': 'advice',
        'advice_base_ms': 'advice.decideMs',
        'advice_per_worker_us': 'advice.periodMs',
        'timeout_ms': 'timeoutMs',
    },
    job_configurations.Section.CUSTOMERS: {
        'name': 'name',
        'keys': 'apiKeys',
        'weight': 'weight',
        'limit': 'cap',
        'limit.millicores': 'cap.cpu',
        'limit.memory_mib': 'cap.memMb',
        'limit.accelerators': 'cap.gpu',
    },
    job_configurations.Section.POOLS: {'name': 'name'},
}


@dataclasses.dataclass(slots=True, frozen=True)
class UnreadablePart:
    """Part of a file that can't be read.

    Attributes:
      place: Where it is, in the words of the file; '' for the whole file.
      why: What is wrong with it.
    """

    place: str
    why: str


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerFile:
    """Workers decoded from a file.

    Attributes:
      workers: The workers.
      unreadable_parts: Entries that are left out.
    """

    workers: tuple[workers.Worker, ...]
    unreadable_parts: tuple[UnreadablePart, ...] = ()


def format_place(place: job_configurations.Place) -> str:
    """Returns a place in the words of the file."""
    text = _SECTIONS[place.section]
    if place.index is not None:
        text += f'[{place.index}]'
    field = _FIELDS[place.section].get(place.field, place.field)
    return '.'.join(part for part in (text, field) if part)


def decode_configuration(
    raw: bytes,
) -> job_configurations.JobConfiguration | list[UnreadablePart]:
    """Decodes a configuration, or returns all parts that can't be read."""
    try:
        fields = json_fields.decode_object(raw)
    except json_fields.ERRORS as error:
        return [UnreadablePart('', _explain(error))]
    parts = _find_unreadable(fields, '', _find_error)
    if parts:
        return parts
    routes = json_fields.check_list(fields.get('routes'))
    tenants = json_fields.check_list(fields.get('tenants'))
    return job_configurations.JobConfiguration(
        platform_listings.decode_settings(fields),
        tuple(platform_listings.decode_queue(route) for route in routes),
        tuple(platform_listings.decode_customer(tenant) for tenant in tenants),
        _decode_pools(fields.get('services')),
        tuple(_find_replaced_zeros(fields, routes, tenants)),
    )


def decode_workers(raw: bytes) -> WorkerFile | UnreadablePart:
    """Decodes a list of workers in the form in which they describe themselves.

    Workers that are draining are left out, as no task starts on them.
    """
    try:
        entries = json_fields.decode_list(raw)
    except json_fields.ERRORS as error:
        return UnreadablePart('', _explain(error))
    decoded, unreadable = [], []
    for index, entry in enumerate(entries):
        try:
            state = platform_listings.TARGET_STATES.get(
                json_fields.check_text(entry['state'])
            )
            if state is None:
                raise ValueError('unknown state')
            worker = workers.Worker(
                id=str(index),
                region='',
                domain='',
                rack='',
                capacity=platform_listings.decode_resources(entry['capacity']),
                state=state,
                pool=json_fields.check_text(entry['service']),
            )
        except json_fields.ERRORS as error:
            unreadable.append(UnreadablePart(f'[{index}]', _explain(error)))
            continue
        if state == workers.TargetState.LIVE:
            decoded.append(worker)
    return WorkerFile(tuple(decoded), tuple(unreadable))


def _find_error(fields: Any) -> Exception | None:  # noqa: ANN401 - any JSON
    try:
        platform_listings.decode_settings(fields)
    except json_fields.ERRORS as error:
        return error
    return None


def _find_unreadable(
    value: Any,  # noqa: ANN401 - any JSON
    place: str,
    find_error: _FindError,
) -> list[UnreadablePart]:
    """Returns the unreadable parts of a value, the innermost of each.

    The decoder names no place. So each part is decoded by itself, with all
    other fields empty, which every decoder of a field takes.

    Args:
      value: The value.
      place: Its place.
      find_error: Decodes a value at the place.
    """
    error = find_error(value)
    if error is None:
        return []
    parts: list[UnreadablePart] = []
    if isinstance(value, list) and _takes_lists(find_error):
        for index, item in enumerate(value):
            parts += _find_unreadable(
                item, f'{place}[{index}]', lambda other: find_error([other])
            )
    elif isinstance(value, dict):
        empty: dict[str, Any] = dict.fromkeys(value)
        parts = _add_missing_fields(empty, place, find_error)
        if find_error(empty) is None:
            for key, item in value.items():
                parts += _find_unreadable(
                    item,
                    f'{place}.{key}' if place else key,
                    _make_field_check(empty, key, find_error),
                )
    return parts or [UnreadablePart(place, _explain(error))]


def _takes_lists(find_error: _FindError) -> bool:
    # An empty list is also taken where an object may be left out.
    return find_error([]) is None and find_error({}) is not None


def _add_missing_fields(
    empty: dict[str, Any], place: str, find_error: _FindError
) -> list[UnreadablePart]:
    """Adds required fields to an object, and returns those that it lacked."""
    parts = []
    error = find_error(empty)
    while isinstance(error, KeyError) and error.args[0] not in empty:
        key = error.args[0]
        empty[key] = None
        parts.append(
            UnreadablePart(f'{place}.{key}' if place else key, 'is missing')
        )
        error = find_error(empty)
    return parts


def _make_field_check(
    empty: dict[str, Any], key: str, find_error: _FindError
) -> _FindError:
    return lambda other: find_error({**empty, key: other})


def _explain(error: Exception) -> str:
    match error:
        case KeyError():
            return f'{error.args[0]} is missing'
        case UnicodeEncodeError():
            return 'the text has a part of a surrogate pair'
        case json.JSONDecodeError() | UnicodeDecodeError():
            return f'not JSON: {error}'
        case OverflowError():
            return 'number out of range'
        case ValueError():
            return str(error)
        case TypeError() if str(error).startswith('not a '):
            # Errors of json_fields say what was expected.
            return str(error)
    return 'not an object'


def _decode_pools(services: object) -> tuple[str, ...] | None:
    """Returns the names of the services; None if they can't be read.

    Instances do not read the services, so odd ones are no error.
    """
    if not isinstance(services, list):
        return None
    try:
        return tuple(
            json_fields.check_text(service['name']) for service in services
        )
    except json_fields.ERRORS:
        return None


def _find_replaced_zeros(
    fields: dict[str, Any],
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> list[job_configurations.Place]:
    """Returns where 0 is written and the decoder uses a default instead."""
    sections = job_configurations.Section
    written = [
        (
            job_configurations.Place(sections.WHOLE, None, 'max_body_bytes'),
            fields,
        )
    ]
    for index, route in enumerate(routes):
        written += [
            (job_configurations.Place(sections.QUEUES, index, field), route)
            for field in ('max_failed_runs', 'objective_factor', 'timeout_ms')
        ]
    written += [
        (job_configurations.Place(sections.CUSTOMERS, index, 'weight'), tenant)
        for index, tenant in enumerate(tenants)
    ]
    return [place for place, entry in written if _is_zero(place, entry)]


def _is_zero(place: job_configurations.Place, entry: dict[str, Any]) -> bool:
    value: Any = entry
    for key in _FIELDS[place.section][place.field].split('.'):
        value = value.get(key) if isinstance(value, dict) else None
    return value is not None and not value
