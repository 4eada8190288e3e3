"""Runs a case: starts the stand-ins, writes the record, ends everything."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import time

from review.lib2 import platform
from review.lib2 import records

LIMIT_S = 110.0
# Exit codes; run.sh takes any other one than the first two for 'could not run',
# such as that of an uncaught exception.
HELD, BROKEN, NOT_RUN = 0, 3, 2

# Plays the case; returns the breaks of the rule, or None if it couldn't run.
Play = Callable[
    [platform.Platform, records.Record, bool], Awaitable[list[str] | None]
]


def run(folder: pathlib.Path, play: Play, *, row_bytes: int = 65_536) -> None:
    """Runs a case and exits with its result.

    Args:
      folder: Folder of the case, for record.txt.
      play: Plays the case; its last argument tells whether the disruption
        takes place.
      row_bytes: Longest value of a row of the store.
    """
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = records.Record()

    async def run_limited() -> list[str] | None:
        place = platform.Platform(record, row_bytes=row_bytes)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            await place.start()
            async with asyncio.timeout(LIMIT_S):
                return await play(place, record, with_trouble)
        finally:
            await place.stop()

    began_s = time.monotonic()
    breaks: list[str] | None = None
    try:
        breaks = asyncio.run(run_limited())
    except TimeoutError:
        record.add('out_of_time')
    except asyncio.CancelledError:
        record.add('cancelled')
    record.write(folder / 'record.txt')
    result = NOT_RUN if breaks is None else BROKEN if breaks else HELD
    text = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'could not run'}[result]
    for line in (breaks or [])[:5]:
        print(line)
    print(
        f'trouble={int(with_trouble)} result={result} ({text}) '
        f'breaks={len(breaks or [])} after {time.monotonic() - began_s:.0f} s'
    )
    sys.exit(result)
