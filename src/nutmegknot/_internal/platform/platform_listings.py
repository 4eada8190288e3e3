"""Adapter that decodes operators' settings and workers from store rows."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import ipaddress
import logging
from typing import Any

from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import metadata_store
from nutmegknot._internal.utils import json_fields

logger = logging.getLogger(__name__)

# Table of the store that holds what operators set.
OPERATOR_TABLE_NAME = 'op'
# Table of the store that lists the workers.
WORKER_TABLE_NAME = 'servers'
# Key of the row with the queues and customers.
CONFIGURATION_KEY = 'config'
# Prefix of the keys that name the closed failure domains.
EVACUATION_KEY_PREFIX = 'evacuate/'
# Prefix of the keys of the maintenance waves.
WAVE_KEY_PREFIX = 'wave/'
# Length to which the key of an unusable row is cut in the log.
MAX_LOGGED_KEY = 40
_GONE = 410
_OK = 200


@dataclasses.dataclass(slots=True)
class SettingsCache:
    """The rows of the operators' table as last read, and the settings in them.

    Attributes:
      rows: Values by key.
      position: Version of the store when the rows were read; -1 before that.
      settings: The settings decoded from the rows; None if there are none.
      raw_configuration: Value from which the queues and customers were decoded
        last.
    """

    rows: dict[str, bytes] = dataclasses.field(default_factory=dict)
    position: int = -1
    settings: job_settings.JobSettings | None = None
    raw_configuration: bytes = b''


def connect(
    fetch: platform_calls.Fetch, regions: dict[str, str]
) -> listings.Listings:
    """Returns access to the operators' settings and the list of workers."""
    cache = SettingsCache()
    return listings.Listings(
        _make_read_settings(fetch, cache),
        _make_watch_settings(fetch, cache),
        _make_list_workers(fetch, regions),
    )


def _make_read_settings(
    fetch: platform_calls.Fetch, cache: SettingsCache
) -> Callable[[int], Awaitable[listings.SettingsUpdate | tables.Unavailable]]:
    async def read_settings(
        timeout_ms: int,
    ) -> listings.SettingsUpdate | tables.Unavailable:
        params = {'table': OPERATOR_TABLE_NAME, 'part': ''}
        reply = await fetch(
            platform_calls.Call('GET', '/api/rows-get', params), timeout_ms
        )
        failure = _find_failure(reply)
        if failure is not None or isinstance(reply, platform_calls.NoAnswer):
            return failure or tables.Unavailable('no reply')
        position = reply.fields.get('rowVersion')
        if not isinstance(position, int):
            return tables.Unavailable('the reply has no rowVersion')
        if position < cache.position:
            return listings.SettingsUpdate(cache.settings, cache.position)
        cache.rows = {
            row.key: row.value
            for row in metadata_store.decode_rows(reply.fields)
        }
        cache.position = position
        return _update_settings(cache)

    return read_settings


def _make_watch_settings(
    fetch: platform_calls.Fetch, cache: SettingsCache
) -> Callable[
    [int, int],
    Awaitable[
        listings.SettingsUpdate | listings.HistoryExpired | tables.Unavailable
    ],
]:
    async def watch_settings(
        wait_ms: int, timeout_ms: int
    ) -> listings.SettingsUpdate | listings.HistoryExpired | tables.Unavailable:
        params = {
            'table': OPERATOR_TABLE_NAME,
            'after': str(cache.position),
            'waitMs': str(wait_ms),
        }
        reply = await fetch(
            platform_calls.Call('GET', '/api/rows-feed', params), timeout_ms
        )
        if isinstance(reply, platform_calls.Reply) and reply.status == _GONE:
            return listings.HistoryExpired()
        failure = _find_failure(reply)
        if failure is not None or isinstance(reply, platform_calls.NoAnswer):
            return failure or tables.Unavailable('no reply')
        return _apply_changes(cache, reply.fields)

    return watch_settings


