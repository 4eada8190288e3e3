"""HTTP client for an object store; docs/STANDINS.md describes its calls."""

import aiohttp

from nutmegknot._internal.backing import http_calls
from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.utils import clock

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404


def connect(
    session: aiohttp.ClientSession, url: str
) -> object_store.ObjectStore:
    """Returns access to the object store at a URL."""

    async def send_write(
        method: str, name: str, value: bytes | None, timeout_ms: int
    ) -> object_store.PutResult:
        timeout = aiohttp.ClientTimeout(total=clock.to_seconds(timeout_ms))
        try:
            async with session.request(
                method, f'{url}/objects/{name}', data=value, timeout=timeout
            ) as response:
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return tables.Unavailable(str(error))
        except (aiohttp.ClientError, OSError) as error:
            return tables.Uncertain(f'{type(error).__name__} {error}')
        if status in (_OK, _NO_CONTENT):
            return object_store.Stored()
        if method == 'DELETE' and status == _NOT_FOUND:
            return object_store.Stored()
        return http_calls.classify_status(url, status)

    async def put(
        name: str, value: bytes, timeout_ms: int
    ) -> object_store.PutResult:
        return await send_write('PUT', name, value, timeout_ms)

    async def delete(name: str, timeout_ms: int) -> object_store.DeleteResult:
        return await send_write('DELETE', name, None, timeout_ms)

    async def get(name: str, timeout_ms: int) -> object_store.GetResult:
        timeout = aiohttp.ClientTimeout(total=clock.to_seconds(timeout_ms))
        try:
            async with session.get(
                f'{url}/objects/{name}', timeout=timeout
            ) as response:
                if response.status == _NOT_FOUND:
                    return object_store.Missing()
                if response.status != _OK:
                    return tables.Unavailable(f'status {response.status}')
                return await response.read()
        except (aiohttp.ClientError, OSError) as error:
            return tables.Unavailable(f'{type(error).__name__} {error}')

    return object_store.ObjectStore(put, get, delete)
