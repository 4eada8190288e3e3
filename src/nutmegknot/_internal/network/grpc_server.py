"""gRPC servers with TLS and a limit on the number of open connections.

grpclib has no such limit. So this module wraps the protocol object that grpclib
creates for each connection, and counts the connections there. It also closes
connections on which no call has been made in time. HTTP/2 flow control bounds
what a connection sends before it is read.
"""

from collections.abc import Callable
import dataclasses
import ssl
from typing import Any

import grpclib.config
import grpclib.server

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import client_limits
from nutmegknot._internal.network import services
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock

# A client connects when it makes its first call. Includes the time for the
# handshake of TLS on a busy machine.
FIRST_CALL_MS = 10_000
# Flow-control window of a connection and of each stream in bytes, the shortest
# that HTTP/2 allows. It bounds what a connection sends before it is read.
WINDOW_BYTES = 65_535


@dataclasses.dataclass(slots=True, frozen=True)
class AddressUnavailable:
    """The server can't listen at the address; detail is one line."""

    detail: str


async def start_server(
    address: str,
    bound: list[services.BoundService],
    max_connections: int,
    tls: ssl.SSLContext | None,
    closings: instruments.Counter | None = None,
) -> grpclib.server.Server | AddressUnavailable:
    """Starts a server for bound services at an address, 'IP:PORT'.

    Args:
      address: Where to listen.
      bound: The services.
      max_connections: Most open connections.
      tls: TLS context; None for connections without TLS.
      closings: Counts closed connections by reason; None to count them here.
    """
    config = grpclib.config.Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )
    server = grpclib.server.Server(bound, config=config)
    limits = client_limits.Limits(
        max_connections, 0, {client_limits.Phase.HEAD: FIRST_CALL_MS}
    )
    clients = client_limits.Clients(
        limits,
        clock.make_system_clock(),
        closings or client_limits.make_counter(),
    )
    _limit_connections(server, clients)
    host, port = channels.split_address(address)
    try:
        await server.start(host, port, ssl=tls)
    except OSError as error:
        return AddressUnavailable(f'{address}: {error.strerror}')
    return server


def _limit_connections(
    server: grpclib.server.Server, clients: client_limits.Clients
) -> None:
    """Makes the server admit connections within the limits."""
    untyped_server: Any = server
    make_protocol: Callable[[], Any] = untyped_server._protocol_factory

    def make_limited_protocol() -> object:
        protocol = make_protocol()
        _wrap_protocol(protocol, clients)
        return protocol

    untyped_server._protocol_factory = make_limited_protocol


def _wrap_protocol(protocol: Any, clients: client_limits.Clients) -> None:  # noqa: ANN401 - protocol of grpclib
    connection = client_limits.Connection(phase=client_limits.Phase.HEAD)
    handle_made = protocol.connection_made
    handle_data = protocol.data_received
    handle_lost = protocol.connection_lost

    def connection_made(transport: Any) -> None:  # noqa: ANN401 - asyncio transport
        connection.transport = transport
        max_connections = clients.limits.max_connections
        if client_limits.admit(clients, protocol, connection, max_connections):
            handle_made(transport)

    def data_received(data: bytes) -> None:
        # After an error, the HTTP/2 library keeps what it was given last until
        # the next collection of reference cycles.
        for at in range(0, len(data), client_limits.RECEIVE_BYTES):
            if (
                connection.transport is None
                or connection.transport.is_closing()
            ):
                return
            handle_data(data[at : at + client_limits.RECEIVE_BYTES])
        if (
            connection.phase is client_limits.Phase.HEAD
            and protocol.connection.streams_started
        ):
            serving = client_limits.Phase.SERVING
            client_limits.enter(clients, connection, serving)

    def connection_lost(error: BaseException | None) -> None:
        if protocol in clients.connections:
            client_limits.remove(clients, protocol)
            handle_lost(error)

    protocol.connection_made = connection_made
    protocol.data_received = data_received
    protocol.connection_lost = connection_lost
