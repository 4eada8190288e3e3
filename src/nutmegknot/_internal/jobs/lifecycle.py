"""Start and planned stop of an instance."""

import dataclasses
import logging

import grpclib.server

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import peer_calls
from nutmegknot._internal.jobs import settings_updates
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.network import grpc_server
from nutmegknot._internal.network import services
from nutmegknot._internal.utils import event_loop_lag
from nutmegknot._internal.utils import processor_speed
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

MAX_PEER_CONNECTIONS = 256


@dataclasses.dataclass(slots=True, frozen=True)
class RunningInstance:
    """Server of a started instance and the calls that it handles.

    Attributes:
      server: Serves calls from other instances.
      calls: Calls from them that are being handled.
    """

    server: grpclib.server.Server
    calls: services.ActiveCalls


async def start(
    node: nodes.Node,
) -> RunningInstance | grpc_server.AddressUnavailable:
    """Opens the port for other instances and starts the instance's tasks."""

    def log_error(error: Exception) -> None:
        logger.error('peer_call_failed', extra={'why': repr(error)})

    calls = services.ActiveCalls(report_error=log_error)
    server = await grpc_server.start_server(
        node.address,
        [peer_calls.bind_service(node, calls)],
        MAX_PEER_CONNECTIONS,
        None,
        node.metrics.client_closings,
    )
    if isinstance(server, grpc_server.AddressUnavailable):
        return server
    node.started_ms = node.clock.now_ms()
    routes = node.routes
    if routes is not None:
        routes.call_peer = lambda address, call, timeout_ms: (
            peer_calls.relay_call(node, address, call, timeout_ms)
        )
        routes.on_change = lambda: signals.notify(node.changed)
        tasks.spawn(
            node.tasks, store_routes.probe_periodically(routes), 'probe'
        )
    tasks.spawn_restartable(
        node.tasks, lambda: settings_updates.follow_settings(node), 'settings'
    )
    tasks.spawn_restartable(
        node.tasks, lambda: owner_election.run_election(node), 'owner'
    )
    tasks.spawn(
        node.tasks,
        event_loop_lag.run_sampling_loop(node.lateness, node.clock),
        'late',
    )
    tasks.spawn(
        node.tasks, processor_speed.run_sampling_loop(node.speed), 'speed'
    )
    logger.info(
        'instance_started',
        extra={
            'instance': node.id,
            'address': node.address,
            'domain': node.domain,
        },
    )
    return RunningInstance(server, calls)


async def hand_over(node: nodes.Node) -> None:
    """Releases the ownership, if this instance has it, before a stop."""
    node.is_stopping = True
    ownership = node.ownership
    if ownership is None:
        return
    logger.info('handing_over', extra={'epoch': ownership.cluster.epoch})
    await owner_election.release_ownership(ownership.writer)
    await owner_election.end_ownership(node)


def is_ready(node: nodes.Node) -> bool:
    """Tells whether this instance can serve callers."""
    return node.settings is not None and not node.is_stopping
