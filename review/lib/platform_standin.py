"""Stand-ins for the users' platform, and the processes under test.

The store, the workers, the advice service and the clients run in the process of
the script, on loopback addresses and on the real clock. The instances are the
project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import collections
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('kochi-a', 'kochi-b', 'alappuzha')
REGION = 'kerala-south'
QUEUE_HOST = 'queue.example'
PREFIX = '/jobs01/'
OTHER_PREFIX = '/other01/'
SERVICE = 'authoring1'
HEARTBEAT_S = 1.5
TXN_S = 0.004
ROW_BYTES = 65_536
STOP_S = 0.1
# Time of a call for advice, besides 1 ms a worker, and validity of a ticket.
ADVICE_MS = 20
TICKET_S = 1.5
# The bounds of the site file, as the settings file gives them.
BOUNDS = {
    'contactMs': 3000,
    'ackMs': 4000,
    'graceS': 6,
    'drainMs': 2000,
    'configApplyMs': 2000,
    'maxHoldMs': 10000,
    'stopGraceMs': 400,
    'gangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'recoveryS': 12,
    'checkpointS': 1,
    'restoreMs': 100,
    'requireFencing': True,
    'leaseMs': 3000,
    'paceMs': 100,
    'evacuateMs': 5000,
}


def now() -> float:
    """Returns the steady clock in seconds."""
    return time.monotonic()


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Sets up the object; nothing runs yet."""
        self.began = now()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def write(self, text: str) -> None:
        """Writes a line."""
        self.file.write(f'{now() - self.began:9.3f} {text}\n')

    def say(self, text: str) -> None:
        """Writes a line to the file and to the output."""
        self.write(text)
        self.file.flush()
        print(text, flush=True)


