"""Clients that exceed the limits, against a real instance process.

Each test sends one kind of traffic from a small crowd that keeps its
connections open, to an instance with lowered limits.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import pathlib

import aiohttp
from lib import hostile_traffic
from lib import job_platform

PIECE_BYTES = 4_096
# Returns what the client with a number sends, in order.
Traffic = Callable[[int], list[bytes]]


def run_crowd(folder: pathlib.Path, traffic: Traffic) -> None:
    """Sends the traffic, then checks the process and makes a call."""

    async def send(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        async with _open_crowd(platform, traffic):
            await hostile_traffic.wait_accepted(platform, session, 'b' * 16)
            hostile_traffic.check_process(platform.instances[0])

    hostile_traffic.run_instance(folder, send)


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

    await asyncio.gather(
        *(send(number) for number in range(hostile_traffic.CLIENTS))
    )
    try:
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


def test_heads_over_the_limit(tmp_path: pathlib.Path) -> None:
    """Guards against memory and log lines spent on refused heads."""

    def traffic(number: int) -> list[bytes]:
        field = f'Padding: {"x" * 65_536}\r\n'
        return hostile_traffic.split(
            hostile_traffic.make_head(number, field), PIECE_BYTES
        )

    run_crowd(tmp_path, traffic)


def test_heads_without_end(tmp_path: pathlib.Path) -> None:
    """Guards against memory for heads whose lines are all within the limit."""

    def traffic(number: int) -> list[bytes]:
        lines = [f'Field-{n}: {"x" * 8_000}\r\n' for n in range(60)]
        head = hostile_traffic.HEAD % number + ''.join(lines)
        return hostile_traffic.split(head.encode(), PIECE_BYTES)

    run_crowd(tmp_path, traffic)


def test_empty_lines_without_end(tmp_path: pathlib.Path) -> None:
    """Guards against empty lines before a request that are kept or add up."""
    run_crowd(
        tmp_path, lambda _: hostile_traffic.split(b'\r\n' * 65_536, PIECE_BYTES)
    )


def test_large_bodies_sent_whole(tmp_path: pathlib.Path) -> None:
    """Guards against bodies that are each legal, but too large together."""

    def traffic(number: int) -> list[bytes]:
        body = hostile_traffic.make_padded_body()
        return [
            hostile_traffic.make_head(
                number, f'Content-Length: {len(body)}\r\n'
            )
            + body
        ]

    run_crowd(tmp_path, traffic)


def test_large_bodies_in_pieces_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against memory that waits for the last byte of a body."""

    def traffic(number: int) -> list[bytes]:
        body = hostile_traffic.make_padded_body()
        head = hostile_traffic.make_head(
            number, f'Content-Length: {len(body)}\r\n'
        )
        return [head, *hostile_traffic.split(body[:-1], PIECE_BYTES)]

    run_crowd(tmp_path, traffic)


def test_large_chunks_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against memory that waits for the last chunk of a body."""

    def traffic(number: int) -> list[bytes]:
        head = hostile_traffic.make_head(
            number, 'Transfer-Encoding: chunked\r\n'
        )
        chunks = hostile_traffic.encode_chunks(
            hostile_traffic.make_padded_body()[:-1], 65_536
        )
        return [head, *hostile_traffic.split(chunks, PIECE_BYTES)]

    run_crowd(tmp_path, traffic)


def test_very_small_chunks_that_stop_short(tmp_path: pathlib.Path) -> None:
    """Guards against chunks that cost far more memory than their bytes."""

    def traffic(number: int) -> list[bytes]:
        head = hostile_traffic.make_head(
            number, 'Transfer-Encoding: chunked\r\n'
        )
        return [
            head
            + hostile_traffic.encode_chunks(
                hostile_traffic.make_padded_body()[:60_000], 2
            )
        ]

    run_crowd(tmp_path, traffic)
