"""Calls to the owner of a ledger partition, wherever it is.

An entry instance forwards a call to the owner that it knows. The owner answers
or says that it is not the owner; it forwards no further, so that no call can
go round in a circle.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import grpclib.client

from nutmegknot._internal.codec import values
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import calls
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Time limit of a call to an owner that does not answer digests.
UNREACHED_MS = 1_000

Remote = Callable[
    [grpclib.client.Channel, int], Awaitable[peer_pb2.LedgerReply]
]
Local = Callable[[int], Awaitable[peer_pb2.LedgerReply]]


async def call_ledger(
    inst: instances.Instance,
    partition: str,
    request_key: str,
    wait_ms: int,
    local: Local,
    remote: Remote,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Calls the owner of a ledger partition until it answers.

    Args:
      inst: The instance.
      partition: The ledger partition.
      request_key: The request that the call is about.
      wait_ms: Time left in ms.
      local: Makes it in this instance, with the time left in ms.
      remote: Makes it over a channel, with a time limit in ms.

    Returns:
      The owner's reply, or Unknown if none came in time.
    """
    view = inst.membership.view
    until_ms = inst.clock.now_ms() + wait_ms
    backoff = retries.Backoff(inst.rng)
    retries.add_call(inst.retry_budget)
    # Epochs of the owners that were called and did not answer.
    unanswered: set[int] = set()
    while (left_ms := until_ms - inst.clock.now_ms()) > 0:
        count = view.routes.count
        epoch = views.get_epoch(view, partition)
        reply = None
        if partition in inst.ledgers:
            epoch = inst.ledgers[partition].epoch
            reply = await local(left_ms)
        else:
            owner = view.owners.get(partition)
            if owner and owner.owner not in ('', view.me.id):
                reply = await _call_owner(
                    inst, owner, remote, left_ms, unanswered
                )
        if reply is not None and reply.request_key != request_key:
            logger.error('reply_crossed', extra={'partition': partition})
            unanswered.add(epoch)
        elif reply is not None and not reply.HasField('not_owner'):
            return _check_reply(reply, epoch in unanswered)
        await _wait_for_route(inst, count, backoff, until_ms)
    # An earlier copy of the request may have been accepted, so not even an
    # instance that reached nobody can say that it was not run.
    return outcomes.Unknown('no owner answered in time')


