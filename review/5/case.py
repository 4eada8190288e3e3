"""Jobs are cancelled while the store begins an outage; do their tasks stop?"""

import asyncio
import pathlib

import platform_standin as standin

KEY = 'key-a'
# Two fifths of the jobs are cancelled.
JOBS = 60
TASKS = 80
KEPT_JOBS = 90
OUTAGE_S = 4.2
# When the clients cancel, from the start of the outage.
CANCEL_AFTER_S = 3.0
CONTACT_S = standin.BOUNDS['contactMs'] / 1000
# A task has to be gone after a calm stretch of this length.
GONE_S = (standin.BOUNDS['cancel_ms'] + standin.BOUNDS['stopGraceMs']) / 1000
# Added to the bound.
SPARE_S = 4.0


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
        'spec': '{"ms": 100000}',
        'steps': [
            {'count': TASKS, 'cpu': 30, 'memMb': 64, 'estimateMs': 100_000}
        ],
    }
    kept_body = {**body, 'steps': [{**body['steps'][0], 'count': 1}]}
    accepted = await asyncio.gather(
        *(clients.submit(id, KEY, body) for id in ids),
        *(
            clients.submit(standin.make_id(), KEY, kept_body)
            for _ in range(KEPT_JOBS)
        ),
    )
    if set(accepted) != {200}:
        record.say('a job was not accepted')
        return 2
    count = JOBS * TASKS + KEPT_JOBS
    until = standin.now() + 30
    while len(platform.running()) < count and standin.now() < until:
        await asyncio.sleep(0.1)
    record.say(
        f'{len(platform.running())} of {count} tasks of {JOBS + KEPT_JOBS} jobs'
        ' run'
    )
    await asyncio.sleep(2)

    if standin.trouble():
        record.say(f'the store is silent for {OUTAGE_S} s')
        platform.store.fault = 'silent'
    back = asyncio.create_task(end_outage(platform, record))
    await asyncio.sleep(CANCEL_AFTER_S)
    acks = await asyncio.gather(*(clients.cancel(id, KEY) for id in ids))
    await back
    if None in acks:
        record.say('a cancel was not acknowledged')
        return 2
    calm = standin.now()
    record.say(f'all {JOBS} cancels are acknowledged, the store answers')
    await asyncio.sleep(CONTACT_S + GONE_S + SPARE_S)
    left = [
        (worker, task, run)
        for worker, task, run in platform.running()
        if task.partition('.')[0] in ids and run['stop_at'] is None
    ]
    for worker, task, run in left[:20]:
        record.write(
            f'UNASKED {task} run {run["run"]} is at work on {worker.id}'
        )
    record.say(
        f'{standin.now() - calm:.1f} s after the last acknowledgement'
        f' {len(left)} tasks of cancelled jobs run on'
    )
    return 1 if left else 0


async def end_outage(
    platform: standin.Platform, record: standin.Record
) -> None:
    """Ends the outage when its time is over."""
    await asyncio.sleep(OUTAGE_S)
    platform.store.fault = ''
    record.say('the store answers again')


standin.main(play, pathlib.Path(__file__).parent)
