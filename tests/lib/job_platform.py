"""A fake of the users' platform over HTTP, and instances that use it.

It serves the store, the workers and the advice service on loopback addresses.
Each instance is a process with an address of its own.
"""

import asyncio
import base64
import dataclasses
import json
import logging
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web
from lib import fakes
from lib import job_cells

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

SOURCES = pathlib.Path(__file__).parents[2] / 'src'
HOST = '127.0.0.1'
CALLER_HOST = 'jobs.example'
CUSTOMER = 'team'
KEY = 'key-of-the-team'
QUEUE_PATH = '/checks/'
DOMAINS = ('a', 'b', 'c')
MAX_ROW_BYTES = 65_536
MAX_BODY_BYTES = 262_144
_REFUSAL_REASONS = {
    runners.Refusal.FENCED: 'fence',
    runners.Refusal.STALE_RUN: 'old',
    runners.Refusal.EXPIRED: 'late',
    runners.Refusal.NO_ROOM: 'room',
    runners.Refusal.NO_TICKET: 'ticket',
}


@dataclasses.dataclass(slots=True)
class Store:
    """The store's rows and its faults.

    Attributes:
      rows: Values and versions by table, part and key.
      version: Newest version.
      changes: Changed rows in order, with their versions.
      changed: Notified with each change.
      row_bytes: Longest value of a row; longer ones are refused.
      fault: Fault of calls by instances: '' for none, 'busy' (answered with
        503), 'silent' (not answered) or 'lost' (writes are done but not
        answered).
    """

    rows: dict[tuple[str, str, str], tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0
    changes: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    row_bytes: int = MAX_ROW_BYTES
    fault: str = ''


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance, which runs as a process.

    Attributes:
      name: Its name.
      ip: Its loopback address.
      settings: Its settings file.
      log: File with its standard output.
      process: The process; None while it is stopped.
    """

    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


@dataclasses.dataclass(slots=True)
class Platform:
    """The fake platform and the instances that use it.

    Attributes:
      cell: Fake workers, and the runs that they have started.
      store: The store.
      folder: Folder of the settings files and logs.
      first_port: First port of each instance; its other ports follow it.
      runners: Running HTTP servers.
      store_address: Host and port of the store.
      advice_address: Host and port of the advice service.
      instances: The instances.
      worker_servers: HTTP servers of the workers, by worker id.
    """

    cell: job_cells.Cell
    store: Store
    folder: pathlib.Path
    first_port: int
    runners: list[web.AppRunner] = dataclasses.field(default_factory=list)
    store_address: str = ''
    advice_address: str = ''
    instances: list[Instance] = dataclasses.field(default_factory=list)
    worker_servers: dict[str, web.AppRunner] = dataclasses.field(
        default_factory=dict
    )


def make_clock() -> clock.Clock:
    """Returns the clock of the fake workers."""
    return clock.Clock(
        lambda: time.monotonic_ns() // clock.NS_PER_MS,
        lambda: time.time_ns() // clock.NS_PER_MS,
    )


async def start(
    folder: pathlib.Path,
    workers: int,
    rng: random.Random,
    *,
    limit: resources.Resources = resources.ZERO,
    row_bytes: int = MAX_ROW_BYTES,
    body_bytes: int = MAX_BODY_BYTES,
) -> Platform:
    """Starts serving a store, an advice service and some workers.

    Args:
      folder: Folder of the settings files and logs.
      workers: Number of the workers.
      rng: Source of the instances' first port.
      limit: Limit of the only customer.
      row_bytes: Longest value of a row of the store.
      body_bytes: Longest body of a caller's call.
    """
    # Connections without an answer are injected faults, not errors to log.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    targets = {}
    for number in range(workers):
        domain = DOMAINS[number % len(DOMAINS)]
        worker = job_cells.make_worker(f'i-{number:04x}', domain=domain)
        targets[worker.id] = job_cells.FakeTarget(worker)
    customer = job_settings.Customer(CUSTOMER, limit=limit)
    cell = job_cells.Cell(
        make_clock(),
        fakes.FakeTable(),
        targets,
        job_cells.make_settings(customers=(customer,)),
    )
    store = Store(row_bytes=row_bytes)
    platform = Platform(cell, store, folder, rng.randrange(20_000, 50_000))
    platform.store_address = await _serve(platform, _route_store(platform))
    platform.advice_address = await _serve(platform, _route_advice(platform))
    for target in targets.values():
        address = await _serve(platform, _route_worker(platform, target))
        target.worker = dataclasses.replace(target.worker, address=address)
        platform.worker_servers[target.worker.id] = platform.runners[-1]
        _put_worker(platform.store, target)
    configuration = _make_configuration(limit)
    configuration['limits'] = {'maxBodyBytes': body_bytes}
    _put_row(platform.store, 'op', 'config', configuration)
    return platform


async def _serve(platform: Platform, app: web.Application) -> str:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    platform.runners.append(runner)
    address: tuple[str, int] = runner.addresses[0]
    return f'{HOST}:{address[1]}'


def _make_configuration(limit: resources.Resources) -> dict[str, Any]:
    cap = {'cpu': limit.millicores, 'memMb': limit.memory_mib, 'gpu': 0}
    return {
        'version': 3,
        'routes': [
            {
                'name': 'queue',
                'host': CALLER_HOST,
                'pathPrefix': QUEUE_PATH,
                'service': 'pool',
                'attempts': 4,
                'stretch': 2.0,
                'targetLatencyMs': 500,
            }
        ],
        'services': [{'name': 'pool'}],
        'tenants': [
            {'name': CUSTOMER, 'apiKeys': [KEY], 'weight': 1, 'cap': cap}
        ],
    }


def put_worker_row(platform: Platform, key: str, text: str) -> None:
    """Writes an entry of any text into the list of workers."""
    _put_text(platform.store, 'servers', key, text)


def _put_row(
    store: Store, table: str, key: str, fields: dict[str, Any]
) -> None:
    _put_text(store, table, key, json.dumps(fields))


def _put_text(store: Store, table: str, key: str, text: str) -> None:
    value = base64.b64encode(text.encode()).decode()
    store.version += 1
    _apply_row(store, {'table': table, 'part': '', 'key': key, 'value': value})


def _apply_row(store: Store, row: dict[str, Any]) -> None:
    name = (row['table'], row.get('part', ''), row['key'])
    change = {
        'table': name[0],
        'part': name[1],
        'key': name[2],
        'rowVersion': store.version,
    }
    if 'value' in row:
        store.rows[name] = (row['value'], store.version)
        change['value'] = row['value']
    else:
        store.rows.pop(name, None)
        change['deleted'] = True
    store.changes.append(change)
    signals.notify(store.changed)


def _put_worker(store: Store, target: job_cells.FakeTarget) -> None:
    worker = target.worker
    _put_row(
        store,
        'servers',
        worker.id,
        {
            'service': worker.pool,
            'address': worker.address,
            'zone': worker.domain,
            'state': 'ready',
            'capacity': {
                'cpu': worker.capacity.millicores,
                'memMb': worker.capacity.memory_mib,
                'gpu': 0,
            },
            'labels': [worker.kind, worker.rack],
            'born': worker.life,
        },
    )


def restart_worker(platform: Platform, id: str, **changes: object) -> None:
    """Restarts a worker, and updates its row in the store.

    The connections of the process that ends are closed.

    Args:
      platform: The platform.
      id: Id of the worker.
      changes: Fields of the worker that differ in its new life.
    """
    target = platform.cell.targets[id]
    server = platform.worker_servers[id].server
    assert server is not None
    for connection in server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    job_cells.restart(platform.cell, target, **changes)
    _put_worker(platform.store, target)


def _route_store(platform: Platform) -> web.Application:
    store = platform.store

    async def transact(request: web.Request) -> web.Response:
        fault = store.fault
        if fault == 'busy':
            return web.Response(status=503)
        call = await request.json()
        if fault == 'silent':
            await asyncio.sleep(30)
        answer = _transact(store, call)
        if fault == 'lost':
            await asyncio.sleep(30)
        return answer

    async def get(request: web.Request) -> web.Response:
        if store.fault == 'busy':
            return web.Response(status=503)
        if store.fault == 'silent':
            await asyncio.sleep(30)
        return _get(store, request.query)

    async def feed(request: web.Request) -> web.Response:
        if store.fault == 'busy':
            return web.Response(status=503)
        after = int(request.query['after'])
        until_ms = platform.cell.clock.now_ms() + int(request.query['waitMs'])
        while True:
            count = store.changed.count
            found = [
                change
                for change in store.changes
                if change['table'] == request.query['table']
                and change['rowVersion'] > after
            ]
            left_ms = until_ms - platform.cell.clock.now_ms()
            if found or left_ms <= 0:
                return web.json_response(
                    {'rows': found, 'rowVersion': store.version, 'nowMs': 1}
                )
            await signals.wait_with_timeout(store.changed, count, left_ms)

    app = web.Application()
    app.router.add_post('/api/rows-tx', transact)
    app.router.add_get('/api/rows-get', get)
    app.router.add_get('/api/rows-feed', feed)
    return app


def _transact(store: Store, call: dict[str, Any]) -> web.Response:
    if any(
        len(base64.b64decode(row['value'])) > store.row_bytes
        for row in call['puts']
    ):
        return web.json_response(
            {'rowVersion': store.version, 'nowMs': 1}, status=400
        )
    failed = False
    present = []
    for row in call['precondition']:
        name = (row['table'], row['part'], row['key'])
        value, version = store.rows.get(name, ('', 0))
        failed = failed or version != row['rowVersion']
        if version:
            present.append({**row, 'value': value, 'rowVersion': version})
    if failed:
        return web.json_response(
            {'rows': present, 'rowVersion': store.version, 'nowMs': 1},
            status=412,
        )
    store.version += 1
    for row in [*call['puts'], *call['remove']]:
        _apply_row(store, row)
    return web.json_response({'rowVersion': store.version, 'nowMs': 1})


def _get(store: Store, query: Any) -> web.Response:  # noqa: ANN401 - aiohttp's
    first, end = query.get('from', ''), query.get('target')
    limit = int(query.get('limit', 500))
    keys = sorted(
        name
        for name in store.rows
        if name[:2] == (query['table'], query.get('part', ''))
        and name[2] >= first
        and (end is None or name[2] < end)
    )
    rows = [
        {
            'table': name[0],
            'part': name[1],
            'key': name[2],
            'value': store.rows[name][0],
            'rowVersion': store.rows[name][1],
        }
        for name in keys[:limit]
    ]
    return web.json_response(
        {
            'rows': rows,
            'morePages': len(keys) > limit,
            'rowVersion': store.version,
            'nowMs': 1,
        }
    )


def _route_advice(platform: Platform) -> web.Application:
    call_adviser = job_cells.connect_adviser(platform.cell)

    async def advise(request: web.Request) -> web.Response:
        call = await request.json()
        advised = await call_adviser(call['step'], call['workers'], 1_000)
        assert isinstance(advised, advisers.Advised)
        return web.json_response(
            {
                'good': list(advised.tickets.items()),
                'validMs': advised.valid_ms,
            }
        )

    app = web.Application()
    app.router.add_post('/api/advise', advise)
    return app


def _route_worker(
    platform: Platform, target: job_cells.FakeTarget
) -> web.Application:
    access = job_cells.connect_runners(platform.cell)

    def find_name(call: dict[str, Any]) -> jobs.TaskName:
        name = jobs.parse_task(call['task'])
        assert name is not None
        return name

    async def poll(request: web.Request) -> web.Response:
        call = await request.json()
        result = await access.poll(
            target.worker,
            call['fencingToken'],
            call['lastSeen'],
            call.get('untilMs'),
            call.get('waitMs', 0),
            2_000,
        )
        if not isinstance(result, runners.Inventory):
            return _make_response(result)
        return web.json_response(
            {
                'clockMs': result.clock_ms,
                'born': result.life,
                'running': [
                    [
                        jobs.format_task(r.name),
                        r.run,
                        r.checkpoint,
                        r.progress_percent,
                        0,
                    ]
                    for r in result.runs
                ],
                'ended': [
                    [
                        e.number,
                        jobs.format_task(e.name),
                        e.run,
                        e.kind.value,
                        e.checkpoint,
                    ]
                    for e in result.ends
                    if e.name is not None
                ],
            }
        )

    async def start_run(request: web.Request) -> web.Response:
        call = await request.json()
        command = runners.StartCommand(
            find_name(call),
            call['run'],
            call['spec'],
            call['untilMs'],
            call['fencingToken'],
            call.get('checkpoint', ''),
            call.get('ticket', ''),
        )
        return _make_response(await access.start(target.worker, command, 2_000))

    async def stop_run(request: web.Request) -> web.Response:
        call = await request.json()
        return _make_response(
            await access.stop(
                target.worker,
                find_name(call),
                call['run'],
                call['fencingToken'],
                2_000,
            )
        )

    app = web.Application()
    app.router.add_post('/api/hold', poll)
    app.router.add_post('/api/run-start', start_run)
    app.router.add_post('/api/run-stop', stop_run)
    return app


def _make_response(
    result: runners.CommandResult | runners.PollResult,
) -> web.Response:
    match result:
        case runners.Taken(clock_ms, _):
            return web.json_response({'clockMs': clock_ms})
        case runners.Refused(reason) if reason in _REFUSAL_REASONS:
            fields = {'clockMs': 0, 'reason': _REFUSAL_REASONS[reason]}
            return web.json_response(fields, status=409)
        case runners.Unanswered() | runners.Unreached():
            # The fake worker has waited for the time limit. The connection is
            # now closed without an answer.
            raise ConnectionResetError
    return web.Response(status=503)


def add_instances(
    platform: Platform, count: int, memory_mb: int = 300, max_fds: int = 4_100
) -> None:
    """Writes the settings of some instances and starts them."""
    for number in range(count):
        ip = _make_ip(number)
        port = platform.first_port
        fields = {
            'nodeName': f'front-{number}',
            'role': 'instance',
            'ip': ip,
            'zone': DOMAINS[number % len(DOMAINS)],
            'zones': dict.fromkeys(DOMAINS, 'region'),
            'listen': {'front': f'{ip}:{port}', 'ready': f'{ip}:{port + 1}'},
            'portRange': [port + 2, port + 9],
            'limits': {
                'cpuShare': 0.5,
                'cores': 2,
                'memoryMb': memory_mb,
                'maxFds': max_fds,
            },
            'bounds': {'graceS': 6, 'maxHoldMs': 10_000},
            'advice': platform.advice_address,
            'platform': {
                'address': platform.store_address,
                'rowBytes': platform.store.row_bytes,
            },
        }
        settings = platform.folder / f'{number}.json'
        settings.write_text(json.dumps(fields), encoding='utf-8')
        log = platform.folder / f'{number}.log'
        instance = Instance(f'front-{number}', ip, settings, log)
        platform.instances.append(instance)
        start_process(instance)


def _make_ip(number: int) -> str:
    """Returns a loopback address derived from the id of this process.

    So test runs at the same time on one machine use different addresses.
    """
    own = os.getpid()
    return f'127.{20 + own % 200}.{own // 200 % 250}.{number + 2}'


def start_process(instance: Instance) -> None:
    """Starts the process of an instance, unless it is running."""
    if instance.process is not None and instance.process.poll() is None:
        return
    env = {
        **os.environ,
        'NUTMEGKNOT_CONFIG': str(instance.settings),
        'PYTHONPATH': str(SOURCES),
    }
    with instance.log.open('ab') as out:
        instance.process = subprocess.Popen(
            [sys.executable, '-m', 'nutmegknot.attach'],
            env=env,
            stdout=out,
            stderr=out,
        )


def send_signal(instance: Instance, number: signal.Signals) -> None:
    """Sends a signal to the process of an instance, if it is running."""
    if instance.process is not None and instance.process.poll() is None:
        instance.process.send_signal(number)


async def wait_ended(instance: Instance) -> int:
    """Waits until the process of an instance has ended."""
    assert instance.process is not None
    return await asyncio.to_thread(instance.process.wait)


async def stop(platform: Platform) -> None:
    """Kills the processes of the instances and stops the servers."""
    for instance in platform.instances:
        send_signal(instance, signal.SIGCONT)
        send_signal(instance, signal.SIGKILL)
        if instance.process is not None:
            await wait_ended(instance)
    for runner in platform.runners:
        await runner.cleanup()


def find_owner(platform: Platform) -> Instance | None:
    """Returns the instance that the owner row in the store names, or None."""
    found = platform.store.rows.get(('nutmegknot', 'cell', rows.OWNER_KEY))
    if found is None:
        return None
    row = jobs_pb2.JobsOwnerRow.FromString(base64.b64decode(found[0]))
    ip = row.address.partition(':')[0]
    named = [i for i in platform.instances if i.ip == ip and row.holder]
    return named[0] if named else None


async def call(
    platform: Platform,
    session: aiohttp.ClientSession,
    instance: Instance,
    method: str,
    job_id: str,
    body: dict[str, Any] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Makes a call to an instance as a caller.

    Returns:
      The status, 0 if no answer came, and the JSON body of the answer.
    """
    url = f'http://{instance.ip}:{platform.first_port}{QUEUE_PATH}{job_id}'
    headers = {'Host': CALLER_HOST, 'Authorization': f'Bearer {KEY}'}
    try:
        async with session.request(
            method,
            url,
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=4),
        ) as reply:
            text = await reply.text()
            return reply.status, json.loads(text) if text else {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, {}
