"""Calls that meet the next life of their worker, over real connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

from aiohttp import web
from lib import job_cells
import pytest

from nutmegknot._internal.backing import runners
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import http_client
from nutmegknot._internal.platform import platform_workers

NAME = jobs.TaskName('a' * 16, 0, 0, 0)
TIMEOUT_MS = 2_000
TOKEN = 3
EARLIER_LIFE = 1_000
NEXT_LIFE = 2_000


@dataclasses.dataclass(slots=True)
class Life:
    """A life of a worker: all that it forgets when it restarts.

    Attributes:
      number: Its number.
      calls: Paths and bodies of the calls that it has answered.
      last_seen: Number up to which ends are acknowledged.
      until_ms: End of the lease.
      started: Tasks that it has started.
    """

    number: int
    calls: list[tuple[str, dict[str, Any]]] = dataclasses.field(
        default_factory=list
    )
    last_seen: int = 0
    until_ms: int = 0
    started: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Server:
    """A worker that is served over HTTP.

    Attributes:
      life: Its present life.
      runner: Its server.
      keeps_connections: Whether connections stay open after an answer.
      is_mute: Whether calls are carried out without an answer.
      calls_without_answer: Number of calls that were carried out so.
    """

    life: Life
    runner: web.ServerRunner
    keeps_connections: bool = True
    is_mute: bool = False
    calls_without_answer: int = 0


def answer(life: Life, path: str, call: dict[str, Any]) -> dict[str, Any]:
    """Carries out a call as the platform's workers do."""
    life.calls.append((path, call))
    life.last_seen = max(life.last_seen, call.get('lastSeen', 0))
    life.until_ms = max(life.until_ms, call.get('untilMs', 0))
    if path == '/api/hold':
        end = [1, jobs.format_task(NAME), 1, 'done', '']
        return {
            'clockMs': 5,
            'born': life.number,
            'running': [],
            'ended': [end] if life.last_seen < 1 else [],
        }
    if path == '/api/run-start':
        life.started.append(call['task'])
    return {'clockMs': 5}


@contextlib.asynccontextmanager
async def serve() -> AsyncIterator[tuple[Server, workers.Worker]]:
    """Serves a worker in its earlier life."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        fields = answer(server.life, request.path, await request.json())
        if server.is_mute:
            server.calls_without_answer += 1
            await asyncio.Event().wait()
        response = web.json_response(fields)
        if not server.keeps_connections:
            response.force_close()
        return response

    runner = web.ServerRunner(
        web.Server(handle, access_log=None), shutdown_timeout=0.1
    )
    server = Server(Life(EARLIER_LIFE), runner)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    address = f'127.0.0.1:{runner.addresses[0][1]}'
    worker = job_cells.make_worker('w1', address=address, life=EARLIER_LIFE)
    try:
        yield server, worker
    finally:
        await runner.cleanup()


def restart(server: Server) -> None:
    """Begins the next life; a process takes its connections with it."""
    assert server.runner.server is not None
    for connection in server.runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    server.life = Life(NEXT_LIFE)


def make_start(run: int = 1) -> runners.StartCommand:
    return runners.StartCommand(NAME, run, 'text', 480_000, TOKEN)


async def test_an_acknowledgement_does_not_reach_the_next_life() -> None:
    """Guards against tasks that run twice after a restart (TWICE, review/6).

    A poll acknowledged the ends of the earlier life to the next one, which
    forgot ends that nobody had read.
    """
    async with serve() as (server, worker):
        access = platform_workers.connect_runners(http_client.open_pool)
        first = await access.poll(worker, TOKEN, 216, 90_000, 0, TIMEOUT_MS)
        assert isinstance(first, runners.Inventory)
        assert server.life.last_seen == 216
        restart(server)
        results = [
            await access.poll(worker, TOKEN, 216, 90_000, 0, TIMEOUT_MS)
            for _ in range(3)
        ]
        assert server.life.last_seen == server.life.until_ms == 0
        found = [r for r in results if isinstance(r, runners.Inventory)]
        assert found
        assert all(r.life == NEXT_LIFE and len(r.ends) == 1 for r in found)
        await access.disconnect(worker.id)


@pytest.mark.parametrize('calls_before', [0, 1, 3])
async def test_a_start_does_not_reach_the_next_life(calls_before: int) -> None:
    """Guards against runs that their owner does not know (TWICE, review/6).

    A start was repeated, and the next life of the worker took it, with the end
    of the lease by the clock of the earlier life.
    """
    async with serve() as (server, worker):
        access = platform_workers.connect_runners(http_client.open_pool)
        polls = (
            access.poll(worker, TOKEN, 0, None, 0, TIMEOUT_MS)
            for _ in range(calls_before)
        )
        await asyncio.gather(*polls)
        restart(server)
        results = [
            await access.start(worker, make_start(), TIMEOUT_MS)
            for _ in range(4)
        ]
        assert server.life.started == []
        assert server.life.until_ms == 0
        assert results[-1] == runners.Refused(runners.Refusal.OTHER_LIFE)
        # The next life takes what is decided for it.
        worker = dataclasses.replace(worker, life=NEXT_LIFE)
        taken = await access.start(worker, make_start(2), TIMEOUT_MS)
        assert isinstance(taken, runners.Taken)
        assert len(server.life.started) == 1
        await access.disconnect(worker.id)


async def test_connections_are_not_used_again_after_a_lost_answer() -> None:
    """A proxy may go on with a connection to the next life of a worker."""
    async with serve() as (server, worker):
        access = platform_workers.connect_runners(http_client.open_pool)
        await asyncio.gather(
            *(access.start(worker, make_start(), TIMEOUT_MS) for _ in range(3))
        )
        server.is_mute = True
        lost = await access.start(worker, make_start(), 100)
        assert server.calls_without_answer == 1
        assert isinstance(lost, runners.Unanswered)
        server.is_mute = False
        server.life = Life(NEXT_LIFE)
        result = await access.start(worker, make_start(), TIMEOUT_MS)
        assert result == runners.Refused(runners.Refusal.OTHER_LIFE)
        assert server.life.started == []
        await access.disconnect(worker.id)


async def test_an_answer_of_another_life_does_not_count() -> None:
    """A command that another life has taken may be in effect there."""
    async with serve() as (server, worker):
        access = platform_workers.connect_runners(http_client.open_pool)
        await access.poll(worker, TOKEN, 0, None, 0, TIMEOUT_MS)
        # The connection stays open, against the rules of TCP.
        server.life = Life(NEXT_LIFE)
        result = await access.poll(worker, TOKEN, 7, None, 0, TIMEOUT_MS)
        assert isinstance(result, runners.Unanswered)
        await access.disconnect(worker.id)


async def test_a_worker_that_closes_each_connection_takes_calls() -> None:
    async with serve() as (server, worker):
        server.keeps_connections = False
        access = platform_workers.connect_runners(http_client.open_pool)
        result = await access.poll(worker, TOKEN, 4, 90_000, 0, TIMEOUT_MS)
        assert isinstance(result, runners.Inventory)
        assert server.life.last_seen == 4
        taken = await access.start(worker, make_start(), TIMEOUT_MS)
        assert isinstance(taken, runners.Taken)
        await access.disconnect(worker.id)


async def test_calls_over_an_open_connection_need_no_probe() -> None:
    async with serve() as (server, worker):
        access = platform_workers.connect_runners(http_client.open_pool)
        for number in range(1, 6):
            await access.poll(worker, TOKEN, number, 90_000, 0, TIMEOUT_MS)
        # One probe, for the only connection.
        assert len(server.life.calls) == 6
        await access.disconnect(worker.id)
