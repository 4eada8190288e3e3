"""HTTP servers of the stand-ins."""

import asyncio
import dataclasses

from aiohttp import web

from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import machines as machine_lib
from nutmegknot_standins import stores


@dataclasses.dataclass(slots=True)
class Platform:
    """All stand-ins of one cell.

    Attributes:
      table: The table service.
      objects: The object store.
      machines: Workers by id.
      records: Starts and ends on all workers.
      violations: Orders that would have broken a promise.
      url: Where they are served, once they are.
      watches: One task for each worker's leases.
    """

    table: stores.TableState
    objects: stores.ObjectState
    machines: dict[str, machine_lib.Machine]
    records: list[machine_lib.RunRecord]
    violations: list[str]
    url: str = ''
    watches: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)


def make_platform(
    listed: list[workers.Worker], clock: clock_lib.Clock
) -> Platform:
    """Returns stand-ins with one machine for each listed worker."""
    records: list[machine_lib.RunRecord] = []
    violations: list[str] = []
    made = {
        worker.id: machine_lib.Machine(worker, clock, records, violations)
        for worker in listed
    }
    return Platform(
        stores.TableState(), stores.ObjectState(), made, records, violations
    )


def make_workers(
    region: str,
    domains: list[str],
    count: int,
    capacity: resources.Resources,
    rack_size: int = 5,
) -> list[workers.Worker]:
    """Returns count workers spread evenly over failure domains."""
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


def make_app(platform: Platform) -> web.Application:
    """Returns the web application that serves all stand-ins."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    stores.add_table_routes(app, platform.table)
    stores.add_object_routes(app, platform.objects)

    async def serve_list(_: web.Request) -> web.Response:
        listed = [_show_worker(platform, m) for m in platform.machines.values()]
        return web.json_response({'workers': listed})

    async def serve_machine(req: web.Request) -> web.Response:
        machine = platform.machines.get(req.match_info['id'])
        call = machine_lib.CALLS.get(req.match_info['call'])
        if machine is None or call is None:
            return web.Response(status=404)
        return web.json_response(await call(machine, await req.json()))

    app.router.add_get('/fleet/workers', serve_list)
    app.router.add_post('/worker/{id}/{call}', serve_machine)
    return app


def _show_worker(platform: Platform, machine: machine_lib.Machine) -> dict:
    worker = machine.worker
    return {
        'id': worker.id,
        'region': worker.region,
        'domain': worker.domain,
        'rack': worker.rack,
        'capacity': list(dataclasses.astuple(worker.capacity)),
        'address': f'{platform.url}/worker/{worker.id}',
        'state': worker.state.value,
    }


async def serve(platform: Platform, host: str, port: int) -> web.AppRunner:
    """Serves the stand-ins on host and port (0 for any free one)."""
    runner = web.AppRunner(
        make_app(platform), shutdown_timeout=0.1, access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    bound = runner.addresses[0][1]
    platform.url = f'http://{host}:{bound}'
    platform.watches = [
        asyncio.create_task(machine_lib.watch_leases(machine))
        for machine in platform.machines.values()
    ]
    return runner


async def close(platform: Platform, runner: web.AppRunner) -> None:
    """Stops serving."""
    for watch in platform.watches:
        watch.cancel()
    await asyncio.gather(*platform.watches, return_exceptions=True)
    await runner.cleanup()
