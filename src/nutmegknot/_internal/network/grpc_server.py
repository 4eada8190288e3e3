"""gRPC servers with TLS and a limit on the number of open connections.

grpclib has no such limit. So this module wraps the protocol object that grpclib
creates for each connection, and counts the connections there.
"""

from collections.abc import Callable
import dataclasses
import ssl
from typing import Any

import grpclib.server

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services


@dataclasses.dataclass(slots=True)
class Connections:
    """Number of open connections of a server.

    Attributes:
      max_open: Upper limit; connections above it are closed at once.
      open: Number of connections that are open now.
    """

    max_open: int
    open: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class AddressUnavailable:
    """The server can't listen at the address; detail is one line."""

    detail: str


async def start_server(
    address: str,
    bound: list[services.BoundService],
    max_connections: int,
    tls: ssl.SSLContext | None,
) -> grpclib.server.Server | AddressUnavailable:
    """Starts a server for bound services at an address, 'IP:PORT'."""
    server = grpclib.server.Server(bound)
    _limit_connections(server, Connections(max_connections))
    host, port = channels.split_address(address)
    try:
        await server.start(host, port, ssl=tls)
    except OSError as error:
        return AddressUnavailable(f'{address}: {error.strerror}')
    return server


def _limit_connections(
    server: grpclib.server.Server, connections: Connections
) -> None:
    """Makes the server close each connection above the limit at once."""
    untyped_server: Any = server
    make_protocol: Callable[[], Any] = untyped_server._protocol_factory

    def make_limited_protocol() -> object:
        protocol = make_protocol()
        _wrap_protocol(protocol, connections)
        return protocol

    untyped_server._protocol_factory = make_limited_protocol


def _wrap_protocol(protocol: Any, connections: Connections) -> None:  # noqa: ANN401 - protocol of grpclib
    is_counted = False
    handle_made = protocol.connection_made
    handle_lost = protocol.connection_lost

    def connection_made(transport: Any) -> None:  # noqa: ANN401 - asyncio transport
        nonlocal is_counted
        if connections.open >= connections.max_open:
            transport.abort()
            return
        connections.open += 1
        is_counted = True
        handle_made(transport)

    def connection_lost(error: BaseException | None) -> None:
        if is_counted:
            connections.open -= 1
            handle_lost(error)

    protocol.connection_made = connection_made
    protocol.connection_lost = connection_lost
