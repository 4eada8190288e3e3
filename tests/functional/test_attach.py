"""Instance processes attached to a simulation of the users' platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal

import aiohttp
from lib import job_platform

from nutmegknot._internal.models import jobs

STEP = {'count': 3, 'cpu': 1_000, 'memMb': 64, 'estimateMs': 400}
BODY = {'spec': 'a check', 'steps': [STEP, {**STEP, 'after': [0]}]}
Script = Callable[
    [job_platform.Platform, aiohttp.ClientSession], Awaitable[None]
]


def run_script(folder: pathlib.Path, script: Script) -> None:
    """Runs a script against three instances and four workers.

    Afterwards checks that the platform recorded no broken guarantee.
    """

    async def play() -> None:
        platform = await job_platform.start(folder, 4, random.Random(7))
        platform.cell.run_ms = lambda name: 400
        try:
            job_platform.add_instances(platform, 3)
            async with aiohttp.ClientSession() as session:
                await wait_ready(platform, session)
                await script(platform, session)
        finally:
            await job_platform.stop(platform)
        assert platform.cell.violations == []

    asyncio.run(play())


async def wait_ready(
    platform: job_platform.Platform, session: aiohttp.ClientSession
) -> None:
    for instance in platform.instances:
        while True:
            status, _ = await job_platform.call(
                platform, session, instance, 'GET', 'f' * 16
            )
            if status == 410:
                break
            await asyncio.sleep(0.1)


async def submit(
    platform: job_platform.Platform, session: aiohttp.ClientSession, id: str
) -> None:
    """Submits a job to one instance after the other until it is accepted."""
    number = 0
    while True:
        instance = platform.instances[number % len(platform.instances)]
        number += 1
        status, _ = await job_platform.call(
            platform, session, instance, 'POST', id, BODY
        )
        if status == 200:
            return
        await asyncio.sleep(0.2)


async def wait_state(
    platform: job_platform.Platform,
    session: aiohttp.ClientSession,
    id: str,
    wanted: str,
) -> None:
    number = 0
    while True:
        instance = platform.instances[number % len(platform.instances)]
        number += 1
        _, fields = await job_platform.call(
            platform, session, instance, 'GET', id
        )
        if fields.get('state') == wanted:
            return
        assert fields.get('state') not in ('failed', 'cancelled')
        await asyncio.sleep(0.1)


def list_done(platform: job_platform.Platform, id: str) -> int:
    return len({s.name for s in platform.cell.starts if s.name.job == id})


def test_a_job_is_accepted_at_any_instance_and_completed(
    tmp_path: pathlib.Path,
) -> None:
    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        ids = [f'{n:016x}' for n in range(1, 7)]
        await asyncio.gather(*(submit(platform, session, i) for i in ids))
        for id in ids:
            await wait_state(platform, session, id, 'completed')
            assert list_done(platform, id) == 6
        first = platform.instances[0]
        status, _ = await job_platform.call(
            platform, session, first, 'DELETE', 'e' * 16
        )
        assert status == 410

    run_script(tmp_path, script)


def test_jobs_survive_the_kill_of_the_owner(tmp_path: pathlib.Path) -> None:
    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        ids = [f'{n:016x}' for n in range(1, 9)]
        await asyncio.gather(*(submit(platform, session, i) for i in ids))
        owner = job_platform.find_owner(platform)
        assert owner is not None
        job_platform.send_signal(owner, signal.SIGKILL)
        for id in ids:
            await wait_state(platform, session, id, 'completed')
        runs = [s.name for s in platform.cell.starts]
        assert len(runs) == len(set(runs)) == 48

    run_script(tmp_path, script)


def test_a_planned_stop_ends_in_order_and_hands_over(
    tmp_path: pathlib.Path,
) -> None:
    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        await submit(platform, session, '1' * 16)
        owner = job_platform.find_owner(platform)
        assert owner is not None
        job_platform.send_signal(owner, signal.SIGHUP)
        job_platform.send_signal(owner, signal.SIGUSR1)
        while 'event=state_written' not in owner.log.read_text('utf-8'):
            await asyncio.sleep(0.1)
        job_platform.send_signal(owner, signal.SIGTERM)
        assert await job_platform.wait_ended(owner) == 0
        await wait_state(platform, session, '1' * 16, 'completed')
        assert job_platform.find_owner(platform) not in (None, owner)
        text = owner.log.read_text(encoding='utf-8')
        for event in ('instance_started', 'handing_over', 'instance_stopped'):
            assert f'event={event}' in text

    run_script(tmp_path, script)


def test_a_stopping_owner_answers_callers_until_it_ends(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against calls that find no owner and end at their deadlines.

    An instance stopped following the owner row when its stop began, so that the
    one that had handed over did not know its successor.
    """

    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        await submit(platform, session, '1' * 16)
        owner = job_platform.find_owner(platform)
        assert owner is not None
        job_platform.send_signal(owner, signal.SIGTERM)
        while 'event=handing_over' not in owner.log.read_text('utf-8'):
            await asyncio.sleep(0.01)
        statuses = []
        for number in range(2, 7):
            status, _ = await job_platform.call(
                platform, session, owner, 'POST', f'{number:016x}', BODY
            )
            statuses.append(status)
            status, _ = await job_platform.call(
                platform, session, owner, 'GET', '1' * 16
            )
            statuses.append(status)
        assert statuses == [200] * 10
        assert await job_platform.wait_ended(owner) == 0

    run_script(tmp_path, script)


