"""Limits on clients: accounting by itself, and servers on loopback."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gc
import json
import logging
import tracemalloc
from unittest import mock
import zlib

from aiohttp import http_exceptions
from aiohttp import web
import pytest

from nutmegknot._internal.network import client_limits
from nutmegknot._internal.network import http_server
from nutmegknot._internal.utils import clock
from nutmegknot_standins import local_cells

MAX_BODY = 262_144
Phase, Reason = client_limits.Phase, client_limits.Reason


def make_clients(
    max_connections: int = 2, max_held_bytes: int = 100_000
) -> client_limits.Clients:
    return client_limits.Clients(
        client_limits.Limits(max_connections, max_held_bytes),
        clock.make_manual_clock(clock.ManualTime()),
        client_limits.make_counter(),
    )


def make_connection() -> client_limits.Connection:
    return client_limits.Connection(transport=mock.Mock())


def list_reasons(clients: client_limits.Clients) -> list[str]:
    return [reason for (reason,) in clients.closings.totals]


@pytest.mark.parametrize('machine', [(200, 4_100), (552, 8_192), (64, 300)])
def test_limits_fit_the_machine(machine: tuple[int, int]) -> None:
    """Guards against limits that a machine can't keep or that stop callers."""
    limits = client_limits.derive_limits(*machine)
    memory_bytes = machine[0] * 1_048_576
    connections_bytes = limits.max_connections * client_limits.CONNECTION_BYTES
    assert limits.max_held_bytes + connections_bytes < memory_bytes // 3
    assert limits.max_connections + client_limits.RESERVED_FDS < machine[1]
    lines_bytes = client_limits.MAX_BODY_LINES * client_limits.LINE_BYTES
    assert limits.max_held_bytes > 2 * (MAX_BODY + lines_bytes)


async def test_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    """Guards against silent connections that lock out callers."""
    clients = make_clients()
    first, second, third, fourth = (make_connection() for _ in range(4))
    assert client_limits.admit(clients, 1, first, 2)
    assert client_limits.admit(clients, 2, second, 2)
    client_limits.receive(clients, first, b'GET ')
    assert client_limits.admit(clients, 3, third, 2)
    client_limits.receive(clients, third, b'GET ')
    assert not client_limits.admit(clients, 4, fourth, 2)
    closed = [c.refused for c in (first, second, third, fourth)]
    assert closed == [None, Reason.EVICTED, None, Reason.CONNECTIONS]
    assert clients.sweep_timer is not None
    clients.sweep_timer.cancel()


@pytest.mark.parametrize('is_long', [True, False], ids=['long', 'slow'])
async def test_an_incomplete_request_gives_way(is_long: bool) -> None:
    """Guards against requests without end that lock out callers.

    An ordinary request that is just arriving is not closed for another one.
    """
    clients = make_clients(max_held_bytes=1_000_000)
    first, second, third, fourth = (make_connection() for _ in range(4))
    for key, connection in ((1, first), (2, second)):
        assert client_limits.admit(clients, key, connection, 2)
        client_limits.receive(clients, connection, b'POST ')
    assert not client_limits.admit(clients, 3, third, 2)
    client_limits.enter(clients, second, Phase.CALL)
    if is_long:
        client_limits.receive(clients, first, b'x' * 16_384)
    else:
        client_limits.sweep(clients)
        client_limits.sweep(clients)
    assert client_limits.admit(clients, 4, fourth, 2)
    closed = [c.refused for c in (first, second, third, fourth)]
    assert closed == [Reason.EVICTED, None, Reason.CONNECTIONS, None]
    assert not clients.unfinished
    assert clients.sweep_timer is not None
    clients.sweep_timer.cancel()


async def test_long_bodies_leave_time_for_other_calls() -> None:
    """Guards against long bodies that are decoded one right after another."""
    manual = clock.ManualTime()
    clients = client_limits.Clients(
        client_limits.Limits(2, 0),
        clock.make_manual_clock(manual),
        client_limits.make_counter(),
    )
    began_ms = manual.at_ms

    def decode() -> int:
        manual.at_ms += 30
        return manual.at_ms

    async def decode_in_turn(length: int, until_ms: int) -> object:
        return await client_limits.decode_in_turn(
            clients, b'x' * length, until_ms, decode
        )

    long = client_limits.RECEIVE_BYTES + 1
    assert await decode_in_turn(long, began_ms + 1) == began_ms + 30
    assert clients.decoding_due_ms == began_ms + 60
    # A short one does not wait, and one whose time is over is not decoded.
    assert await decode_in_turn(long - 1, 0) == began_ms + 60
    expired = await decode_in_turn(long, began_ms + 60)
    assert expired == client_limits.UnreadBody()
    assert manual.at_ms == began_ms + 60


