"""gRPC services whose methods are plain functions, with limits on the calls."""

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

# Time for a call without a deadline, and for each message of a stream.
DEFAULT_WAIT_MS = 30_000
# A handler's time ends this long before the call's deadline, so that the reply
# still arrives in time.
REPLY_MARGIN_MS = 50

# Budget for the messages that are being received, where no other is set.
MAX_HELD_BYTES = 16_777_216
# Longest message that is not taken from the budget, so that ordinary calls are
# served while it is exhausted.
FREE_MESSAGE_BYTES = 16_384

# Gets the message of a call and the time left for it in ms; returns the message
# of the reply or Rejected.
MethodHandler = Callable[[Any, int], Awaitable[Any]]


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The call was rejected and had no effect.

    Attributes:
      status: gRPC status of the reply.
      detail: One line on the reason, for the caller.
    """

    status: grpclib.const.Status
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the calls of one service.

    Attributes:
      max_message_bytes: Maximum size of a call's message.
      max_calls_per_caller: Maximum number of concurrent calls of one caller.
        0 for no limit.
      max_held_bytes: Budget for the messages of all calls that are being
        received by a server.
    """

    max_message_bytes: int
    max_calls_per_caller: int = 0
    max_held_bytes: int = MAX_HELD_BYTES


def ignore_error(error: Exception) -> None:
    """Does nothing with an exception."""


@dataclasses.dataclass(slots=True)
class ActiveCalls:
    """Calls that a server is handling now.

    Attributes:
      running: Number of calls to methods without streaming.
      call_ended: Notified when such a call ends.
      count_by_caller: Number of such calls by caller.
      held_bytes: Length of the messages that are being received and are taken
        from the budget.
      report_error: Called with an exception that a method handler raised.
        Such an exception means that an invariant is violated. Only a ValueError
        from a method without streaming is not passed on: it means that the
        message is invalid.
    """

    running: int = 0
    call_ended: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    count_by_caller: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    held_bytes: int = 0
    report_error: Callable[[Exception], None] = ignore_error


@dataclasses.dataclass(slots=True, frozen=True)
class BoundService:
    """A service with functions as methods, in the form that grpclib expects.

    Attributes:
      handlers: grpclib's handlers by path, '/SERVICE/METHOD'.
    """

    handlers: dict[str, grpclib.const.Handler]

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Returns grpclib's handlers by path."""
        return self.handlers


def bind(
    service: descriptor.ServiceDescriptor,
    method_handlers: dict[str, MethodHandler],
    calls: ActiveCalls,
    limits: Limits,
) -> BoundService:
    """Binds one function to each method of a service.

    Args:
      service: The service's descriptor.
      method_handlers: Function by method name. It gets the call's message and
        the time left for the call in ms, and returns the reply's message or
        Rejected.
      calls: Counts the calls that are being handled.
      limits: Limits on the calls of the service.

    Returns:
      The service for a grpclib server.

    Raises:
      KeyError: If a method has no function.
    """
    handlers = {}
    for method in service.methods:
        path = f'/{service.full_name}/{method.name}'
        handle = method_handlers[method.name]
        if method.client_streaming:
            serve_call = _make_stream_handler(handle, calls, limits)
            cardinality = grpclib.const.Cardinality.STREAM_STREAM
        else:
            serve_call = _make_unary_handler(handle, calls, limits)
            cardinality = grpclib.const.Cardinality.UNARY_UNARY
        handlers[path] = grpclib.const.Handler(
            serve_call,
            cardinality,
            message_factory.GetMessageClass(method.input_type),
            message_factory.GetMessageClass(method.output_type),
        )
    return BoundService(handlers)


def _make_unary_handler(
    handle: MethodHandler, calls: ActiveCalls, limits: Limits
) -> Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]:
    async def serve_call(stream: grpclib.server.Stream[Any, Any]) -> None:
        calls.running += 1
        try:
            call = await _receive_first(stream, calls, limits)
            reply = call
            if not isinstance(call, Rejected):
                caller = _find_caller(stream, call)
                reply = await _handle_within_limit(
                    functools.partial(handle, call, _compute_wait_ms(stream)),
                    calls,
                    caller,
                    limits.max_calls_per_caller,
                )
            if isinstance(reply, Rejected):
                raise grpclib.exceptions.GRPCError(reply.status, reply.detail)
            await stream.send_message(reply)
        finally:
            calls.running -= 1
            signals.notify(calls.call_ended)

    return serve_call


