"""All instances are killed while tasks end; does a finished task run again?"""

import asyncio
import pathlib
import signal

import platform_standin as standin

KEY = 'key-a'
JOBS = 3
TASKS = 1000
WORK_MS = 6000
DOWN_S = 1.0
# The kill comes so long before the first task ends.
BEFORE_S = 0.3


async def play(
    platform: standin.Platform,
    clients: standin.Clients,
    record: standin.Record,
) -> int:
    """Plays the case; returns its verdict."""
    await platform.start(workers=3, instances=6, tenants={'t-a': KEY})
    if not await clients.wait_serving(KEY):
        record.say('the instances do not serve')
        return 2
    ids = [standin.make_id() for _ in range(JOBS)]
    body = {
        'spec': f'{{"ms": {WORK_MS}}}',
        'steps': [
            {'count': TASKS, 'cpu': 60, 'memMb': 64, 'estimateMs': WORK_MS}
        ],
    }
    accepted = await asyncio.gather(
        *(clients.submit(id, KEY, body) for id in ids)
    )
    if set(accepted) != {200}:
        record.say('a job was not accepted')
        return 2
    began = standin.now()
    until = began + WORK_MS / 1000 - BEFORE_S
    while standin.now() < until:
        await asyncio.sleep(0.05)
    record.say(
        f'{len(platform.running())} of {JOBS * TASKS} tasks run: '
        + ' '.join(str(len(worker.runs)) for worker in platform.workers)
    )
    if standin.trouble():
        record.say(f'all instances are killed, and back after {DOWN_S} s')
        for instance in platform.instances:
            instance.send(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for instance in platform.instances:
            instance.start()
    states = await asyncio.gather(*(wait_done(clients, id) for id in ids))
    record.say(f'the jobs are {states}')
    await asyncio.sleep(3)
    noted = platform.list_noted()
    record.say(
        f'{len(platform.started_again)} starts of tasks that were done, for'
        f' {len(noted)} of which the end was taken note of;'
        f' {len(platform.doubled)} starts while another run was there'
    )
    return 1 if noted or platform.doubled else 0


async def wait_done(clients: standin.Clients, id: str) -> str:
    """Asks for a job's state until it has ended; returns the last answer."""
    until = standin.now() + 40
    state = ''
    while standin.now() < until and state not in ('completed', 'failed'):
        status, fields, _ = await clients.call('GET', standin.PREFIX + id, KEY)
        state = fields.get('state', f'status {status}')
        await asyncio.sleep(0.5)
    return state


standin.main(play, pathlib.Path(__file__).parent)
