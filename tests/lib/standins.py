"""The simulated platform, served in the process of the test."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import servers

CAPACITY = resources.Resources(4000, 4096, 0, 8)


@contextlib.asynccontextmanager
async def serve(
    count: int = 1, clock: clock_lib.Clock | None = None
) -> AsyncIterator[tuple[servers.Platform, aiohttp.ClientSession]]:
    """Serves a platform with `count` workers; yields it and an HTTP session.

    Args:
      count: Number of workers.
      clock: Source of time of the platform; None for the system's clock.
    """
    listed = servers.make_workers('here', ['domain-a'], count, CAPACITY)
    platform = servers.make_platform(
        listed, clock or clock_lib.make_system_clock()
    )
    runner = await servers.serve(platform, '127.0.0.1', 0)
    try:
        async with aiohttp.ClientSession() as session:
            yield platform, session
    finally:
        await servers.close(platform, runner)
