"""HTTP calls to the platform that return failures as values."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import aiohttp

from nutmegknot._internal.backing import tables
from nutmegknot._internal.utils import clock

# What decoding of malformed fields can raise.
DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
_OK = 200
_NOT_MODIFIED = 304
_CLIENT_ERROR_STATUSES = range(400, 500)
# A proxy may send this status for a call that the service has already received.
_REQUEST_TIMEOUT = 408
_SERVICE_UNAVAILABLE = 503

Decoded = TypeVar('Decoded')
JsonResult = dict[str, Any] | tables.Unavailable | tables.Uncertain
Answer = TypeVar('Answer')


@dataclasses.dataclass(slots=True, frozen=True)
class TaggedObject:
    """A JSON object and its version.

    Attributes:
      fields: The fields of the object.
      entity_tag: Its entity tag; '' if the service sends none.
    """

    fields: dict[str, Any]
    entity_tag: str


@dataclasses.dataclass(slots=True, frozen=True)
class NotModified:
    """The object still has the entity tag that was sent with the request."""


async def call_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int,
    body: dict[str, Any] | None = None,
    params: dict[str, str] | None = None,
) -> JsonResult:
    """Makes a call whose request and response bodies are JSON.

    Returns:
      The fields of the response; Unavailable if the call certainly had no
      effect; Uncertain if it may have had one.
    """
    return await _request(
        session,
        method,
        url,
        timeout_ms,
        _read_json_object,
        json=body,
        params=params,
    )


async def get_json_if_changed(
    session: aiohttp.ClientSession, url: str, timeout_ms: int, entity_tag: str
) -> TaggedObject | NotModified | tables.Unavailable | tables.Uncertain:
    """Reads a JSON object unless it still has the entity tag."""
    return await _request(
        session,
        'GET',
        url,
        timeout_ms,
        _read_tagged_object,
        headers={'If-None-Match': entity_tag} if entity_tag else {},
    )


async def _request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int,
    read: Callable[[aiohttp.ClientResponse], Awaitable[Answer]],
    **options: Any,  # noqa: ANN401 - passed on to aiohttp
) -> Answer | tables.Unavailable | tables.Uncertain:
    """Sends a request and reads the response; returns failures as values."""
    timeout = aiohttp.ClientTimeout(total=clock.to_seconds(timeout_ms))
    try:
        async with session.request(
            method, url, timeout=timeout, **options
        ) as response:
            return await read(response)
    except aiohttp.ClientConnectorError as error:
        return tables.Unavailable(f'{url}: {error}')
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return tables.Uncertain(f'{url}: {type(error).__name__} {error}')


async def _read_json_object(response: aiohttp.ClientResponse) -> JsonResult:
    if response.status != _OK:
        return classify_status(str(response.url), response.status)
    try:
        body = await response.json()
    except RecursionError:
        return tables.Uncertain(f'{response.url}: nested too deeply')
    if not isinstance(body, dict):
        return tables.Uncertain(
            f'{response.url}: the response is not a JSON object'
        )
    return body


async def _read_tagged_object(
    response: aiohttp.ClientResponse,
) -> TaggedObject | NotModified | tables.Unavailable | tables.Uncertain:
    if response.status == _NOT_MODIFIED:
        return NotModified()
    result = await _read_json_object(response)
    if not isinstance(result, dict):
        return result
    return TaggedObject(result, response.headers.get('ETag', ''))


def classify_status(
    url: str, status: int
) -> tables.Unavailable | tables.Uncertain:
    """Returns whether a call with a failure status may have had an effect.

    The interface says that a call answered with 503 or a client error had no
    effect. Any other status may come from a service or a proxy that failed
    while it handled the call.
    """
    detail = f'{url}: status {status}'
    is_rejected = (
        status in _CLIENT_ERROR_STATUSES and status != _REQUEST_TIMEOUT
    )
    if is_rejected or status == _SERVICE_UNAVAILABLE:
        return tables.Unavailable(detail)
    return tables.Uncertain(detail)


def decode(
    decoder: Callable[[Any], Decoded], body: object
) -> Decoded | tables.Uncertain:
    """Decodes a response body; returns Uncertain if the body is malformed."""
    try:
        return decoder(body)
    except DECODE_ERRORS as error:
        return tables.Uncertain(
            f'malformed response: {type(error).__name__} {error}'
        )


def to_unavailable(
    result: tables.Unavailable | tables.Uncertain,
) -> tables.Unavailable:
    """Converts the failure of a call that can safely be repeated."""
    return tables.Unavailable(result.detail)
