"""Starts, runs and stops one instance: its servers and its tasks."""

import asyncio
import dataclasses
import logging
import random
import uuid

import aiohttp
import grpclib.server

from nutmegknot._internal.backing import http_object_store
from nutmegknot._internal.backing import http_tables
from nutmegknot._internal.backing import http_worker_clients
from nutmegknot._internal.instance import digest_exchange
from nutmegknot._internal.instance import http_endpoints
from nutmegknot._internal.instance import instance_metrics
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import partition_lifecycle
from nutmegknot._internal.instance import service_bindings
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import grpc_server
from nutmegknot._internal.network import http_server
from nutmegknot._internal.network import services
from nutmegknot._internal.network import tls
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

ID_SUFFIX_CHARS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class AddressUnavailable:
    """A listening address can't be used."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class TableServiceUnreachable:
    """The table service did not answer when the instance started."""

    detail: str


StartFailure = (
    AddressUnavailable | TableServiceUnreachable | tls.InvalidTlsFiles
)


@dataclasses.dataclass(slots=True, frozen=True)
class Servers:
    """Listening servers of an instance."""

    caller: grpclib.server.Server
    peer: grpclib.server.Server
    http: http_server.HttpServer


def connect_platform(
    settings: settings_pb2.Settings, session: aiohttp.ClientSession
) -> instances.Platform:
    """Returns clients of the platform's services, as the settings name them."""
    platform = settings.platform
    return instances.Platform(
        http_tables.connect(session, platform.table_url),
        http_object_store.connect(session, platform.objects_url),
        http_worker_clients.connect(
            session, platform.fleet_url, platform.timeout_ms
        ),
    )


def make_instance(
    settings: settings_pb2.Settings,
    clock: clock_lib.Clock,
    platform: instances.Platform,
) -> instances.Instance:
    """Returns an instance that has not been started."""
    suffix = uuid.uuid4().hex[:ID_SUFFIX_CHARS]
    me = partitions.Member(
        id=f'{settings.instance.name}-{suffix}',
        address=settings.instance.peer_listen,
        region=settings.instance.region,
        domain=settings.instance.domain,
    )
    metric_set = metrics.make_metrics()
    platform = instance_metrics.count_store_calls(
        platform, metric_set.store_calls
    )
    return instances.Instance(
        settings=settings,
        clock=clock,
        rng=random.Random(me.id),
        platform=platform,
        metrics=metric_set,
        membership=leases.Context(
            views.View(me), leases.Lease(), platform.table, clock, settings
        ),
        tasks=tasks.TaskSet(),
    )


async def listen(
    inst: instances.Instance,
) -> Servers | AddressUnavailable | tls.InvalidTlsFiles:
    """Opens the gRPC ports for callers and for instances, and the HTTP port."""
    contexts = tls.load_contexts(inst.settings.tls)
    if isinstance(contexts, tls.InvalidTlsFiles):
        return contexts
    inst.channels.tls = contexts.peer_client
    settings = inst.settings.instance
    limits = inst.settings.limits
    caller = await grpc_server.start_server(
        settings.listen,
        service_bindings.bind_caller_services(inst),
        limits.connections,
        contexts.caller,
    )
    if isinstance(caller, grpc_server.AddressUnavailable):
        return AddressUnavailable(caller.detail)
    peer = await grpc_server.start_server(
        settings.peer_listen,
        service_bindings.bind_peer_services(inst),
        limits.connections,
        contexts.peer_server,
    )
    if isinstance(peer, grpc_server.AddressUnavailable):
        return AddressUnavailable(peer.detail)
    http = await http_endpoints.start(inst)
    if isinstance(http, http_server.AddressUnavailable):
        return AddressUnavailable(http.detail)
    return Servers(caller, peer, http)


async def start(
    inst: instances.Instance,
) -> Servers | StartFailure:
    """Opens the ports, joins the cell and starts the tasks of the instance."""
    servers = await listen(inst)
    if not isinstance(servers, Servers):
        return servers
    if not await leases.renew(inst.membership):
        await close_servers(servers)
        url = inst.settings.platform.table_url
        return TableServiceUnreachable(
            f'{url}: the table service does not answer'
        )
    tasks.spawn(inst.tasks, leases.run_renewal_loop(inst.membership), 'lease')
    tasks.spawn(inst.tasks, partition_lifecycle.run_ownership_loop(inst), 'own')
    tasks.spawn(inst.tasks, digest_exchange.run_load_loop(inst), 'loads')
    tasks.spawn(inst.tasks, digest_exchange.run_peer_links(inst), 'links')
    me = inst.membership.view.me
    logger.info(
        'serving', extra={'id': me.id, 'listen': inst.settings.instance.listen}
    )
    return servers


async def stop(inst: instances.Instance, servers: Servers) -> None:
    """Stops gracefully: hands partitions over and lets active calls finish."""
    await http_endpoints.drain(inst)
    view = inst.membership.view
    view.stopping = True
    inst.stop_started.set()
    leases.begin_leaving(inst.membership)
    signals.notify(view.changed)
    logger.info('stopping', extra={'id': view.me.id})
    await leases.renew(inst.membership)
    await partition_lifecycle.hand_over_all(inst)
    await services.wait_until_idle(inst.calls, inst.settings.instance.stop_ms)
    await close_servers(servers)
    await terminate(inst)
    await leases.delete_lease_row(inst.membership)
    logger.info('stopped', extra={'id': view.me.id})


async def terminate(inst: instances.Instance) -> None:
    """Closes all partitions at once, cancels all tasks and closes channels."""
    for name in list(inst.partition_tasks):
        await partition_lifecycle.close_partition(inst, name)
    await tasks.cancel_all(inst.tasks)
    channels.close_all(inst.channels)


async def close_servers(servers: Servers) -> None:
    """Closes the listening ports and their servers."""
    for server in (servers.caller, servers.peer):
        server.close()
        await server.wait_closed()
    await http_server.stop(servers.http)


async def run(
    settings: settings_pb2.Settings,
    stopped: asyncio.Event,
    dump_requested: signals.Signal | None = None,
) -> StartFailure | None:
    """Runs an instance until stopped is set.

    Args:
      settings: All settings.
      stopped: Set to start a graceful stop.
      dump_requested: Notified to have a state dump written.

    Returns:
      None after a graceful stop, or why the instance could not be started.

    Raises:
      BaseException: The first exception that left a task or a call handler. It
        means that an invariant of the program is broken.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        clock = clock_lib.make_system_clock()
        platform = connect_platform(settings, session)
        inst = make_instance(settings, clock, platform)
        inst.dump_requested = dump_requested or inst.dump_requested
        servers = await start(inst)
        if not isinstance(servers, Servers):
            await terminate(inst)
            return servers
        await _wait_for_end(inst, stopped)
        if inst.tasks.first_error.done():
            await close_servers(servers)
            await terminate(inst)
            raise inst.tasks.first_error.result()
        await stop(inst, servers)
    return None


async def _wait_for_end(
    inst: instances.Instance, stopped: asyncio.Event
) -> None:
    """Waits until a stop is requested or an invariant is broken."""
    end_signal = signals.Signal()
    stop_wait = asyncio.ensure_future(stopped.wait())
    stop_wait.add_done_callback(lambda _: signals.notify(end_signal))
    inst.tasks.first_error.add_done_callback(
        lambda _: signals.notify(end_signal)
    )
    await signals.wait_for_notification(end_signal, 0)
    stop_wait.cancel()
