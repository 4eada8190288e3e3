"""Calls about jobs that come in at any instance, brought to the owner.

A call whose answer was lost is repeated at the owner, which knows its first
copy, until its time is over. Only an owner refuses a job: an instance that
meets none can't tell whether an earlier copy was accepted.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
from typing import Any

from nutmegknot._internal.jobs import accepting
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import peers
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.network import calls
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Kept back from a caller's time for the answer, in ms.
RESERVE_MS = 120
# Longest wait of a new job for an owner before it is answered, in ms.
OWNERLESS_MS = 600
# When a caller may come back who met no owner, in ms.
OWNERLESS_RETRY_MS = 1_000
# Time limit of one call to the owner; a lost one is repeated, in ms.
CALL_MS = 900
RETRY_MS = 60

_Answer = jobs_pb2.JobReply.Answer
Local = Callable[[ownerships.Ownership], Awaitable[Any]]
Remote = Callable[[str, float], Awaitable[Any]]


@dataclasses.dataclass(slots=True, frozen=True)
class Unhanded:
    """No owner was met, so nobody has taken the call."""


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """The call may have reached the owner; no answer came in time."""


async def submit(
    node: nodes.Node, order: jobs.Order, wait_ms: int
) -> accepting.SubmitOutcome:
    """Hands a job to the owner."""
    call = jobs_pb2.SubmitJob(job=rows.encode_order(order))

    async def act(own: ownerships.Ownership) -> accepting.SubmitOutcome:
        return await accepting.submit(own, order)

    async def ask(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peers.get_stub(node, address)
        return await stub.Submit(call, timeout=timeout_s)

    result = await _bring(node, act, ask, wait_ms, OWNERLESS_MS)
    match result:
        case jobs_pb2.JobReply():
            return _decode_submit(order.id, result)
        case Unhanded():
            # An earlier copy may have been accepted, which an owner would know.
            _log_unsettled(order, 'no owner of the jobs is known')
            return outcomes.Unknown(
                'no owner of the jobs is known', OWNERLESS_RETRY_MS
            )
        case Lost():
            _log_unsettled(order, 'no answer came from the owner')
            return outcomes.Unknown('no answer came from the owner')
    submitted: accepting.SubmitOutcome = result
    return submitted


def _log_unsettled(order: jobs.Order, why: str) -> None:
    logger.warning(
        'job_unsettled',
        extra={'job': order.id, 'queue': order.queue, 'why': why},
    )


async def look(
    node: nodes.Node, job_id: str, customer: str, wait_ms: int
) -> jobs.JobState | outcomes.NotFound | outcomes.Unknown:
    """Returns the state of a job."""
    call = jobs_pb2.NamedJob(id=job_id, customer=customer)

    async def act(
        own: ownerships.Ownership,
    ) -> jobs.JobState | outcomes.NotFound:
        return accepting.look(own, job_id, customer)

    async def ask(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peers.get_stub(node, address)
        return await stub.Look(call, timeout=timeout_s)

    result = await _bring(node, act, ask, wait_ms, wait_ms)
    match result:
        case jobs_pb2.JobReply() if result.answer == _Answer.MISSING:
            return outcomes.NotFound(job_id)
        case jobs_pb2.JobReply() if result.state:
            return jobs.JobState(result.state)
        case jobs_pb2.JobReply() | Unhanded() | Lost():
            return outcomes.Unknown('the owner did not answer')
    found: jobs.JobState | outcomes.NotFound = result
    return found


async def cancel(
    node: nodes.Node, job_id: str, customer: str, wait_ms: int
) -> accepting.CancelOutcome:
    """Cancels a job."""
    call = jobs_pb2.NamedJob(id=job_id, customer=customer)

    async def act(own: ownerships.Ownership) -> accepting.CancelOutcome:
        return await accepting.cancel(own, job_id, customer)

    async def ask(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peers.get_stub(node, address)
        return await stub.Cancel(call, timeout=timeout_s)

    result = await _bring(node, act, ask, wait_ms, wait_ms)
    match result:
        case jobs_pb2.JobReply() if result.answer == _Answer.MISSING:
            return outcomes.NotFound(job_id)
        case jobs_pb2.JobReply() if result.answer == _Answer.DONE:
            return outcomes.Cancelled(True)
        case jobs_pb2.JobReply() | Unhanded() | Lost():
            return outcomes.Unknown('the owner did not answer')
    cancelled: accepting.CancelOutcome = result
    return cancelled


async def count_waiting(
    node: nodes.Node, queue: str, wait_ms: int
) -> int | outcomes.Unknown:
    """Returns how many jobs of a queue have not begun."""
    call = jobs_pb2.CountQueue(queue=queue)

    async def act(own: ownerships.Ownership) -> int:
        return accepting.count_waiting(own, queue)

    async def ask(address: str, timeout_s: float) -> jobs_pb2.CountReply:
        stub = peers.get_stub(node, address)
        return await stub.Count(call, timeout=timeout_s)

    result = await _bring(node, act, ask, wait_ms, wait_ms)
    if isinstance(result, jobs_pb2.CountReply):
        return result.waiting
    if isinstance(result, int):
        return result
    return outcomes.Unknown('the owner did not answer')


async def _bring(
    node: nodes.Node, act: Local, ask: Remote, wait_ms: int, patience_ms: int
) -> Any:  # noqa: ANN401 - what act or ask return, Unhanded or Lost
    """Brings a call to the owner, wherever it is, until it answers.

    Args:
      node: This instance.
      act: Carries the call out if this instance is the owner.
      ask: Makes the call to an address with a time limit in seconds.
      wait_ms: Time left for the caller in ms.
      patience_ms: How long to wait for an owner if none has been called, in ms.
    """
    began_ms = node.clock.now_ms()
    until_ms = began_ms + max(0, wait_ms - RESERVE_MS)
    is_handed = False
    while True:
        count = node.changed.count
        left_ms = until_ms - node.clock.now_ms()
        if left_ms <= 0:
            return Lost() if is_handed else Unhanded()
        own = nodes.get_acting(node)
        if own is not None:
            result = await _act_in_time(act, own, left_ms)
            # An ownership that is lost meanwhile has its calls repeated.
            if result is not None and not own.writer.is_lost:
                return result
            is_handed = True
        elif node.owner is not None and node.owner.row.holder:
            reply = await _ask_owner(node, ask, min(left_ms, CALL_MS))
            if isinstance(reply, Lost):
                is_handed = True
            elif not isinstance(reply, Unhanded):
                return reply
        waited_ms = node.clock.now_ms() - began_ms
        if not is_handed and waited_ms >= patience_ms:
            return Unhanded()
        await signals.wait_at_most(node.changed, count, RETRY_MS)


async def _act_in_time(
    act: Local, own: ownerships.Ownership, left_ms: int
) -> Any:  # noqa: ANN401 - what act returns, or None if it is not done in time
    """Acts as the owner; what is not done in time goes on by itself."""
    acting = asyncio.ensure_future(act(own))
    await asyncio.wait((acting,), timeout=clock_lib.to_seconds(left_ms))
    return acting.result() if acting.done() else None


async def _ask_owner(node: nodes.Node, ask: Remote, timeout_ms: int) -> Any:  # noqa: ANN401 - the reply, Unhanded or Lost
    assert node.owner is not None, 'asked only while an owner is known'
    address = node.owner.row.address
    if address == node.address:
        return Unhanded()
    try:
        reply = await ask(address, clock_lib.to_seconds(timeout_ms))
    except ConnectionRefusedError:
        return Unhanded()
    except calls.CALL_ERRORS as error:
        logger.info(
            'owner_unanswered',
            extra={'address': address, 'why': type(error).__name__},
        )
        peers.note_lost(node, address)
        return Lost()
    peers.note_answer(node, address)
    if not reply.epoch:
        return Unhanded()
    node.owner.answered_ms = node.clock.now_ms()
    return reply


def _decode_submit(
    job_id: str, reply: jobs_pb2.JobReply
) -> accepting.SubmitOutcome:
    if reply.answer == _Answer.DONE:
        return outcomes.Accepted(job_id)
    if reply.answer == _Answer.REFUSED:
        return outcomes.Refused(
            outcomes.RefusalReason(reply.state),
            reply.detail,
            reply.retry_after_ms,
        )
    return outcomes.Unknown(reply.detail or 'the owner lost its ownership')
