"""Start and planned stop of an instance that takes part in owning the jobs."""

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

PEER_CONNECTIONS = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """What a started instance keeps open.

    Attributes:
      server: Serves the other instances.
      calls: Calls of theirs that are being handled.
    """

    server: grpclib.server.Server
    calls: services.Calls


async def start(node: nodes.Node) -> Running | listening.Unopened:
    """Opens the port for other instances and begins to take part."""

    def note_broken(error: Exception) -> None:
        if not node.tasks.broken.done():
            node.tasks.broken.set_result(error)

    calls = services.Calls(report_broken=note_broken)
    server = await listening.start(
        node.address, [peers.bind(node, calls)], PEER_CONNECTIONS, None
    )
    if isinstance(server, listening.Unopened):
        return server
    node.started_ms = node.clock.now_ms()
    relay = node.relay
    if relay is not None:
        relay.ask = lambda address, call, timeout_ms: peers.relay_call(
            node, address, call, timeout_ms
        )
        tasks.spawn(node.tasks, relays.keep_probing(relay), 'probe')
    tasks.spawn(node.tasks, catalogs.keep_catalog(node), 'settings')
    tasks.spawn(node.tasks, owning.keep_owner(node), 'owner')
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
    """Gives the ownership up, if this instance holds it, in order."""
    node.is_stopping = True
    own = node.own
    if own is None:
        return
    logger.info('handing_over', extra={'epoch': own.book.epoch})
    await owning.release(own.writer)
    await owning.close(node)


def is_ready(node: nodes.Node) -> bool:
    """Tells whether callers should be sent here."""
    return node.catalog is not None and not node.is_stopping
