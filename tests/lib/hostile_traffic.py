"""Traffic of clients that exceed the limits, and the checks of an instance."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
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
HEAD = (
    f'POST {job_platform.QUEUE_PATH}%016x HTTP/1.1\r\n'
    f'Host: {job_platform.CALLER_HOST}\r\n'
    f'Authorization: Bearer {job_platform.KEY}\r\n'
)
# Sends traffic to an instance of a platform, in the session of its callers.
Send = Callable[[job_platform.Platform, aiohttp.ClientSession], Awaitable[None]]


def run_instance(folder: pathlib.Path, send: Send) -> None:
    """Sends traffic to one instance, then checks it and makes a call."""

    async def play() -> None:
        platform = await job_platform.start(
            folder, 2, random.Random(11), body_bytes=BODY_BYTES
        )
        try:
            job_platform.add_instances(platform, 1, MEMORY_MB, MAX_FDS)
            async with aiohttp.ClientSession() as session:
                await wait_accepted(platform, session, 'a' * 16)
                await send(platform, session)
                await wait_accepted(platform, session, 'c' * 16)
                check_process(platform.instances[0])
        finally:
            await job_platform.stop(platform)

    asyncio.run(play())


async def wait_accepted(
    platform: job_platform.Platform, session: aiohttp.ClientSession, id: str
) -> None:
    """Submits a job until it is accepted; checks that the process lives."""
    status = 0
    while status != 200:
        process = platform.instances[0].process
        assert process is not None
        assert process.poll() is None
        status, _ = await job_platform.call(
            platform, session, platform.instances[0], 'POST', id, BODY
        )
        await asyncio.sleep(0.05)


def check_process(instance: job_platform.Instance) -> None:
    """Checks that a process lives within its memory and descriptors."""
    assert instance.process is not None
    assert instance.process.poll() is None
    proc = pathlib.Path(f'/proc/{instance.process.pid}')
    status = dict(
        line.split(':', 1)
        for line in (proc / 'status').read_text('utf-8').splitlines()
    )
    assert int(status['VmHWM'].split()[0]) < MEMORY_MB * 1024
    assert len(os.listdir(proc / 'fd')) < MAX_FDS


def make_head(number: int, fields: str) -> bytes:
    """Returns the head of a POST with a job of its own."""
    return (HEAD % number + fields + '\r\n').encode()


def make_sized(number: int, body: bytes) -> bytes:
    """Returns a POST with a job of its own and the length of its body."""
    return make_head(number, f'Content-Length: {len(body)}\r\n') + body


def make_padded_body() -> bytes:
    """Returns a legal body of the greatest length."""
    text = '{"steps":[{"count":1}],"spec":"a check","padding":"%s"}'
    return (text % ('x' * (BODY_BYTES - len(text) + 2))).encode()


def split(body: bytes, size: int) -> list[bytes]:
    """Returns a body in pieces of a size."""
    return [body[at : at + size] for at in range(0, len(body), size)]


def encode_chunks(body: bytes, size: int) -> bytes:
    """Returns a body in chunks of a size, without the last chunk."""
    return b''.join(
        b'%x\r\n%s\r\n' % (len(piece), piece) for piece in split(body, size)
    )
