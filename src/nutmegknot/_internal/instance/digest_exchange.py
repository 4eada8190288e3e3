"""Exchanges digests with the other instances, in one task for each.

A digest tells another instance the loads of the fleet partitions owned here,
and the status of this instance: whether it reaches the table service and which
state of the cell it has read.
"""

import asyncio
import dataclasses
import logging

import grpclib.client

from nutmegknot._internal.instance import fleet_loads
from nutmegknot._internal.instance import instances
from nutmegknot._internal.membership import digests
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import views
from nutmegknot._internal.network import call_errors
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import digest_grpc
from nutmegknot._internal.schema import digest_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Digests sent in a store outage while one answer of another instance is valid.
DIGESTS_PER_ANSWER_PERIOD = 4

_Stream = grpclib.client.Stream[digest_pb2.Digest, digest_pb2.DigestReply]


@dataclasses.dataclass(slots=True)
class PeerLink:
    """Connection to one other member.

    Attributes:
      member: Instance id of the other member.
      address: Its peer address.
      sender: Which parts of the digests it has acknowledged.
    """

    member: str
    address: str
    sender: digests.Sender


async def run_load_loop(inst: instances.Instance) -> None:
    """Computes the loads of owned fleet partitions at a fixed interval."""
    while True:
        fleet_loads.update_owned_loads(inst)
        await asyncio.sleep(
            clock.to_seconds(inst.settings.membership.digest_ms)
        )


async def run_peer_links(inst: instances.Instance) -> None:
    """Runs one task for each other member, until cancelled."""
    view = inst.membership.view
    running: dict[str, asyncio.Task[None]] = {}
    count = -1
    while True:
        count = await signals.wait_for_notification(view.changed, count)
        others = set(view.members) - {view.me.id}
        for id in set(running) - others:
            await tasks.cancel(running.pop(id))
            inst.digest_receivers.pop(id, None)
            inst.unreachable_members.discard(id)
            view.store_statuses.pop(id, None)
        for id in others - set(running):
            address = view.members[id].member.address
            # Numbers start at the time, so that a later link to the same
            # member continues with higher ones.
            sender = digests.Sender(number=inst.clock.now_ms())
            link = PeerLink(id, address, sender)
            running[id] = tasks.spawn(
                inst.tasks, _run_peer_link(inst, link), f'link {id}'
            )


async def _run_peer_link(inst: instances.Instance, link: PeerLink) -> None:
    """Keeps a stream to one member open, and reopens it when it ends."""
    view = inst.membership.view
    while True:
        count = view.digest_needed.count
        stub = digest_grpc.PeerStub(
            channels.get_channel(inst.channels, link.address)
        )
        try:
            async with stub.Exchange.open() as stream:
                await _run_exchange_loop(inst, link, stream)
        except call_errors.CALL_ERRORS as error:
            _mark_unreachable(inst, link, repr(error))
        await signals.wait_with_timeout(
            view.digest_needed, count, _get_digest_interval(inst)
        )


def _get_digest_interval(inst: instances.Instance) -> int:
    """Returns the time between two digests in ms.

    The interval is shorter while the table service does not answer, because
    the instance may then act only as long as answers of others are valid.
    """
    membership = inst.settings.membership
    if inst.membership.view.store_reached_since_ms is not None:
        return membership.digest_ms
    outage_ms = membership.answer_ms // DIGESTS_PER_ANSWER_PERIOD
    return min(membership.digest_ms, outage_ms)


async def _run_exchange_loop(
    inst: instances.Instance, link: PeerLink, stream: _Stream
) -> None:
    """Sends a digest at each interval, and at once when there is an update.

    It returns when the stream has ended.
    """
    view = inst.membership.view
    while True:
        count = view.digest_needed.count
        if not await _exchange_digest(inst, link, stream):
            _mark_unreachable(inst, link, 'the stream ended')
            return
        await signals.wait_with_timeout(
            view.digest_needed, count, _get_digest_interval(inst)
        )


async def _exchange_digest(
    inst: instances.Instance, link: PeerLink, stream: _Stream
) -> bool:
    """Sends a digest and processes the reply.

    Returns:
      Whether there was a reply.
    """
    owned = [
        timed_load.load
        for name, timed_load in inst.loads.items()
        if name in inst.fleets
    ]
    outgoing = digests.make_digest(link.sender, owned)
    outgoing.message.standing.CopyFrom(make_status(inst))
    sent_ms = inst.clock.now_ms()
    answer_ms = inst.settings.membership.answer_ms
    async with asyncio.timeout(clock.to_seconds(answer_ms)):
        await stream.send_message(outgoing.message)
        reply = await stream.recv_message()
    if reply is not None:
        _process_reply(inst, link, outgoing, sent_ms, reply)
    return reply is not None


def _process_reply(
    inst: instances.Instance,
    link: PeerLink,
    outgoing: digests.OutgoingDigest,
    sent_ms: int,
    reply: digest_pb2.DigestReply,
) -> None:
    if reply.standing.member != link.member:
        # Another instance has the address now. Its lease row will show this.
        return
    if reply.number != link.sender.number:
        return
    if link.member in inst.unreachable_members:
        inst.unreachable_members.discard(link.member)
        signals.notify(inst.membership.view.routes_changed)
    if reply.reset:
        digests.reset(link.sender)
    else:
        digests.acknowledge(link.sender, outgoing)
    store_status = views.StoreStatus(sent_ms, reply.standing.reaches_store)
    leases.record_store_status(inst.membership, link.member, store_status)
    leases.record_peer_versions(
        inst.membership, reply.standing.revision, reply.standing.change
    )


def _mark_unreachable(
    inst: instances.Instance, link: PeerLink, why: str
) -> None:
    if link.member not in inst.unreachable_members:
        logger.info('link_down', extra={'member': link.member, 'why': why})
        inst.unreachable_members.add(link.member)
        signals.notify(inst.membership.view.routes_changed)


def make_status(inst: instances.Instance) -> digest_pb2.Standing:
    """Returns the status of this instance for digests and their replies."""
    view = inst.membership.view
    since_ms = view.store_reached_since_ms
    status = digest_pb2.Standing(
        member=view.me.id,
        leaving=view.me.leaving,
        revision=view.configuration.revision,
        change=max(0, view.change_version),
        reaches_store=since_ms is not None,
    )
    if since_ms is not None:
        status.reached_ms = inst.clock.now_ms() - since_ms
    return status


async def handle_digest(
    inst: instances.Instance, call: digest_pb2.Digest, wait_ms: int
) -> digest_pb2.DigestReply:
    """Handles a digest of another instance."""
    status = call.standing
    receiver = inst.digest_receivers.setdefault(
        status.member, digests.Receiver()
    )
    received_loads = digests.apply_digest(receiver, call)
    for load in received_loads or []:
        fleet_loads.store_remote_load(inst, load)
    leases.record_peer_versions(inst.membership, status.revision, status.change)
    store_status = inst.membership.view.store_statuses.get(status.member)
    if (
        store_status is not None
        and store_status.reaches_store != status.reaches_store
    ):
        # The digest may have been delayed. It does not count as an answer, so
        # the instance is asked again at once.
        signals.notify(inst.membership.view.digest_needed)
    return digest_pb2.DigestReply(
        standing=make_status(inst),
        number=call.number,
        reset=received_loads is None,
    )
