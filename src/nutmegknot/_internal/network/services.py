"""Binding of plain functions to the services of the schema."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
from typing import Any

from google.protobuf import descriptor
from google.protobuf import message as message_lib
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


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the calls of one service.

    Attributes:
      message_bytes: Longest message of a call.
      calls_per_caller: The most calls of one caller handled at a time; 0 for
        no limit.
    """

    message_bytes: int
    calls_per_caller: int = 0


def ignore(error: Exception) -> None:
    """Takes no note of an exception."""


@dataclasses.dataclass(slots=True)
class Calls:
    """Calls that a server is handling.

    Attributes:
      running: How many.
      ended: Notified when one ends.
      by_caller: How many of each caller with a limit.
      report_broken: Takes the exception that left a handle, which is a broken
        invariant.
    """

    running: int = 0
    ended: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    by_caller: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    report_broken: Callable[[Exception], None] = ignore


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
    limits: Limits,
) -> BoundService:
    """Binds one function to each method of a service.

    Args:
      service: The service's descriptor.
      handles: Function by method name, from the call's message and the time
        left for it in ms to the reply's message or Rejected.
      calls: Counts the calls being handled.
      limits: What a call and a caller may take.

    Returns:
      The service for a grpclib server.

    Raises:
      KeyError: If a method has no function.
    """
    handlers = {}
    for method in service.methods:
        path = f'/{service.full_name}/{method.name}'
        handle = handles[method.name]
        if method.client_streaming:
            serve_call = _make_streaming(handle, calls, limits)
            cardinality = grpclib.const.Cardinality.STREAM_STREAM
        else:
            serve_call = _make_unary(handle, calls, limits)
            cardinality = grpclib.const.Cardinality.UNARY_UNARY
        handlers[path] = grpclib.const.Handler(
            serve_call,
            cardinality,
            message_factory.GetMessageClass(method.input_type),
            message_factory.GetMessageClass(method.output_type),
        )
    return BoundService(handlers)


def _make_unary(
    handle: Handle, calls: Calls, limits: Limits
) -> Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]:
    async def serve_call(stream: grpclib.server.Stream[Any, Any]) -> None:
        calls.running += 1
        try:
            call = await _receive(stream, limits.message_bytes)
            reply = call
            if not isinstance(call, Rejected):
                caller = _find_caller(stream, call)
                reply = await _handle_limited(
                    functools.partial(handle, call, _get_wait(stream)),
                    calls,
                    caller,
                    limits.calls_per_caller,
                )
            if isinstance(reply, Rejected):
                raise grpclib.exceptions.GRPCError(reply.status, reply.detail)
            await stream.send_message(reply)
        finally:
            calls.running -= 1
            signals.notify(calls.ended)

    return serve_call


def _make_streaming(
    handle: Handle, calls: Calls, limits: Limits
) -> Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]:
    """Answers each message of a stream before the next one is read.

    Streams last as long as their peer, so they don't count as calls that a
    stop waits for.
    """

    async def serve_stream(stream: grpclib.server.Stream[Any, Any]) -> None:
        call = await _receive(stream, limits.message_bytes)
        while not isinstance(call, Rejected):
            try:
                reply = await handle(call, DEFAULT_WAIT_MS)
            except Exception as error:
                calls.report_broken(error)
                raise
            await stream.send_message(reply)
            call = await _read_message(stream)

    return serve_stream


async def _receive(
    stream: grpclib.server.Stream[Any, Any], most_bytes: int
) -> Any:  # noqa: ANN401 - the method's message, or Rejected
    """Reads the message of a call, but none above the limit.

    grpclib has no limit on messages, so the reading of the stream below it is
    wrapped.
    """
    below: Any = stream._stream
    read = below.recv_data

    async def read_limited(size: int) -> bytes:
        if size > most_bytes:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.RESOURCE_EXHAUSTED,
                f'the message has {size} bytes; the limit is {most_bytes}',
            )
        data: bytes = await read(size)
        return data

    below.recv_data = read_limited
    return await _read_message(stream)


async def _read_message(
    stream: grpclib.server.Stream[Any, Any],
) -> Any:  # noqa: ANN401 - the method's message, or Rejected
    unreadable = Rejected(
        grpclib.const.Status.INVALID_ARGUMENT, 'the message cannot be read'
    )
    try:
        call = await stream.recv_message()
    except (message_lib.DecodeError, AssertionError, NotImplementedError):
        # Raised for damaged, cut off and compressed messages.
        return unreadable
    return unreadable if call is None else call


def _find_caller(
    stream: grpclib.server.Stream[Any, Any],
    call: Any,  # noqa: ANN401 - any message
) -> str:
    """Returns who calls: address and public part of the key, if any."""
    address = stream.peer.addr() if stream.peer else None
    key_id = getattr(call, 'key', '').partition('.')[0]
    return f'{address[0] if address else ""} {key_id}'


async def _handle_limited(
    handle: Callable[[], Awaitable[Any]],
    calls: Calls,
    caller: str,
    most: int,
) -> Any:  # noqa: ANN401 - the method's reply, or Rejected
    if most and calls.by_caller[caller] >= most:
        return Rejected(
            grpclib.const.Status.RESOURCE_EXHAUSTED,
            f'not handled: {most} calls of this caller are being handled',
        )
    calls.by_caller[caller] += 1
    try:
        return await handle()
    except ValueError as error:
        # Codecs raise it for enumeration values that are not known.
        return Rejected(grpclib.const.Status.INVALID_ARGUMENT, str(error))
    except Exception as error:
        calls.report_broken(error)
        raise
    finally:
        calls.by_caller[caller] -= 1
        if not calls.by_caller[caller]:
            del calls.by_caller[caller]


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
