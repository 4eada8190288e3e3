"""Process of an instance on the users' platform, from start to planned stop."""

import asyncio
import dataclasses
import logging
import random
import uuid

from nutmegknot._internal.jobs import lifecycle
from nutmegknot._internal.jobs import metrics_page
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import state_dump
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.network import client_limits
from nutmegknot._internal.network import grpc_server
from nutmegknot._internal.network import http_server
from nutmegknot._internal.platform import caller_api
from nutmegknot._internal.platform import http_client
from nutmegknot._internal.platform import metadata_store
from nutmegknot._internal.platform import platform_listings
from nutmegknot._internal.platform import platform_workers
from nutmegknot._internal.platform import process_settings
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# How long callers are still served after the jobs were handed over in a planned
# stop, in ms: the load balancer removes an instance only after two failed
# readiness checks.
STOP_DELAY_MS = 2_500
# Longest time between two reads of the settings file, in ms.
SETTINGS_READ_INTERVAL_MS = 2_000
METRICS_PATH = '/metrics'


@dataclasses.dataclass(slots=True, frozen=True)
class AddressUnavailable:
    """The instance can't listen on an address; detail is a one-line reason."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorSignals:
    """What operators request with signals to the process.

    Attributes:
      dump: Notified when the state is to be logged.
      reload: Notified when the settings file is to be read again.
    """

    dump: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    reload: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def make_node(
    settings: process_settings.ProcessSettings, client: http_client.Client
) -> nodes.Node:
    """Returns an instance that has not been started."""
    id = f'{settings.instance}-{uuid.uuid4().hex[:8]}'
    clock = clock_lib.make_system_clock()
    routes = store_routes.StoreRoutes(
        clock,
        http_client.make_fetch(client, settings.store),
        metadata_store.PROBE_CALL,
    )
    fetch = store_routes.make_fetch(routes)
    return nodes.Node(
        id=id,
        address=settings.peer,
        domain=settings.domain,
        millicores=settings.millicores,
        clock=clock,
        rng=random.Random(id),
        limits=settings.limits,
        backends=nodes.Backends(
            metadata_store.connect(fetch, settings.max_row_bytes),
            platform_listings.connect(fetch, settings.regions),
            platform_workers.connect_runners(http_client.open_pool),
            platform_workers.connect_adviser(client, settings.adviser),
        ),
        tasks=tasks.TaskSet(),
        routes=routes,
        max_message_bytes=client_limits.derive_limits(
            settings.memory_mb, settings.max_fds
        ).max_held_bytes,
    )


async def run(
    settings: process_settings.ProcessSettings,
    stop_requested: asyncio.Event,
    operator_signals: OperatorSignals,
) -> AddressUnavailable | None:
    """Runs an instance until it is told to stop.

    Raises:
      BaseException: An exception that ended a background task; it means that an
        invariant does not hold.
    """
    log_settings(settings)
    client = http_client.make_client()
    node = make_node(settings, client)
    running_instance = await lifecycle.start(node)
    if isinstance(running_instance, grpc_server.AddressUnavailable):
        await http_client.close(client)
        return AddressUnavailable(running_instance.detail)
    clients = client_limits.Clients(
        client_limits.derive_limits(settings.memory_mb, settings.max_fds),
        node.clock,
        node.metrics.client_closings,
    )
    try:
        caller_server = await caller_api.serve(
            node, settings.front, settings.ready, clients
        )
    except OSError as error:
        await http_client.close(client)
        return AddressUnavailable(f'{settings.front}: {error.strerror}')
    tasks.spawn(
        node.tasks,
        _run_settings_loop(node, settings, operator_signals.reload),
        'reload',
    )
    tasks.spawn(
        node.tasks,
        state_dump.log_state_on_request(node, operator_signals.dump),
        'dump',
    )
    metrics = await http_server.start_server(
        settings.metrics,
        {METRICS_PATH: metrics_page.make_metrics_page(node)},
        clients,
    )
    if isinstance(metrics, http_server.AddressUnavailable):
        logger.warning('metrics_unserved', extra={'why': metrics.detail})
    task_failure = asyncio.create_task(tasks.wait_for_error(node.tasks))
    stop_wait = asyncio.create_task(stop_requested.wait())
    await asyncio.wait(
        (task_failure, stop_wait), return_when=asyncio.FIRST_COMPLETED
    )
    stop_wait.cancel()
    if task_failure.done():
        raise task_failure.result()
    task_failure.cancel()
    await _stop(node, running_instance, caller_server)
    await http_client.close(client)
    return None


def log_settings(settings: process_settings.ProcessSettings) -> None:
    """Logs the settings in use, and warns of those that the file leaves out."""
    logger.info(
        'settings_used',
        extra={
            'instance': settings.instance,
            'domain': settings.domain,
            'domains': ' '.join(sorted(settings.regions)),
            'front': settings.front,
            'ready': settings.ready,
            'peer': settings.peer,
            'store': settings.store,
            'adviser': settings.adviser,
            'millicores': settings.millicores,
            'memory_mb': settings.memory_mb,
            'max_fds': settings.max_fds,
            'max_row_bytes': settings.max_row_bytes,
            'max_worker_lease_ms': settings.limits.max_worker_lease_ms,
        },
    )
    if settings.defaulted:
        logger.warning(
            'settings_defaulted', extra={'names': ' '.join(settings.defaulted)}
        )


async def _run_settings_loop(
    node: nodes.Node,
    settings: process_settings.ProcessSettings,
    reload: signals.Signal,
) -> None:
    """Reads the settings file at intervals and on request; applies changes.

    Of the changes only those of the time limits take effect; the others need a
    restart of the process.
    """
    count = reload.count
    while True:
        count = await signals.wait_with_timeout(
            reload, count, SETTINGS_READ_INTERVAL_MS
        )
        new_settings = process_settings.read_settings()
        if isinstance(new_settings, process_settings.InvalidSettings):
            logger.error(
                'settings_file_unreadable', extra={'why': new_settings.detail}
            )
            continue
        if new_settings == settings:
            continue
        changed = [
            field.name
            for field in dataclasses.fields(process_settings.ProcessSettings)
            if getattr(new_settings, field.name)
            != getattr(settings, field.name)
        ]
        logger.info('settings_file_read', extra={'changed': ','.join(changed)})
        settings = new_settings
        log_settings(settings)
        node.limits = new_settings.limits
        if node.ownership is not None:
            node.ownership.limits = new_settings.limits


async def _stop(
    node: nodes.Node,
    running_instance: lifecycle.RunningInstance,
    caller_server: http_server.HttpServer,
) -> None:
    """Hands over the jobs, serves callers a while longer, then closes all."""
    logger.info('instance_stopping', extra={'instance': node.id})
    node.is_stopping = True
    await lifecycle.hand_over(node)
    await clock_lib.sleep(STOP_DELAY_MS)
    await http_server.stop(caller_server)
    running_instance.server.close()
    await tasks.cancel_all(node.tasks)
    logger.info('instance_stopped', extra={'instance': node.id})
