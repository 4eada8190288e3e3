"""HTTP server of the simulated platform: table, objects, workers."""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from aiohttp import web
import xxhash

from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2
from nutmegknot_standins import faults as fault_lib
from nutmegknot_standins import machines as machine_lib
from nutmegknot_standins import run_history
from nutmegknot_standins import stores

_NOT_FOUND = 404
_NOT_MODIFIED = 304
_SERVICE_UNAVAILABLE = 503
_MAX_BODY_BYTES = 64 * 1024 * 1024
_CALLS_THAT_READ = frozenset({'poll'})


@dataclasses.dataclass(slots=True)
class Platform:
    """The simulated platform services and workers of one cell.

    Attributes:
      table: The table service.
      objects: The object store.
      machines: Simulated workers by id.
      history: History of task runs on all simulated workers.
      faults: Active faults.
      list_lag_ms: Age in ms of the list of workers that is served.
      list_versions: Versions of the list of workers, oldest first, each with
        the wall clock time in ms at which it was recorded.
      calls_by_caller: Number of calls to all services by calling instance.
      url: Base URL of all services; '' until they are served.
      lease_tasks: One asyncio task for each worker, which stops tasks whose
        lease expires.
    """

    table: stores.TableState
    objects: stores.ObjectState
    machines: dict[str, machine_lib.Machine]
    history: run_history.RunHistory
    faults: fault_lib.Faults = dataclasses.field(
        default_factory=fault_lib.Faults
    )
    list_lag_ms: int = 0
    list_versions: list[tuple[int, list[dict]]] = dataclasses.field(
        default_factory=list
    )
    calls_by_caller: dict[str, int] = dataclasses.field(default_factory=dict)
    url: str = ''
    lease_tasks: list[asyncio.Task[None]] = dataclasses.field(
        default_factory=list
    )


def make_platform(
    listed: list[workers.Worker], clock: clock_lib.Clock
) -> Platform:
    """Returns a platform that simulates each of the listed workers."""
    history = run_history.RunHistory(clock)
    machines = {
        worker.id: machine_lib.Machine(worker, clock, history)
        for worker in listed
    }
    return Platform(
        stores.TableState(), stores.ObjectState(), machines, history
    )


def make_workers(
    region: str,
    domains: list[str],
    count: int,
    capacity: resources.Resources,
    rack_size: int = 5,
) -> list[workers.Worker]:
    """Returns workers that are spread evenly over failure domains."""
    return [
        workers.Worker(
            id=f'worker-{number}',
            region=region,
            domain=domains[number % len(domains)],
            rack=f'rack-{number // len(domains) // rack_size}',
            capacity=capacity,
        )
        for number in range(count)
    ]


def make_layout_platform(
    layout: control_pb2.Layout, clock: clock_lib.Clock
) -> Platform:
    """Returns a platform that simulates the workers of a layout."""
    listed = [
        worker for group in layout.groups for worker in _make_group(group)
    ]
    platform = make_platform(listed, clock)
    platform.list_lag_ms = layout.list_lag_ms
    for machine in platform.machines.values():
        machine.usage_lag_ms = layout.usage_lag_ms
    return platform


def _make_group(group: control_pb2.WorkerGroup) -> list[workers.Worker]:
    capacity = resources.Resources(
        group.millicores, group.memory_mib, group.accelerators, group.slots
    )
    return [
        workers.Worker(
            id=f'{group.domain}-{group.name}-{number}',
            region=group.region,
            domain=group.domain,
            rack=f'{group.name}-{number // max(1, group.rack_size)}',
            capacity=capacity,
        )
        for number in range(group.count)
    ]


def make_app(platform: Platform) -> web.Application:
    """Returns the web application that serves the simulated platform."""
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES,
        middlewares=[_make_call_counter(platform)],
    )
    stores.add_table_routes(app, platform.table, platform.faults)
    stores.add_object_routes(app, platform.objects, platform.faults)

    async def serve_list(req: web.Request) -> web.Response:
        caller = fault_lib.get_caller(req)

        async def take_effect() -> web.Response:
            return _reply_tagged(
                req, {'workers': _get_delayed_list(platform, caller)}
            )

        call = fault_lib.Call('list', ('',), caller, writes=False)
        return await fault_lib.apply_faults(
            platform.faults, req, call, take_effect
        )

    async def serve_worker(req: web.Request) -> web.Response:
        machine = platform.machines.get(req.match_info['id'])
        name = req.match_info['call']
        call = machine_lib.CALLS.get(name)
        if machine is None or call is None:
            return web.Response(status=_NOT_FOUND)
        return await _serve_machine(platform, machine, req, name, call)

    for start in fault_lib.PATH_PREFIXES:
        app.router.add_get(f'{start}/fleet/workers', serve_list)
        app.router.add_post(start + '/worker/{id}/{call}', serve_worker)
    return app