def _make_stream_handler(
    handle: MethodHandler, calls: ActiveCalls, limits: Limits
) -> Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]:
    """Returns a handler that answers each message before it reads the next one.

    A stream stays open as long as the peer runs, so it is not counted among the
    calls whose end a stopping server waits for.
    """

    async def serve_stream(stream: grpclib.server.Stream[Any, Any]) -> None:
        call = await _receive_first(stream, calls, limits)
        while not isinstance(call, Rejected):
            try:
                reply = await handle(call, DEFAULT_WAIT_MS)
            except Exception as error:
                calls.report_error(error)
                raise
            await stream.send_message(reply)
            call = await _read_message(stream)

    return serve_stream


async def _receive_first(
    stream: grpclib.server.Stream[Any, Any], calls: ActiveCalls, limits: Limits
) -> Any:  # noqa: ANN401 - the method's message, or Rejected
    """Sets the limits on messages for a stream and reads its first message.

    grpclib has no limit on message size. So this wraps the method of the HTTP/2
    stream through which grpclib reads each message; the limit holds for later
    messages too.

    Raises:
      GRPCError: If the message is longer than the limit, or too many long ones
        are being received.
    """
    http2_stream: Any = stream._stream
    read = http2_stream.recv_data

    async def read_limited(size: int) -> bytes:
        if size > limits.max_message_bytes:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.RESOURCE_EXHAUSTED,
                f'the message has {size} bytes; the limit is '
                f'{limits.max_message_bytes}',
            )
        held = size if size > FREE_MESSAGE_BYTES else 0
        if held and calls.held_bytes + held > limits.max_held_bytes:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.RESOURCE_EXHAUSTED,
                'too many long messages are being received',
            )
        calls.held_bytes += held
        try:
            data: bytes = await read(size)
        finally:
            calls.held_bytes -= held
        return data

    http2_stream.recv_data = read_limited
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
        # Raised for damaged, truncated and compressed messages.
        return unreadable
    return unreadable if call is None else call


def _find_caller(
    stream: grpclib.server.Stream[Any, Any],
    call: Any,  # noqa: ANN401 - any message
) -> str:
    """Returns the caller's IP address and key ID, either of which may be empty.

    The key ID is the public part of a key, before its first full stop.
    """
    address = stream.peer.addr() if stream.peer else None
    key_id = getattr(call, 'key', '').partition('.')[0]
    return f'{address[0] if address else ""} {key_id}'


async def _handle_within_limit(
    handle: Callable[[], Awaitable[Any]],
    calls: ActiveCalls,
    caller: str,
    max_calls: int,
) -> Any:  # noqa: ANN401 - the method's reply, or Rejected
    """Handles a call unless max_calls calls of its caller are being handled."""
    if max_calls and calls.count_by_caller[caller] >= max_calls:
        return Rejected(
            grpclib.const.Status.RESOURCE_EXHAUSTED,
            f'not handled: {max_calls} calls of this caller are being handled',
        )
    calls.count_by_caller[caller] += 1
    try:
        return await handle()
    except ValueError as error:
        # Decoding a message raises it for an unknown enumeration value.
        return Rejected(grpclib.const.Status.INVALID_ARGUMENT, str(error))
    except Exception as error:
        calls.report_error(error)
        raise
    finally:
        calls.count_by_caller[caller] -= 1
        if not calls.count_by_caller[caller]:
            del calls.count_by_caller[caller]


def _compute_wait_ms(stream: grpclib.server.Stream[Any, Any]) -> int:
    """Returns the time that a handler has for a call."""
    if stream.deadline is None:
        return DEFAULT_WAIT_MS
    left_ms = int(stream.deadline.time_remaining() * clock_lib.MS_PER_S)
    return max(0, left_ms - REPLY_MARGIN_MS)


async def wait_until_idle(calls: ActiveCalls, wait_ms: int) -> None:
    """Waits until no counted call is being handled, but at most wait_ms."""
    clock = clock_lib.make_system_clock()
    until_ms = clock.now_ms() + wait_ms
    while calls.running and clock.now_ms() < until_ms:
        left_ms = until_ms - clock.now_ms()
        await signals.wait_with_timeout(
            calls.call_ended, calls.call_ended.count, left_ms
        )