class Server:
    """An HTTP server on a loopback address that can stop and come back."""

    def __init__(self, routes: list, host: str = '127.0.0.1') -> None:
        """Sets up the object; nothing runs yet."""
        self.routes = routes
        self.host = host
        self.port = 0
        self.runner = None
        self.transports = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Starts it."""
        app = web.Application(client_max_size=4 << 20)

        @web.middleware
        async def track(
            request: web.Request, handler: collections.abc.Callable
        ) -> web.StreamResponse:
            self.transports.add(request.transport)
            return await handler(request)

        app.middlewares.append(track)
        app.add_routes(self.routes)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self.runner.setup()
        site = web.TCPSite(
            self.runner, self.host, self.port, reuse_address=True
        )
        await site.start()
        self.port = self.runner.addresses[0][1]

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for transport in self.transports:
            if transport is not None:
                transport.abort()
        self.transports.clear()

    async def stop(self) -> None:
        """Ends the server: connections are reset, new ones are refused."""
        if self.runner is not None:
            runner, self.runner = self.runner, None
            self.reset_connections()
            await runner.cleanup()


class Store:
    """The platform's store: rows with versions, transactions and a feed.

    `fault` is '', 'silent' (calls of the instances are not carried out and get
    no answer) or 'busy' (they are answered with 503). `slowness` is by how much
    answers take longer.
    """

    def __init__(self, record: Record) -> None:
        """Sets up the object; nothing runs yet."""
        self.record = record
        self.rows = {}
        self.version = 1
        self.changes = collections.deque(maxlen=20_000)
        self.changed = asyncio.Event()
        self.fault = ''
        self.slowness = 1
        self.refused_sizes = []
        self.commits = 0
        self.server = Server(
            [
                web.post('/api/rows-tx', self.transact),
                web.get('/api/rows-get', self.get),
                web.get('/api/rows-feed', self.feed),
            ]
        )

    def put(self, table: str, key: str, fields: dict) -> None:
        """Writes a row as the operator or a worker."""
        self.version += 1
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self.apply((table, '', key), value)

    def remove(self, table: str, key: str) -> None:
        """Removes a row as the platform."""
        if (table, '', key) in self.rows:
            self.version += 1
            self.apply((table, '', key), None)

    def apply(self, name: tuple, value: str | None) -> None:
        """Applies a change of one row."""
        row = dict(zip(('table', 'part', 'key'), name, strict=True))
        row['rowVersion'] = self.version
        if value is None:
            self.rows.pop(name, None)
            row['deleted'] = True
        else:
            self.rows[name] = (value, self.version)
            row['value'] = value
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def pass_fault(self) -> None:
        """Applies the present fault to a call."""
        if self.fault == 'silent':
            # The call is lost on its way; nothing ever comes back.
            await asyncio.sleep(3600)
        if self.fault == 'busy':
            raise web.HTTPServiceUnavailable

    async def transact(self, request: web.Request) -> web.Response:
        """Handles a transaction."""
        call = await request.json()
        await self.pass_fault()
        await asyncio.sleep(TXN_S * self.slowness)
        await self.pass_fault()
        for row in call.get('puts', ()):
            size = len(base64.b64decode(row['value']))
            if size > ROW_BYTES:
                self.refused_sizes.append((now(), row['key'], size))
                self.record.write(
                    f'store refuses a write: row {row["key"]} has {size} bytes,'
                    f' rowBytes is {ROW_BYTES}'
                )
                return web.json_response(
                    {'rowVersion': self.version, 'nowMs': int(now() * 1000)},
                    status=400,
                )
        present, failed = [], False
        for row in call.get('precondition', ()):
            name = (row['table'], row.get('part', ''), row['key'])
            value, version = self.rows.get(name, ('', 0))
            failed = failed or version != row['rowVersion']
            if version:
                present.append({**row, 'value': value, 'rowVersion': version})
        if failed:
            return web.json_response(
                {
                    'rows': present,
                    'rowVersion': self.version,
                    'nowMs': int(now() * 1000),
                },
                status=412,
            )
        self.version += 1
        self.commits += 1
        for row in call.get('puts', ()):
            self.apply(
                (row['table'], row.get('part', ''), row['key']), row['value']
            )
        for row in call.get('remove', ()):
            name = (row['table'], row.get('part', ''), row['key'])
            if name in self.rows:
                self.apply(name, None)
        return web.json_response(
            {'rowVersion': self.version, 'nowMs': int(now() * 1000)}
        )

    async def get(self, request: web.Request) -> web.Response:
        """Handles a read of rows."""
        await self.pass_fault()
        await asyncio.sleep(TXN_S * self.slowness)
        query = request.query
        start, end = query.get('from', ''), query.get('target')
        limit = min(500, int(query.get('limit', 500)))
        keys = sorted(
            name
            for name in self.rows
            if name[:2] == (query['table'], query.get('part', ''))
            and name[2] >= start
            and (not end or name[2] < end)
        )
        rows, size = [], 0
        for name in keys[:limit]:
            value, version = self.rows[name]
            size += len(value)
            if rows and size > 1_000_000:
                break
            rows.append(
                {
                    'table': name[0],
                    'part': name[1],
                    'key': name[2],
                    'value': value,
                    'rowVersion': version,
                }
            )
        return web.json_response(
            {
                'rows': rows,
                'morePages': len(rows) < len(keys),
                'rowVersion': self.version,
                'nowMs': int(now() * 1000),
            }
        )

    async def feed(self, request: web.Request) -> web.Response:
        """Handles a wait for changes."""
        await self.pass_fault()
        table, after = request.query['table'], int(request.query['after'])
        until = now() + min(30_000, int(request.query['waitMs'])) / 1000
        while True:
            found = [
                row
                for row in self.changes
                if row['table'] == table and row['rowVersion'] > after
            ]
            left = until - now()
            await self.pass_fault()
            if found or left <= 0:
                return web.json_response(
                    {
                        'rows': found,
                        'rowVersion': self.version,
                        'nowMs': int(now() * 1000),
                    }
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Worker:
    """A worker. Its clock starts anew with each life; it keeps its id.

    Attributes:
      others: All workers.
      doubled: Texts on tasks that started while another run of them was there.
      done: (worker, number of the end) of the first run of each task that ended
        as done, by task, on all workers.
      started_again: (worker, number of the end, text) of the tasks that started
        after such an end.
      lapsed_end: Number of the last end when the lease lapsed last.
      late_starts: Texts on tasks that started on draining workers.
      state: 'up'; 'cut' (machines of the system can't reach it, it runs on and
        reaches the store); 'mute' (calls are not carried out and get no answer,
        health is good); 'dark' (it has crashed, and calls get no answer);
        'down' (its process has crashed, and connections are refused).
    """

    def __init__(
        self, store: Store, record: Record, number: int, cores: int, rack: int
    ) -> None:
        """Sets up the object; nothing runs yet."""
        self.store, self.record = store, record
        self.others = []
        self.is_ticket_valid = lambda worker, call: True
        self.tickets_missing = 0
        self.doubled = []
        self.done = {}
        self.started_again = []
        self.late_starts = []
        self.id = f'i-{random.getrandbits(40):010x}'
        self.zone = ZONES[number % len(ZONES)]
        self.capacity = {'cpu': cores * 1000, 'memMb': 262_144, 'gpu': 0}
        self.labels = ['a', f'r{rack}-1']
        self.state = 'up'
        self.drain_at = 0.0
        self.draining = False
        self.server = Server(
            [
                web.post('/api/run-start', self.start_run),
                web.post('/api/run-stop', self.stop_run),
                web.post('/api/hold', self.hold),
                web.post('/api/pace', self.pace),
                web.get('/health', self.health),
            ]
        )
        self.begin_life()

    def begin_life(self) -> None:
        """Begins a life in which nothing is known."""
        self.born_ms = int(time.time() * 1000)
        self.born = now()
        self.token = 0
        self.until_ms = 0
        self.runs = {}
        self.next_end = 0.0
        self.barred = {}
        self.ends = []
        self.last_end = 0
        self.last_seen = 0
        self.lapsed_end = 0
        self.seq = 0
        self.ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Returns the clock of this life in ms."""
        return int((now() - self.born) * 1000)

    def register(self) -> None:
        """Writes the entry in the list of workers."""
        self.seq += 1
        self.store.put(
            'servers',
            self.id,
            {
                'service': SERVICE,
                'address': self.server.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'draining' if self.draining else 'ready',
                'coldLeftMs': 0,
                'capacity': self.capacity,
                'labels': self.labels,
                'clockMs': self.clock_ms(),
                'seq': self.seq,
                'born': self.born_ms,
            },
        )

    async def run(self) -> None:
        """Registers with the store and ends runs that are over."""
        due = 0.0
        while True:
            if self.state in ('up', 'cut', 'mute'):
                if now() >= due:
                    self.register()
                    due = now() + HEARTBEAT_S
                self.tick()
            else:
                due = 0.0
            await asyncio.sleep(0.01)

    def tick(self) -> None:
        """Ends the runs that are over."""
        if not self.runs:
            return
        clock = self.clock_ms()
        if clock <= self.until_ms and now() < self.next_end:
            return
        if clock > self.until_ms:
            for task in list(self.runs):
                self.end(task, 'lapsed')
        for task, run in list(self.runs.items()):
            if run['stop_at'] is not None and now() >= run['stop_at']:
                self.end(task, 'stopped')
            elif now() >= run['end_at']:
                self.end(task, 'done')
        self.next_end = min(
            (
                run['end_at']
                if run['stop_at'] is None
                else min(run['stop_at'], run['end_at'])
                for run in self.runs.values()
            ),
            default=0.0,
        )

    def saved(self, run: dict) -> str:
        """Returns the newest checkpoint of a run, as a string."""
        if not run['saves']:
            return ''
        seconds = int(now() - run['began'])
        return (
            f'{int(run["base"] or "0", 16) + seconds:016x}'
            if seconds
            else run['base']
        )

    def end(self, task: str, how: str) -> None:
        """Ends a run and lists its end."""
        run = self.runs.pop(task)
        self.last_end += 1
        self.barred[task] = max(self.barred.get(task, 0), run['run'])
        if how == 'done':
            self.done.setdefault(task, (self, self.last_end))
        saved = '' if how == 'done' else self.saved(run)
        self.ends.append([self.last_end, task, run['run'], how, saved])
        self.record.write(
            f'worker {self.id} ends {task} run {run["run"]}: {how}'
        )
        self.ended.set()
        self.ended = asyncio.Event()

    async def crash(self, state: str) -> None:
        """Ends this life: 'dark' or 'down'. All that runs here is gone."""
        self.record.write(
            f'worker {self.id} crashes ({state}) with {len(self.runs)} runs'
        )
        self.state = state
        self.begin_life()
        if state == 'down':
            await self.server.stop()

    async def come_back(self) -> None:
        """Starts the next life, under the same id and address."""
        self.begin_life()
        self.record.write(f'worker {self.id} is back, born {self.born_ms}')
        if self.state == 'down':
            await self.server.start()
        self.state = 'up'
        self.register()

    def cut(self) -> None:
        """Cuts the worker off from the system."""
        self.record.write(f'worker {self.id} is cut off from the system')
        self.state = 'cut'

    def mute(self) -> None:
        """Lets calls go unanswered."""
        self.record.write(f'worker {self.id} leaves calls unanswered')
        self.state = 'mute'

    def drain(self) -> None:
        """Reports that this worker is draining."""
        self.draining = True
        self.register()
        self.drain_at = now()
        self.record.write(f'the store has accepted that {self.id} is draining')

    def heal(self) -> None:
        """Ends a cut, or a time without answers."""
        self.record.write(f'worker {self.id} answers the system again')
        self.state = 'up'
        self.server.reset_connections()

    async def admit(self, request: web.Request) -> dict:
        """Returns the body of a call; never returns if it doesn't arrive."""
        call = await request.json()
        if self.state != 'up':
            await asyncio.sleep(3600)
        return call

    def reply(self, status: int = 200, **fields: object) -> web.Response:
        """Returns an answer with the clock and the birth."""
        fields = {'clockMs': self.clock_ms(), 'born': self.born_ms, **fields}
        return web.json_response(fields, status=status)

    def check(self, request: web.Request, call: dict) -> web.Response | None:
        """Returns the refusal of a call, or None; keeps the highest token."""
        expected = request.headers.get('Expect-Instance')
        if expected and expected != self.id:
            return self.reply(421)
        token = call.get('fencingToken', 0)
        if token < self.token:
            return self.reply(409, reason='fence')
        self.token = token
        return None

    def extend(self, until_ms: int) -> None:
        """Extends the lease; it never shortens."""
        if self.clock_ms() > self.until_ms:
            self.lapsed_end = self.last_end
        limit = self.clock_ms() + BOUNDS['maxHoldMs']
        self.until_ms = max(self.until_ms, min(until_ms, limit))

    async def health(self, request: web.Request) -> web.Response:
        """Handles a health check."""
        if self.state not in ('up', 'mute'):
            await asyncio.sleep(3600)
        return web.Response(
            status=503 if self.draining else 200,
            headers={'Instance-Id': self.id},
        )

    async def start_run(self, request: web.Request) -> web.Response:
        """Handles a start."""
        call = await self.admit(request)
        refused = self.check(request, call)
        if refused is not None:
            return refused
        task, number = call['task'], call['run']
        known = self.runs.get(task)
        if known is not None and known['run'] == number:
            self.extend(call['untilMs'])
            return self.reply()
        if number <= self.barred.get(task, 0) or known is not None:
            self.extend(call['untilMs'])
            return self.reply(409, reason='old')
        if call['untilMs'] < self.clock_ms():
            return self.reply(409, reason='late')
        if not self.is_ticket_valid(self, call):
            self.tickets_missing += 1
            self.record.write(
                f'worker {self.id} refuses {task} run {number}: ticket is'
                f' {call.get("ticket")!r}'
            )
            return self.reply(409, reason='ticket')
        self.extend(call['untilMs'])
        spec = json.loads(call['spec'])
        base = call.get('checkpoint', '')
        work = spec['ms'] / 1000 - int(base or '0', 16)
        self.check_other_runs(task, number)
        self.check_done(task, number)
        self.check_drain(task, number)
        self.runs[task] = {
            'run': number,
            'began': now(),
            'base': base,
            'saves': spec.get('saves', False),
            'stop_at': None,
            'end_at': now() + max(0.05, work),
        }
        self.next_end = min(self.next_end, self.runs[task]['end_at'])
        self.record.write(
            f'worker {self.id} starts {task} run {number} token'
            f' {call.get("fencingToken", 0)} untilMs {call["untilMs"]} at clock'
            f' {self.clock_ms()}'
        )
        return self.reply()

    def check_done(self, task: str, number: int) -> None:
        """Records a start after a run of the task has ended as done."""
        if task in self.done:
            worker, end = self.done[task]
            text = (
                f'{task} run {number} starts on {self.id} after a run of it has'
                f' ended as done on {worker.id}, end {end} there'
            )
            self.record.write(f'AGAIN {text}')
            self.started_again.append((worker, end, text))

    def check_drain(self, task: str, number: int) -> None:
        """Records a start more than drainMs after the report."""
        after = now() - self.drain_at
        if self.draining and after > BOUNDS['drainMs'] / 1000:
            text = (
                f'{task} run {number} starts on {self.id} {after:.2f} s after'
                ' the store accepted that it is draining'
            )
            self.record.write(f'DRAIN {text}')
            self.late_starts.append(text)

    def check_other_runs(self, task: str, number: int) -> None:
        """Records a start while another run of the task is on a worker."""
        for other in self.others:
            if other is self or other.state not in ('up', 'cut', 'mute'):
                continue
            other.tick()
            run = other.runs.get(task)
            if run is not None:
                text = (
                    f'{task} run {number} starts on {self.id} while run'
                    f' {run["run"]} of it is on {other.id}, at work for'
                    f' {now() - run["began"]:.2f} s'
                )
                self.record.write(f'TWICE {text}')
                self.doubled.append(text)

    async def stop_run(self, request: web.Request) -> web.Response:
        """Handles a stop."""
        call = await self.admit(request)
        refused = self.check(request, call)
        if refused is not None:
            return refused
        task, number = call['task'], call['run']
        self.record.write(
            f'worker {self.id} is told to stop {task} run {number}'
        )
        run = self.runs.get(task)
        if run is not None and run['run'] <= number:
            if run['stop_at'] is None:
                run['stop_at'] = now() + STOP_S
                self.next_end = min(self.next_end, run['stop_at'])
        else:
            self.barred[task] = max(self.barred.get(task, 0), number)
        return self.reply()

    async def pace(self, request: web.Request) -> web.Response:
        """Handles a change of pace."""
        call = await self.admit(request)
        refused = self.check(request, call)
        return self.reply() if refused is None else refused

    async def hold(self, request: web.Request) -> web.Response:
        """Handles a poll."""
        call = await self.admit(request)
        refused = self.check(request, call)
        if refused is not None:
            return refused
        life = self.born_ms
        seen = call.get('lastSeen', 0)
        self.last_seen = max(self.last_seen, seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        if 'untilMs' in call:
            self.extend(call['untilMs'])
        wait_s = min(2000, call.get('waitMs', 0)) / 1000
        if wait_s and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait_s)
        if self.state != 'up' or life != self.born_ms:
            await asyncio.sleep(3600)
        return self.reply(
            running=[
                [task, run['run'], self.saved(run), 100, 0]
                for task, run in self.runs.items()
            ],
            ended=self.ends[:500],
        )


