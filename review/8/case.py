"""A large job's progress no longer fits into a row; then the owner stops."""

import asyncio
import json
import pathlib
import signal

from review.lib2 import cases
from review.lib2 import platform
from review.lib2 import records

# The store's longest row, as the settings of the instances name it.
ROW_BYTES = 16_384
WORKERS = 8
TASKS = 960
# The tasks take from TASK_MS to TASK_MS + SPREAD_MS.
TASK_MS = 8_000
SPREAD_MS = 24_000
# Ends of tasks that are taken note of when the owner is killed.
MIN_DONE = 80
# How long all machines of the system are without power. The leases of the
# workers end meanwhile, and what ran there ends with a checkpoint.
ALL_DOWN_S = 8.0
# How long the killed owner is away.
KILLED_S = 0.5


async def play(
    place: platform.Platform, record: records.Record, with_trouble: bool
) -> list[str] | None:
    """Runs one large job through two losses of the owner."""
    for _ in range(WORKERS):
        await place.add_worker(cpu=64_000)
    place.add_instances(3)
    if not await place.wait_ready():
        return None
    job_id = platform.make_job_id()
    step = {'count': TASKS, 'cpu': 500, 'memMb': 64, 'estimateMs': TASK_MS}
    body = {
        'spec': json.dumps({'ms': TASK_MS, 'spread_ms': SPREAD_MS}),
        'steps': [{**step, 'savesProgress': True}],
    }
    if not await place.submit(job_id, body):
        return None
    if not await wait_for(record, 'start', TASKS, 40):
        return None
    await asyncio.sleep(2.5)
    if with_trouble:
        for instance in place.instances:
            place.signal(instance, signal.SIGKILL)
        await asyncio.sleep(ALL_DOWN_S)
        for instance in place.instances:
            place.start_process(instance)
    if not await wait_for(record, 'noted', MIN_DONE, 50, how='done'):
        return None
    if with_trouble:
        owner = place.find_owner()
        if owner is None:
            return None
        place.signal(owner, signal.SIGKILL)
        await asyncio.sleep(KILLED_S)
        place.start_process(owner)
    await asyncio.sleep(12)
    for instance in place.instances:
        await place.call(instance, 'GET', job_id)
    return records.find_twice(record)


async def wait_for(
    record: records.Record, what: str, count: int, limit_s: float, how: str = ''
) -> bool:
    """Waits until the record has so many events."""
    for _ in range(int(limit_s * 10)):
        found = sum(
            e.what == what and how in ('', e.fields.get('how'))
            for e in record.events
        )
        if found >= count:
            return True
        await asyncio.sleep(0.1)
    return False


if __name__ == '__main__':
    cases.run(pathlib.Path(__file__).parent, play, row_bytes=ROW_BYTES)
