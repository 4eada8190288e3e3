"""Simulated table service and object store, in memory."""

import base64
import dataclasses

from aiohttp import web

from nutmegknot_standins import control_pb2
from nutmegknot_standins import faults

_NO_CONTENT = 204
_NOT_FOUND = 404


@dataclasses.dataclass(slots=True)
class TableState:
    """Content of the simulated table.

    Attributes:
      rows: Value and version by key.
      last_version: Version of the newest write.
      counts: Numbers of calls, row reads and row writes.
    """

    rows: dict[str, tuple[bytes, int]] = dataclasses.field(default_factory=dict)
    last_version: int = 0
    counts: control_pb2.Counts = dataclasses.field(
        default_factory=control_pb2.Counts
    )


@dataclasses.dataclass(slots=True)
class ObjectState:
    """Content of the simulated object store.

    Attributes:
      objects: Contents by name.
      counts: Numbers of calls, object reads and object writes.
    """

    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    counts: control_pb2.Counts = dataclasses.field(
        default_factory=control_pb2.Counts
    )


def transact(state: TableState, call: dict) -> dict:
    """Executes one transaction; a failed condition means no write.

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


def list_keys(call: dict) -> tuple[str, ...]:
    """Returns the keys that a transaction names."""
    conditions = [key for key, _ in call.get('conditions', ())]
    writes = [key for key, _ in call.get('writes', ())]
    return (*writes, *conditions, *call.get('reads', ()))


def add_table_routes(
    app: web.Application, state: TableState, active_faults: faults.Faults
) -> None:
    """Adds the table routes, below /table and /from/CALLER/table."""

    async def serve_transact(req: web.Request) -> web.Response:
        body = await req.json()
        state.counts.calls += 1

        async def take_effect() -> web.Response:
            return web.json_response(transact(state, body))

        call = faults.Call(
            'table',
            list_keys(body),
            faults.get_caller(req),
            bool(body.get('writes')),
        )
        return await faults.apply_faults(active_faults, req, call, take_effect)

    async def serve_scan(req: web.Request) -> web.Response:
        prefix = req.query['prefix']
        state.counts.calls += 1

        async def take_effect() -> web.Response:
            return web.json_response({'rows': scan(state, prefix)})

        caller = faults.get_caller(req)
        call = faults.Call('table', (prefix,), caller, writes=False)
        return await faults.apply_faults(active_faults, req, call, take_effect)

    for start in faults.PATH_PREFIXES:
        app.router.add_post(f'{start}/table/transact', serve_transact)
        app.router.add_get(f'{start}/table/scan', serve_scan)


def add_object_routes(
    app: web.Application, state: ObjectState, active_faults: faults.Faults
) -> None:
    """Adds the object routes, below /objects and /from/CALLER/objects."""

    async def serve(req: web.Request) -> web.Response:
        name = req.match_info['name']
        content = await req.read()
        state.counts.calls += 1

        async def take_effect() -> web.Response:
            return _change_object(state, req.method, name, content)

        call = faults.Call(
            'objects', (name,), faults.get_caller(req), req.method != 'GET'
        )
        return await faults.apply_faults(active_faults, req, call, take_effect)

    for start in faults.PATH_PREFIXES:
        for method in ('PUT', 'GET', 'DELETE'):
            app.router.add_route(method, start + '/objects/{name:.+}', serve)


def _change_object(
    state: ObjectState, method: str, name: str, content: bytes
) -> web.Response:
    if method == 'GET':
        state.counts.reads += 1
        found = state.objects.get(name)
        if found is None:
            return web.Response(status=_NOT_FOUND)
        return web.Response(body=found)
    state.counts.writes += 1
    if method == 'PUT':
        state.objects[name] = content
    else:
        state.objects.pop(name, None)
    return web.Response(status=_NO_CONTENT)
