"""Calls to the owner of a ledger partition, wherever it is.

The instance that a caller is connected to forwards the call to the owner that
it knows. The called instance answers, or says that it is not the owner. It does
not forward the call again, so that no call can loop between instances.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import grpclib.client

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import call_errors
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Limit for calls to an owner that does not answer digests at present.
UNREACHABLE_OWNER_TIMEOUT_MS = 1_000

RemoteCall = Callable[
    [grpclib.client.Channel, int], Awaitable[peer_pb2.LedgerReply]
]
LocalCall = Callable[[int], Awaitable[peer_pb2.LedgerReply]]


async def call_ledger_owner(
    inst: instances.Instance,
    partition: str,
    request_key: str,
    wait_ms: int,
    call_local: LocalCall,
    call_remote: RemoteCall,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Calls the owner of a ledger partition until it answers.

    Args:
      inst: The instance.
      partition: The ledger partition.
      request_key: The request that the call is about.
      wait_ms: Time left in ms.
      call_local: Makes the call in this instance, with a time limit in ms.
      call_remote: Makes the call over a channel, with a time limit in ms.

    Returns:
      The owner's reply, or Unknown if none came in time.
    """
    view = inst.membership.view
    until_ms = inst.clock.now_ms() + wait_ms
    backoff = retries.Backoff(inst.rng)
    retries.add_call(inst.retry_budget)
    # Epochs in which the owner was called and did not answer.
    unanswered_epochs: set[int] = set()
    while (left_ms := until_ms - inst.clock.now_ms()) > 0:
        count = view.routes_changed.count
        epoch = views.get_epoch(view, partition)
        reply = None
        if partition in inst.ledgers:
            epoch = inst.ledgers[partition].epoch
            reply = await call_local(left_ms)
        else:
            owner = view.owners.get(partition)
            if owner and owner.owner not in ('', view.me.id):
                reply = await _call_remote_owner(
                    inst, owner, call_remote, left_ms, unanswered_epochs
                )
        if reply is not None and reply.request_key != request_key:
            logger.error('reply_crossed', extra={'partition': partition})
            unanswered_epochs.add(epoch)
        elif reply is not None and not reply.HasField('not_owner'):
            return _check_reply(reply, epoch in unanswered_epochs)
        await _wait_before_retry(inst, count, backoff, until_ms)
    # An earlier call with the same request may have been accepted. So even an
    # instance that reached no owner cannot say that the request was not run.
    return outcomes.Unknown('no owner answered in time')


