"""HTTP client for the platform's store, its workers and its services."""

import asyncio
import dataclasses
import json
import logging
import types

import aiohttp

from nutmegknot._internal.backing import life_connections
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


class _NotConnectedError(Exception):
    """A call that may not open a connection found no idle one."""


def make_client() -> Client:
    """Returns a client that has no connections yet."""
    return Client(_make_session([]))


def _make_session(
    trace_configs: list[aiohttp.TraceConfig],
) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S, use_dns_cache=False
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        trace_configs=trace_configs,
    )


def open_pool(address: str, headers: dict[str, str]) -> life_connections.Pool:
    """Returns connections to one address, without open ones.

    Args:
      address: The address.
      headers: Headers of each call.
    """
    client = Client(_make_session([_make_connection_check()]))

    async def send(
        call: platform_calls.Call, timeout_ms: int, may_connect: bool
    ) -> (
        platform_calls.Reply
        | platform_calls.NoAnswer
        | life_connections.NotConnected
    ):
        try:
            return await send_call(
                client,
                address,
                call,
                timeout_ms,
                headers,
                may_connect=may_connect,
            )
        except _NotConnectedError:
            return life_connections.NotConnected()

    return life_connections.Pool(send, client.session.close)


def _make_connection_check() -> aiohttp.TraceConfig:
    """Returns hooks that end a call which would open a connection."""

    async def check(
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if not context.trace_request_ctx:
            raise _NotConnectedError

    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(check)
    return config


async def close(client: Client) -> None:
    """Closes all connections."""
    await client.session.close()


async def send_call(
    client: Client,
    address: str,
    platform_call: platform_calls.Call,
    timeout_ms: int,
    headers: dict[str, str] | None = None,
    *,
    may_connect: bool = True,
) -> platform_calls.Reply | platform_calls.NoAnswer:
    """Makes a call; the time-out covers connecting and reading the response.

    Raises:
      _NotConnectedError: If it may not connect, and no connection is idle. Only
        the clients of open_pool have that check.
    """
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
                trace_request_ctx=may_connect,
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
