"""State and helpers that the steps of one test scenario share.

In behaviour-driven tests such a state is called the world of a scenario.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any
from typing import TypeVar

from lib import callers
from lib import processes

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot_standins import control_pb2

KEY_ID = 'first-key'
SECRET = 'only-for-tests'
KEY = f'{KEY_ID}.{SECRET}'
TEAM = 'sheets'
LARGE_LIMIT = resources.Resources(1_000_000, 10_000_000, 1000, 10_000)
CALL_TIMEOUT_S = 5.0
# Every change must be in force in all instances within this time.
CHANGE_GRACE_MS = 3_000

Result = TypeVar('Result')


@dataclasses.dataclass(slots=True)
class World:
    """State that the steps of one scenario share.

    Attributes:
      runner: Runs the asynchronous parts of the steps.
      cluster: Processes of the cell.
      balancer: Picks an instance for each call.
      draining: Names of instances that the balancer no longer picks.
      configuration: The configuration that was applied last.
      calls: Submissions by request id.
      pending: asyncio tasks of callers that wait for an outcome, by request
        id.
      answers: Final answers that callers received, by request id.
      background: Other asyncio tasks, cancelled at the end of the scenario.
      last_change_ms: Wall clock time in ms of the last change by operators.
      limits: Limits of the team, each with the wall clock time in ms at which
        it was applied.
      faulty_instance: Instance that a step made fail, if any.
      step_values: Values that one step stores for a later one, by name.
    """

    runner: asyncio.Runner
    cluster: processes.Cluster
    balancer: callers.Balancer
    draining: set[str] = dataclasses.field(default_factory=set)
    configuration: cells.Configuration = dataclasses.field(
        default_factory=cells.Configuration
    )
    calls: dict[str, caller_pb2.SubmitCall] = dataclasses.field(
        default_factory=dict
    )
    pending: dict[str, asyncio.Task[callers.Answer]] = dataclasses.field(
        default_factory=dict
    )
    answers: dict[str, callers.Answer] = dataclasses.field(default_factory=dict)
    background: list[asyncio.Task] = dataclasses.field(default_factory=list)
    last_change_ms: int = 0
    limits: list[tuple[int, resources.Resources]] = dataclasses.field(
        default_factory=list
    )
    faulty_instance: processes.Process | None = None
    step_values: dict[str, Any] = dataclasses.field(default_factory=dict)


def run(world: World, work: Coroutine[Any, Any, Result]) -> Result:
    """Runs the asynchronous part of a step."""
    return world.runner.run(work)


def list_serving(world: World) -> list[str]:
    """Returns the addresses that the balancer may pick."""
    return [
        process.address
        for process in processes.list_running(world.cluster)
        if process.name not in world.draining
    ]


def make_configuration() -> cells.Configuration:
    """Returns a configuration with one team, its key and two queues.

    Requests to the queue public need no key.
    """
    return cells.Configuration(
        teams={TEAM: cells.Team(TEAM, 1.0, LARGE_LIMIT)},
        keys={KEY_ID: cells.Key(KEY_ID, TEAM, keys.compute_digest(SECRET))},
        queues={
            'batch': cells.Queue('batch'),
            'public': cells.Queue('public', open_team=TEAM),
        },
        domains={
            name: cells.Domain(name, processes.REGION, workers.DomainState.OPEN)
            for name in processes.DOMAINS
        },
    )


async def apply_through(
    world: World, address: str, changed: cells.Configuration
) -> operator_pb2.ApplyConfigurationReply:
    """Applies a configuration through one instance."""
    client = clients.connect(address)
    try:
        return await client.operator.ApplyConfiguration(
            operator_pb2.ApplyConfigurationCall(
                configuration=configurations.encode_configuration(changed),
                operator='test',
                reason='scenario',
            ),
            timeout=CALL_TIMEOUT_S,
        )
    finally:
        clients.close(client)


async def apply_through_any(world: World, changed: cells.Configuration) -> None:
    """Applies a configuration through the first instance that answers."""
    for address in list_serving(world):
        try:
            reply = await apply_through(world, address, changed)
        except clients.CALL_ERRORS:
            continue
        if reply.HasField('unknown'):
            continue
        assert reply.HasField('applied'), reply
        world.last_change_ms = processes.read_wall_ms()
        world.configuration = configurations.decode_configuration(reply.applied)
        return
    raise AssertionError('no instance applied the change')


async def read_revision(address: str) -> int:
    """Returns the revision in force in an instance, or -1 without an answer."""
    client = clients.connect(address)
    try:
        reply = await client.operator.GetConfiguration(
            operator_pb2.GetConfigurationCall(), timeout=1.0
        )
        return reply.configuration.revision
    except clients.CALL_ERRORS:
        return -1
    finally:
        clients.close(client)


async def wait_in_force(world: World) -> None:
    """Waits until every running instance has the newest configuration."""
    wanted = world.configuration.revision

    async def is_in_force() -> bool:
        revisions = [await read_revision(a) for a in list_serving(world)]
        return all(revision >= wanted for revision in revisions)

    await processes.wait_until(is_in_force, f'revision {wanted} in force')


def submit(
    world: World,
    request_id: str,
    payload: dict | None = None,
    limit_s: float = 60.0,
    **fields: object,
) -> None:
    """Submits a request and waits for its outcome in the background."""
    message = callers.make_submit(request_id, KEY, payload, **fields)
    world.calls[request_id] = message

    async def wait() -> callers.Answer:
        answer = await callers.run(world.balancer, message, limit_s)
        world.answers[request_id] = answer
        return answer

    loop = world.runner.get_loop()
    world.pending[request_id] = loop.create_task(wait())


async def wait_answers(world: World) -> None:
    """Waits until every caller has its final outcome."""
    await asyncio.gather(*world.pending.values())


async def list_records(world: World) -> list[control_pb2.Record]:
    """Returns all starts and ends of tasks that workers recorded."""
    state = await processes.get_state(world.cluster)
    return list(state.records)


async def list_starts(world: World) -> list[control_pb2.Record]:
    """Returns all starts of tasks that workers recorded."""
    return [r for r in await list_records(world) if r.event == 'start']


async def list_violations(world: World, *kinds: int) -> list[str]:
    """Returns the recorded violations of the given kinds as text."""
    state = await processes.get_state(world.cluster, processes.NO_RECORDS)
    return [str(v) for v in state.violations if v.kind in kinds]


async def wait_running(world: World, count: int) -> None:
    """Waits until at least `count` tasks run."""

    async def is_running() -> bool:
        state = await processes.get_state(world.cluster, processes.NO_RECORDS)
        return state.running >= count

    await processes.wait_until(is_running, f'{count} tasks run')


async def wait_starts(world: World, count: int) -> None:
    """Waits until workers have recorded at least `count` starts."""

    async def has_started() -> bool:
        return len(await list_starts(world)) >= count

    await processes.wait_until(has_started, f'{count} starts')
