"""Running one instance: servers, tasks, graceful stop."""

import asyncio
import dataclasses
import functools
import logging
import random
import uuid

import aiohttp
import grpclib.server

from nutmegknot._internal.instance import entry
from nutmegknot._internal.instance import fleet_calls
from nutmegknot._internal.instance import forwarding
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import links
from nutmegknot._internal.instance import operators
from nutmegknot._internal.instance import serving
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services
from nutmegknot._internal.platform import http_fleets
from nutmegknot._internal.platform import http_objects
from nutmegknot._internal.platform import http_tables
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import digest_pb2
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

ID_CHARS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class PortTaken:
    """A listening address can't be used."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformUnreached:
    """The table service did not answer at the start."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Servers:
    """Listening servers of an instance."""

    caller: grpclib.server.Server
    peer: grpclib.server.Server


def connect_platform(
    settings: settings_pb2.Settings, session: aiohttp.ClientSession
) -> instances.Platform:
    """Returns the platform's services as the settings name them."""
    platform = settings.platform
    return instances.Platform(
        http_tables.connect(session, platform.table_url),
        http_objects.connect(session, platform.objects_url),
        http_fleets.connect(session, platform.fleet_url, platform.timeout_ms),
    )


def make_instance(
    settings: settings_pb2.Settings,
    clock: clock_lib.Clock,
    platform: instances.Platform,
) -> instances.Instance:
    """Returns an instance that has not begun to run."""
    suffix = uuid.uuid4().hex[:ID_CHARS]
    me = partitions.Member(
        id=f'{settings.instance.name}-{suffix}',
        address=settings.instance.peer_listen,
        region=settings.instance.region,
        domain=settings.instance.domain,
    )
    return instances.Instance(
        settings=settings,
        clock=clock,
        rng=random.Random(me.id),
        platform=platform,
        membership=leases.Context(
            views.View(me), leases.Lease(), platform.table, clock, settings
        ),
        tasks=tasks.Tasks(),
    )


def make_caller_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the caller interface."""
    return {
        'Submit': functools.partial(entry.submit, inst),
        'Wait': functools.partial(entry.ask, inst, 'Wait'),
        'Cancel': functools.partial(entry.ask, inst, 'Cancel'),
        'Describe': functools.partial(entry.ask, inst, 'Describe'),
    }


def make_operator_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the operator interface."""
    return {
        'GetConfiguration': functools.partial(
            operators.get_configuration, inst
        ),
        'ApplyConfiguration': functools.partial(
            operators.apply_configuration, inst
        ),
        'DumpState': functools.partial(operators.dump_state, inst),
    }


def make_ledger_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the ledger interface."""
    answer = forwarding.answer_ledger
    return {
        'Submit': functools.partial(forwarding.answer_submit, inst),
        'Wait': functools.partial(answer, inst, ledger_calls.wait),
        'Cancel': functools.partial(answer, inst, ledger_calls.cancel),
        'Describe': functools.partial(answer, inst, ledger_calls.describe),
        'Report': functools.partial(ledger_calls.report, inst),
        'Begin': functools.partial(ledger_calls.begin, inst),
    }


def make_fleet_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the fleet interface."""
    return {
        'Assign': functools.partial(fleet_calls.assign, inst),
        'Withdraw': functools.partial(fleet_calls.withdraw, inst),
    }


def make_peer_handles(
    inst: instances.Instance,
) -> dict[str, services.Handle]:
    """Returns the function of each method of the peer interface."""
    return {'Exchange': functools.partial(links.exchange, inst)}


