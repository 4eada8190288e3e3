"""Digests between instances: one task for each other member."""

import asyncio
import dataclasses
import logging

import grpclib.client

from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import loads
from nutmegknot._internal.membership import digests
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import views
from nutmegknot._internal.network import calls
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import digest_grpc
from nutmegknot._internal.schema import digest_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Questions that are asked while an answer of another instance counts.
QUESTIONS_PER_ANSWER = 4

_Stream = grpclib.client.Stream[digest_pb2.Digest, digest_pb2.DigestReply]


@dataclasses.dataclass(slots=True)
class Link:
    """The way to one other member.

    Attributes:
      member: Its instance id.
      address: Its peer address.
      sender: What it has acknowledged.
    """

    member: str
    address: str
    sender: digests.Sender


async def keep_loads(inst: instances.Instance) -> None:
    """Computes the owned partitions' loads on a steady tick."""
    while True:
        loads.refresh_owned(inst)
        await asyncio.sleep(
            clock_lib.to_seconds(inst.settings.membership.digest_ms)
        )


async def keep_links(inst: instances.Instance) -> None:
    """Keeps one task for each other member, until cancelled."""
    view = inst.membership.view
    running: dict[str, asyncio.Task[None]] = {}
    count = -1
    while True:
        count = await signals.wait_beyond(view.changed, count)
        others = set(view.members) - {view.me.id}
        for id in set(running) - others:
            await tasks.cancel(running.pop(id))
            inst.received.pop(id, None)
            inst.unreached.discard(id)
            view.answers.pop(id, None)
        for id in others - set(running):
            address = view.members[id].member.address
            # A later link to the same member goes on with higher numbers.
            sender = digests.Sender(number=inst.clock.now_ms())
            link = Link(id, address, sender)
            running[id] = tasks.spawn(
                inst.tasks, _keep_link(inst, link), f'link {id}'
            )


async def _keep_link(inst: instances.Instance, link: Link) -> None:
    """Keeps a stream to one member open, and opens another when it ends."""
    view = inst.membership.view
    while True:
        count = view.news.count
        stub = digest_grpc.PeerStub(channels.get(inst.channels, link.address))
        try:
            async with stub.Exchange.open() as stream:
                await _keep_exchanging(inst, link, stream)
        except calls.CALL_ERRORS as error:
            _note_unreached(inst, link, repr(error))
        await signals.wait_at_most(view.news, count, _get_tick(inst))


def _get_tick(inst: instances.Instance) -> int:
    """Returns the time between two digests in ms."""
    membership = inst.settings.membership
    if inst.membership.view.reached_since_ms is not None:
        return membership.digest_ms
    asking_ms = membership.answer_ms // QUESTIONS_PER_ANSWER
    return min(membership.digest_ms, asking_ms)


async def _keep_exchanging(
    inst: instances.Instance, link: Link, stream: _Stream
) -> None:
    """Sends digests on a steady tick, and news at once, until it fails."""
    view = inst.membership.view
    while True:
        count = view.news.count
        if not await _exchange_digest(inst, link, stream):
            _note_unreached(inst, link, 'the stream ended')
            return
        await signals.wait_at_most(view.news, count, _get_tick(inst))


async def _exchange_digest(
    inst: instances.Instance, link: Link, stream: _Stream
) -> bool:
    """Sends a digest and takes its answer; tells whether there was one."""
    owned = [
        seen.load for name, seen in inst.loads.items() if name in inst.fleets
    ]
    made = digests.make_digest(link.sender, owned)
    made.message.standing.CopyFrom(make_standing(inst))
    asked_ms = inst.clock.now_ms()
    answer_ms = inst.settings.membership.answer_ms
    async with asyncio.timeout(clock_lib.to_seconds(answer_ms)):
        await stream.send_message(made.message)
        reply = await stream.recv_message()
    if reply is not None:
        _take_reply(inst, link, made, asked_ms, reply)
    return reply is not None


def _take_reply(
    inst: instances.Instance,
    link: Link,
    made: digests.Made,
    asked_ms: int,
    reply: digest_pb2.DigestReply,
) -> None:
    if reply.standing.member != link.member:
        # Another instance has the address now; the lease row will tell.
        return
    if reply.number != link.sender.number:
        return
    if link.member in inst.unreached:
        inst.unreached.discard(link.member)
        signals.notify(inst.membership.view.routes)
    if reply.reset:
        digests.reset(link.sender)
    else:
        digests.acknowledge(link.sender, made)
    answer = views.Answer(asked_ms, reply.standing.reaches_store)
    leases.take_answer(inst.membership, link.member, answer)
    leases.take_news(
        inst.membership, reply.standing.revision, reply.standing.change
    )


def _note_unreached(inst: instances.Instance, link: Link, why: str) -> None:
    if link.member not in inst.unreached:
        logger.info('link_down', extra={'member': link.member, 'why': why})
        inst.unreached.add(link.member)
        signals.notify(inst.membership.view.routes)


def make_standing(inst: instances.Instance) -> digest_pb2.Standing:
    """Returns what every digest and reply says of this instance."""
    view = inst.membership.view
    since_ms = view.reached_since_ms
    standing = digest_pb2.Standing(
        member=view.me.id,
        leaving=view.me.leaving,
        revision=view.configuration.revision,
        change=max(0, view.change),
        reaches_store=since_ms is not None,
    )
    if since_ms is not None:
        standing.reached_ms = inst.clock.now_ms() - since_ms
    return standing


async def exchange(
    inst: instances.Instance, call: digest_pb2.Digest, wait_ms: int
) -> digest_pb2.DigestReply:
    """Takes a digest of another instance."""
    standing = call.standing
    receiver = inst.received.setdefault(standing.member, digests.Receiver())
    told = digests.take_digest(receiver, call)
    for load in told or []:
        loads.take_load(inst, load)
    leases.take_news(inst.membership, standing.revision, standing.change)
    known = inst.membership.view.answers.get(standing.member)
    if known is not None and known.reaches != standing.reaches_store:
        # What it says may be old by now; it is asked anew before it counts.
        signals.notify(inst.membership.view.news)
    return digest_pb2.DigestReply(
        standing=make_standing(inst),
        number=call.number,
        reset=told is None,
    )
