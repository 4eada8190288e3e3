"""The one HTTP client for the platform, its workers and its services."""

import asyncio
import dataclasses
import json

import aiohttp

from nutmegknot._internal.backing import fetches
from nutmegknot._internal.utils import clock as clock_lib

KEEP_ALIVE_S = 20.0


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


async def call(
    client: Client,
    address: str,
    wanted: fetches.Call,
    timeout_ms: int,
    headers: dict[str, str] | None = None,
) -> fetches.Reply | fetches.NoAnswer:
    """Makes a call; the time limit covers the connection and the answer."""
    sent = dict(headers or {})
    data = None
    if wanted.body is not None:
        data = json.dumps(wanted.body, separators=(',', ':')).encode()
        sent['Content-Type'] = 'application/json'
    try:
        async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
            async with client.session.request(
                wanted.method,
                f'http://{address}{wanted.path}',
                data=data,
                params=wanted.params or None,
                headers=sent,
                allow_redirects=False,
                timeout=_NO_TIMEOUT,
            ) as reply:
                return _decode(reply.status, await reply.read())
    except aiohttp.ClientConnectorError as error:
        return fetches.NoAnswer(False, f'{address}: {type(error).__name__}')
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return fetches.NoAnswer(True, f'{address}: {type(error).__name__}')


def make_fetch(client: Client, address: str) -> fetches.Fetch:
    """Returns calls to one address."""

    async def fetch(
        wanted: fetches.Call, timeout_ms: int
    ) -> fetches.Reply | fetches.NoAnswer:
        return await call(client, address, wanted, timeout_ms)

    return fetch


# The time limit of a call is set around it.
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=None)


def _decode(status: int, raw: bytes) -> fetches.Reply:
    if not raw:
        return fetches.Reply(status, {})
    try:
        fields = json.loads(raw)
    except ValueError:
        return fetches.Reply(status, {})
    return fetches.Reply(status, fields if isinstance(fields, dict) else {})