async def listen(inst: instances.Instance) -> Servers | PortTaken:
    """Opens the ports for callers and operators, and for other instances."""

    def bind(
        file: object, name: str, handles: dict[str, services.Handle]
    ) -> services.BoundService:
        service = file.DESCRIPTOR.services_by_name[name]  # type: ignore[attr-defined]
        return services.bind(service, handles, inst.calls)

    caller = grpclib.server.Server(
        [
            bind(caller_pb2, 'Caller', make_caller_handles(inst)),
            bind(operator_pb2, 'Operator', make_operator_handles(inst)),
        ]
    )
    peer = grpclib.server.Server(
        [
            bind(peer_pb2, 'Ledger', make_ledger_handles(inst)),
            bind(peer_pb2, 'Fleet', make_fleet_handles(inst)),
            bind(digest_pb2, 'Peer', make_peer_handles(inst)),
        ]
    )
    settings = inst.settings.instance
    for server, address in (
        (caller, settings.listen),
        (peer, settings.peer_listen),
    ):
        try:
            await server.start(*channels.split_address(address))
        except OSError as error:
            return PortTaken(f'{address}: {error.strerror}')
    return Servers(caller, peer)


async def start(
    inst: instances.Instance,
) -> Servers | PortTaken | PlatformUnreached:
    """Joins the cell and begins to serve."""
    servers = await listen(inst)
    if isinstance(servers, PortTaken):
        return servers
    if not await leases.renew(inst.membership):
        await close_servers(servers)
        url = inst.settings.platform.table_url
        return PlatformUnreached(f'{url}: the table service does not answer')
    tasks.spawn(inst.tasks, leases.keep_lease(inst.membership), 'lease')
    tasks.spawn(inst.tasks, serving.keep_owning(inst), 'own')
    tasks.spawn(inst.tasks, links.keep_loads(inst), 'loads')
    tasks.spawn(inst.tasks, links.keep_links(inst), 'links')
    me = inst.membership.view.me
    logger.info(
        'serving', extra={'id': me.id, 'listen': inst.settings.instance.listen}
    )
    return servers


async def stop(inst: instances.Instance, servers: Servers) -> None:
    """Stops gracefully: partitions are handed over, running calls finish."""
    view = inst.membership.view
    view.stopping = True
    inst.stop_began.set()
    leases.begin_leaving(inst.membership)
    signals.notify(view.changed)
    logger.info('stopping', extra={'id': view.me.id})
    await leases.renew(inst.membership)
    await serving.hand_over_all(inst)
    await services.wait_idle(inst.calls, inst.settings.instance.stop_ms)
    await close_servers(servers)
    await abandon(inst)
    await leases.drop(inst.membership)
    logger.info('stopped', extra={'id': view.me.id})


async def abandon(inst: instances.Instance) -> None:
    """Ends all tasks at once."""
    for name in list(inst.part_tasks):
        await serving.close_partition(inst, name)
    await tasks.cancel_all(inst.tasks)
    channels.close_all(inst.channels)


async def close_servers(servers: Servers) -> None:
    """Closes the listening ports."""
    for server in (servers.caller, servers.peer):
        server.close()
        await server.wait_closed()


async def run(
    settings: settings_pb2.Settings, stopped: asyncio.Event
) -> PortTaken | PlatformUnreached | None:
    """Runs an instance until stopped is set.

    Returns:
      None after a graceful stop.

    Raises:
      BaseException: If an invariant was broken.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        clock = clock_lib.make_system_clock()
        platform = connect_platform(settings, session)
        inst = make_instance(settings, clock, platform)
        servers = await start(inst)
        if not isinstance(servers, Servers):
            await abandon(inst)
            return servers
        await _wait_end(inst, stopped)
        if inst.tasks.broken.done():
            await close_servers(servers)
            await abandon(inst)
            raise inst.tasks.broken.result()
        await stop(inst, servers)
    return None


async def _wait_end(inst: instances.Instance, stopped: asyncio.Event) -> None:
    """Waits until the instance is to stop or an invariant is broken."""
    ended = signals.Signal()
    stop_wait = asyncio.ensure_future(stopped.wait())
    stop_wait.add_done_callback(lambda _: signals.notify(ended))
    inst.tasks.broken.add_done_callback(lambda _: signals.notify(ended))
    await signals.wait_beyond(ended, 0)
    stop_wait.cancel()