def _check_reply(
    reply: peer_pb2.LedgerReply, is_other_open: bool
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Returns the reply, unless an earlier call may still make it untrue.

    A call that was not answered may still arrive at the same owner and be
    accepted there. One that arrives at an earlier owner is fenced.
    """
    if is_other_open and reply.outcome.HasField('refused'):
        return outcomes.Unknown('an earlier call may still be accepted')
    return reply


async def _call_owner(
    inst: instances.Instance,
    owner: partitions.Ownership,
    remote: Remote,
    left_ms: int,
    unanswered: set[int],
) -> peer_pb2.LedgerReply | None:
    """Calls an owner until it answers, moves or is not reached any more."""
    was_reached = owner.owner not in inst.unreached
    if not was_reached:
        left_ms = min(left_ms, UNREACHED_MS)
    channel = channels.get(inst.channels, owner.address)
    call = asyncio.ensure_future(remote(channel, left_ms))
    lost = asyncio.ensure_future(_wait_lost(inst, owner, was_reached))
    try:
        await asyncio.wait((call, lost), return_when=asyncio.FIRST_COMPLETED)
        if call.done():
            return call.result()
        unanswered.add(owner.epoch)
    except ConnectionRefusedError:
        pass
    except calls.CALL_ERRORS as error:
        unanswered.add(owner.epoch)
        logger.info(
            'owner_unreached',
            extra={'partition': owner.partition, 'why': repr(error)},
        )
    finally:
        for one in (call, lost):
            one.cancel()
        await asyncio.gather(call, lost, return_exceptions=True)
    return None


async def _wait_lost(
    inst: instances.Instance, owner: partitions.Ownership, was_reached: bool
) -> None:
    """Waits until another owner follows, or this one is reached no more."""
    view = inst.membership.view
    count = view.routes.count
    while views.get_epoch(view, owner.partition) == owner.epoch:
        if was_reached and owner.owner in inst.unreached:
            return
        count = await signals.wait_beyond(view.routes, count)


async def _wait_for_route(
    inst: instances.Instance,
    count: int,
    backoff: retries.Backoff,
    until_ms: int,
) -> None:
    """Waits until owners have changed, or for a time that grows."""
    wait_ms = retries.take_wait(backoff)
    if not retries.take_retry(inst.retry_budget):
        wait_ms = backoff.last_ms
    left_ms = max(0, until_ms - inst.clock.now_ms())
    await signals.wait_at_most(
        inst.membership.view.routes, count, min(wait_ms, left_ms)
    )


async def ask_until_stop(
    inst: instances.Instance,
    ask: Callable[[int], Awaitable[outcomes.Outcome | peer_pb2.LedgerReply]],
    wait_ms: int,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Holds a call for its outcome, but not beyond the begin of a stop.

    Args:
      inst: The instance.
      ask: Asks for the outcome; its argument is how long it may be held in ms.
      wait_ms: Time in ms for which the caller wants the call to be held.

    Returns:
      The outcome; the present one once a graceful stop has begun.
    """
    if not inst.stop_began.is_set() and wait_ms > 0:
        held = asyncio.ensure_future(ask(wait_ms))
        stop = asyncio.ensure_future(inst.stop_began.wait())
        try:
            await asyncio.wait(
                (held, stop), return_when=asyncio.FIRST_COMPLETED
            )
            if held.done():
                return held.result()
        finally:
            for one in (held, stop):
                one.cancel()
            await asyncio.gather(held, stop, return_exceptions=True)
    return await ask(0)


async def answer_ledger(
    inst: instances.Instance,
    handle: Callable[
        [instances.Instance, peer_pb2.LedgerRequest, int],
        Awaitable[peer_pb2.LedgerReply],
    ],
    call: peer_pb2.LedgerRequest,
    wait_ms: int,
) -> peer_pb2.LedgerReply:
    """Answers a call to an owned ledger partition, unless it moves meanwhile.

    Without this a call that is held would not see the outcome that the next
    owner writes.
    """
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _refuse_foreign(call)
    held = asyncio.ensure_future(handle(inst, call, wait_ms))
    moved = asyncio.ensure_future(_wait_moved(inst, call.partition, ledger))
    try:
        await asyncio.wait((held, moved), return_when=asyncio.FIRST_COMPLETED)
        reply = held.result() if held.done() else _refuse_foreign(call)
    finally:
        for one in (held, moved):
            one.cancel()
        await asyncio.gather(held, moved, return_exceptions=True)
    reply.request_key = call.request_key
    is_sure = authority.may_act_for(inst, ledger.name, ledger.epoch)
    if reply.outcome.HasField('not_found') and not is_sure:
        # A later owner may have accepted it.
        unsure = outcomes.Unknown('authority is not confirmed')
        reply.outcome.CopyFrom(values.encode_outcome(unsure))
    return reply


async def answer_submit(
    inst: instances.Instance, call: peer_pb2.LedgerSubmit, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Answers a submission to an owned ledger partition; it always ends."""
    reply = await ledger_calls.submit(inst, call, wait_ms)
    reply.request_key = f'{call.request.team}/{call.request.id}'
    return reply


def _refuse_foreign(call: peer_pb2.LedgerRequest) -> peer_pb2.LedgerReply:
    not_owner = peer_pb2.NotOwner(partition=call.partition)
    return peer_pb2.LedgerReply(
        not_owner=not_owner, request_key=call.request_key
    )


async def _wait_moved(
    inst: instances.Instance, partition: str, ledger: object
) -> None:
    view = inst.membership.view
    count = view.routes.count
    while inst.ledgers.get(partition) is ledger:
        count = await signals.wait_beyond(view.routes, count)
