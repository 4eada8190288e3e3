"""HTTP calls to the platform, with failures as values."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import aiohttp

from nutmegknot._internal.backing import tables
from nutmegknot._internal.utils import clock as clock_lib

_BAD_ANSWER_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_OK = 200
_NOT_MODIFIED = 304
_CLIENT_ERRORS = range(400, 500)
# A proxy gave up on a call that the service may have received.
_REQUEST_TIMEOUT = 408
_SERVICE_UNAVAILABLE = 503

Decoded = TypeVar('Decoded')
JsonResult = dict[str, Any] | tables.Unavailable | tables.Uncertain
Answer = TypeVar('Answer')


@dataclasses.dataclass(slots=True, frozen=True)
class Fetched:
    """An object and its entity tag, '' if the service gives none."""

    answer: dict[str, Any]
    tag: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unchanged:
    """The object is still what the tag named."""


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
    return await _request(
        session, method, url, timeout_ms, _read_object, json=body, params=params
    )


async def fetch(
    session: aiohttp.ClientSession, url: str, timeout_ms: int, tag: str
) -> Fetched | Unchanged | tables.Unavailable | tables.Uncertain:
    """Reads a JSON object, unless it is still what the entity tag names."""
    return await _request(
        session,
        'GET',
        url,
        timeout_ms,
        _read_tagged,
        headers={'If-None-Match': tag} if tag else {},
    )


async def _request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int,
    read: Callable[[aiohttp.ClientResponse], Awaitable[Answer]],
    **options: Any,  # noqa: ANN401 - passed on to aiohttp
) -> Answer | tables.Unavailable | tables.Uncertain:
    """Makes a request and reads its reply, with failures as values."""
    timeout = aiohttp.ClientTimeout(total=clock_lib.to_seconds(timeout_ms))
    try:
        async with session.request(
            method, url, timeout=timeout, **options
        ) as reply:
            return await read(reply)
    except aiohttp.ClientConnectorError as error:
        return tables.Unavailable(f'{url}: {error}')
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return tables.Uncertain(f'{url}: {type(error).__name__} {error}')


async def _read_object(reply: aiohttp.ClientResponse) -> JsonResult:
    if reply.status != _OK:
        return judge_status(str(reply.url), reply.status)
    answer = await reply.json()
    if not isinstance(answer, dict):
        return tables.Uncertain(f'{reply.url}: the answer is not an object')
    return answer


async def _read_tagged(
    reply: aiohttp.ClientResponse,
) -> Fetched | Unchanged | tables.Unavailable | tables.Uncertain:
    if reply.status == _NOT_MODIFIED:
        return Unchanged()
    answer = await _read_object(reply)
    if not isinstance(answer, dict):
        return answer
    return Fetched(answer, reply.headers.get('ETag', ''))


def judge_status(
    url: str, status: int
) -> tables.Unavailable | tables.Uncertain:
    """Returns what a status other than success says about the effect.

    By the interface, 503 and the client errors mean that nothing was done;
    any other status may come from a service or proxy that failed midway.
    """
    detail = f'{url}: status {status}'
    is_rejected = status in _CLIENT_ERRORS and status != _REQUEST_TIMEOUT
    if is_rejected or status == _SERVICE_UNAVAILABLE:
        return tables.Unavailable(detail)
    return tables.Uncertain(detail)


def decode(
    read: Callable[[Any], Decoded], answer: object
) -> Decoded | tables.Uncertain:
    """Returns what read makes of an answer, if it is of the protocol."""
    try:
        return read(answer)
    except _BAD_ANSWER_ERRORS as error:
        return tables.Uncertain(f'bad answer: {type(error).__name__} {error}')


def weaken(
    result: tables.Unavailable | tables.Uncertain,
) -> tables.Unavailable:
    """Returns the failure of a call without effects."""
    return tables.Unavailable(result.detail)