@pytest.mark.parametrize('data', [b'x' * 16_384, b'\r\n' * 512])
def test_a_head_without_end_is_closed(data: bytes) -> None:
    """Guards against heads and empty lines that go on for ever."""
    clients = make_clients(max_held_bytes=10_000_000)
    connection = make_connection()
    sent = 0
    while client_limits.receive(clients, connection, data):
        sent += len(data)
    assert sent == client_limits.MAX_HEAD_BYTES
    assert list_reasons(clients) == ['head_bytes']


def test_requests_within_a_reception_need_no_budget() -> None:
    """Guards against ordinary calls refused for the bodies of others."""
    clients = make_clients(max_held_bytes=0)
    connection = make_connection()
    assert client_limits.receive(clients, connection, b'x' * 16_384)
    assert connection.refused is None
    client_limits.receive(clients, connection, b'x')
    assert connection.refused is Reason.BUDGET
    assert not client_limits.receive(clients, connection, b'x')
    client_limits.charge(clients, connection, 1_000)
    clients.connections[1] = connection
    client_limits.remove(clients, 1)
    assert clients.held_bytes == 0


@pytest.mark.parametrize(
    ('phase', 'limit_ms', 'reason'),
    [
        (Phase.IDLE, client_limits.IDLE_MS, Reason.IDLE_TIME),
        (Phase.HEAD, client_limits.HEAD_MS, Reason.HEAD_TIME),
        (Phase.BODY, client_limits.BODY_MS, Reason.BODY_TIME),
        (Phase.CALL, 3_600_000, None),
    ],
)
def test_phases_end(
    phase: client_limits.Phase,
    limit_ms: int,
    reason: client_limits.Reason | None,
) -> None:
    """Guards against connections that stop short and are kept for ever."""
    clients = make_clients()
    connection = make_connection()
    client_limits.enter(clients, connection, phase)
    clients.sweeps = limit_ms // client_limits.SWEEP_MS
    assert client_limits.find_expired(clients, connection) is None
    clients.sweeps += 1
    assert client_limits.find_expired(clients, connection) is reason


