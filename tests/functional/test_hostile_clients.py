"""Clients that exceed the limits, against a real instance process.

Each test sends one kind of traffic from a small crowd that keeps its
connections open, to an instance with lowered limits.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import os
import pathlib
import random

import aiohttp
from lib import job_platform

CLIENTS = 48
BODY_BYTES = 262_144
# An idle instance has 53 MB.
MEMORY_MB = 64
MAX_FDS = 300
BODY = {'spec': 'a check', 'steps': [{'count': 1, 'estimateMs': 100}]}
PIECE_BYTES = 4_096
HEAD = (
    f'POST {job_platform.QUEUE_PATH}%016x HTTP/1.1\r\n'
    f'Host: {job_platform.CALLER_HOST}\r\n'
    f'Authorization: Bearer {job_platform.KEY}\r\n'
)
# Returns what the client with a number sends, in order.
Traffic = Callable[[int], list[bytes]]


def run_crowd(folder: pathlib.Path, traffic: Traffic) -> None:
    """Sends the traffic, then checks the process and makes a call."""

    async def play() -> None:
        platform = await job_platform.start(
            folder, 2, random.Random(11), body_bytes=BODY_BYTES
        )
        try:
            job_platform.add_instances(platform, 1, MEMORY_MB, MAX_FDS)
            async with aiohttp.ClientSession() as session:
                await _wait_accepted(platform, session, 'a' * 16)
                async with _open_crowd(platform, traffic):
                    await _wait_accepted(platform, session, 'b' * 16)
                    _check_process(platform.instances[0])
                await _wait_accepted(platform, session, 'c' * 16)
                _check_process(platform.instances[0])
        finally:
            await job_platform.stop(platform)

    asyncio.run(play())


@contextlib.asynccontextmanager
async def _open_crowd(
    platform: job_platform.Platform, traffic: Traffic
) -> AsyncIterator[None]:
    """Sends the traffic of all clients; their connections stay open."""
    writers: list[asyncio.StreamWriter] = []

    async def send(number: int) -> None:
        # A closed connection is one way to deal with this client.
        with contextlib.suppress(ConnectionError):
            _, writer = await asyncio.open_connection(
                platform.instances[0].ip, platform.first_port
            )
            writers.append(writer)
            for piece in traffic(number):
                writer.write(piece)
                await writer.drain()

    await asyncio.gather(*(send(number) for number in range(CLIENTS)))
    try:
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


async def _wait_accepted(
    platform: job_platform.Platform, session: aiohttp.ClientSession, id: str
) -> None:
    status = 0
    while status != 200:
        process = platform.instances[0].process
        assert process is not None
        assert process.poll() is None
        status, _ = await job_platform.call(
            platform, session, platform.instances[0], 'POST', id, BODY
        )
        await asyncio.sleep(0.05)


def _check_process(instance: job_platform.Instance) -> None:
    assert instance.process is not None
    assert instance.process.poll() is None
    proc = pathlib.Path(f'/proc/{instance.process.pid}')
    status = dict(
        line.split(':', 1)
        for line in (proc / 'status').read_text('utf-8').splitlines()
    )
    assert int(status['VmHWM'].split()[0]) < MEMORY_MB * 1024
    assert len(os.listdir(proc / 'fd')) < MAX_FDS


def _make_body(number: int, head: str) -> bytes:
    return (HEAD % number + head + '\r\n').encode()


def _make_padded_body() -> bytes:
    """Returns a legal body of the greatest length."""
    text = '{"steps":[{"count":1}],"spec":"a check","padding":"%s"}'
    return (text % ('x' * (BODY_BYTES - len(text) + 2))).encode()


def _split(body: bytes, size: int) -> list[bytes]:
    return [body[at : at + size] for at in range(0, len(body), size)]


def _encode_chunks(body: bytes, size: int) -> bytes:
    return b''.join(
        b'%x\r\n%s\r\n' % (len(piece), piece) for piece in _split(body, size)
    )


def test_heads_over_the_limit(tmp_path: pathlib.Path) -> None:
    """Guards against memory and log lines spent on refused heads."""

    def traffic(number: int) -> list[bytes]:
        field = f'Padding: {"x" * 65_536}\r\n'
        return _split(_make_body(number, field), PIECE_BYTES)

    run_crowd(tmp_path, traffic)


def test_heads_without_end(tmp_path: pathlib.Path) -> None:
    """Guards against memory for heads whose lines are all within the limit."""

    def traffic(number: int) -> list[bytes]:
        lines = [f'Field-{n}: {"x" * 8_000}\r\n' for n in range(60)]
        head = HEAD % number + ''.join(lines)
        return _split(head.encode(), PIECE_BYTES)

    run_crowd(tmp_path, traffic)


def test_empty_lines_without_end(tmp_path: pathlib.Path) -> None:
    """Guards against empty lines before a request that are kept or add up."""
    run_crowd(tmp_path, lambda _: _split(b'\r\n' * 65_536, PIECE_BYTES))


def test_large_bodies_sent_whole(tmp_path: pathlib.Path) -> None:
    """Guards against bodies that are each legal, but too large together."""

    def traffic(number: int) -> list[bytes]:
        body = _make_padded_body()
        return [_make_body(number, f'Content-Length: {len(body)}\r\n') + body]

    run_crowd(tmp_path, traffic)


def test_large_bodies_in_pieces_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against memory that waits for the last byte of a body."""

    def traffic(number: int) -> list[bytes]:
        body = _make_padded_body()
        head = _make_body(number, f'Content-Length: {len(body)}\r\n')
        return [head, *_split(body[:-1], PIECE_BYTES)]

    run_crowd(tmp_path, traffic)


def test_large_chunks_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against memory that waits for the last chunk of a body."""

    def traffic(number: int) -> list[bytes]:
        head = _make_body(number, 'Transfer-Encoding: chunked\r\n')
        chunks = _encode_chunks(_make_padded_body()[:-1], 65_536)
        return [head, *_split(chunks, PIECE_BYTES)]

    run_crowd(tmp_path, traffic)


def test_very_small_chunks_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against chunks that cost far more memory than their bytes."""

    def traffic(number: int) -> list[bytes]:
        head = _make_body(number, 'Transfer-Encoding: chunked\r\n')
        return [head + _encode_chunks(_make_padded_body()[:60_000], 2)]

    run_crowd(tmp_path, traffic)
