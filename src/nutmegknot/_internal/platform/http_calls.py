"""HTTP calls to the platform, with failures as values."""

import json
from typing import Any

import aiohttp

from nutmegknot._internal.platform import tables
from nutmegknot._internal.utils import clock as clock_lib

_SERVER_ERROR = 500
_SERVICE_UNAVAILABLE = 503
_CLIENT_ERROR = 400

JsonResult = dict[str, Any] | tables.Unavailable | tables.Uncertain


async def call_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int,
    body: dict[str, Any] | None = None,
    params: dict[str, str] | None = None,
) -> JsonResult:
    """Makes a call whose body and answer are JSON.

    Returns:
      The answer; Unavailable if the call surely had no effect; Uncertain if it
      may have had one.
    """
    timeout = aiohttp.ClientTimeout(total=clock_lib.to_seconds(timeout_ms))
    try:
        async with session.request(
            method, url, json=body, params=params, timeout=timeout
        ) as reply:
            if reply.status == _SERVICE_UNAVAILABLE:
                return tables.Unavailable(f'{url}: {reply.status}')
            if reply.status >= _SERVER_ERROR:
                return tables.Uncertain(f'{url}: {reply.status}')
            if reply.status >= _CLIENT_ERROR:
                return tables.Unavailable(f'{url}: {reply.status}')
            answer = await reply.json()
    except aiohttp.ClientConnectorError as error:
        return tables.Unavailable(f'{url}: {error}')
    except (aiohttp.ClientError, TimeoutError, json.JSONDecodeError) as error:
        return tables.Uncertain(f'{url}: {type(error).__name__} {error}')
    if not isinstance(answer, dict):
        return tables.Uncertain(f'{url}: the answer is not an object')
    return answer


def weaken(
    result: tables.Unavailable | tables.Uncertain,
) -> tables.Unavailable:
    """Returns the failure of a call without effects."""
    return tables.Unavailable(result.detail)
