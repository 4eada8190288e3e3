"""gRPC servers with limits on connections and TLS.

grpclib has no limits of its own, so the protocol of each connection is wrapped
as it is made.
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
    """Open connections of a server.

    Attributes:
      most: The most that may be open; a further one is closed at once.
      open: How many are open.
    """

    most: int
    open: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Unopened:
    """The address can't be used; detail is one line."""

    detail: str


async def start(
    address: str,
    bound: list[services.BoundService],
    most: int,
    tls: ssl.SSLContext | None,
) -> grpclib.server.Server | Unopened:
    """Serves bound services at an address, 'IP:PORT'."""
    server = grpclib.server.Server(bound)
    _limit_connections(server, Connections(most))
    host, port = channels.split_address(address)
    try:
        await server.start(host, port, ssl=tls)
    except OSError as error:
        return Unopened(f'{address}: {error.strerror}')
    return server


def _limit_connections(
    server: grpclib.server.Server, connections: Connections
) -> None:
    """Has the server close each connection above the limit at once."""
    unlimited: Any = server
    make_protocol: Callable[[], Any] = unlimited._protocol_factory

    def make_limited() -> object:
        protocol = make_protocol()
        _wrap_protocol(protocol, connections)
        return protocol

    unlimited._protocol_factory = make_limited


def _wrap_protocol(protocol: Any, connections: Connections) -> None:  # noqa: ANN401 - grpclib's protocol
    is_made = False
    make = protocol.connection_made
    lose = protocol.connection_lost

    def connection_made(transport: Any) -> None:  # noqa: ANN401 - asyncio's
        nonlocal is_made
        if connections.open >= connections.most:
            transport.abort()
            return
        connections.open += 1
        is_made = True
        make(transport)

    def connection_lost(error: BaseException | None) -> None:
        if is_made:
            connections.open -= 1
            lose(error)

    protocol.connection_made = connection_made
    protocol.connection_lost = connection_lost
