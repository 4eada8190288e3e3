"""The one HTTP client for the platform, its workers and its services."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp

from nutmegknot._internal.utils import clock as clock_lib

KEEP_ALIVE_S = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """An answer.

    Attributes:
      status: HTTP status.
      fields: The body's fields; empty if it has none.
    """

    status: int
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class NoAnswer:
    """No answer came.

    Attributes:
      was_sent: Whether the call may have reached the other side.
      detail: One line.
    """

    was_sent: bool
    detail: str


@dataclasses.dataclass(slots=True)
class Client:
    """Open connections.

    Attributes:
      session: aiohttp's session.
    """

    session: aiohttp.ClientSession


def make_client() -> Client:
    """Returns a client without connections."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEP_ALIVE_S, use_dns_cache=False
    )
    return Client(
        aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        )
    )


async def close(client: Client) -> None:
    """Closes all connections."""
    await client.session.close()


async def call(  # noqa: PLR0913 - the parts of an HTTP call
    client: Client,
    method: str,
    address: str,
    path: str,
    timeout_ms: int,
    *,
    body: dict[str, Any] | None = None,
    params: dict[str, str] | None = None,
    headers: dict[str, str] | None = None,
) -> Reply | NoAnswer:
    """Makes a call; the time limit covers the connection and the answer."""
    sent = dict(headers or {})
    data = None
    if body is not None:
        data = json.dumps(body, separators=(',', ':')).encode()
        sent['Content-Type'] = 'application/json'
    url = f'http://{address}{path}'
    try:
        async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
            async with client.session.request(
                method,
                url,
                data=data,
                params=params,
                headers=sent,
                allow_redirects=False,
                timeout=_NO_TIMEOUT,
            ) as reply:
                return _decode(reply.status, await reply.read())
    except aiohttp.ClientConnectorError as error:
        return NoAnswer(False, f'{address}: {type(error).__name__}')
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return NoAnswer(True, f'{address}: {type(error).__name__}')


# The time limit of a call is set around it.
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=None)


def _decode(status: int, raw: bytes) -> Reply | NoAnswer:
    if not raw:
        return Reply(status, {})
    try:
        fields = json.loads(raw)
    except ValueError:
        return Reply(status, {})
    return Reply(status, fields if isinstance(fields, dict) else {})