def _make_call_counter(platform: Platform) -> Callable:
    @web.middleware
    async def count(req: web.Request, handler: Callable) -> web.StreamResponse:
        caller = fault_lib.get_caller(req)
        if caller:
            before = platform.calls_by_caller.get(caller, 0)
            platform.calls_by_caller[caller] = before + 1
        return await handler(req)

    return count


async def _serve_machine(
    platform: Platform,
    machine: machine_lib.Machine,
    req: web.Request,
    name: str,
    function: Callable,
) -> web.Response:
    body = await req.json()
    if machine.connections >= machine_lib.MAX_CONNECTIONS:
        kind = control_pb2.VIOLATION_KIND_CONNECTIONS
        run_history.add_violation(platform.history, kind, machine.worker)
        return web.Response(status=_SERVICE_UNAVAILABLE)

    async def take_effect() -> web.Response:
        if machine.is_down:
            return fault_lib.drop_connection(req)
        return web.json_response(await function(machine, body))

    call = fault_lib.Call(
        'worker',
        (machine.worker.id,),
        fault_lib.get_caller(req),
        name not in _CALLS_THAT_READ,
    )
    machine.connections += 1
    try:
        return await fault_lib.apply_faults(
            platform.faults, req, call, take_effect
        )
    finally:
        machine.connections -= 1


def _reply_tagged(req: web.Request, content: dict) -> web.Response:
    """Returns content with an ETag, or 304 if the caller has this content."""
    text = json.dumps(content)
    tag = f'"{xxhash.xxh64_hexdigest(text.encode())}"'
    headers = {'ETag': tag}
    if req.headers.get('If-None-Match') == tag:
        return web.Response(status=_NOT_MODIFIED, headers=headers)
    return web.Response(
        text=text, content_type='application/json', headers=headers
    )


def _get_delayed_list(platform: Platform, caller: str) -> list[dict]:
    """Returns the list of workers as it was list_lag_ms ago.

    The addresses in it contain the caller, so that faults can match it.
    """
    record_list(platform)
    due_ms = platform.history.clock.wall_ms() - platform.list_lag_ms
    while (
        len(platform.list_versions) > 1
        and platform.list_versions[1][0] <= due_ms
    ):
        del platform.list_versions[0]
    start = f'{platform.url}/from/{caller}' if caller else platform.url
    return [
        {**item, 'address': f'{start}/worker/{item["id"]}'}
        for item in platform.list_versions[0][1]
    ]


def record_list(platform: Platform) -> None:
    """Adds the present list of workers to the versions if it has changed."""
    present = [
        _show_worker(machine)
        for machine in platform.machines.values()
        if machine.worker.state is not workers.TargetState.GONE
    ]
    if not platform.list_versions or platform.list_versions[-1][1] != present:
        platform.list_versions.append(
            (platform.history.clock.wall_ms(), present)
        )


def _show_worker(machine: machine_lib.Machine) -> dict:
    worker = machine.worker
    return {
        'id': worker.id,
        'region': worker.region,
        'domain': worker.domain,
        'rack': worker.rack,
        'capacity': list(dataclasses.astuple(worker.capacity)),
        'state': worker.state.value,
    }


async def serve(
    platform: Platform, host: str, port: int, app: web.Application | None = None
) -> web.AppRunner:
    """Serves the platform on a host and a port (0 for any free port)."""
    runner = web.AppRunner(
        app or make_app(platform), shutdown_timeout=0.1, access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    bound = runner.addresses[0][1]
    platform.url = f'http://{host}:{bound}'
    platform.lease_tasks = [
        asyncio.create_task(machine_lib.watch_leases(machine))
        for machine in platform.machines.values()
    ]
    return runner


async def close(platform: Platform, runner: web.AppRunner) -> None:
    """Stops the HTTP server and the simulated workers."""
    for task in platform.lease_tasks:
        task.cancel()
    await asyncio.gather(*platform.lease_tasks, return_exceptions=True)
    await runner.cleanup()
