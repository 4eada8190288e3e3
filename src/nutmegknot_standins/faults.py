"""Faults of the stand-ins, as tests and benchmarks order them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from aiohttp import web

from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2

# Paths begin with one of these; the second one tells who calls.
PATH_STARTS = ('', '/from/{caller}')
_SERVICE_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """What a fault may apply to.

    Attributes:
      part: 'table', 'objects', 'list' or 'worker'.
      keys: Table keys, name of the object or id of the worker.
      caller: Name of the calling instance, or ''.
      writes: Whether the call changes something.
    """

    part: str
    keys: tuple[str, ...]
    caller: str
    writes: bool


@dataclasses.dataclass(slots=True)
class Active:
    """A fault in force.

    Attributes:
      fault: The order.
      calls: Calls that it applied to so far.
      removed: Set when it is no longer in force.
    """

    fault: control_pb2.Fault
    calls: int = 0
    removed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in force, oldest first."""

    active: list[Active] = dataclasses.field(default_factory=list)


def get_caller(req: web.Request) -> str:
    """Returns the name of the calling instance, or ''."""
    return req.match_info.get('caller', '')


def add(faults: Faults, fault: control_pb2.Fault) -> None:
    """Puts a fault in force."""
    active = Active(fault)
    faults.active.append(active)
    if fault.for_ms:
        seconds = clock_lib.to_seconds(fault.for_ms)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, _remove, faults, active)


def clear(faults: Faults) -> None:
    """Removes all faults."""
    for active in list(faults.active):
        _remove(faults, active)


def _remove(faults: Faults, active: Active) -> None:
    if active in faults.active:
        faults.active.remove(active)
    active.removed.set()


def find(faults: Faults, call: Call) -> Active | None:
    """Returns the oldest fault that applies to a call."""
    for active in faults.active:
        if _applies(active.fault, call):
            return active
    return None


def _applies(fault: control_pb2.Fault, call: Call) -> bool:
    if fault.part != call.part or (fault.writes_only and not call.writes):
        return False
    if fault.caller and fault.caller != call.caller:
        return False
    return any(key.startswith(fault.prefix) for key in call.keys)


async def carry_out(
    faults: Faults,
    req: web.Request,
    call: Call,
    effect: Callable[[], Awaitable[web.Response]],
) -> web.Response:
    """Serves a call as the faults in force allow."""
    active = find(faults, call)
    if active is None:
        reply = await effect()
        # A call that waited for news may have been cut off meanwhile.
        later = find(faults, call)
        if later and later.fault.kind == control_pb2.FAULT_KIND_CUT:
            return drop(req)
        return reply
    active.calls += 1
    if active.calls == active.fault.count:
        faults.active.remove(active)
    return await _spoil(active, req, effect)


async def _spoil(
    active: Active,
    req: web.Request,
    effect: Callable[[], Awaitable[web.Response]],
) -> web.Response:
    match active.fault.kind:
        case control_pb2.FAULT_KIND_CUT:
            return drop(req)
        case control_pb2.FAULT_KIND_SLOW:
            reply = await effect()
            await _wait(active)
            return reply
        case control_pb2.FAULT_KIND_LOST:
            await effect()
            return drop(req)
        case control_pb2.FAULT_KIND_LATE:
            await _wait(active)
            return await effect()
        case control_pb2.FAULT_KIND_GARBAGE:
            return web.Response(text='not of the protocol')
    return web.Response(status=_SERVICE_UNAVAILABLE)


async def _wait(active: Active) -> None:
    seconds = clock_lib.to_seconds(active.fault.delay_ms)
    try:
        async with asyncio.timeout(seconds):
            await active.removed.wait()
    except TimeoutError:
        pass


def drop(req: web.Request) -> web.Response:
    """Drops the connection of a request, so that it gets no answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()
