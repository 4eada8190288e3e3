"""Binding of plain functions to the services of the schema."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from google.protobuf import descriptor
from google.protobuf import message_factory
import grpclib.const
import grpclib.exceptions
import grpclib.server

from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

DEFAULT_WAIT_MS = 30_000
# Kept back from a call's deadline, so that the reply still arrives in time.
REPLY_RESERVE_MS = 50

Handle = Callable[[Any, int], Awaitable[Any]]


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The call was not handled and had no effect.

    Attributes:
      status: gRPC status.
      detail: One line for the caller.
    """

    status: grpclib.const.Status
    detail: str


@dataclasses.dataclass(slots=True)
class Calls:
    """Calls that a server is handling.

    Attributes:
      running: How many.
      ended: Notified when one ends.
    """

    running: int = 0
    ended: signals.Signal = dataclasses.field(default_factory=signals.Signal)


@dataclasses.dataclass(slots=True, frozen=True)
class BoundService:
    """A service whose methods are functions, as grpclib expects it.

    Attributes:
      handlers: grpclib's handler by path.
    """

    handlers: dict[str, grpclib.const.Handler]

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Returns grpclib's handlers by path."""
        return self.handlers


def bind(
    service: descriptor.ServiceDescriptor,
    handles: dict[str, Handle],
    calls: Calls,
) -> BoundService:
    """Binds one function to each method of a service.

    Args:
      service: The service's descriptor.
      handles: Function by method name, from the call's message and the time
        left for it in ms to the reply's message or Rejected.
      calls: Counts the calls being handled.

    Returns:
      The service for a grpclib server.

    Raises:
      KeyError: If a method has no function.
    """
    handlers = {}
    for method in service.methods:
        path = f'/{service.full_name}/{method.name}'
        handlers[path] = grpclib.const.Handler(
            _make_unary(handles[method.name], calls),
            grpclib.const.Cardinality.UNARY_UNARY,
            message_factory.GetMessageClass(method.input_type),
            message_factory.GetMessageClass(method.output_type),
        )
    return BoundService(handlers)


def _make_unary(
    handle: Handle, calls: Calls
) -> Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]:
    async def serve_call(stream: grpclib.server.Stream[Any, Any]) -> None:
        calls.running += 1
        try:
            call = await stream.recv_message()
            if call is None:
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.INVALID_ARGUMENT,
                    'no message in the call',
                )
            reply = await handle(call, _get_wait(stream))
            if isinstance(reply, Rejected):
                raise grpclib.exceptions.GRPCError(reply.status, reply.detail)
            await stream.send_message(reply)
        finally:
            calls.running -= 1
            signals.notify(calls.ended)

    return serve_call


def _get_wait(stream: grpclib.server.Stream[Any, Any]) -> int:
    if stream.deadline is None:
        return DEFAULT_WAIT_MS
    left_ms = int(stream.deadline.time_remaining() * clock_lib.MS_PER_S)
    return max(0, left_ms - REPLY_RESERVE_MS)


async def wait_idle(calls: Calls, wait_ms: int) -> None:
    """Waits until no call is being handled, but at most wait_ms."""
    clock = clock_lib.make_system_clock()
    until_ms = clock.now_ms() + wait_ms
    while calls.running and clock.now_ms() < until_ms:
        left_ms = until_ms - clock.now_ms()
        await signals.wait_at_most(calls.ended, calls.ended.count, left_ms)