def _check_reply(
    reply: peer_pb2.LedgerReply, is_call_unanswered: bool
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Returns the reply, or Unknown where an earlier call may contradict it.

    An earlier call to the same owner that was not answered may still arrive
    there and be accepted after this call was refused. A call that arrives at a
    former owner cannot be accepted, as the new epoch fences its writes.

    Args:
      reply: The owner's reply.
      is_call_unanswered: Whether an earlier call to this owner, in the same
        epoch, was not answered.
    """
    if is_call_unanswered and reply.outcome.HasField('refused'):
        return outcomes.Unknown('an earlier call may still be accepted')
    return reply


async def _call_remote_owner(
    inst: instances.Instance,
    owner: partitions.Ownership,
    call_remote: RemoteCall,
    left_ms: int,
    unanswered_epochs: set[int],
) -> peer_pb2.LedgerReply | None:
    """Calls an owner in another instance.

    The call is given up as soon as the partition has another owner, or the
    owner stops answering digests.

    Returns:
      The reply, or None if there was none.
    """
    was_reachable = owner.owner not in inst.unreachable_members
    if not was_reachable:
        left_ms = min(left_ms, UNREACHABLE_OWNER_TIMEOUT_MS)
    channel = channels.get_channel(inst.channels, owner.address)
    call = asyncio.ensure_future(call_remote(channel, left_ms))
    lost = asyncio.ensure_future(_wait_until_lost(inst, owner, was_reachable))
    try:
        await asyncio.wait((call, lost), return_when=asyncio.FIRST_COMPLETED)
        if call.done():
            return call.result()
        unanswered_epochs.add(owner.epoch)
    except ConnectionRefusedError:
        pass
    except call_errors.CALL_ERRORS as error:
        unanswered_epochs.add(owner.epoch)
        logger.info(
            'owner_unreached',
            extra={'partition': owner.partition, 'why': repr(error)},
        )
    finally:
        for future in (call, lost):
            future.cancel()
        await asyncio.gather(call, lost, return_exceptions=True)
    return None


async def _wait_until_lost(
    inst: instances.Instance, owner: partitions.Ownership, was_reachable: bool
) -> None:
    """Waits until the owner changes or becomes unreachable.

    An owner that was unreachable at the start of the call is not given up for
    this reason.
    """
    view = inst.membership.view
    count = view.routes_changed.count
    while views.get_epoch(view, owner.partition) == owner.epoch:
        if was_reachable and owner.owner in inst.unreachable_members:
            return
        count = await signals.wait_for_notification(view.routes_changed, count)


async def _wait_before_retry(
    inst: instances.Instance,
    count: int,
    backoff: retries.Backoff,
    until_ms: int,
) -> None:
    """Waits before a call is made again.

    The wait ends early once an owner changes, or becomes reachable or
    unreachable. It has the longest backoff time if the retry budget is used up.
    """
    wait_ms = retries.advance_backoff(backoff)
    if not retries.take_retry(inst.retry_budget):
        wait_ms = backoff.max_ms
    left_ms = max(0, until_ms - inst.clock.now_ms())
    await signals.wait_with_timeout(
        inst.membership.view.routes_changed, count, min(wait_ms, left_ms)
    )


async def long_poll(
    inst: instances.Instance,
    call_owner: Callable[
        [int], Awaitable[outcomes.Outcome | peer_pb2.LedgerReply]
    ],
    wait_ms: int,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    """Waits for the outcome of a request, but not beyond the start of a stop.

    Args:
      inst: The instance.
      call_owner: Returns the outcome; its argument is the time in ms for which
        the owner may wait for a final one.
      wait_ms: Time in ms for which the caller wants to wait.

    Returns:
      The outcome, which need not be final once a graceful stop has begun.
    """
    if not inst.stop_started.is_set() and wait_ms > 0:
        waiting = asyncio.ensure_future(call_owner(wait_ms))
        stop = asyncio.ensure_future(inst.stop_started.wait())
        try:
            await asyncio.wait(
                (waiting, stop), return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                return waiting.result()
        finally:
            for future in (waiting, stop):
                future.cancel()
            await asyncio.gather(waiting, stop, return_exceptions=True)
    return await call_owner(0)


async def handle_request_call(
    inst: instances.Instance,
    handle: Callable[
        [instances.Instance, peer_pb2.LedgerRequest, int],
        Awaitable[peer_pb2.LedgerReply],
    ],
    call: peer_pb2.LedgerRequest,
    wait_ms: int,
) -> peer_pb2.LedgerReply:
    """Handles a call about a request in a ledger partition owned here.

    If this instance stops serving the partition during the call, it replies
    that it is not the owner. Otherwise a waiting call would not see the outcome
    that the next owner writes.

    Args:
      inst: The instance.
      handle: Handles the call while the partition is served here.
      call: The call.
      wait_ms: Time left in ms to answer it.
    """
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _make_not_owner_reply(call)
    waiting = asyncio.ensure_future(handle(inst, call, wait_ms))
    closed = asyncio.ensure_future(
        _wait_until_closed(inst, call.partition, ledger)
    )
    try:
        await asyncio.wait(
            (waiting, closed), return_when=asyncio.FIRST_COMPLETED
        )
        reply = (
            waiting.result() if waiting.done() else _make_not_owner_reply(call)
        )
    finally:
        for future in (waiting, closed):
            future.cancel()
        await asyncio.gather(waiting, closed, return_exceptions=True)
    reply.request_key = call.request_key
    may_act = authority.may_act_for(inst, ledger.name, ledger.epoch)
    if reply.outcome.HasField('not_found') and not may_act:
        # A later owner may have accepted the request.
        unknown = outcomes.Unknown('authority is not confirmed')
        reply.outcome.CopyFrom(common_messages.encode_outcome(unknown))
    return reply


async def handle_submit(
    inst: instances.Instance, call: peer_pb2.LedgerSubmit, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Handles a submission to a ledger partition owned here.

    It always ends: the acceptance is written or fails, or the time runs out.
    """
    reply = await ledger_calls.submit(inst, call, wait_ms)
    reply.request_key = f'{call.request.team}/{call.request.id}'
    return reply


def _make_not_owner_reply(call: peer_pb2.LedgerRequest) -> peer_pb2.LedgerReply:
    not_owner = peer_pb2.NotOwner(partition=call.partition)
    return peer_pb2.LedgerReply(
        not_owner=not_owner, request_key=call.request_key
    )


async def _wait_until_closed(
    inst: instances.Instance, partition: str, ledger: object
) -> None:
    view = inst.membership.view
    count = view.routes_changed.count
    while inst.ledgers.get(partition) is ledger:
        count = await signals.wait_for_notification(view.routes_changed, count)
