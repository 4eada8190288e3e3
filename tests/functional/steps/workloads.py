"""Steps that submit requests and wait for their progress."""

import asyncio
import random

from lib import callers
from lib import processes
from lib import worlds
import pytest_bdd
from pytest_bdd import parsers

from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2

SEED = 7
SUBMIT_INTERVAL_S = 0.03


@pytest_bdd.given(parsers.parse('{count:d} repeatable tasks of {run_ms:d} ms'))
@pytest_bdd.when(parsers.parse('{count:d} repeatable tasks of {run_ms:d} ms'))
def submit_repeatable(world: worlds.World, count: int, run_ms: int) -> None:
    """Submits repeatable requests without waiting for their outcomes."""
    for number in range(count):
        worlds.submit(world, f'repeatable-{number}', {'run_ms': run_ms})


@pytest_bdd.given(
    parsers.parse('{count:d} non-repeatable tasks of {run_ms:d} ms')
)
@pytest_bdd.when(
    parsers.parse('{count:d} non-repeatable tasks of {run_ms:d} ms')
)
def submit_once(world: worlds.World, count: int, run_ms: int) -> None:
    """Submits non-repeatable requests without waiting for their outcomes."""
    for number in range(count):
        payload = {'run_ms': run_ms}
        worlds.submit(world, f'once-{number}', payload, repeatable=False)


@pytest_bdd.given(
    parsers.parse('{count:d} tasks that use {percent:d} % of their size')
)
def submit_wrong_sizes(world: worlds.World, count: int, percent: int) -> None:
    """Submits tasks of many sizes that use more or less than they declare."""
    rng = random.Random(SEED)
    for number in range(count):
        size = common_pb2.Resources(
            millicores=rng.randrange(100, 4000),
            memory_mib=rng.randrange(100, 8000),
            slots=rng.randrange(1, 4),
        )
        payload = {'run_ms': rng.randrange(20, 600), 'use_percent': percent}
        members = rng.choice((1, 1, 1, 3))
        worlds.submit(
            world, f'sized-{number}', payload, size=size, members=members
        )


@pytest_bdd.given('callers that submit without a break')
def submit_steadily(world: worlds.World) -> None:
    """Submits short tasks until the scenario stops it or ends."""
    world.step_values['submitting'] = True

    async def keep_submitting() -> None:
        number = 0
        while world.step_values['submitting']:
            worlds.submit(world, f'steady-{number}', {'run_ms': 100})
            number += 1
            await asyncio.sleep(SUBMIT_INTERVAL_S)

    loop = world.runner.get_loop()
    world.background.append(loop.create_task(keep_submitting()))


@pytest_bdd.given("every caller's request was accepted")
def wait_accepted(world: worlds.World) -> None:
    """Waits until every submitted request has been accepted."""

    async def ask(request_id: str) -> str:
        call = world.calls[request_id]
        ask = caller_pb2.RequestCall(
            key=call.key,
            queue=call.request.queue,
            request_id=request_id,
        )
        return (await callers.call(world.balancer, 'Describe', ask)).kind

    async def is_accepted() -> bool:
        kinds = [await ask(request_id) for request_id in world.calls]
        return 'not_found' not in kinds and 'refused' not in kinds

    condition = processes.wait_until(is_accepted, 'all requests are accepted')
    worlds.run(world, condition)


@pytest_bdd.when('the callers submit no more')
def stop_submitting(world: worlds.World) -> None:
    """Stops the continuous submission of tasks."""
    world.step_values['submitting'] = False


@pytest_bdd.given(parsers.parse('{count:d} tasks run'))
@pytest_bdd.when(parsers.parse('{count:d} tasks run'))
def wait_running(world: worlds.World, count: int) -> None:
    """Waits until at least `count` tasks run."""
    worlds.run(world, worlds.wait_running(world, count))


@pytest_bdd.given(parsers.parse('{count:d} tasks have started'))
@pytest_bdd.when(parsers.parse('{count:d} more tasks have started'))
@pytest_bdd.then(parsers.parse('{count:d} more tasks start'))
def wait_starts(world: worlds.World, count: int) -> None:
    """Waits until `count` more tasks have started."""

    async def wait() -> None:
        before = len(await worlds.list_starts(world))
        await worlds.wait_starts(world, before + count)

    worlds.run(world, wait())


@pytest_bdd.given(parsers.parse('{seconds:d} s have passed since the change'))
@pytest_bdd.when(parsers.parse('{seconds:d} s have passed since the change'))
def wait_since_change(world: worlds.World, seconds: int) -> None:
    """Waits until some seconds after the last change by operators."""

    async def has_passed() -> bool:
        return processes.read_wall_ms() >= world.last_change_ms + seconds * 1000

    worlds.run(
        world,
        processes.wait_until(
            has_passed, 'the time after the change has passed'
        ),
    )


@pytest_bdd.when(
    parsers.parse('each of {count:d} requests is submitted 3 times at once')
)
def submit_thrice(world: worlds.World, count: int) -> None:
    """Submits each request three times, through several instances at once."""

    async def submit_all() -> None:
        messages = [
            callers.make_submit(f'thrice-{n}', worlds.KEY) for n in range(count)
        ]
        runs = [
            callers.run(world.balancer, message)
            for message in messages
            for _ in range(3)
        ]
        found = await asyncio.gather(*runs)
        for number, message in enumerate(messages):
            world.calls[message.request.id] = message
            same = found[3 * number : 3 * number + 3]
            assert [a.kind for a in same] == ['finished'] * 3
            assert same[0].outcome == same[1].outcome == same[2].outcome
            world.answers[message.request.id] = same[0]

    worlds.run(world, submit_all())
