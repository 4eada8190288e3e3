"""Workers crash silently and are back some seconds later, under their ids."""

import asyncio
import pathlib
import random

import platform_standin as standin

FOLDER = pathlib.Path(__file__).parent
TENANTS = {'lab': 'key-lab'}
WORKERS = 25
# srv_crash, how dark: at most 0.14 of the workers for at most 4.5 s.
CRASHED = 3
DOWN_S = (1.0, 3.5)
ROUNDS = 18


async def play(  # noqa: C901, PLR0912, PLR0915 - read from top to bottom
    platform: standin.Platform, clients: standin.Clients, record: standin.Record
) -> int:
    """Plays the case and returns the verdict."""
    await platform.start(workers=WORKERS, instances=6, tenants=TENANTS)
    key = TENANTS['lab']
    if not await clients.wait_serving(key):
        record.say('the instances did not begin to serve')
        return 2
    await asyncio.sleep(2)
    accepted = []
    going = [True]
    body = {
        'spec': '{"ms": 2500}',
        'steps': [
            {
                'count': 20,
                'cpu': 500,
                'memMb': 64,
                'estimateMs': 2500,
                'antiAffinity': 1,
            }
        ],
    }

    async def hand_in() -> None:
        id = standin.make_id()
        if await clients.submit(id, key, body) == 200:
            accepted.append(id)

    async def traffic() -> None:
        while going[0]:
            asyncio.create_task(hand_in())
            await asyncio.sleep(0.12)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(5)
    for number in range(ROUNDS):
        crashed = random.sample(platform.workers, CRASHED)
        if standin.trouble():
            for worker in crashed:
                await worker.crash('dark')
        await asyncio.sleep(random.uniform(*DOWN_S))
        if standin.trouble():
            for worker in crashed:
                await worker.come_back()
        await asyncio.sleep(1.5)
        record.write(f'round {number + 1}: {len(platform.doubled)} doubled')
    going[0] = False
    await flow
    await asyncio.sleep(5)
    record.say(
        f'{len(accepted)} jobs accepted; {len(platform.doubled)} tasks were'
        ' started while another run of them was on a worker that was up'
    )
    for text in platform.doubled[:5]:
        record.say(text)
    if platform.doubled:
        record.say(f'TWICE is broken for {len(platform.doubled)} tasks')
        return 1
    record.say('the rule held')
    return 0


standin.main(play, FOLDER)