def test_closings_are_counted_and_log_lines_limited(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log line for each refused request."""
    clients = make_clients()
    for _ in range(1_000):
        client_limits.report(clients, Reason.BUDGET)
    assert clients.closings.totals == {('budget',): 1_000}
    assert len(caplog.records) == 1


@contextlib.asynccontextmanager
async def serve(clients: client_limits.Clients) -> AsyncIterator[int]:
    """Serves a page that tells what was read of a body; yields its port."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/unread':
            return web.Response(text='unread')
        body = await client_limits.read_body(clients, request, MAX_BODY)
        read = len(body) if isinstance(body, bytes) else body
        return web.Response(text=f'{read} {clients.held_bytes}')

    port = local_cells.find_ports(1)[0]
    server = http_server.make_server(clients, handle, 1.0)
    await http_server.listen(server, f'127.0.0.1:{port}', 2, 8)
    yield port
    await http_server.stop(server)


async def exchange(port: int, parts: list[bytes]) -> list[str]:
    """Sends requests over one connection; returns the bodies of responses."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    bodies = []
    for part in parts:
        writer.write(part)
        head = await reader.readuntil(b'\r\n\r\n')
        size = int(head.lower().split(b'content-length: ')[1].split()[0])
        bodies.append((await reader.readexactly(size)).decode())
    writer.close()
    return bodies


def make_request(body: bytes, *lines: str, path: str = '/read') -> bytes:
    head = [f'POST {path} HTTP/1.1', 'Host: jobs', *lines, '', '']
    return '\r\n'.join(head).encode() + body


def make_sized(body: bytes, *lines: str, path: str = '/read') -> bytes:
    size = f'Content-Length: {len(body)}'
    return make_request(body, size, *lines, path=path)


async def test_a_connection_is_reused_and_its_memory_returned() -> None:
    """Guards against calls that leave bytes taken from the budget."""
    clients = make_clients(max_held_bytes=1_000_000)
    largest = make_sized(b'x' * MAX_BODY)
    parts = [largest, make_sized(largest[:90_000], path='/unread'), largest]
    async with serve(clients) as port:
        first, unread, last = await exchange(port, parts)
    assert unread == 'unread'
    assert first.split()[0] == last.split()[0] == str(MAX_BODY)
    assert clients.held_bytes == 0
    assert list_reasons(clients) == []


@pytest.mark.parametrize(
    ('request_bytes', 'reason'),
    [
        (make_sized(b'x' * (MAX_BODY + 1)), 'body_bytes'),
        (
            make_sized(
                zlib.compress(bytes(9_000_000)), 'Content-Encoding: deflate'
            ),
            'body_bytes',
        ),
        (
            make_request(b'1\r\nx\r\n' * 9_000, 'Transfer-Encoding: chunked'),
            'body_chunks',
        ),
        (make_sized(b'x' * 150_000), 'budget'),
        (b'GET / HTTP/1.1\r\nHost: x\r\nfield\r\n\r\n', 'malformed'),
    ],
    ids=['long', 'compressed', 'very small chunks', 'budget', 'malformed'],
)
async def test_a_body_over_a_limit_is_refused(
    request_bytes: bytes, reason: str
) -> None:
    """Guards against bodies that are larger in memory than their lengths."""
    budget = 100_000 if reason == 'budget' else 2_000_000
    clients = make_clients(max_held_bytes=budget)
    async with serve(clients) as port:
        await exchange(port, [request_bytes])
    assert list_reasons(clients) == [reason]
    assert clients.held_bytes == 0


async def test_a_lost_connection_leaves_no_task() -> None:
    """Guards against tasks that wait for the rest of a body nobody sends.

    They don't count as connections, so nothing bounds how many there are.
    """
    clients = make_clients()
    tasks_before = len(asyncio.all_tasks())
    async with serve(clients) as port:
        for _ in range(20):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_sized(b'x' * 100, path='/unread')[:-1])
            await reader.readuntil(b'unread')
            writer.transport.abort()
            while clients.connections:
                await asyncio.sleep(0)
        # The protocol's task ends two iterations after its body.
        for _ in range(5):
            await asyncio.sleep(0)
        assert len(asyncio.all_tasks()) == tasks_before


@pytest.mark.parametrize(
    'request_bytes',
    [
        make_request(b'', f'Padding: {"x" * 60_000}'),
        make_request(b'', *(['1:'] * 20_000)),
        make_request(
            b'1\r\nx\r\n0\r\n' + b'1:\r\n' * 20_000,
            'Transfer-Encoding: chunked',
        ),
    ],
    ids=['long line', 'short lines', 'trailers'],
)
async def test_a_malformed_request_leaves_no_cycles(
    request_bytes: bytes,
) -> None:
    """Guards against requests that stay in memory after they were refused.

    aiohttp kept an error for each part, and its traceback kept the request.
    """
    clients = make_clients(max_held_bytes=10_000_000)
    async with serve(clients) as port:
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                await exchange(port, [request_bytes])
            while clients.connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            kept = [
                item
                for item in gc.get_objects()
                if isinstance(item, http_exceptions.HttpProcessingError)
            ]
        finally:
            gc.enable()
    assert kept == []


def test_a_line_for_each_refused_call_is_logged_only_at_first(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that a client fills with refused calls."""
    caplog.set_level(logging.INFO)
    clients = make_clients()
    clients.refusal_lines_ms = clients.clock.now_ms()
    for _ in range(1_000):
        fields = {'job': 'a' * 10_000}
        client_limits.log_refusal(clients, 'job_refused', fields)
    lines = [r for r in caplog.records if r.message == 'job_refused']
    assert len(lines) == client_limits.MAX_REFUSAL_LINES
    assert len(caplog.records) == client_limits.MAX_REFUSAL_LINES + 1
    logged = vars(lines[0])['job']
    assert len(logged) == client_limits.MAX_LOGGED_CHARS
    assert sum(clients.closings.totals.values()) == 990


@pytest.mark.parametrize(
    'raw',
    [
        b'[%s]' % b','.join([b'[]'] * 80_000),
        b'[%s]' % b','.join([b'{"count":1,"estimateMs":100}'] * 5_575),
        b'[%s]' % b','.join([b'1000'] * 50_000),
    ],
    ids=['lists', 'objects', 'numbers'],
)
def test_decoded_bytes_are_not_underestimated(raw: bytes) -> None:
    """Guards against a small text that takes far more memory when decoded."""
    tracemalloc.start()
    decoded = json.loads(raw)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert decoded
    assert client_limits.estimate_decoded_bytes(raw) >= size
