"""HTTP server for health, readiness and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from aiohttp import web

from nutmegknot._internal.network import channels

MAX_BODY_BYTES = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """What a path shows.

    Attributes:
      status: HTTP status.
      text: The body.
      content_type: Its type.
    """

    status: int
    text: str
    content_type: str = 'text/plain; charset=utf-8'


@dataclasses.dataclass(slots=True, frozen=True)
class Unopened:
    """The address can't be used; detail is one line."""

    detail: str


async def serve(
    address: str, pages: dict[str, Callable[[], Page]]
) -> web.AppRunner | Unopened:
    """Serves pages by path at an address, 'IP:PORT', until cleaned up."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    for path, show in pages.items():
        app.router.add_get(path, _make_handler(show))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    host, port = channels.split_address(address)
    try:
        await web.TCPSite(runner, host, port).start()
    except OSError as error:
        await runner.cleanup()
        return Unopened(f'{address}: {error.strerror}')
    return runner


def _make_handler(
    show: Callable[[], Page],
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        page = show()
        return web.Response(
            body=page.text.encode(),
            status=page.status,
            headers={'Content-Type': page.content_type},
        )

    return handle