class Instance:
    """An instance of the system: one process of the deploy file's role."""

    def __init__(
        self,
        number: int,
        ip: str,
        port: int,
        folder: pathlib.Path,
        platform: 'Platform',
    ) -> None:
        """Sets up the object; nothing runs yet."""
        self.name = f'front-{ZONES[number % 3]}-{number // 3 + 1}'
        self.ip, self.port = ip, port
        self.log = folder / f'{self.name}.log'
        self.settings = folder / f'{self.name}.json'
        self.process = None
        zone = ZONES[number % 3]
        self.settings.write_text(
            json.dumps(
                {
                    'nodeName': self.name,
                    'role': 'instance',
                    'machineClass': 'front',
                    'serves': ['front', 'control'],
                    'ip': ip,
                    'zone': zone,
                    'region': REGION,
                    'zones': dict.fromkeys(ZONES, REGION),
                    'listen': {
                        'front': f'{ip}:{port}',
                        'ready': f'{ip}:{port + 1}',
                        'control': f'{ip}:{port + 2}',
                    },
                    'portRange': [port + 3, port + 18],
                    'seeds': [],
                    'bootstrap': True,
                    'countsAsLoss': False,
                    'limits': {
                        'cpuShare': 0.537,
                        'cores': 2,
                        'memoryMb': 300,
                        'maxFds': 4100,
                        'linkMbps': 1000.0,
                        'diskMb': 0,
                    },
                    'dataDir': None,
                    'discovery': 'platform',
                    'entry': 'vip',
                    'heartbeatMs': 1500,
                    'contracts': [
                        'base',
                        'drain',
                        'config',
                        'cost',
                        'recover',
                        'sched',
                        'tenants',
                        'quota',
                        'places',
                        'platform',
                    ],
                    'tolerate': {'machines': 1, 'zones': 1, 'regions': 0},
                    'bounds': BOUNDS,
                    'controlMode': 'call',
                    'advice': platform.advice.address,
                    'platform': {
                        'address': platform.store.server.address,
                        'form': 'table',
                        'writesPerS': 600,
                        'readsPerS': 2000,
                        'txnMs': 4.0,
                        'partWritesS': 250,
                        'rowBytes': ROW_BYTES,
                        'across': True,
                        'historyS': 20,
                    },
                }
            ),
            encoding='utf-8',
        )

    def start(self) -> None:
        """Starts it."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(role['roles']['instance']['run'])
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['NUTMEGKNOT_CONFIG'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log.open('ab') as out:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Tells whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Platform:
    """The whole small deployment."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        """Sets up the object; nothing runs yet."""
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.advice = Server([web.post('/api/advise', self.advise)])
        self.workers = []
        self.tenants = {}
        self.needs_tickets = False
        self.tickets = {}
        self.doubled = []
        self.done = {}
        self.started_again = []
        self.late_starts = []
        self.instances = []
        self.tasks = []

    async def advise(self, request: web.Request) -> web.Response:
        """Handles a call for advice; all workers are good."""
        call = await request.json()
        await asyncio.sleep((ADVICE_MS + len(call['workers'])) / 1000)
        good = []
        for worker in self.workers:
            if worker.id in call['workers']:
                ticket = f'{random.getrandbits(64):016x}'
                self.tickets[ticket] = (
                    call['step'],
                    worker.id,
                    worker.born_ms,
                    now() + TICKET_S,
                )
                good.append([worker.id, ticket])
        return web.json_response(
            {'good': good, 'validMs': int(TICKET_S * 1000)}
        )

    def is_ticket_valid(self, worker: Worker, call: dict) -> bool:
        """Tells whether a start has the ticket that its step needs."""
        if not self.needs_tickets:
            return True
        found = self.tickets.get(call.get('ticket'))
        step = call['task'].rpartition('.')[0]
        return (
            found is not None
            and found[:3] == (step, worker.id, worker.born_ms)
            and now() <= found[3]
        )

    async def start(
        self, workers: int, instances: int, tenants: dict, cores: int = 64
    ) -> None:
        """Starts it."""
        await self.store.server.start()
        await self.advice.start()
        self.tenants = tenants
        self.configure(7)
        for _ in range(workers):
            await self.add_worker(cores)
        base = find_network()
        port = find_ports(base)
        for number in range(instances):
            instance = Instance(
                number, f'{base}.{number + 2}', port, self.folder, self
            )
            self.instances.append(instance)
            instance.start()

    def configure(
        self, version: int, *, advice: bool = False, has_queue: bool = True
    ) -> None:
        """Writes a version of the configuration, as the operator.

        Args:
          version: Its number.
          advice: Whether the queue has advice.
          has_queue: Whether the queue is there.
        """
        route = {
            'name': 'r-jobs',
            'host': QUEUE_HOST,
            'pathPrefix': PREFIX,
            'type': 'unsafe',
            'timeoutMs': 3000,
            'targetLatencyMs': 3000,
            'priority': 1,
            'service': SERVICE,
            'attempts': 4,
            'stretch': 4.0,
            'public': False,
        }
        if advice:
            route['advice'] = {'decideMs': ADVICE_MS, 'periodMs': 1}
        # A second queue, so that the service is always in use.
        other = {**route, 'name': 'r-other', 'pathPrefix': OTHER_PREFIX}
        self.needs_tickets = self.needs_tickets or advice
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': [route, other] if has_queue else [other],
                'services': [{'name': SERVICE, 'admissionCheck': False}],
                'tenants': [
                    {
                        'name': name,
                        'apiKeys': [key],
                        'weight': 1.0,
                        'cap': {'cpu': 0, 'memMb': 0, 'gpu': 0},
                    }
                    for name, key in self.tenants.items()
                ],
                'limits': {'maxBodyBytes': 262144},
            },
        )

    async def add_worker(self, cores: int = 64) -> Worker:
        """Adds a worker to the fleet; racks hold five."""
        number = len(self.workers)
        worker = Worker(self.store, self.record, number, cores, number // 5)
        await worker.server.start()
        worker.is_ticket_valid = self.is_ticket_valid
        worker.others, worker.doubled = self.workers, self.doubled
        worker.done, worker.started_again = self.done, self.started_again
        worker.late_starts = self.late_starts
        self.workers.append(worker)
        self.tasks.append(asyncio.create_task(worker.run()))
        return worker

    def running(self) -> list:
        """Returns (worker, task, run) of all that runs on workers in touch."""
        return [
            (worker, task, run)
            for worker in self.workers
            if worker.state in ('up', 'cut', 'mute')
            for task, run in worker.runs.items()
        ]

    def list_noted(self) -> list:
        """Returns the texts on starts after an end that was taken note of.

        An end doesn't count if the worker's lease lapsed before that.
        """
        return [
            text
            for worker, end, text in self.started_again
            if worker.lapsed_end < end <= worker.last_seen
        ]

    async def stop(self) -> None:
        """Ends it."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                await asyncio.to_thread(instance.process.wait)