def _make_list_workers(
    fetch: platform_calls.Fetch, regions: dict[str, str]
) -> Callable[[int], Awaitable[listings.WorkerList | tables.Unavailable]]:
    reported: dict[str, bytes] = {}

    async def list_workers(
        timeout_ms: int,
    ) -> listings.WorkerList | tables.Unavailable:
        rows = await metadata_store.read_rows(
            fetch, WORKER_TABLE_NAME, '', '', '', timeout_ms
        )
        if isinstance(rows, tables.Unavailable):
            return rows
        workers_by_id = {}
        for key in reported.keys() - {row.key for row in rows}:
            del reported[key]
        for row in rows:
            worker = decode_worker(row.key, row.value, regions, reported)
            if worker is not None:
                workers_by_id[worker.id] = worker
        return listings.WorkerList(workers_by_id)

    return list_workers


def _find_failure(
    reply: platform_calls.Reply | platform_calls.NoAnswer,
) -> tables.Unavailable | None:
    if isinstance(reply, platform_calls.NoAnswer):
        return tables.Unavailable(reply.detail)
    if reply.status != _OK:
        return tables.Unavailable(f'status {reply.status}')
    return None


def _apply_changes(
    cache: SettingsCache, fields: dict[str, Any]
) -> listings.SettingsUpdate:
    position = fields.get('rowVersion')
    if not isinstance(position, int) or position <= cache.position:
        return listings.SettingsUpdate(cache.settings, cache.position)
    changed = fields.get('rows') or ()
    for row in changed:
        if isinstance(row, dict) and row.get('deleted'):
            cache.rows.pop(row.get('key', ''), None)
    written = [
        row
        for row in changed
        if isinstance(row, dict) and not row.get('deleted')
    ]
    for row in metadata_store.decode_rows({'rows': written}):
        cache.rows[row.key] = row.value
    cache.position = position
    if not changed:
        return listings.SettingsUpdate(cache.settings, cache.position)
    return _update_settings(cache)


def _update_settings(cache: SettingsCache) -> listings.SettingsUpdate:
    raw = cache.rows.get(CONFIGURATION_KEY)
    if raw is not None and raw != cache.raw_configuration:
        try:
            cache.settings = decode_settings(json_fields.decode_object(raw))
            cache.raw_configuration = raw
        except json_fields.ERRORS as error:
            logger.error('settings_unreadable', extra={'why': repr(error)})
    if cache.settings is not None:
        cache.settings = dataclasses.replace(
            cache.settings,
            closed_domains=frozenset(
                key.removeprefix(EVACUATION_KEY_PREFIX)
                for key in cache.rows
                if key.startswith(EVACUATION_KEY_PREFIX)
            ),
            waves=_decode_waves(cache.rows),
        )
    return listings.SettingsUpdate(cache.settings, cache.position)


def _decode_waves(
    rows: dict[str, bytes],
) -> dict[int, job_settings.MaintenanceWave]:
    waves = {}
    for key, value in rows.items():
        if not key.startswith(WAVE_KEY_PREFIX):
            continue
        try:
            fields = json_fields.decode_object(value)
            wave = job_settings.MaintenanceWave(
                json_fields.check_integer(fields['wave']),
                tuple(
                    json_fields.check_text(machine)
                    for machine in json_fields.check_list(fields['machines'])
                ),
                json_fields.check_integer(
                    json_fields.check_number(fields['durationS']) * 1000
                ),
                # 'cap' is the largest number of machines down at a time.
                json_fields.check_integer(fields['cap']),
            )
        except json_fields.ERRORS as error:
            logger.error(
                'wave_unreadable', extra={'key': key, 'why': repr(error)}
            )
            continue
        waves[wave.number] = wave
    return waves


def decode_settings(fields: dict[str, Any]) -> job_settings.JobSettings:
    """Decodes the queues and customers of a configuration.

    Raises:
      AttributeError, KeyError, TypeError, ValueError: If the configuration is
        malformed.
    """
    queues = [
        decode_queue(route)
        for route in json_fields.check_list(fields.get('routes'))
    ]
    customers = [
        decode_customer(tenant)
        for tenant in json_fields.check_list(fields.get('tenants'))
    ]
    limits = fields.get('limits') or {}
    return job_settings.JobSettings(
        revision=json_fields.check_integer(
            fields['version'], json_fields.MAX_INTEGER
        ),
        queues={queue.name: queue for queue in queues},
        customers={customer.name: customer for customer in customers},
        customer_by_key={
            key: customer.name
            for customer in customers
            for key in customer.keys
        },
        max_body_bytes=json_fields.check_integer(limits.get('maxBodyBytes'))
        or 262_144,
    )


