"""Overlapping times of a job lapse on one worker; does the store keep up?"""

import asyncio
import pathlib
import time

import platform_standin as standin

KEY = 'key-a'
# Cores of the workers: kinds of half, once and twice the size, as on the sheet.
CORES = (64, 32, 64, 64, 128, 64)
TIMES = 10
TASKS = 1000
TASK_CPU = 40
CUT_S = 5.5
CONTACT_S = standin.BOUNDS['contactMs'] / 1000
FINISH_S = standin.BOUNDS['finish_s']


async def play(
    platform: standin.Platform,
    clients: standin.Clients,
    record: standin.Record,
) -> int:
    """Plays the case; returns its verdict."""
    await platform.start(workers=0, instances=6, tenants={'t-a': KEY})
    for cores in CORES:
        await platform.add_worker(cores)
    if not await clients.wait_serving(KEY):
        record.say('the instances do not serve')
        return 2
    large, last = standin.make_id(), standin.make_id()
    body = {
        'spec': '{"ms": 100000, "saves": true}',
        'steps': [
            {
                'count': TASKS,
                'cpu': TASK_CPU,
                'memMb': 32,
                'estimateMs': 100_000,
                'savesProgress': True,
            }
        ],
        'startAtMs': int(time.time() * 1000) + 500,
        'intervalMs': 1000,
        'repeatCount': TIMES,
    }
    if await clients.submit(large, KEY, body) != 200:
        record.say('the large job was not accepted')
        return 2
    until = standin.now() + 60
    while len(platform.running()) < TIMES * TASKS and standin.now() < until:
        await asyncio.sleep(0.2)
    record.say(
        f'{len(platform.running())} tasks of {TIMES} times run: '
        + ' '.join(str(len(worker.runs)) for worker in platform.workers)
    )
    await asyncio.sleep(2)
    # An ordinary job that is accepted before the trouble, and due after it.
    small = {
        'spec': '{"ms": 500}',
        'steps': [{'count': 1, 'cpu': 100, 'memMb': 32, 'estimateMs': 500}],
        'startAtMs': int(time.time() * 1000) + 25_000,
        'intervalMs': 1000,
        'repeatCount': 1,
    }
    if await clients.submit(last, KEY, small) != 200:
        record.say('the small job was not accepted')
        return 2

    worker = max(platform.workers, key=lambda worker: len(worker.runs))
    if standin.trouble():
        record.say(f'{worker.id} is cut off for {CUT_S} s')
        worker.cut()
    await asyncio.sleep(CUT_S)
    if standin.trouble():
        worker.heal()
    record.say('no disruption from here on')
    await asyncio.sleep(20 + CONTACT_S)
    answers = await ask(clients, record, last)
    record.say(f'{last}: {answers}')
    handed_in = await clients.submit(
        standin.make_id(),
        KEY,
        {
            'spec': '{"ms": 500}',
            'steps': [{'count': 1, 'cpu': 100, 'memMb': 32, 'estimateMs': 500}],
        },
        tries=4,
    )
    record.say(f'a new job is answered with {handed_in}')
    record.say(f'the store refused {len(platform.store.refused_sizes)} writes')
    return 0 if answers == 'completed' else 1


async def ask(clients: standin.Clients, record: standin.Record, id: str) -> str:
    """Asks for a job's state for FINISH_S; returns the last answer."""
    until = standin.now() + FINISH_S
    state = ''
    while standin.now() < until and state != 'completed':
        status, fields, _ = await clients.call('GET', standin.PREFIX + id, KEY)
        state = fields.get('state', f'status {status}')
        await asyncio.sleep(0.3)
    return state


standin.main(play, pathlib.Path(__file__).parent)
