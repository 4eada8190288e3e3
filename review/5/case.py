"""A worker restarts under its id, then is cut off; do its tasks run twice?"""

import asyncio
import pathlib

import platform_standin as standin

KEY = 'key-a'
# Racks have five workers, so the last one has a rack of its own.
WORKERS = 11
# The tasks that run everywhere before the crash, on each worker.
EARLIER_TASKS = 10
TASKS = 20
# The worker's process is away for so long.
DOWN_S = 0.5
# The cut begins so long after the worker is back.
BEFORE_CUT_S = 1.0
CUT_S = 5.5


async def play(
    platform: standin.Platform,
    clients: standin.Clients,
    record: standin.Record,
) -> int:
    """Plays the case; returns its verdict."""
    await platform.start(workers=WORKERS, instances=6, tenants={'t-a': KEY})
    if not await clients.wait_serving(KEY):
        record.say('the instances do not serve')
        return 2
    # The only worker of its rack.
    worker = platform.workers[-1]
    step = {'cpu': 1000, 'memMb': 64, 'estimateMs': 30_000}
    earlier = {
        **step,
        'count': WORKERS * EARLIER_TASKS,
        'antiAffinity': EARLIER_TASKS,
    }
    near = {**step, 'count': TASKS, 'dataRack': worker.labels[1]}
    if await submit(clients, earlier) != 200:
        record.say('the first job was not accepted')
        return 2
    await asyncio.sleep(8.3)
    record.say(f'{len(worker.runs)} tasks run on {worker.id}')
    if standin.trouble():
        await worker.crash('down')
        await asyncio.sleep(DOWN_S)
        await worker.come_back()
    await asyncio.sleep(0.3)
    if await submit(clients, near) != 200:
        record.say('the second job was not accepted')
        return 2
    await asyncio.sleep(BEFORE_CUT_S - 0.3)
    record.say(f'{len(worker.runs)} tasks run on {worker.id}')
    if not worker.runs:
        return 2
    if standin.trouble():
        worker.cut()
    await asyncio.sleep(CUT_S)
    if standin.trouble():
        worker.heal()
    await asyncio.sleep(3)
    record.say(
        f'{len(platform.doubled)} tasks started while another run of them was'
        ' at work'
    )
    return 1 if platform.doubled else 0


async def submit(clients: standin.Clients, step: dict) -> int:
    """Hands in a job of one step; returns the answer's status."""
    body = {'spec': '{"ms": 30000}', 'steps': [step]}
    return await clients.submit(standin.make_id(), KEY, body)


standin.main(play, pathlib.Path(__file__).parent)
