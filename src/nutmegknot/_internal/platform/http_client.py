"""HTTP client for the platform's store, its workers and its services."""

import asyncio
import dataclasses
import json
import logging

import aiohttp

from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.utils import clock

logger = logging.getLogger(__name__)

# How long an unused connection is kept open, in seconds.
KEEP_ALIVE_TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True)
class Client:
    """The HTTP client of a process.

    Attributes:
      session: Session of aiohttp, which keeps connections open for reuse.
    """

    session: aiohttp.ClientSession


def make_client() -> Client:
    """Returns a client that has no connections yet."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S, use_dns_cache=False
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


async def send_call(
    client: Client,
    address: str,
    platform_call: platform_calls.Call,
    timeout_ms: int,
    headers: dict[str, str] | None = None,
) -> platform_calls.Reply | platform_calls.NoAnswer:
    """Makes a call; the time-out covers connecting and reading the response."""
    sent_headers = dict(headers or {})
    data = None
    if platform_call.body is not None:
        data = json.dumps(platform_call.body, separators=(',', ':')).encode()
        sent_headers['Content-Type'] = 'application/json'
    try:
        async with asyncio.timeout(clock.to_seconds(timeout_ms)):
            async with client.session.request(
                platform_call.method,
                f'http://{address}{platform_call.path}',
                data=data,
                params=platform_call.params or None,
                headers=sent_headers,
                allow_redirects=False,
                timeout=_NO_TIMEOUT,
            ) as response:
                return decode_reply(response.status, await response.read())
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        return platform_calls.NoAnswer(
            False, f'{address}: {type(error).__name__}'
        )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return platform_calls.NoAnswer(
            True, f'{address}: {type(error).__name__}'
        )


def make_fetch(client: Client, address: str) -> platform_calls.Fetch:
    """Returns a function that makes calls to one address."""

    async def fetch(
        platform_call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply | platform_calls.NoAnswer:
        return await send_call(client, address, platform_call, timeout_ms)

    return fetch


# send_call limits the time of the whole call itself.
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=None)


def decode_reply(status: int, raw: bytes) -> platform_calls.Reply:
    """Decodes a response; a body that is no JSON object gives no fields."""
    if not raw:
        return platform_calls.Reply(status, {})
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError) as error:
        logger.warning(
            'reply_unreadable', extra={'status': status, 'why': repr(error)}
        )
        return platform_calls.Reply(status, {})
    return platform_calls.Reply(
        status, fields if isinstance(fields, dict) else {}
    )
