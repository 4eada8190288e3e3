"""Calls to a worker that reach only the life that they are meant for.

A worker that restarts comes back under its id and its address, and a call names
nothing else. Its next life would carry out what was meant for the one before:
forget ends that nobody has read, start what was decided for the earlier life,
or extend its lease by a clock that it does not have.

A connection ends with the process that accepted it. So a call goes over a
connection on which the worker has answered in the life that the call is meant
for. Over a new connection, a probe goes first: a call without effects, whose
answer names the life.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

# Number of probes for one call. After that the call may open a connection
# itself: the worker does not keep connections open, or others use them.
MAX_PROBES = 2
_OK = 200


@dataclasses.dataclass(slots=True, frozen=True)
class NotConnected:
    """No open connection is idle, and the call was not sent."""


@dataclasses.dataclass(slots=True, frozen=True)
class OtherLife:
    """The worker is in another life than the call is for; it was not sent.

    Attributes:
      reply: The answer to the probe.
    """

    reply: platform_calls.Reply


# Makes a call with a time-out in ms. The last argument tells whether a
# connection may be opened for it.
Send = Callable[
    [platform_calls.Call, int, bool],
    Awaitable[platform_calls.Reply | platform_calls.NoAnswer | NotConnected],
]


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """Connections to the address of one worker.

    Attributes:
      send: Makes a call.
      close: Closes all connections.
    """

    send: Send
    close: Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class LifeConnections:
    """Connections on which a worker has answered in one life.

    Attributes:
      worker: The worker, in that life.
      pool: The connections.
      calls: Number of calls in progress.
      is_retired: Whether no further call may use them.
    """

    worker: workers.Worker
    pool: Pool
    calls: int = 0
    is_retired: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Connections:
    """Connections of this process to all workers.

    Attributes:
      open_pool: Returns a pool for a worker, without open connections.
      read_life: Returns the number of the life that a reply names; None if it
        names none.
      by_worker: The connections in use, by worker id.
    """

    open_pool: Callable[[workers.Worker], Pool]
    read_life: Callable[[platform_calls.Reply], int | None]
    by_worker: dict[str, LifeConnections] = dataclasses.field(
        default_factory=dict
    )


async def send_call(
    connections: Connections,
    worker: workers.Worker,
    call: platform_calls.Call,
    probe: platform_calls.Call,
    timeout_ms: int,
) -> platform_calls.Reply | platform_calls.NoAnswer | OtherLife:
    """Makes a call that must not reach another life of the worker.

    Args:
      connections: The connections of this process.
      worker: The worker, in the life that the call is meant for.
      call: The call.
      probe: A call without effects.
      timeout_ms: Time-out of the call and its probes.

    Returns:
      The answer to the call, or to a probe that was refused.
    """
    current = await _use(connections, worker)
    try:
        return await _send_probed(connections, current, call, probe, timeout_ms)
    finally:
        await _release(current)


async def send_probe(
    connections: Connections,
    worker: workers.Worker,
    probe: platform_calls.Call,
    timeout_ms: int,
) -> platform_calls.Reply | platform_calls.NoAnswer:
    """Makes a call without effects, which may reach any life of the worker."""
    current = await _use(connections, worker)
    try:
        return await _probe(connections, current, probe, timeout_ms)
    finally:
        await _release(current)


async def disconnect(connections: Connections, worker_id: str) -> None:
    """Closes the connections to a worker once no call uses them."""
    current = connections.by_worker.get(worker_id)
    if current is not None:
        _retire(connections, current)
        await _close_if_unused(current)


async def _send_probed(
    connections: Connections,
    current: LifeConnections,
    call: platform_calls.Call,
    probe: platform_calls.Call,
    timeout_ms: int,
) -> platform_calls.Reply | platform_calls.NoAnswer | OtherLife:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + clock.to_seconds(timeout_ms)

    def compute_left_ms() -> int:
        return max(1, int((until_s - loop.time()) * clock.MS_PER_S))

    for _ in range(MAX_PROBES):
        reply = await current.pool.send(call, compute_left_ms(), False)
        if not isinstance(reply, NotConnected):
            return _check_reply(connections, current, reply)
        probed = await _probe(connections, current, probe, compute_left_ms())
        if isinstance(probed, platform_calls.NoAnswer):
            return platform_calls.NoAnswer(False, probed.detail)
        if probed.status != _OK:
            return probed
        if _read_life(connections, probed) != current.worker.life:
            return OtherLife(probed)
    reply = await current.pool.send(call, compute_left_ms(), True)
    assert not isinstance(reply, NotConnected)
    return _check_reply(connections, current, reply)


def _check_reply(
    connections: Connections,
    current: LifeConnections,
    reply: platform_calls.Reply | platform_calls.NoAnswer,
) -> platform_calls.Reply | platform_calls.NoAnswer:
    """Retires the connections if their life may have ended.

    They are not used again after a call without an answer, as a proxy may go on
    with them to the next life.
    """
    if isinstance(reply, platform_calls.NoAnswer):
        _retire(connections, current)
        return reply
    life = connections.read_life(reply)
    if life is None or life == current.worker.life:
        return reply
    logger.warning(
        'call_answered_by_other_life',
        extra={
            'worker': current.worker.id,
            'life': life,
            'expected': current.worker.life,
        },
    )
    _retire(connections, current)
    return platform_calls.NoAnswer(True, f'answered by life {life}')


async def _probe(
    connections: Connections,
    current: LifeConnections,
    probe: platform_calls.Call,
    timeout_ms: int,
) -> platform_calls.Reply | platform_calls.NoAnswer:
    reply = await current.pool.send(probe, timeout_ms, True)
    assert not isinstance(reply, NotConnected)
    if isinstance(reply, platform_calls.NoAnswer) or reply.status != _OK:
        _retire(connections, current)
        return reply
    life = _read_life(connections, reply)
    if life != current.worker.life:
        logger.info(
            'worker_in_other_life',
            extra={
                'worker': current.worker.id,
                'life': life,
                'expected': current.worker.life,
            },
        )
        _retire(connections, current)
    return reply


def _read_life(connections: Connections, reply: platform_calls.Reply) -> int:
    return connections.read_life(reply) or 0


async def _use(
    connections: Connections, worker: workers.Worker
) -> LifeConnections:
    """Returns the connections for a call, which _release ends the use of."""
    current = connections.by_worker.get(worker.id)
    replaced = None
    if current is not None and (
        current.worker.life != worker.life
        or current.worker.address != worker.address
    ):
        _retire(connections, current)
        current, replaced = None, current
    if current is None:
        current = LifeConnections(worker, connections.open_pool(worker))
        connections.by_worker[worker.id] = current
    current.calls += 1
    if replaced is not None:
        await _close_if_unused(replaced)
    return current


async def _release(current: LifeConnections) -> None:
    current.calls -= 1
    await _close_if_unused(current)


def _retire(connections: Connections, current: LifeConnections) -> None:
    current.is_retired = True
    if connections.by_worker.get(current.worker.id) is current:
        del connections.by_worker[current.worker.id]


async def _close_if_unused(current: LifeConnections) -> None:
    if current.is_retired and current.calls == 0:
        await current.pool.close()
