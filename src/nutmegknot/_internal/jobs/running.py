"""Start and planned stop of an instance."""

import dataclasses
import logging

import grpclib.server

from nutmegknot._internal.jobs import catalogs
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owning
from nutmegknot._internal.jobs import peers
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.network import listening
from nutmegknot._internal.network import services
from nutmegknot._internal.utils import lateness
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

MAX_PEER_CONNECTIONS = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """Server of a started instance and the calls that it handles.

    Attributes:
      server: Serves calls from other instances.
      calls: Calls from them that are being handled.
    """

    server: grpclib.server.Server
    calls: services.Calls


async def start(node: nodes.Node) -> Running | listening.Unopened:
    """Opens the port for other instances and starts the instance's tasks."""

    def report_error(error: Exception) -> None:
        if not node.tasks.broken.done():
            node.tasks.broken.set_result(error)

    calls = services.Calls(report_broken=report_error)
    server = await listening.start(
        node.address,
        [peers.bind_service(node, calls)],
        MAX_PEER_CONNECTIONS,
        None,
    )
    if isinstance(server, listening.Unopened):
        return server
    node.started_ms = node.clock.now_ms()
    routes = node.relay
    if routes is not None:
        routes.call_peer = lambda address, call, timeout_ms: peers.relay_call(
            node, address, call, timeout_ms
        )
        tasks.spawn(node.tasks, relays.probe_periodically(routes), 'probe')
    tasks.spawn(node.tasks, catalogs.follow_settings(node), 'settings')
    tasks.spawn(node.tasks, owning.run_election(node), 'owner')
    tasks.spawn(
        node.tasks, lateness.keep_measuring(node.lateness, node.clock), 'late'
    )
    logger.info(
        'instance_started',
        extra={
            'instance': node.id,
            'address': node.address,
            'domain': node.domain,
        },
    )
    return Running(server, calls)


async def hand_over(node: nodes.Node) -> None:
    """Releases the ownership, if this instance has it, before a stop."""
    node.is_stopping = True
    ownership = node.own
    if ownership is None:
        return
    logger.info('handing_over', extra={'epoch': ownership.book.epoch})
    await owning.release_ownership(ownership.writer)
    await owning.close(node)


def is_ready(node: nodes.Node) -> bool:
    """Tells whether this instance can serve callers."""
    return node.catalog is not None and not node.is_stopping
