"""Stand-in for workers, with a proxy in front of each.

A worker follows the page PROTOCOL.md: leases by its own clock, fencing tokens,
run numbers, numbered ends. The proxy stands for the machine and its network: it
passes connections on, or is silent as a machine without power is.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
import time
from typing import Any

from aiohttp import web

from review.lib2 import records

MAX_LEASE_MS = 10_000
STOP_MS = 100
MAX_LISTED_ENDS = 500
HEARTBEAT_MS = 1_500
TICK_S = 0.005
# How long a worker is away that a task has crashed.
CRASHED_S = 2.0

# Writes a worker's entry into the store: takes its id and the fields.
PutRow = Callable[[str, dict[str, Any]], None]


@dataclasses.dataclass(slots=True)
class Run:
    """A run in progress."""

    task: str
    number: int
    ends_at_ms: float
    began_ms: float
    checkpoint: str
    duration_ms: float
    crashes_at_ms: float | None = None
    stops_at_ms: float | None = None


@dataclasses.dataclass(slots=True)
class Life:
    """One life of a worker: all that it forgets when it crashes."""

    number: int
    born_ms: int
    capacity: dict[str, int]
    labels: list[str]
    began_s: float
    token: int = 0
    until_ms: int = 0
    lapses: int = 0
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    barred: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[list[Any]] = dataclasses.field(default_factory=list)
    last_end: int = 0
    noted: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Worker:
    """A worker with its proxy."""

    def __init__(  # noqa: D107, PLR0913 - all are of equal rank
        self,
        worker_id: str,
        host: str,
        record: records.Record,
        put_row: PutRow,
        *,
        zone: str,
        capacity: dict[str, int],
        labels: list[str],
        service: str = 'pool',
    ) -> None:
        self.id = worker_id
        self.host = host
        self.record = record
        self.put_row = put_row
        self.zone = zone
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.address = ''
        self.life: Life | None = None
        self.lives = 0
        self.is_dark = False
        self._upstream: tuple[str, int] = ('', 0)
        self._streams: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.ServerRunner | None = None
        self._proxy: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the ports and begins the first life."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, 0)
        await site.start()
        self._upstream = self._runner.addresses[0][:2]
        self._proxy = await asyncio.start_server(
            self._pass_on, self.host, 0, backlog=256
        )
        port = self._proxy.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        self.begin_life()
        self._tasks = [
            asyncio.create_task(self._run_tasks()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def close(self) -> None:
        """Ends the worker."""
        for task in self._tasks:
            task.cancel()
        self._abort_streams()
        if self._proxy is not None:
            self._proxy.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def begin_life(self) -> None:
        """Begins a new life under the same id, and registers it at once."""
        self._abort_streams()
        self.lives += 1
        self.life = Life(
            self.lives,
            int(time.time() * 1000),
            dict(self.capacity),
            list(self.labels),
            time.monotonic(),
        )
        self.is_dark = False
        self.record.add(
            'born',
            worker=self.id,
            life=self.lives,
            labels=self.labels,
            capacity=self.capacity,
        )
        self._register()

    def crash(self) -> None:
        """The machine loses power: it is silent, and all runs are gone."""
        life = self.life
        assert life is not None
        for run in life.runs.values():
            self.record.add(
                'run_gone',
                worker=self.id,
                life=life.number,
                task=run.task,
                run=run.number,
            )
        self.record.add('crash', worker=self.id, life=life.number)
        self.is_dark = True
        self.life = None

    async def _crash_and_return(self) -> None:
        self.crash()
        await asyncio.sleep(CRASHED_S)
        self.begin_life()

    def _register(self) -> None:
        life = self.life
        if life is None:
            return
        self.put_row(
            self.id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': '1',
                'slots': 64,
                'state': 'ready',
                'coldLeftMs': 0,
                'seq': int(self.read_clock(life)) // HEARTBEAT_MS + 1,
                'capacity': life.capacity,
                'labels': life.labels,
                'born': life.born_ms,
            },
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            self._register()

    def read_clock(self, life: Life) -> int:
        """Returns the worker's steady clock, which starts with each life."""
        return int((time.monotonic() - life.began_s) * 1000) + 1

    # The proxy.

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_dark:
            # A machine without power does not answer the opening packet, and
            # the caller gives up before it sends that again. Nothing that it
            # sends is delivered.
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    pass
            self._drop(writer)
            return
        self._streams.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            self._drop(writer)
            return
        self._streams.add(up_writer)
        life = self.life
        await asyncio.gather(
            self._copy(reader, up_writer, life),
            self._copy(up_reader, writer, life),
        )
        self._drop(writer)
        self._drop(up_writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        life: Life | None,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if self.life is life:
                    writer.write(data)
                    await writer.drain()
        if self.life is life:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._streams.discard(writer)
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    def _abort_streams(self) -> None:
        for writer in list(self._streams):
            writer.transport.abort()
        self._streams.clear()

    # Calls.

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        call = json.loads(await request.read() or b'{}')
        expected = request.headers.get('Expect-Instance', self.id)
        if expected != self.id:
            return web.Response(status=421)
        status, fields = await self._answer(request.path, call)
        return web.json_response(fields, status=status)

    async def _answer(
        self, path: str, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        life = self.life
        if life is None:
            await asyncio.sleep(30)
            return 503, {}
        token = call.get('fencingToken', 0)
        if token < life.token:
            return 409, {'clockMs': self.read_clock(life), 'reason': 'fence'}
        life.token = token
        if path == '/api/hold':
            return await self._answer_hold(life, call)
        if path == '/api/run-start':
            return self._answer_start(life, call)
        if path == '/api/run-stop':
            return self._answer_stop(life, call)
        if path == '/api/pace':
            return 200, self._make_fields(life)
        return 400, {}

    def _make_fields(self, life: Life) -> dict[str, Any]:
        return {'clockMs': self.read_clock(life), 'born': life.born_ms}

    def _extend_lease(self, life: Life, until_ms: int) -> None:
        highest = self.read_clock(life) + MAX_LEASE_MS
        life.until_ms = max(life.until_ms, min(until_ms, highest))

    def _answer_start(
        self, life: Life, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        task, number = call['task'], call['run']
        fields = self._make_fields(life)
        present = life.runs.get(task)
        if present is not None and present.number == number:
            return 200, fields
        if call['untilMs'] < self.read_clock(life):
            return 409, {**fields, 'reason': 'late'}
        self._extend_lease(life, call['untilMs'])
        if number <= life.barred.get(task, 0) or present is not None:
            return 409, {**fields, 'reason': 'old'}
        # 'admissionCheck' is false: it starts whatever it is told to start.
        spec = json.loads(call['spec'])
        index = int(task.rpartition('.')[2])
        spread_ms = spec.get('spread_ms', 0)
        duration_ms = spec['ms'] + spread_ms * (index % 100) // 100
        checkpoint = call.get('checkpoint', '')
        done_ms = int(checkpoint or '0', 16)
        clock_ms = self.read_clock(life)
        life.runs[task] = Run(
            task,
            number,
            clock_ms + duration_ms - done_ms,
            clock_ms - done_ms,
            checkpoint,
            duration_ms,
            clock_ms + spec['crash_ms'] if 'crash_ms' in spec else None,
        )
        self.record.add(
            'start',
            worker=self.id,
            life=life.number,
            task=task,
            run=number,
            token=call['fencingToken'],
            labels=life.labels,
        )
        return 200, fields

    def _answer_stop(
        self, life: Life, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        task, number = call['task'], call['run']
        life.barred[task] = max(life.barred.get(task, 0), number)
        run = life.runs.get(task)
        if run is not None and run.number == number and not run.stops_at_ms:
            run.stops_at_ms = self.read_clock(life) + STOP_MS
        return 200, self._make_fields(life)

    async def _answer_hold(
        self, life: Life, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if call.get('untilMs'):
            self._extend_lease(life, call['untilMs'])
        last_seen = call['lastSeen']
        if last_seen > life.noted:
            for end in life.ends:
                if end[0] <= last_seen:
                    self.record.add(
                        'noted',
                        worker=self.id,
                        life=life.number,
                        number=end[0],
                        task=end[1],
                        run=end[2],
                        how=end[3],
                        last_seen=last_seen,
                        lapses=life.lapses - end[5],
                    )
            life.ends = [end for end in life.ends if end[0] > last_seen]
            life.noted = last_seen
        until_s = time.monotonic() + min(call.get('waitMs', 0), 2_000) / 1000
        while not life.ends and time.monotonic() < until_s:
            life.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until_s - time.monotonic()):
                    await life.changed.wait()
        clock_ms = self.read_clock(life)
        return 200, {
            **self._make_fields(life),
            'running': [
                [run.task, run.number, self._save(run, clock_ms), 100, 0]
                for run in life.runs.values()
            ],
            'ended': [end[:5] for end in life.ends[:MAX_LISTED_ENDS]],
        }

    def _save(self, run: Run, clock_ms: float) -> str:
        """Returns the checkpoint of a run: the ms of work that it has done."""
        if run.duration_ms < 1_000:
            return ''
        done_ms = int(min(clock_ms - run.began_ms, run.duration_ms - 1))
        return f'{done_ms // 1_000 * 1_000:016x}' if done_ms >= 1_000 else ''

    # Runs.

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            life = self.life
            if life is None:
                continue
            clock_ms = self.read_clock(life)
            if any(
                run.crashes_at_ms and clock_ms >= run.crashes_at_ms
                for run in life.runs.values()
            ):
                await self._crash_and_return()
                continue
            if life.runs and clock_ms > life.until_ms:
                life.lapses += 1
                for run in list(life.runs.values()):
                    self._end(life, run, 'lapsed', clock_ms)
            for run in list(life.runs.values()):
                if run.stops_at_ms and clock_ms >= run.stops_at_ms:
                    self._end(life, run, 'stopped', clock_ms)
                elif clock_ms >= run.ends_at_ms:
                    self._end(life, run, 'done', clock_ms)

    def _end(self, life: Life, run: Run, how: str, clock_ms: int) -> None:
        del life.runs[run.task]
        life.barred[run.task] = max(life.barred.get(run.task, 0), run.number)
        life.last_end += 1
        saved = '' if how == 'done' else self._save(run, clock_ms)
        life.ends.append(
            [life.last_end, run.task, run.number, how, saved, life.lapses]
        )
        life.changed.set()
        self.record.add(
            'end',
            worker=self.id,
            life=life.number,
            number=life.last_end,
            task=run.task,
            run=run.number,
            how=how,
        )
