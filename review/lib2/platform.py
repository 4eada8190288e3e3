"""Stand-in for the platform's store, and instances that run as processes.

The store follows the page PROTOCOL.md: rows in tables, transactions with
preconditions, a feed of changes. The instances are started with the command of
deploy/system.toml, each on a loopback address of its own.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from typing import Any

import aiohttp
from aiohttp import web

from review.lib2 import records
from review.lib2 import workers

ROOT = pathlib.Path(__file__).parents[2]
HOST_NAME = 'jobs.example'
PREFIX = '/tasks/'
TENANT = 'team-a'
KEY = 'key-of-team-a'
ZONES = ('a', 'b', 'c')
TXN_S = 0.004
GRACE_S = 6.0
BOUNDS = {
    'contactMs': 3000,
    'ackMs': 4000,
    'graceS': 6,
    'configApplyMs': 2000,
    'maxHoldMs': 10000,
    'stopGraceMs': 400,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'status_s': 120,
    'checkpointS': 1,
    'recoveryS': 12,
}


class Store:
    """The platform's metadata store."""

    def __init__(self, row_bytes: int, record: records.Record) -> None:
        """Creates an empty store with a limit of the length of a row."""
        self.row_bytes = row_bytes
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.changes: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, fields: dict[str, Any]) -> None:
        """Writes a row of the operator or of a worker."""
        self.version += 1
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._apply((table, '', key), value)

    def _apply(self, name: tuple[str, str, str], value: str | None) -> None:
        change: dict[str, Any] = {
            'table': name[0],
            'part': name[1],
            'key': name[2],
            'rowVersion': self.version,
        }
        if value is None:
            if self.rows.pop(name, None) is None:
                return
            change['deleted'] = True
        else:
            self.rows[name] = (value, self.version)
            change['value'] = value
        if name[0] == 'op':
            self.changes.append(change)
            self.changed.set()
            self.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a call."""
        if request.path == '/api/rows-tx':
            call = json.loads(await request.read())
            await asyncio.sleep(TXN_S)
            return self._transact(call)
        if request.path == '/api/rows-get':
            await asyncio.sleep(TXN_S)
            return self._get(request.query)
        if request.path == '/api/rows-feed':
            return await self._feed(request.query)
        return web.Response(status=404)

    def _reply(self, status: int = 200, **fields: Any) -> web.Response:  # noqa: ANN401
        fields['rowVersion'] = self.version
        fields['nowMs'] = int(time.monotonic() * 1000)
        return web.json_response(fields, status=status)

    def _transact(self, call: dict[str, Any]) -> web.Response:
        puts, removed = call.get('puts', []), call.get('remove', [])
        wanted = call.get('precondition', [])
        for row in puts:
            size = len(base64.b64decode(row['value']))
            if size > self.row_bytes:
                self.record.add('row_refused', key=row['key'], bytes=size)
                return self._reply(400)
        if len(puts) + len(removed) + len(wanted) > 100:
            return self._reply(400)
        present, holds = [], True
        for row in wanted:
            name = (row['table'], row.get('part', ''), row['key'])
            value, version = self.rows.get(name, ('', 0))
            holds = holds and version == row['rowVersion']
            if version:
                present.append({**row, 'value': value, 'rowVersion': version})
        if not holds:
            return self._reply(412, rows=present)
        self.version += 1
        for row in puts:
            name = (row['table'], row.get('part', ''), row['key'])
            self._apply(name, row['value'])
        for row in removed:
            self._apply((row['table'], row.get('part', ''), row['key']), None)
        return self._reply()

    def _get(self, query: Any) -> web.Response:  # noqa: ANN401
        first, end = query.get('from', ''), query.get('target', '')
        limit = min(500, int(query.get('limit', 500)))
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query['table'], query.get('part', ''))
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows = [
            {
                'table': name[0],
                'part': name[1],
                'key': name[2],
                'value': self.rows[name][0],
                'rowVersion': self.rows[name][1],
            }
            for name in names[:limit]
        ]
        return self._reply(rows=rows, morePages=len(names) > limit)

    async def _feed(self, query: Any) -> web.Response:  # noqa: ANN401
        after = int(query['after'])
        until_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = self.changed
            found = [
                change
                for change in self.changes
                if change['table'] == query['table']
                and change['rowVersion'] > after
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return self._reply(rows=found)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance, which runs as a process."""

    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class Platform:
    """The store, the workers and the instances of one script."""

    def __init__(self, record: records.Record, *, row_bytes: int) -> None:
        """Creates a platform that is not started."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))
        self.store = Store(row_bytes, record)
        self.store_address = ''
        self.workers: list[workers.Worker] = []
        self.instances: list[Instance] = []
        self._net = f'127.{random.randrange(60, 250)}.{random.randrange(250)}'
        self._port = random.randrange(20_000, 30_000)
        self._runner: web.ServerRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = deploy['roles']['instance']['run'].split()

    async def start(self) -> None:
        """Starts the store and writes the operator's configuration."""
        self._runner = web.ServerRunner(
            web.Server(self.store.handle, access_log=None),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, f'{self._net}.1', 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.store_address = f'{host}:{port}'
        self._session = aiohttp.ClientSession()
        self.store.put(
            'op',
            'config',
            {
                'version': 3,
                'routes': [
                    {
                        'name': 'work',
                        'host': HOST_NAME,
                        'pathPrefix': PREFIX,
                        'service': 'pool',
                        'attempts': 4,
                        'stretch': 2.0,
                        'targetLatencyMs': 500,
                        'timeoutMs': 3000,
                    }
                ],
                'services': [{'name': 'pool', 'admissionCheck': False}],
                'tenants': [
                    {'name': TENANT, 'apiKeys': [KEY], 'weight': 1, 'cap': {}}
                ],
                'limits': {},
            },
        )

    async def add_worker(
        self, *, cpu: int = 64_000, labels: tuple[str, str] = ('plain', 'r1')
    ) -> workers.Worker:
        """Starts a worker."""
        number = len(self.workers)
        worker = workers.Worker(
            f'i-{number:04x}{random.randrange(1 << 24):06x}',
            f'{self._net}.{100 + number}',
            self.record,
            lambda key, fields: self.store.put('servers', key, fields),
            zone=ZONES[number % len(ZONES)],
            capacity={'cpu': cpu, 'memMb': 262_144, 'gpu': 0},
            labels=list(labels),
        )
        await worker.start()
        self.workers.append(worker)
        return worker

    def add_instances(self, count: int) -> None:
        """Starts instances, each at an address of its own."""
        for number in range(count):
            ip = f'{self._net}.{10 + number}'
            port = self._port
            fields = {
                'nodeName': f'front-{number}',
                'role': 'instance',
                'machineClass': 'front',
                'serves': ['front', 'control'],
                'ip': ip,
                'zone': ZONES[number % len(ZONES)],
                'region': 'r',
                'zones': dict.fromkeys(ZONES, 'r'),
                'listen': {
                    'front': f'{ip}:{port}',
                    'ready': f'{ip}:{port + 3}',
                    'control': f'{ip}:{port + 2}',
                },
                'portRange': [port + 10, port + 25],
                'seeds': [f'{self._net}.10:{port + 2}'],
                'bootstrap': True,
                'limits': {
                    'cpuShare': 0.537,
                    'cores': 2,
                    'memoryMb': 300,
                    'maxFds': 4100,
                    'linkMbps': 1000.0,
                    'diskMb': 0,
                },
                'dataDir': None,
                'heartbeatMs': workers.HEARTBEAT_MS,
                'bounds': BOUNDS,
                'controlMode': 'call',
                'advice': '',
                'platform': {
                    'address': self.store_address,
                    'form': 'table',
                    'writesPerS': 600,
                    'readsPerS': 2000,
                    'txnMs': 4.0,
                    'partWritesS': 250,
                    'rowBytes': self.store.row_bytes,
                    'across': True,
                    'historyS': 20,
                },
                'cloud': {'address': '', 'duties': []},
            }
            settings = self.folder / f'{number}.json'
            settings.write_text(json.dumps(fields), encoding='utf-8')
            log = self.folder / f'{number}.log'
            instance = Instance(f'front-{number}', ip, settings, log)
            self.instances.append(instance)
            self.start_process(instance)

    def start_process(self, instance: Instance) -> None:
        """Starts the process of an instance."""
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'NUTMEGKNOT_CONFIG': str(instance.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with instance.log.open('ab') as out:
            instance.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=out, stderr=out
            )
        self.record.add('instance_started', name=instance.name)

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Sends a signal to the process of an instance."""
        assert instance.process is not None
        if instance.process.poll() is None:
            self.record.add('signal', name=instance.name, number=number.name)
            instance.process.send_signal(number)

    def find_owner(self) -> Instance | None:
        """Returns the instance that last wrote to the store."""
        found = self.store.rows.get(('nutmegknot', 'cell', 'jobs/owner'))
        if found is None:
            return None
        value = base64.b64decode(found[0])
        for instance in self.instances:
            if f'{instance.ip}:'.encode() in value:
                return instance
        return None

    async def wait_ready(self, timeout_s: float = 25.0) -> bool:
        """Waits until an instance serves a caller."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            status, _ = await self.call(self.instances[0], 'GET', '')
            if status == 200 and self.find_owner() is not None:
                return True
            await asyncio.sleep(0.2)
        return False

    async def call(
        self,
        instance: Instance,
        method: str,
        job_id: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Makes a call as a client; the status is 0 if no answer came."""
        assert self._session is not None
        url = f'http://{instance.ip}:{self._port}{PREFIX}{job_id}'
        headers = {
            'Host': HOST_NAME,
            'Authorization': f'Bearer {KEY}',
            'Deadline-Ms': str(int(timeout_s * 1000)),
        }
        status, fields = 0, {}
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as reply:
                text = await reply.text()
                status, fields = reply.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        if job_id:
            self.record.add(
                'call',
                method=method,
                job=job_id,
                at=instance.name,
                status=status,
                answer=fields,
            )
        return status, fields

    async def submit(self, job_id: str, body: dict[str, Any]) -> bool:
        """Hands a job in, with repetitions at any instance."""
        for attempt in range(8):
            instance = random.choice(self.instances)
            status, _ = await self.call(instance, 'POST', job_id, body)
            if status == 200:
                return True
            await asyncio.sleep(0.2 * (attempt + 1))
        return False

    async def stop(self) -> None:
        """Ends all processes and servers, and removes the folder."""
        for instance in self.instances:
            if instance.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.send_signal(signal.SIGCONT)
                    instance.process.kill()
                instance.process.wait()
        for worker in self.workers:
            await worker.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


def make_job_id() -> str:
    """Returns a new id, 16 hexadecimal digits."""
    return f'{random.getrandbits(64):016x}'


def make_spec(ms: int) -> str:
    """Returns what a job runs: how long each of its tasks works."""
    return json.dumps({'ms': ms})
