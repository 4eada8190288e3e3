"""Operators' settings and the list of workers, from the store's rows."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
import re
from typing import Any

from nutmegknot._internal.backing import fetches
from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import store

logger = logging.getLogger(__name__)

OPERATOR_TABLE = 'op'
WORKER_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
WAVE_PREFIX = 'wave/'
_GONE = 410
_OK = 200
_UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


@dataclasses.dataclass(slots=True)
class Mirror:
    """The operators' rows as far as they have been read.

    Attributes:
      rows: Values by key.
      position: The store's newest version then; -1 before the first reading.
      catalog: What the rows say.
      raw: The configuration that was decoded last.
    """

    rows: dict[str, bytes] = dataclasses.field(default_factory=dict)
    position: int = -1
    catalog: catalogs.Catalog | None = None
    raw: bytes = b''


def connect(fetch: fetches.Fetch, regions: dict[str, str]) -> listings.Listings:
    """Returns access to what the platform tells."""
    mirror = Mirror()
    return listings.Listings(
        _make_read(fetch, mirror),
        _make_follow(fetch, mirror),
        _make_list(fetch, regions),
    )


def _make_read(
    fetch: fetches.Fetch, mirror: Mirror
) -> Callable[[int], Awaitable[listings.News | tables.Unavailable]]:
    async def read_catalog(
        timeout_ms: int,
    ) -> listings.News | tables.Unavailable:
        params = {'table': OPERATOR_TABLE, 'part': ''}
        reply = await fetch(
            fetches.Call('GET', '/api/rows-get', params), timeout_ms
        )
        failure = _get_failure(reply)
        if failure is not None or isinstance(reply, fetches.NoAnswer):
            return failure or tables.Unavailable('no answer')
        position = reply.fields.get('rowVersion')
        if not isinstance(position, int):
            return tables.Unavailable('the answer has no version')
        if position < mirror.position:
            return listings.News(mirror.catalog, mirror.position)
        mirror.rows = {
            row.key: row.value for row in store.decode_rows(reply.fields)
        }
        mirror.position = position
        return _decode_mirror(mirror)

    return read_catalog


def _make_follow(
    fetch: fetches.Fetch, mirror: Mirror
) -> Callable[
    [int, int],
    Awaitable[listings.News | listings.HistoryGone | tables.Unavailable],
]:
    async def follow_catalog(
        wait_ms: int, timeout_ms: int
    ) -> listings.News | listings.HistoryGone | tables.Unavailable:
        params = {
            'table': OPERATOR_TABLE,
            'after': str(mirror.position),
            'waitMs': str(wait_ms),
        }
        reply = await fetch(
            fetches.Call('GET', '/api/rows-feed', params), timeout_ms
        )
        if isinstance(reply, fetches.Reply) and reply.status == _GONE:
            return listings.HistoryGone()
        failure = _get_failure(reply)
        if failure is not None or isinstance(reply, fetches.NoAnswer):
            return failure or tables.Unavailable('no answer')
        return _take_changes(mirror, reply.fields)

    return follow_catalog


def _make_list(
    fetch: fetches.Fetch, regions: dict[str, str]
) -> Callable[[int], Awaitable[listings.Listed | tables.Unavailable]]:
    async def list_workers(
        timeout_ms: int,
    ) -> listings.Listed | tables.Unavailable:
        rows = await store.read_rows(
            fetch, WORKER_TABLE, '', '', '', timeout_ms
        )
        if isinstance(rows, tables.Unavailable):
            return rows
        found = {}
        for row in rows:
            worker = decode_worker(row.key, row.value, regions)
            if worker is not None:
                found[worker.id] = worker
        return listings.Listed(found)

    return list_workers


def _get_failure(
    reply: fetches.Reply | fetches.NoAnswer,
) -> tables.Unavailable | None:
    if isinstance(reply, fetches.NoAnswer):
        return tables.Unavailable(reply.detail)
    if reply.status != _OK:
        return tables.Unavailable(f'status {reply.status}')
    return None


def _take_changes(mirror: Mirror, fields: dict[str, Any]) -> listings.News:
    position = fields.get('rowVersion')
    if not isinstance(position, int) or position <= mirror.position:
        return listings.News(mirror.catalog, mirror.position)
    changed = fields.get('rows') or ()
    for row in changed:
        if isinstance(row, dict) and row.get('deleted'):
            mirror.rows.pop(row.get('key', ''), None)
    live = [
        row
        for row in changed
        if isinstance(row, dict) and not row.get('deleted')
    ]
    for row in store.decode_rows({'rows': live}):
        mirror.rows[row.key] = row.value
    mirror.position = position
    if not changed:
        return listings.News(mirror.catalog, mirror.position)
    return _decode_mirror(mirror)


def _decode_mirror(mirror: Mirror) -> listings.News:
    raw = mirror.rows.get(CONFIGURATION_KEY)
    if raw is not None and raw != mirror.raw:
        try:
            mirror.catalog = decode_catalog(json.loads(raw))
            mirror.raw = raw
        except _UNREADABLE as error:
            logger.error('settings_unreadable', extra={'why': repr(error)})
    if mirror.catalog is not None:
        mirror.catalog = dataclasses.replace(
            mirror.catalog,
            closed_domains=frozenset(
                key.removeprefix(EVACUATION_PREFIX)
                for key in mirror.rows
                if key.startswith(EVACUATION_PREFIX)
            ),
            waves=_decode_waves(mirror.rows),
        )
    return listings.News(mirror.catalog, mirror.position)


def _decode_waves(rows: dict[str, bytes]) -> dict[int, catalogs.Wave]:
    found = {}
    for key, value in rows.items():
        if not key.startswith(WAVE_PREFIX):
            continue
        try:
            fields = json.loads(value)
            wave = catalogs.Wave(
                int(fields['wave']),
                tuple(fields['machines']),
                int(fields['durationS'] * 1000),
                # The wire's name for the most machines down at a time.
                int(fields['cap']),
            )
        except _UNREADABLE as error:
            logger.error(
                'wave_unreadable', extra={'key': key, 'why': repr(error)}
            )
            continue
        found[wave.number] = wave
    return found


def decode_catalog(fields: dict[str, Any]) -> catalogs.Catalog:
    """Returns the settings of a configuration.

    Raises:
      KeyError, TypeError, ValueError: If it can't be read.
    """
    queues = [_decode_queue(route) for route in fields.get('routes') or ()]
    customers = [
        _decode_customer(tenant) for tenant in fields.get('tenants') or ()
    ]
    limits = fields.get('limits') or {}
    return catalogs.Catalog(
        revision=int(fields['version']),
        queues={queue.name: queue for queue in queues},
        customers={customer.name: customer for customer in customers},
        customer_by_key={
            key: customer.name
            for customer in customers
            for key in customer.keys
        },
        body_bytes=int(limits.get('maxBodyBytes') or 262_144),
    )


def _decode_queue(route: dict[str, Any]) -> catalogs.Queue:
    advice = route.get('advice')
    return catalogs.Queue(
        name=route['name'],
        host=route.get('host') or '',
        prefix=route['pathPrefix'],
        pool=route['service'],
        priority=int(route.get('priority') or 0),
        attempts=int(route.get('attempts') or 1),
        stretch=float(route.get('stretch') or 1.0),
        target_ms=int(route.get('targetLatencyMs') or 0),
        is_open=bool(route.get('public')),
        needs_tickets=advice is not None,
        advice_ms=float(advice['decideMs']) if advice else 0.0,
        # The wire calls the time for each worker a period.
        advice_worker_us=float(advice['periodMs']) * 1000 if advice else 0.0,
        answer_ms=int(route.get('timeoutMs') or 3000),
    )


def _decode_customer(tenant: dict[str, Any]) -> catalogs.Customer:
    return catalogs.Customer(
        name=tenant['name'],
        keys=frozenset(tenant.get('apiKeys') or ()),
        weight=float(tenant.get('weight') or 1.0),
        # The wire calls what a customer may have running its cap.
        limit=decode_size(tenant.get('cap') or {}),
    )


def decode_size(fields: dict[str, Any]) -> resources.Resources:
    """Returns an amount of resources; missing parts are 0."""
    return resources.Resources(
        int(fields.get('cpu') or 0),
        int(fields.get('memMb') or 0),
        int(fields.get('gpu') or 0),
    )


_STATES = {
    'ready': workers.TargetState.LIVE,
    'draining': workers.TargetState.LEAVING,
}
_ADDRESS = re.compile(r'\d+\.\d+\.\d+\.\d+:\d+')


def decode_worker(
    id: str, value: bytes, regions: dict[str, str]
) -> workers.Worker | None:
    """Returns the worker of an entry, or None if it names none to use.

    Entries of other writers may lack fields or have other types in them.
    """
    try:
        fields = json.loads(value)
        labels = [str(label) for label in fields.get('labels') or ()]
        domain, pool, address = (
            fields['zone'],
            fields['service'],
            fields['address'],
        )
        is_named = isinstance(pool, str) and domain in regions
        if not is_named or not _ADDRESS.fullmatch(address):
            return None
        return workers.Worker(
            id=id,
            region=regions[domain],
            domain=domain,
            # The kind of machine comes first, then the rack.
            rack=labels[1] if len(labels) > 1 else '',
            capacity=decode_size(fields['capacity']),
            address=address,
            state=_STATES[fields['state']],
            pool=pool,
            kind=labels[0] if labels else '',
            labels=frozenset(labels),
            life=int(fields.get('born') or 0),
        )
    except _UNREADABLE:
        return None
