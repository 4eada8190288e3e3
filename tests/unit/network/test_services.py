"""Tests of network/services.py and listening.py over real connections."""

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
from nutmegknot._internal.network import listening
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import caller_grpc
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot_standins import cells

MOST_BYTES = 2000
SUBMIT = '/nutmegknot.v1.Caller/Submit'

Reply = Callable[[], Awaitable[common_pb2.Outcome]]


async def accept() -> common_pb2.Outcome:
    return common_pb2.Outcome(accepted=common_pb2.Accepted())


async def start(
    seen: list[object], reply: Reply = accept, most: int = 10
) -> tuple[str, grpclib.server.Server, services.Calls]:
    async def handle(call: object, wait_ms: int) -> common_pb2.Outcome:
        seen.append(call)
        return await reply()

    service = caller_pb2.DESCRIPTOR.services_by_name['Caller']
    calls = services.Calls()
    bound = services.bind(
        service,
        {method.name: handle for method in service.methods},
        calls,
        services.Limits(MOST_BYTES, calls_per_caller=2),
    )
    address = f'127.0.0.1:{cells.find_ports(1)[0]}'
    server = await listening.start(address, [bound], most, None)
    assert isinstance(server, grpclib.server.Server)
    return address, server, calls


async def close(server: grpclib.server.Server) -> None:
    server.close()
    await server.wait_closed()


async def call_raw(address: str, data: bytes) -> grpclib.const.Status:
    """Makes a call whose message is the given bytes."""
    channel = grpclib.client.Channel(*channels.split_address(address))
    method = grpclib.client.UnaryUnaryMethod(
        channel, SUBMIT, RawMessage, common_pb2.Outcome
    )
    try:
        await method(RawMessage(data))
    except grpclib.exceptions.GRPCError as error:
        return error.status
    finally:
        channel.close()
    return grpclib.const.Status.OK


class RawMessage:
    """A message that is encoded as the bytes it was made of."""

    def __init__(self, data: bytes) -> None:
        """Keeps the bytes."""
        self.data = data

    def SerializeToString(self) -> bytes:  # noqa: N802 - named by protobuf
        """Returns the bytes."""
        return self.data


async def test_too_long_message_is_refused_unread() -> None:
    seen: list[object] = []
    address, server, _ = await start(seen)
    data = caller_pb2.SubmitCall(key='k' * MOST_BYTES).SerializeToString()
    status = await call_raw(address, data)
    assert status is grpclib.const.Status.RESOURCE_EXHAUSTED
    assert seen == []
    assert await call_raw(address, b'') is grpclib.const.Status.OK
    await close(server)


@hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
@hypothesis.given(data=strategies.binary(max_size=60))
def test_any_message_is_handled_or_refused_clearly(data: bytes) -> None:
    async def check() -> None:
        seen: list[object] = []
        address, server, calls = await start(seen)
        status = await call_raw(address, data)
        if status is grpclib.const.Status.OK:
            assert seen == [caller_pb2.SubmitCall.FromString(data)]
        else:
            assert status is grpclib.const.Status.INVALID_ARGUMENT
            assert seen == []
        assert calls.running == 0
        await close(server)

    asyncio.run(check())


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(data=strategies.binary(min_size=1, max_size=200))
def test_any_bytes_on_the_port_touch_nothing(data: bytes) -> None:
    async def check() -> None:
        seen: list[object] = []
        address, server, _ = await start(seen)
        host, port = channels.split_address(address)
        _, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        writer.write_eof()
        writer.close()
        assert await call_raw(address, b'') is grpclib.const.Status.OK
        assert len(seen) == 1
        await close(server)

    asyncio.run(check())


async def test_calls_of_one_caller_are_limited() -> None:
    seen: list[object] = []
    released = asyncio.Event()

    async def wait() -> common_pb2.Outcome:
        await released.wait()
        return await accept()

    address, server, calls = await start(seen, wait)
    channel = grpclib.client.Channel(*channels.split_address(address))
    stub = caller_grpc.CallerStub(channel)
    call = caller_pb2.SubmitCall(key='a.secret')
    running = [asyncio.create_task(stub.Submit(call)) for _ in range(3)]
    done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    error = done.pop().exception()
    assert isinstance(error, grpclib.exceptions.GRPCError)
    assert error.status is grpclib.const.Status.RESOURCE_EXHAUSTED
    assert len(seen) == 2
    other = asyncio.create_task(stub.Submit(caller_pb2.SubmitCall(key='b.s')))
    released.set()
    assert (await other).HasField('accepted')
    results = await asyncio.gather(*running, return_exceptions=True)
    assert sum(isinstance(r, common_pb2.Outcome) for r in results) == 2
    assert not calls.by_caller
    channel.close()
    await close(server)


async def test_connections_are_limited() -> None:
    address, server, _ = await start([], most=1)
    host, port = channels.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    # The first bytes that a server sends are its settings.
    assert await reader.read(9)
    with pytest.raises((OSError, grpclib.exceptions.StreamTerminatedError)):
        await call_raw(address, b'')
    writer.close()
    await writer.wait_closed()
    while (await _try(address)) is not grpclib.const.Status.OK:
        await asyncio.sleep(0)
    await close(server)


async def _try(address: str) -> grpclib.const.Status | None:
    try:
        return await call_raw(address, b'')
    except (OSError, grpclib.exceptions.StreamTerminatedError):
        return None


async def test_exception_in_handle_is_reported_as_broken() -> None:
    async def break_invariant() -> common_pb2.Outcome:
        raise AssertionError('two owners')

    address, server, calls = await start([], break_invariant)
    found: list[Exception] = []
    calls.report_broken = found.append
    assert await call_raw(address, b'') is grpclib.const.Status.UNKNOWN
    assert [str(error) for error in found] == ['two owners']
    await close(server)
