"""HTTP server for health, readiness and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from aiohttp import web

from nutmegknot._internal.network import channels

MAX_REQUEST_BODY_BYTES = 1024


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


async def start_server(
    address: str, pages: dict[str, Callable[[], Page]]
) -> web.AppRunner | AddressUnavailable:
    """Starts a server at an address, 'IP:PORT'.

    Args:
      address: Where to listen.
      pages: Function by path that returns the page at the time of a request.

    Returns:
      The running server; call its method cleanup to stop it.
    """
    app = web.Application(client_max_size=MAX_REQUEST_BODY_BYTES)
    for path, make_page in pages.items():
        app.router.add_get(path, _make_handler(make_page))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    host, port = channels.split_address(address)
    try:
        await web.TCPSite(runner, host, port).start()
    except OSError as error:
        await runner.cleanup()
        return AddressUnavailable(f'{address}: {error.strerror}')
    return runner


def _make_handler(
    make_page: Callable[[], Page],
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        page = make_page()
        return web.Response(
            body=page.text.encode(),
            status=page.status,
            headers={'Content-Type': page.content_type},
        )

    return handle
