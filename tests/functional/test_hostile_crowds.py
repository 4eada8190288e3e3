"""Clients that exceed the limits again and again, against a real instance.

Each test sends one kind of traffic from a small crowd to an instance with
lowered limits. A client sends again as soon as it was answered or closed.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import pathlib

import aiohttp
import hpack
from hyperframe import frame
from lib import hostile_traffic
from lib import job_platform
import pytest

from nutmegknot._internal.platform import process_settings

# The crowd leaves after this time, or earlier after so many connections.
CROWD_S = 10
MAX_CONNECTIONS_PER_CLIENT = 2_000
# Longest message of a call between instances.
MESSAGE_BYTES = 1_048_576
PIECE_BYTES = 16_384
# Returns what the client with a number sends on one connection.
Traffic = Callable[[int], bytes]


def run_crowd(
    folder: pathlib.Path, traffic: Traffic, find_port: Callable[[int], int]
) -> None:
    """Sends the traffic, and checks the process amid it and afterwards."""

    async def send(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        port = find_port(platform.first_port)
        async with _send_repeatedly(platform, traffic, port):
            await asyncio.sleep(CROWD_S)
            hostile_traffic.check_process(platform.instances[0])

    hostile_traffic.run_instance(folder, send)


@contextlib.asynccontextmanager
async def _send_repeatedly(
    platform: job_platform.Platform, traffic: Traffic, port: int
) -> AsyncIterator[None]:
    """Has the crowd send while the context is open."""
    ip = platform.instances[0].ip

    async def run_client(number: int) -> None:
        data = traffic(number)
        for _ in range(MAX_CONNECTIONS_PER_CLIENT):
            # A closed connection is one way to deal with this client.
            with contextlib.suppress(ConnectionError):
                await _send(ip, port, data)

    clients = [
        asyncio.create_task(run_client(n))
        for n in range(hostile_traffic.CLIENTS)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _send(ip: str, port: int, data: bytes) -> None:
    """Sends on one connection until the server answers or closes it.

    The preface of an HTTP/2 server is no answer.
    """
    reader, writer = await asyncio.open_connection(ip, port)
    is_http2 = data.startswith(b'PRI')
    try:
        answer = asyncio.create_task(reader.read(-1 if is_http2 else 1))
        sending = asyncio.create_task(_write(writer, data))
        try:
            await asyncio.wait((answer,))
        finally:
            answer.cancel()
            sending.cancel()
            await asyncio.gather(answer, sending, return_exceptions=True)
    finally:
        writer.transport.abort()


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    for piece in hostile_traffic.split(data, PIECE_BYTES):
        writer.write(piece)
        await writer.drain()


def send_body_that_stops_short(number: int) -> bytes:
    body = hostile_traffic.make_padded_body()
    return (
        hostile_traffic.make_head(number, f'Content-Length: {len(body)}\r\n')
        + body[:-1]
    )


def send_chunks_that_stop_short(number: int) -> bytes:
    head = hostile_traffic.make_head(number, 'Transfer-Encoding: chunked\r\n')
    return head + hostile_traffic.encode_chunks(
        hostile_traffic.make_padded_body()[:-1], 65_536
    )


def send_very_small_chunks(number: int) -> bytes:
    head = hostile_traffic.make_head(number, 'Transfer-Encoding: chunked\r\n')
    return head + hostile_traffic.encode_chunks(
        hostile_traffic.make_padded_body()[:60_000], 1
    )


def send_whole_body(number: int) -> bytes:
    body = hostile_traffic.make_padded_body()
    return hostile_traffic.make_sized(number, body)


def send_one_long_line(number: int) -> bytes:
    return hostile_traffic.make_head(number, f'Padding: {"x" * 300_000}\r\n')


def send_very_short_lines(number: int) -> bytes:
    return hostile_traffic.make_head(number, '1:\r\n' * 40_000)


def send_very_short_trailers(number: int) -> bytes:
    head = hostile_traffic.make_head(number, 'Transfer-Encoding: chunked\r\n')
    chunks = hostile_traffic.encode_chunks(b'{}', 2)
    return head + chunks + b'0\r\n' + b'1:\r\n' * 40_000 + b'\r\n'


def send_many_steps(number: int) -> bytes:
    steps = ','.join(['{"count":1,"estimateMs":100}'] * 5_575)
    body = f'{{"spec":"a check","steps":[{steps}]}}'.encode()
    return hostile_traffic.make_sized(number, body)


def send_many_empty_lists(number: int) -> bytes:
    lists = ','.join(['[]'] * 80_000)
    body = f'{{"steps":[{{"count":1}}],"spec":"a","x":[{lists}]}}'.encode()
    return hostile_traffic.make_sized(number, body)


def send_long_payload(number: int) -> bytes:
    body = ('{"steps":[{"count":1}],"spec":"%s"}' % ('x' * 262_000)).encode()
    return hostile_traffic.make_sized(number, body)


def send_start_of_body(number: int) -> bytes:
    return send_whole_body(number)[:16_300]


def send_long_lines(number: int) -> bytes:
    return hostile_traffic.make_head(number, f'Padding: {"x" * 8_000}\r\n' * 60)


def send_chunk_extension(number: int) -> bytes:
    head = hostile_traffic.make_head(number, 'Transfer-Encoding: chunked\r\n')
    return head + b'2;' + b'x' * 300_000


def send_empty_lines(number: int) -> bytes:
    return b'\r\n' * 65_536


def send_pipelined_calls(number: int) -> bytes:
    call = hostile_traffic.HEAD.replace('POST', 'GET') % number + '\r\n'
    return call.encode() * 1_000


def send_message_that_stops_short(number: int) -> bytes:
    """Returns a gRPC call whose message, of legal length, is incomplete."""
    headers = [
        (':method', 'POST'),
        (':scheme', 'http'),
        (':path', '/nutmegknot.v1.Jobs/Submit'),
        (':authority', job_platform.CALLER_HOST),
        ('te', 'trailers'),
        ('content-type', 'application/grpc'),
    ]
    message = b'\0' + MESSAGE_BYTES.to_bytes(4, 'big')
    message += bytes(MESSAGE_BYTES - 1)
    frames: list[frame.Frame] = [
        frame.SettingsFrame(0),
        frame.SettingsFrame(0, flags=['ACK']),
        frame.HeadersFrame(
            1, hpack.Encoder().encode(headers), flags=['END_HEADERS']
        ),
    ]
    frames += [
        frame.DataFrame(1, message[at : at + PIECE_BYTES])
        for at in range(0, len(message), PIECE_BYTES)
    ]
    preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    return preface + b''.join(f.serialize() for f in frames)


ALL = (
    send_body_that_stops_short,
    send_chunks_that_stop_short,
    send_very_small_chunks,
    send_whole_body,
    send_one_long_line,
    send_very_short_lines,
    send_very_short_trailers,
    send_many_steps,
    send_many_empty_lists,
    send_long_payload,
    send_start_of_body,
    send_long_lines,
    send_chunk_extension,
    send_empty_lines,
    send_pipelined_calls,
)


def send_mixture(number: int) -> bytes:
    return ALL[number % len(ALL)](number)


@pytest.mark.parametrize('traffic', [*ALL, send_mixture])
def test_callers_that_send_again(
    tmp_path: pathlib.Path, traffic: Traffic
) -> None:
    """Guards against memory that is left over from refused requests."""
    run_crowd(tmp_path, traffic, lambda first_port: first_port)


@pytest.mark.parametrize(
    'traffic',
    [send_body_that_stops_short, send_one_long_line, send_very_short_lines],
)
def test_readiness_checks_that_send_again(
    tmp_path: pathlib.Path, traffic: Traffic
) -> None:
    """Guards against memory spent on the readiness port."""
    run_crowd(tmp_path, traffic, lambda first_port: first_port + 1)


@pytest.mark.parametrize(
    'traffic',
    [send_body_that_stops_short, send_one_long_line, send_very_short_lines],
)
def test_metrics_requests_that_send_again(
    tmp_path: pathlib.Path, traffic: Traffic
) -> None:
    """Guards against memory spent on the metrics port."""
    run_crowd(tmp_path, traffic, lambda _: process_settings.METRICS_PORT)


def test_calls_between_instances_that_stop_short(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against memory that waits for the end of a gRPC message."""
    run_crowd(
        tmp_path,
        send_message_that_stops_short,
        lambda first_port: first_port + 2,
    )
