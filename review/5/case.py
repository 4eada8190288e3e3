"""Jobs are cancelled while the store is silent and just after it is back."""

import asyncio
import pathlib

import platform_standin as standin

FOLDER = pathlib.Path(__file__).parent
TENANTS = {'lab': 'key-lab'}
# Shorter than the site file's longest (4.5 s).
DOWN_S = 1.6
CYCLES = 6
JOBS = 190
# Shorter than the site file's longest (5.5 s); a lease lasts longer.
CUT_S = 3.0
# node_cut, how servers: at most 0.17 of the workers.
CUT = 4
# cancel_ms, stopGraceMs and contactMs of the site file.
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.4, 3.0


async def play(  # noqa: C901, PLR0912, PLR0915 - read from top to bottom
    platform: standin.Platform, clients: standin.Clients, record: standin.Record
) -> int:
    """Plays the case and returns the verdict."""
    await platform.start(workers=25, instances=6, tenants=TENANTS)
    key = TENANTS['lab']
    if not await clients.wait_serving(key):
        record.say('the instances did not begin to serve')
        return 2
    await asyncio.sleep(2)
    jobs = [standin.make_id() for _ in range(JOBS)]
    body = {
        'spec': '{"ms": 600000}',
        'steps': [
            {
                'count': 1,
                'cpu': 8000,
                'memMb': 64,
                'longRunning': True,
            }
        ],
    }
    found = await asyncio.gather(
        *(clients.submit(id, key, body) for id in jobs)
    )
    if set(found) != {200}:
        record.say(f'jobs were answered {sorted(set(found))}')
        return 2
    began = standin.now()
    while len(platform.running()) < len(jobs) and standin.now() < began + 20:
        await asyncio.sleep(0.1)
    record.say(f'{len(platform.running())} tasks of {len(jobs)} jobs run')
    if len(platform.running()) < len(jobs):
        return 2
    await asyncio.sleep(4)
    acked = {}

    async def cancel(id: str) -> None:
        at = await clients.cancel(id, key)
        if at is not None:
            acked[id] = at
            record.write(f'the cancel of {id} is acknowledged')

    broken = 0
    for cycle in range(CYCLES):
        cut = sorted(platform.workers, key=lambda worker: -len(worker.runs))[
            :CUT
        ]
        mine = [
            task.split('.')[0]
            for worker, task, _ in platform.running()
            if worker in cut
        ]
        if standin.trouble():
            for worker in cut:
                worker.cut()
        await asyncio.sleep(0.2)
        if standin.trouble():
            record.write('the store is silent')
            platform.store.fault = 'silent'
        calls = []
        for id in mine:
            calls.append(asyncio.create_task(cancel(id)))
            await asyncio.sleep(1.2 / len(mine))
        await asyncio.sleep(DOWN_S - 1.2)
        if standin.trouble():
            record.write('the store answers again')
            platform.store.fault = ''
        await asyncio.sleep(CUT_S - 0.2 - DOWN_S)
        if standin.trouble():
            for worker in cut:
                worker.heal()
        healed = standin.now()
        await asyncio.gather(*calls)
        last = max((acked.get(id, 0) for id in mine), default=0)
        await asyncio.sleep(
            max(0.0, last + CANCEL_S + STOP_S + CONTACT_S - standin.now())
        )
        left = [
            (worker, task, run)
            for worker, task, run in platform.running()
            if task.split('.')[0] in mine and task.split('.')[0] in acked
        ]
        for worker, task, run in left:
            age = standin.now() - acked[task.split('.')[0]]
            record.write(
                f'{task} run {run["run"]} still runs on {worker.id},'
                f' {age:.1f} s after its cancel was acknowledged'
            )
        ages = [
            standin.now() - acked[task.split('.')[0]] for _, task, _ in left
        ]
        record.say(
            f'round {cycle + 1}: {sum(id in acked for id in mine)} of'
            f' {len(mine)} cancels acknowledged; {len(left)} of these jobs'
            f' still run {min(ages, default=0):.1f} s or more after that, and'
            f' {standin.now() - healed:.1f} s without any disruption'
        )
        broken += len(left)
    if broken:
        record.say(f'UNASKED is broken for {broken} cancelled jobs')
        return 1
    record.say('the rule held')
    return 0


standin.main(play, FOLDER)