def test_a_refusal_in_an_outage_is_true(tmp_path: pathlib.Path) -> None:
    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        owner = job_platform.find_owner(platform)
        assert owner is not None
        platform.store.fault = 'busy'
        id = 'a' * 16
        status = 0
        while status != 503:
            status, _ = await job_platform.call(
                platform, session, owner, 'POST', id, BODY
            )
        platform.store.fault = ''
        await submit(platform, session, 'b' * 16)
        await wait_state(platform, session, 'b' * 16, 'completed')
        assert list_done(platform, id) == 0
        status, _ = await job_platform.call(platform, session, owner, 'GET', id)
        assert status == 410

    run_script(tmp_path, script)


def test_metrics_are_shown(tmp_path: pathlib.Path) -> None:
    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        await submit(platform, session, '1' * 16)
        await wait_state(platform, session, '1' * 16, 'completed')
        owner = job_platform.find_owner(platform)
        assert owner is not None
        async with session.get(f'http://{owner.ip}:9464/metrics') as reply:
            text = await reply.text()
        ended = 'nutmegknot_jobs_ended_total{queue="queue",state="completed"} 1'
        assert ended in text
        assert jobs.JobState.COMPLETED.value in text

    run_script(tmp_path, script)


def test_a_call_that_was_read_too_late_has_no_effect(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a job that is accepted after its caller's time is over.

    Its instance was frozen with the call in its socket. The caller may have
    been refused, or have cancelled the job, at another instance since.
    """

    async def script(
        platform: job_platform.Platform, session: aiohttp.ClientSession
    ) -> None:
        await submit(platform, session, 'a' * 16)
        owner = job_platform.find_owner(platform)
        assert owner is not None
        frozen, third = [i for i in platform.instances if i is not owner]
        job_platform.send_signal(frozen, signal.SIGSTOP)
        status, _ = await job_platform.call(
            platform, session, frozen, 'POST', 'b' * 16, BODY
        )
        assert status == 0
        # The time of the call is over, by the clock of any process.
        await asyncio.sleep(1)
        job_platform.send_signal(frozen, signal.SIGCONT)
        status = 0
        while status != 410:
            status, _ = await job_platform.call(
                platform, session, frozen, 'GET', 'c' * 16
            )
        status, _ = await job_platform.call(
            platform, session, third, 'GET', 'b' * 16
        )
        assert status == 410

    run_script(tmp_path, script)
