"""Tests of gRPC services and servers over real connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server
import hypothesis
from hypothesis import strategies
import pytest

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import grpc_server
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot_standins import local_cells

MAX_MESSAGE_BYTES = 2000
SUBMIT_PATH = '/nutmegknot.v1.Caller/Submit'

MakeReply = Callable[[], Awaitable[common_pb2.Outcome]]


async def accept() -> common_pb2.Outcome:
    return common_pb2.Outcome(accepted=common_pb2.Accepted())


async def start(
    received: list[object],
    make_reply: MakeReply = accept,
    max_connections: int = 10,
) -> tuple[str, grpclib.server.Server, services.ActiveCalls]:
    async def handle(call: object, wait_ms: int) -> common_pb2.Outcome:
        received.append(call)
        return await make_reply()

    service = caller_pb2.DESCRIPTOR.services_by_name['Caller']
    calls = services.ActiveCalls()
    bound = services.bind(
        service,
        {method.name: handle for method in service.methods},
        calls,
        services.Limits(MAX_MESSAGE_BYTES, max_calls_per_caller=2),
    )
    address = f'127.0.0.1:{local_cells.find_ports(1)[0]}'
    server = await grpc_server.start_server(
        address, [bound], max_connections, None
    )
    assert isinstance(server, grpclib.server.Server)
    return address, server, calls


async def close(server: grpclib.server.Server) -> None:
    server.close()
    await server.wait_closed()


async def call_raw(address: str, data: bytes) -> grpclib.const.Status:
    """Calls Submit with the given bytes as message, and returns the status."""
    channel = grpclib.client.Channel(*channels.split_address(address))
    method = grpclib.client.UnaryUnaryMethod(
        channel, SUBMIT_PATH, RawMessage, common_pb2.Outcome
    )
    try:
        await method(RawMessage(data))
    except grpclib.exceptions.GRPCError as error:
        return error.status
    finally:
        channel.close()
    return grpclib.const.Status.OK


class RawMessage:
    """A message whose encoding is given, so that it may be invalid."""

    def __init__(self, data: bytes) -> None:
        """Makes a message from its encoding."""
        self.data = data

    def SerializeToString(self) -> bytes:  # noqa: N802 - name that protobuf expects
        """Returns the given encoding."""
        return self.data


async def test_too_long_message_is_rejected_unread() -> None:
    received: list[object] = []
    address, server, _ = await start(received)
    data = caller_pb2.SubmitCall(
        key='k' * MAX_MESSAGE_BYTES
    ).SerializeToString()
    status = await call_raw(address, data)
    assert status is grpclib.const.Status.RESOURCE_EXHAUSTED
    assert received == []
    assert await call_raw(address, b'') is grpclib.const.Status.OK
    await close(server)


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(data=strategies.binary(max_size=60))
def test_any_message_is_handled_or_rejected_as_invalid(data: bytes) -> None:
    async def check() -> None:
        received: list[object] = []
        address, server, calls = await start(received)
        status = await call_raw(address, data)
        if status is grpclib.const.Status.OK:
            assert received == [caller_pb2.SubmitCall.FromString(data)]
        else:
            assert status is grpclib.const.Status.INVALID_ARGUMENT
            assert received == []
        assert calls.running == 0
        await close(server)

    asyncio.run(check())


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(data=strategies.binary(min_size=1, max_size=200))
def test_any_bytes_on_a_connection_leave_the_server_working(
    data: bytes,
) -> None:
    async def check() -> None:
        received: list[object] = []
        address, server, _ = await start(received)
        host, port = channels.split_address(address)
        _, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        writer.write_eof()
        writer.close()
        assert await call_raw(address, b'') is grpclib.const.Status.OK
        assert len(received) == 1
        await close(server)

    asyncio.run(check())


async def test_calls_of_one_caller_are_limited() -> None:
    received: list[object] = []
    reply_allowed = asyncio.Event()

    async def reply_later() -> common_pb2.Outcome:
        await reply_allowed.wait()
        return await accept()

    address, server, calls = await start(received, reply_later)
    channel = grpclib.client.Channel(*channels.split_address(address))
    stub = caller_grpc.CallerStub(channel)
    call = caller_pb2.SubmitCall(key='a.secret')
    running = [asyncio.create_task(stub.Submit(call)) for _ in range(3)]
    done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    error = done.pop().exception()
    assert isinstance(error, grpclib.exceptions.GRPCError)
    assert error.status is grpclib.const.Status.RESOURCE_EXHAUSTED
    assert len(received) == 2
    other = asyncio.create_task(stub.Submit(caller_pb2.SubmitCall(key='b.s')))
    reply_allowed.set()
    assert (await other).HasField('accepted')
    results = await asyncio.gather(*running, return_exceptions=True)
    assert sum(isinstance(r, common_pb2.Outcome) for r in results) == 2
    assert not calls.count_by_caller
    channel.close()
    await close(server)


async def test_connections_are_limited() -> None:
    address, server, _ = await start([], max_connections=1)
    host, port = channels.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    # The server has accepted the connection once its HTTP/2 settings arrive.
    assert await reader.read(9)
    with pytest.raises((OSError, grpclib.exceptions.StreamTerminatedError)):
        await call_raw(address, b'')
    writer.close()
    await writer.wait_closed()
    while (await _try_call(address)) is not grpclib.const.Status.OK:
        await asyncio.sleep(0)
    await close(server)


async def _try_call(address: str) -> grpclib.const.Status | None:
    try:
        return await call_raw(address, b'')
    except (OSError, grpclib.exceptions.StreamTerminatedError):
        return None


async def test_exception_in_method_handler_is_reported() -> None:
    async def violate_invariant() -> common_pb2.Outcome:
        raise AssertionError('two owners')

    address, server, calls = await start([], violate_invariant)
    reported: list[Exception] = []
    calls.report_error = reported.append
    assert await call_raw(address, b'') is grpclib.const.Status.UNKNOWN
    assert [str(error) for error in reported] == ['two owners']
    await close(server)
