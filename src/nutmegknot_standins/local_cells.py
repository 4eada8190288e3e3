"""A local cell in one process: instances and the simulated platform."""

import asyncio
import dataclasses
import socket

from aiohttp import web

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.configuration import changes
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.instance import instance_lifecycle
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
READY_POLL_MS = 50
CALL_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class LocalCell:
    """A running local cell.

    Attributes:
      platform: The simulated platform services and workers.
      runner: HTTP server of the simulated platform.
      stop_events: One event for each instance; setting it stops the instance.
      instance_tasks: asyncio tasks that run the instances, in the same order.
      addresses: Addresses at which the instances serve callers.
      dump_wanted: Signal that makes every instance write its state to its
        dump file.
    """

    platform: servers.Platform
    runner: web.AppRunner
    stop_events: list[asyncio.Event]
    instance_tasks: list[asyncio.Task]
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
    settings = reader.parse_toml(text, 'local settings')
    assert isinstance(settings, settings_pb2.Settings), settings
    return settings


def find_ports(count: int) -> list[int]:
    """Returns ports that are free now; another process may still take them."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def make_configuration() -> cells.Configuration:
    """Returns a configuration with one team, two queues and one service.

    Requests to the queue public need no key.
    """
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


async def start(instances: int, workers: int) -> LocalCell | str:
    """Starts a cell and applies its first configuration.

    Returns:
      The cell, or one line that says why it cannot run.
    """
    clock = clock_lib.make_system_clock()
    listed = servers.make_workers(REGION, DOMAINS, workers, CAPACITY)
    platform = servers.make_platform(listed, clock)
    runner = await servers.serve(platform, HOST, 0)
    cell = LocalCell(platform, runner, [], [], [])
    for number in range(instances):
        settings = make_settings(platform.url, number, find_ports(3))
        stopped = asyncio.Event()
        cell.stop_events.append(stopped)
        cell.instance_tasks.append(
            asyncio.create_task(
                instance_lifecycle.run(settings, stopped, cell.dump_wanted)
            )
        )
        cell.addresses.append(settings.instance.listen)
    await apply_configuration(cell.addresses[0], make_configuration())
    return cell


async def apply_configuration(
    address: str, config: cells.Configuration
) -> changes.Applied | str:
    """Applies a configuration through one instance.

    Retries until the instance answers.
    """
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
                    call, timeout=CALL_TIMEOUT_S
                )
                break
            except clients.CALL_ERRORS:
                await asyncio.sleep(clock_lib.to_seconds(READY_POLL_MS))
    finally:
        clients.close(client)
    if reply.HasField('applied'):
        applied = configurations.decode_configuration(reply.applied)
        return changes.Applied(applied)
    return str(reply)


async def stop(cell: LocalCell) -> None:
    """Stops the instances one after the other, then the platform."""
    for stopped, run in zip(cell.stop_events, cell.instance_tasks, strict=True):
        stopped.set()
        await run
    await servers.close(cell.platform, cell.runner)