def decode_queue(route: dict[str, Any]) -> job_settings.JobQueue:
    """Decodes one queue of a configuration.

    Raises:
      AttributeError, KeyError, TypeError, ValueError: If it is malformed.
    """
    advice = route.get('advice')
    return job_settings.JobQueue(
        name=json_fields.check_text(route['name']),
        host=json_fields.check_text(route.get('host')),
        prefix=json_fields.check_text(route['pathPrefix']),
        pool=json_fields.check_text(route['service']),
        priority=json_fields.check_integer(route.get('priority')),
        max_failed_runs=json_fields.check_integer(route.get('attempts')) or 1,
        objective_factor=json_fields.check_number(route.get('stretch')) or 1.0,
        objective_base_ms=json_fields.check_integer(
            route.get('targetLatencyMs')
        ),
        is_open=bool(route.get('public')),
        needs_tickets=advice is not None,
        advice_base_ms=json_fields.check_number(advice['decideMs'])
        if advice
        else 0.0,
        # 'periodMs' is the time that each worker adds to a call for advice.
        advice_per_worker_us=json_fields.check_number(advice['periodMs']) * 1000
        if advice
        else 0.0,
        timeout_ms=json_fields.check_integer(route.get('timeoutMs')) or 3000,
    )


def decode_customer(tenant: dict[str, Any]) -> job_settings.Customer:
    """Decodes one customer of a configuration.

    Raises:
      AttributeError, KeyError, TypeError, ValueError: If it is malformed.
    """
    return job_settings.Customer(
        name=json_fields.check_text(tenant['name']),
        keys=frozenset(
            json_fields.check_text(key)
            for key in json_fields.check_list(tenant.get('apiKeys'))
        ),
        weight=json_fields.check_number(tenant.get('weight')),
        # 'cap' limits the resources of all running tasks of the customer.
        limit=decode_resources(tenant.get('cap') or {}),
    )


def decode_resources(fields: dict[str, Any]) -> resources.Resources:
    """Decodes an amount of resources; a missing resource counts as 0.

    Raises:
      AttributeError, TypeError, ValueError: If the amount is malformed.
    """
    return resources.Resources(
        json_fields.check_integer(fields.get('cpu')),
        json_fields.check_integer(fields.get('memMb')),
        json_fields.check_integer(fields.get('gpu')),
    )


# State of a worker's target by the word for it in the worker's row.
TARGET_STATES = {
    'ready': workers.TargetState.LIVE,
    'draining': workers.TargetState.LEAVING,
}
_MAX_PORT = 65_535


def _check_address(value: object) -> str:
    """Returns the address of a worker, an IPv4 address with a port.

    Raises:
      TypeError, ValueError: If it is none.
    """
    text = json_fields.check_text(value)
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal()):
        raise ValueError('the port is no number')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError('the port is out of range')
    return text


def decode_worker(
    id: str,
    value: bytes,
    regions: dict[str, str],
    reported: dict[str, bytes] | None = None,
) -> workers.Worker | None:
    """Decodes a row of the list of workers; returns None if it is unusable.

    Other programs write the rows too, so fields may be missing, of other types
    or out of range.

    Args:
      id: Key of the row.
      value: Its value.
      regions: Region of each failure domain.
      reported: Unusable rows by key; those that were logged are not logged
        again. None to log each.
    """
    try:
        fields = json_fields.decode_object(value)
        labels = [
            json_fields.check_text(label)
            for label in json_fields.check_list(fields.get('labels'))
        ]
        domain = fields['zone']
        return workers.Worker(
            id=json_fields.check_text(id),
            region=regions[domain],
            domain=domain,
            # The first label is the kind of machine, the second is the rack.
            rack=labels[1] if len(labels) > 1 else '',
            capacity=decode_resources(fields['capacity']),
            address=_check_address(fields['address']),
            state=TARGET_STATES[fields['state']],
            pool=json_fields.check_text(fields['service']),
            kind=labels[0] if labels else '',
            labels=frozenset(labels),
            life=json_fields.check_integer(
                fields.get('born'), json_fields.MAX_INTEGER
            ),
        )
    except json_fields.ERRORS as error:
        if reported is None or reported.get(id) != value:
            logger.warning(
                'worker_row_unusable',
                extra={'key': id[:MAX_LOGGED_KEY], 'why': repr(error)},
            )
        if reported is not None:
            reported[id] = value
        return None
