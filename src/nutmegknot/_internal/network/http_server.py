"""HTTP servers within the limits on clients, and pages for operators."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging

from aiohttp import web

from nutmegknot._internal.network import channels
from nutmegknot._internal.network import client_limits

logger = logging.getLogger(__name__)

# Connections that wait to be accepted. As many are accepted at a time, before
# they are counted.
PAGES_BACKLOG = 64
PAGES_SHUTDOWN_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class HttpServer:
    """A server with the sockets on which it listens.

    Attributes:
      clients: The clients of the process.
      web_server: Creates aiohttp's protocol objects.
      shutdown_timeout_s: How long calls in progress may go on when it stops.
      sockets: Listening sockets.
    """

    clients: client_limits.Clients
    web_server: web.Server
    shutdown_timeout_s: float
    sockets: list[asyncio.Server] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Response to a GET request.

    Attributes:
      status: HTTP status.
      text: Body of the response.
      content_type: Value of the header Content-Type.
    """

    status: int
    text: str
    content_type: str = 'text/plain; charset=utf-8'


@dataclasses.dataclass(slots=True, frozen=True)
class AddressUnavailable:
    """The server can't listen at the address; detail is one line."""

    detail: str


def make_server(
    clients: client_limits.Clients,
    handle: client_limits.Handle,
    shutdown_timeout_s: float,
) -> HttpServer:
    """Returns a server that does not listen yet."""
    web_server = web.Server(
        client_limits.limit_calls(clients, handle),
        access_log=None,
        logger=client_limits.make_parser_logger(clients),
        max_line_size=client_limits.MAX_LINE_BYTES,
        max_field_size=client_limits.MAX_LINE_BYTES,
        read_bufsize=client_limits.READ_BUFFER_BYTES,
        lingering_time=client_limits.LINGERING_S,
    )
    return HttpServer(clients, web_server, shutdown_timeout_s)


async def listen(
    server: HttpServer, address: str, max_connections: int, backlog: int
) -> None:
    """Starts listening at an address, 'IP:PORT'.

    Args:
      server: The server.
      address: Where to listen.
      max_connections: Number of open connections of the process from which on
        no further one is accepted at this address.
      backlog: Most connections that wait to be accepted.

    Raises:
      OSError: If it can't listen at the address.
    """
    host, port = channels.split_address(address)
    make_protocol = client_limits.make_protocol_factory(
        server.clients, server.web_server, max_connections
    )
    loop = asyncio.get_running_loop()
    server.sockets.append(
        await loop.create_server(make_protocol, host, port, backlog=backlog)
    )


async def stop(server: HttpServer) -> None:
    """Stops listening, waits for calls in progress and closes connections."""
    for socket in server.sockets:
        socket.close()
    # Requests that have arrived begin to be handled.
    await asyncio.sleep(0)
    server.web_server.pre_shutdown()
    await server.web_server.shutdown(server.shutdown_timeout_s)


async def start_server(
    address: str,
    pages: dict[str, Callable[[], Page]],
    clients: client_limits.Clients,
) -> HttpServer | AddressUnavailable:
    """Starts a server for pages at an address, 'IP:PORT'.

    Args:
      address: Where to listen.
      pages: Function by path that returns the page at the time of a request.
      clients: The clients of the process.
    """
    server = make_server(
        clients, _make_handler(pages), PAGES_SHUTDOWN_TIMEOUT_S
    )
    max_connections = clients.limits.max_connections
    try:
        await listen(server, address, max_connections, PAGES_BACKLOG)
    except OSError as error:
        return AddressUnavailable(f'{address}: {error.strerror}')
    return server


def _make_handler(
    pages: dict[str, Callable[[], Page]],
) -> client_limits.Handle:
    async def handle(request: web.BaseRequest) -> web.Response:
        make_page = pages.get(request.path)
        if make_page is None:
            return web.Response(status=404)
        if request.method not in ('GET', 'HEAD'):
            return web.Response(status=405, headers={'Allow': 'GET,HEAD'})
        try:
            page = make_page()
        except Exception as error:
            logger.exception(
                'page_failed', extra={'path': request.path, 'why': repr(error)}
            )
            return web.Response(status=500)
        return web.Response(
            body=page.text.encode(),
            status=page.status,
            headers={'Content-Type': page.content_type},
        )

    return handle