def find_network() -> str:
    """Returns a loopback network of this process."""
    own = os.getpid()
    return f'127.{20 + own % 200}.{own // 200 % 250}'


def find_ports(base: str) -> int:
    """Returns the first of twenty ports that are free on the addresses."""
    while True:
        port = random.randrange(20_000, 30_000)
        try:
            for offset in range(20):
                with socket.socket() as probe:
                    probe.bind((f'{base}.2', port + offset))
            return port
        except OSError:
            continue


class Clients:
    """Clients behind the platform's balancer."""

    def __init__(self, platform: Platform, record: Record) -> None:
        """Sets up the object; nothing runs yet."""
        self.platform, self.record = platform, record
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.ready = set()

    async def close(self) -> None:
        """Closes the session."""
        await self.session.close()

    async def watch_ready(self) -> None:
        """Looks at each instance once a second, as the balancer does."""
        misses = collections.Counter()
        while True:
            for instance in self.platform.instances:
                try:
                    async with self.session.get(
                        f'http://{instance.ip}:{instance.port + 1}/api/ready',
                        timeout=aiohttp.ClientTimeout(total=0.5),
                    ) as reply:
                        good = reply.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    good = False
                misses[instance.name] = 0 if good else misses[instance.name] + 1
                if good:
                    self.ready.add(instance)
                elif misses[instance.name] >= 2:
                    self.ready.discard(instance)
            await asyncio.sleep(1)

    async def call(
        self,
        method: str,
        path: str,
        key: str,
        body: dict = None,
        deadline_s: float = 3.0,
    ) -> tuple:
        """Makes one call; returns the status (0 for no answer) and the body."""
        instance = random.choice(
            sorted(self.ready, key=lambda i: i.name) or self.platform.instances
        )
        headers = {
            'Host': QUEUE_HOST,
            'Authorization': f'Bearer {key}',
            'Deadline-Ms': str(int(deadline_s * 1000)),
        }
        sent = f'{method} {path} to {instance.name}'
        try:
            async with self.session.request(
                method,
                f'http://{instance.ip}:{instance.port}{path}',
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_s),
            ) as reply:
                text = await reply.text()
                status = reply.status
                after = reply.headers.get('Retry-After')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.write(f'{sent}: no answer ({type(error).__name__})')
            return 0, {}, None
        self.record.write(f'{sent}: {status} {text[:80]}')
        return status, json.loads(text) if text else {}, after

    async def submit(
        self, id: str, key: str, body: dict, tries: int = 20
    ) -> int:
        """Hands a job in; returns the last status."""
        status = 0
        for _ in range(tries):
            status, _, after = await self.call('POST', PREFIX + id, key, body)
            if 200 <= status < 300 or status in (400, 401, 404):
                break
            await asyncio.sleep(min(2.0, float(after or 0.3)))
        return status

    async def cancel(self, id: str, key: str, tries: int = 40) -> float | None:
        """Cancels a job; returns when that was acknowledged."""
        for _ in range(tries):
            status, _, _ = await self.call('DELETE', PREFIX + id, key)
            if 200 <= status < 300 or status == 410:
                return now()
            await asyncio.sleep(0.2)
        return None

    async def wait_serving(self, key: str, limit_s: float = 30) -> bool:
        """Waits until every instance answers a call for an unknown job."""
        until = now() + limit_s
        waiting = list(self.platform.instances)
        while waiting and now() < until:
            instance = waiting[0]
            try:
                async with self.session.get(
                    f'http://{instance.ip}:{instance.port}{PREFIX}{"f" * 16}',
                    headers={
                        'Host': QUEUE_HOST,
                        'Authorization': f'Bearer {key}',
                        'Deadline-Ms': '1000',
                    },
                    timeout=aiohttp.ClientTimeout(total=1.5),
                ) as reply:
                    if reply.status == 410:
                        waiting.pop(0)
                        continue
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        return not waiting


def make_id() -> str:
    """Returns an id of a job."""
    return f'{random.getrandbits(64):016x}'


def trouble() -> bool:
    """Whether the script causes the disruption (TROUBLE=0 leaves it out)."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(script: collections.abc.Callable, folder: pathlib.Path) -> None:
    """Plays a script and exits with its verdict: 0, 1, or 2 on an error."""

    async def play(temporary: pathlib.Path) -> int:
        record = Record(folder)
        platform = Platform(record, temporary)
        clients = Clients(platform, record)
        watch = asyncio.create_task(clients.watch_ready())
        try:
            async with asyncio.timeout(112):
                return await script(platform, clients, record)
        finally:
            watch.cancel()
            await platform.stop()
            await clients.close()
            record.file.close()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(play(pathlib.Path(temporary)))
        except Exception as error:  # noqa: BLE001 - the case could not run
            print(f'the case could not run: {error!r}', file=sys.stderr)
            verdict = 2
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(temporary).glob('*.log'):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    sys.stdout.flush()
    os._exit(verdict)
