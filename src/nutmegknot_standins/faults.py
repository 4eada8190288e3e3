"""Fault injection for calls to the simulated platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from aiohttp import web

from nutmegknot._internal.utils import clock
from nutmegknot_standins import control_pb2

# Prefixes of all request paths; the second one names the calling instance.
PATH_PREFIXES = ('', '/from/{caller}')
_SERVICE_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call to the simulated platform that a fault may affect.

    Attributes:
      part: Called service: 'table', 'objects', 'list' (the list of workers)
        or 'worker'.
      keys: Keys of table rows, the name of an object, or the id of a worker.
      caller: Name of the calling instance; '' if the path names none.
      writes: Whether the call changes something.
    """

    part: str
    keys: tuple[str, ...]
    caller: str
    writes: bool


@dataclasses.dataclass(slots=True)
class ActiveFault:
    """A fault that is active.

    Attributes:
      fault: The fault as requested.
      calls: Number of calls that it has affected so far.
      removed: Set when the fault is cleared or its time is over; it ends the
        delays of calls that the fault holds.
    """

    fault: control_pb2.Fault
    calls: int = 0
    removed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults, oldest first."""

    active: list[ActiveFault] = dataclasses.field(default_factory=list)


def get_caller(req: web.Request) -> str:
    """Returns the calling instance's name, or '' if the path names none."""
    return req.match_info.get('caller', '')


def add(faults: Faults, fault: control_pb2.Fault) -> None:
    """Activates a fault, and removes it after for_ms if that is set."""
    active = ActiveFault(fault)
    faults.active.append(active)
    if fault.for_ms:
        seconds = clock.to_seconds(fault.for_ms)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, _remove, faults, active)


def clear(faults: Faults) -> None:
    """Removes all faults."""
    for active in list(faults.active):
        _remove(faults, active)


def _remove(faults: Faults, active: ActiveFault) -> None:
    if active in faults.active:
        faults.active.remove(active)
    active.removed.set()


def find_fault(faults: Faults, call: Call) -> ActiveFault | None:
    """Returns the oldest fault that applies to a call."""
    for active in faults.active:
        if _matches(active.fault, call):
            return active
    return None


def _matches(fault: control_pb2.Fault, call: Call) -> bool:
    if fault.part != call.part or (fault.writes_only and not call.writes):
        return False
    if fault.caller and fault.caller != call.caller:
        return False
    return any(key.startswith(fault.prefix) for key in call.keys)


async def apply_faults(
    faults: Faults,
    req: web.Request,
    call: Call,
    effect: Callable[[], Awaitable[web.Response]],
) -> web.Response:
    """Serves a call, changed by the oldest active fault that matches it.

    Args:
      faults: All active faults.
      req: The HTTP request of the call.
      call: What faults are matched against.
      effect: Executes the call and returns its answer.
    """
    active = find_fault(faults, call)
    if active is None:
        reply = await effect()
        # A long poll may have been waiting when a CUT fault was added; its
        # connection is then dropped as well.
        later = find_fault(faults, call)
        if later and later.fault.kind == control_pb2.FAULT_KIND_CUT:
            return drop_connection(req)
        return reply
    active.calls += 1
    if active.calls == active.fault.count:
        faults.active.remove(active)
    return await _apply_fault(active, req, effect)


async def _apply_fault(
    active: ActiveFault,
    req: web.Request,
    effect: Callable[[], Awaitable[web.Response]],
) -> web.Response:
    match active.fault.kind:
        case control_pb2.FAULT_KIND_CUT:
            return drop_connection(req)
        case control_pb2.FAULT_KIND_SLOW:
            reply = await effect()
            await _wait(active)
            return reply
        case control_pb2.FAULT_KIND_LOST:
            await effect()
            return drop_connection(req)
        case control_pb2.FAULT_KIND_LATE:
            await _wait(active)
            return await effect()
        case control_pb2.FAULT_KIND_GARBAGE:
            return web.Response(text='not of the protocol')
    return web.Response(status=_SERVICE_UNAVAILABLE)


async def _wait(active: ActiveFault) -> None:
    seconds = clock.to_seconds(active.fault.delay_ms)
    try:
        async with asyncio.timeout(seconds):
            await active.removed.wait()
    except TimeoutError:
        pass


def drop_connection(req: web.Request) -> web.Response:
    """Closes the connection of a request without an answer.

    The returned response is never sent; aiohttp demands one.
    """
    if req.transport is not None:
        req.transport.abort()
    return web.Response()
