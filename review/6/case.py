"""Workers lose power for a moment and are back under their ids."""

import asyncio
import pathlib
import random

from review.lib2 import cases
from review.lib2 import platform
from review.lib2 import records

WORKERS = 8
TASK_MS = 60
# How long a worker is without power: it is back within 1.5 s.
MIN_DOWN_S = 0.7
MAX_DOWN_S = 1.5
PLAY_S = 85.0
JOB_INTERVAL_S = 0.2
JOB_TASKS = 16
CRASH_INTERVAL_S = 2.2


async def play(
    place: platform.Platform, record: records.Record, with_trouble: bool
) -> list[str] | None:
    """Hands jobs in all the while, and crashes one worker after another."""
    for _ in range(WORKERS):
        await place.add_worker(cpu=8_000)
    place.add_instances(3)
    if not await place.wait_ready():
        return None
    loop = asyncio.get_running_loop()
    until_s = loop.time() + PLAY_S
    accepted: list[str] = []

    async def hand_in() -> None:
        job_id = platform.make_job_id()
        step = {'count': JOB_TASKS, 'cpu': 1_000, 'memMb': 64}
        step['estimateMs'] = TASK_MS
        body = {'spec': platform.make_spec(TASK_MS), 'steps': [step]}
        if await place.submit(job_id, body):
            accepted.append(job_id)

    async def crash_workers() -> None:
        await asyncio.sleep(4)
        while loop.time() < until_s - 4:
            worker = random.choice(place.workers)
            worker.crash()
            await asyncio.sleep(random.uniform(MIN_DOWN_S, MAX_DOWN_S))
            worker.begin_life()
            await asyncio.sleep(CRASH_INTERVAL_S - MAX_DOWN_S)

    open_calls = set()
    crashing = asyncio.create_task(crash_workers()) if with_trouble else None
    while loop.time() < until_s:
        open_calls.add(asyncio.create_task(hand_in()))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*open_calls)
    if crashing is not None:
        await crashing
    await asyncio.sleep(4)
    if len(accepted) < 20:
        return None
    return records.find_twice(record)


if __name__ == '__main__':
    cases.run(pathlib.Path(__file__).parent, play)
