"""A whole cell in one process: instances, stores and workers as tasks."""

import asyncio
import dataclasses
import socket

from aiohttp import web

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.instance import running
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.settings import reader
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot_standins import servers

HOST = '127.0.0.1'
REGION = 'local'
DOMAINS = ['domain-a', 'domain-b', 'domain-c']
KEY_ID = 'demo-key'
KEY_SECRET = 'local-demonstration-only'
KEY_TEXT = f'{KEY_ID}.{KEY_SECRET}'
CAPACITY = resources.Resources(8000, 16_384, 0, 8)
READY_STEP_MS = 50
CALL_S = 10.0


@dataclasses.dataclass(slots=True)
class Cell:
    """A running cell.

    Attributes:
      platform: The stand-ins.
      runner: Their server.
      stops: Ends the instance of the same position when set.
      runs: Tasks of the instances.
      addresses: Where the instances take calls.
      dump_wanted: Has every instance write its state when notified.
    """

    platform: servers.Platform
    runner: web.AppRunner
    stops: list[asyncio.Event]
    runs: list[asyncio.Task]
    addresses: list[str]
    dump_wanted: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


def make_settings(
    url: str, number: int, ports: list[int], extra: str = ''
) -> settings_pb2.Settings:
    """Returns the settings of one instance of a local cell."""
    domains = ', '.join(f'"{REGION}/{domain}"' for domain in DOMAINS)
    text = f"""
        [instance]
        name = "local-{number}"
        region = "{REGION}"
        domain = "{DOMAINS[number % len(DOMAINS)]}"
        listen = "{HOST}:{ports[0]}"
        peer_listen = "{HOST}:{ports[1]}"
        http_listen = "{HOST}:{ports[2]}"
        drain_ms = 0
        [platform]
        table_url = "{url}"
        objects_url = "{url}"
        fleet_url = "{url}"
        [cell]
        domains = [{domains}]
        {extra}
    """
    settings = reader.read_text(text, 'local settings')
    assert isinstance(settings, settings_pb2.Settings), settings
    return settings


def find_ports(count: int) -> list[int]:
    """Returns ports that are free right now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def make_configuration() -> cells.Configuration:
    """Returns a configuration with one team, two queues and one service."""
    limit = resources.Resources(100_000, 1_000_000, 100, 1000)
    return cells.Configuration(
        teams={'demo': cells.Team('demo', 1.0, limit)},
        keys={
            KEY_ID: cells.Key(KEY_ID, 'demo', keys.compute_digest(KEY_SECRET))
        },
        queues={
            'batch': cells.Queue('batch'),
            'public': cells.Queue('public', open_team='demo'),
        },
        services={
            'site': cells.Service(
                'site', 'demo', resources.Resources(500, 256, 0, 1), 2
            )
        },
        domains={
            name: cells.Domain(name, REGION, workers.DomainState.OPEN)
            for name in DOMAINS
        },
    )


async def start(instances: int, workers: int) -> Cell | str:
    """Starts a cell and waits until it serves.

    Returns:
      The cell, or one line on why it can't run.
    """
    clock = clock_lib.make_system_clock()
    listed = servers.make_workers(REGION, DOMAINS, workers, CAPACITY)
    platform = servers.make_platform(listed, clock)
    runner = await servers.serve(platform, HOST, 0)
    cell = Cell(platform, runner, [], [], [])
    for number in range(instances):
        settings = make_settings(platform.url, number, find_ports(3))
        stopped = asyncio.Event()
        cell.stops.append(stopped)
        cell.runs.append(
            asyncio.create_task(
                running.run(settings, stopped, cell.dump_wanted)
            )
        )
        cell.addresses.append(settings.instance.listen)
    await apply_configuration(cell.addresses[0], make_configuration())
    return cell


async def apply_configuration(
    address: str, config: cells.Configuration
) -> changes.Applied | str:
    """Applies a configuration through an instance, once it answers."""
    client = clients.connect(address)
    call = operator_pb2.ApplyConfigurationCall(
        configuration=configurations.encode_configuration(config),
        operator='local',
        reason='first configuration',
    )
    try:
        while True:
            try:
                reply = await client.operator.ApplyConfiguration(
                    call, timeout=CALL_S
                )
                break
            except clients.CALL_ERRORS:
                await asyncio.sleep(clock_lib.to_seconds(READY_STEP_MS))
    finally:
        clients.close(client)
    if reply.HasField('applied'):
        applied = configurations.decode_configuration(reply.applied)
        return changes.Applied(applied)
    return str(reply)


async def stop(cell: Cell) -> None:
    """Stops the instances one after the other, then the stand-ins."""
    for stopped, run in zip(cell.stops, cell.runs, strict=True):
        stopped.set()
        await run
    await servers.close(cell.platform, cell.runner)
