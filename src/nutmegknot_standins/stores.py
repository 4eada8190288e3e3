"""Stand-ins for the table service and the object store."""

import base64
import dataclasses

from aiohttp import web


@dataclasses.dataclass(slots=True)
class Counts:
    """Work done by a store.

    Attributes:
      writes: Rows or objects written.
      reads: Rows or objects read.
    """

    writes: int = 0
    reads: int = 0


@dataclasses.dataclass(slots=True)
class TableState:
    """Content of the table.

    Attributes:
      rows: Value and version by key.
      last_version: Highest version given.
      counts: Work done.
    """

    rows: dict[str, tuple[bytes, int]] = dataclasses.field(default_factory=dict)
    last_version: int = 0
    counts: Counts = dataclasses.field(default_factory=Counts)


@dataclasses.dataclass(slots=True)
class ObjectState:
    """Content of the object store, by name."""

    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    counts: Counts = dataclasses.field(default_factory=Counts)


def transact(state: TableState, call: dict) -> dict:
    """Runs one transaction.

    Args:
      state: The table.
      call: Lists 'conditions' of [key, version], 'writes' of [key, base64
        text or None] and 'reads' of keys.

    Returns:
      Either {'committed': {'versions': ..., 'rows': ...}} or
      {'failed': {'key': ..., 'row': ...}}.
    """
    for key, version in call.get('conditions', ()):
        state.counts.reads += 1
        if state.rows.get(key, (b'', 0))[1] != version:
            return {'failed': {'key': key, 'row': _show(state, key)}}
    versions = {}
    for key, value in call.get('writes', ()):
        state.counts.writes += 1
        state.last_version += 1
        if value is None:
            state.rows.pop(key, None)
            continue
        state.rows[key] = (base64.b64decode(value), state.last_version)
        versions[key] = state.last_version
    rows = [_show(state, key) for key in call.get('reads', ())]
    state.counts.reads += len(rows)
    found = [row for row in rows if row is not None]
    return {'committed': {'versions': versions, 'rows': found}}


def _show(state: TableState, key: str) -> list | None:
    if key not in state.rows:
        return None
    value, version = state.rows[key]
    return [key, base64.b64encode(value).decode(), version]


def scan(state: TableState, prefix: str) -> list[list]:
    """Returns the rows whose keys start with prefix, sorted by key."""
    keys = sorted(key for key in state.rows if key.startswith(prefix))
    state.counts.reads += max(1, len(keys))
    return [row for key in keys if (row := _show(state, key)) is not None]


def add_table_routes(app: web.Application, state: TableState) -> None:
    """Serves a table below /table."""

    async def serve_transact(req: web.Request) -> web.Response:
        return web.json_response(transact(state, await req.json()))

    async def serve_scan(req: web.Request) -> web.Response:
        return web.json_response({'rows': scan(state, req.query['prefix'])})

    app.router.add_post('/table/transact', serve_transact)
    app.router.add_get('/table/scan', serve_scan)


def add_object_routes(app: web.Application, state: ObjectState) -> None:
    """Serves an object store below /objects."""

    async def serve_put(req: web.Request) -> web.Response:
        state.counts.writes += 1
        state.objects[req.match_info['name']] = await req.read()
        return web.Response(status=204)

    async def serve_get(req: web.Request) -> web.Response:
        state.counts.reads += 1
        found = state.objects.get(req.match_info['name'])
        if found is None:
            return web.Response(status=404)
        return web.Response(body=found)

    async def serve_delete(req: web.Request) -> web.Response:
        state.counts.writes += 1
        state.objects.pop(req.match_info['name'], None)
        return web.Response(status=204)

    app.router.add_put('/objects/{name:.+}', serve_put)
    app.router.add_get('/objects/{name:.+}', serve_get)
    app.router.add_delete('/objects/{name:.+}', serve_delete)
