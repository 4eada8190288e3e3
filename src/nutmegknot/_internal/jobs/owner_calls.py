"""Brings callers' calls from any instance to the owner of the jobs.

A call whose answer was lost is repeated until the caller's time is over; the
owner recognizes the repetition. Only the owner refuses a job: another instance
can't tell whether an earlier copy of the call was accepted.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
from typing import Any

from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import peer_calls
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.network import call_errors
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Part of a caller's time limit that is reserved for sending the answer.
REPLY_RESERVE_MS = 120
# Longest wait of a call with a new job while no owner is reached and none is
# expected to take over soon.
MAX_OWNER_WAIT_MS = 600
# Returned to callers whose new job reached no owner.
NO_OWNER_RETRY_AFTER_MS = 1_000
# Applies to one call to the owner; a call without an answer is repeated.
CALL_TIMEOUT_MS = 900
# Shortest and longest wait before a call to the owner is repeated. The wait
# also ends when a greeting shows that there is an owner that may act.
RETRY_INTERVAL_MS = 60
MAX_RETRY_INTERVAL_MS = 480

_Answer = jobs_pb2.JobReply.Answer
LocalCall = Callable[[ownerships.Ownership], Awaitable[Any]]
RemoteCall = Callable[[str, float], Awaitable[Any]]


@dataclasses.dataclass(slots=True, frozen=True)
class NotDelivered:
    """No owner was reached, so the call has had no effect."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoReply:
    """No answer came in time; the call may have had its effect."""


async def submit(
    node: nodes.Node, spec: jobs.JobSpec, wait_ms: int
) -> owner_operations.SubmitOutcome:
    """Submits a job to the owner."""
    call = jobs_pb2.SubmitJob(job=rows.encode_spec(spec))

    async def call_local(
        ownership: ownerships.Ownership,
    ) -> owner_operations.SubmitOutcome:
        return await owner_operations.submit(ownership, spec)

    async def call_remote(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peer_calls.get_stub(node, address)
        return await stub.Submit(call, timeout=timeout_s)

    result = await _forward(
        node,
        call_local,
        call_remote,
        wait_ms,
        lambda: _choose_owner_wait(node, wait_ms),
    )
    match result:
        case jobs_pb2.JobReply():
            return _decode_submit(spec.id, result)
        case NotDelivered():
            # Not refused: an earlier copy of the call may have been accepted,
            # which only an owner would know.
            _log_unknown_outcome(spec, 'no owner of the jobs is known')
            return outcomes.Unknown(
                'no owner of the jobs is known', NO_OWNER_RETRY_AFTER_MS
            )
        case NoReply():
            _log_unknown_outcome(spec, 'no answer came from the owner')
            return outcomes.Unknown('no answer came from the owner')
    submitted: owner_operations.SubmitOutcome = result
    return submitted


def _choose_owner_wait(node: nodes.Node, wait_ms: int) -> int:
    """Returns how long a call with a new job waits for an owner, in ms.

    Load pattern: the owner has failed, and until another instance has taken
    over, callers bring new jobs as before. The takeover ends before most of
    their deadlines, so their calls wait for it instead of ending with an
    unknown outcome. Nobody can take over while the store is out of reach, or is
    expected to before there has been an owner.

    Args:
      node: This instance.
      wait_ms: Time left for the caller in ms.
    """
    if (
        node.owner is None
        or node.routes is None
        or node.routes.direct_failed_since_ms is not None
    ):
        return MAX_OWNER_WAIT_MS
    return wait_ms


def _log_unknown_outcome(spec: jobs.JobSpec, why: str) -> None:
    logger.warning(
        'job_unsettled',
        extra={'job': spec.id, 'queue': spec.queue, 'why': why},
    )


def _encode_reference(reference: jobs.JobReference) -> jobs_pb2.NamedJob:
    return jobs_pb2.NamedJob(
        id=reference.id, customer=reference.customer, queue=reference.queue
    )


async def get_job_state(
    node: nodes.Node, reference: jobs.JobReference, wait_ms: int
) -> jobs.JobState | outcomes.NotFound | outcomes.Unknown:
    """Returns the state of a job."""
    call = _encode_reference(reference)

    async def call_local(
        ownership: ownerships.Ownership,
    ) -> jobs.JobState | outcomes.NotFound:
        return owner_operations.get_job_state(ownership, reference)

    async def call_remote(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peer_calls.get_stub(node, address)
        return await stub.Look(call, timeout=timeout_s)

    result = await _forward(node, call_local, call_remote, wait_ms)
    match result:
        case jobs_pb2.JobReply() if result.answer == _Answer.MISSING:
            return outcomes.NotFound(reference.id)
        case jobs_pb2.JobReply() if result.state:
            return jobs.JobState(result.state)
        case jobs_pb2.JobReply() | NotDelivered() | NoReply():
            return outcomes.Unknown('the owner did not answer')
    found: jobs.JobState | outcomes.NotFound = result
    return found


async def cancel(
    node: nodes.Node, reference: jobs.JobReference, wait_ms: int
) -> owner_operations.CancelOutcome:
    """Cancels a job."""
    call = _encode_reference(reference)

    async def call_local(
        ownership: ownerships.Ownership,
    ) -> owner_operations.CancelOutcome:
        return await owner_operations.cancel(ownership, reference)

    async def call_remote(address: str, timeout_s: float) -> jobs_pb2.JobReply:
        stub = peer_calls.get_stub(node, address)
        return await stub.Cancel(call, timeout=timeout_s)

    result = await _forward(node, call_local, call_remote, wait_ms)
    match result:
        case jobs_pb2.JobReply() if result.answer == _Answer.MISSING:
            return outcomes.NotFound(reference.id)
        case jobs_pb2.JobReply() if result.answer == _Answer.DONE:
            return outcomes.Cancelled(True)
        case jobs_pb2.JobReply() | NotDelivered() | NoReply():
            return outcomes.Unknown('the owner did not answer')
    cancelled: owner_operations.CancelOutcome = result
    return cancelled


async def count_waiting_jobs(
    node: nodes.Node, queue: str, wait_ms: int
) -> int | outcomes.Unknown:
    """Returns how many jobs of a queue have not begun."""
    call = jobs_pb2.CountQueue(queue=queue)

    async def call_local(ownership: ownerships.Ownership) -> int:
        return owner_operations.count_waiting_jobs(ownership, queue)

    async def call_remote(
        address: str, timeout_s: float
    ) -> jobs_pb2.CountReply:
        stub = peer_calls.get_stub(node, address)
        return await stub.Count(call, timeout=timeout_s)

    result = await _forward(node, call_local, call_remote, wait_ms)
    if isinstance(result, jobs_pb2.CountReply):
        return result.waiting
    if isinstance(result, int):
        return result
    return outcomes.Unknown('the owner did not answer')


async def _forward(
    node: nodes.Node,
    call_local: LocalCall,
    call_remote: RemoteCall,
    wait_ms: int,
    choose_owner_wait: Callable[[], int] | None = None,
) -> Any:  # noqa: ANN401 - what the call returns, or NotDelivered or NoReply
    """Makes a call to the owner, here or at another instance, until it answers.

    Load pattern: for some seconds no owner may act, and all calls that arrive
    meanwhile are held. They would keep a new owner too busy to load the jobs,
    so it is called only once it has confirmed its ownership, in its answer to a
    greeting or a call. An owner that may not act for a while is called more and
    more seldom.

    Args:
      node: This instance.
      call_local: Carries out the call if this instance is the owner.
      call_remote: Makes the call to an address with a time limit in seconds.
      wait_ms: Time left for the caller in ms.
      choose_owner_wait: Returns how long to wait in ms for an owner to be
        reached; None to wait as long as the caller does.
    """
    began_ms = node.clock.now_ms()
    until_ms = began_ms + max(0, wait_ms - REPLY_RESERVE_MS)
    may_be_delivered = False
    interval_ms = RETRY_INTERVAL_MS
    while True:
        count = node.changed.count
        left_ms = until_ms - node.clock.now_ms()
        if left_ms <= 0:
            return NoReply() if may_be_delivered else NotDelivered()
        ownership = nodes.get_valid_ownership(node)
        if ownership is not None:
            result = await _call_with_timeout(call_local, ownership, left_ms)
            # If the ownership was lost meanwhile, the new owner is called.
            if result is not None and not ownership.writer.is_lost:
                return result
            may_be_delivered = True
        elif _is_owner_confirmed(node):
            reply = await _call_owner(
                node, call_remote, min(left_ms, CALL_TIMEOUT_MS)
            )
            if isinstance(reply, NoReply):
                may_be_delivered = True
            elif not isinstance(reply, NotDelivered):
                return reply
        waited_ms = node.clock.now_ms() - began_ms
        if (
            not may_be_delivered
            and choose_owner_wait is not None
            and waited_ms >= choose_owner_wait()
        ):
            return NotDelivered()
        await signals.wait_with_timeout(
            node.changed, count, min(interval_ms, left_ms)
        )
        interval_ms = min(MAX_RETRY_INTERVAL_MS, 2 * interval_ms)


def _is_owner_confirmed(node: nodes.Node) -> bool:
    """Tells whether the known owner has confirmed its ownership."""
    owner = node.owner
    return (
        owner is not None and bool(owner.row.holder) and owner.answered_ms > 0
    )


async def _call_with_timeout(
    call_local: LocalCall, ownership: ownerships.Ownership, left_ms: int
) -> Any:  # noqa: ANN401 - the result, or None if not done in time
    """Carries out a call as the owner.

    A call that is not done in time goes on in the background.
    """
    running_call = asyncio.ensure_future(call_local(ownership))
    await asyncio.wait((running_call,), timeout=clock.to_seconds(left_ms))
    return running_call.result() if running_call.done() else None


async def _call_owner(
    node: nodes.Node, call_remote: RemoteCall, timeout_ms: int
) -> Any:  # noqa: ANN401 - the reply, NotDelivered or NoReply
    assert node.owner is not None, 'called only while an owner is known'
    address = node.owner.row.address
    if address == node.address:
        return NotDelivered()
    try:
        reply = await call_remote(address, clock.to_seconds(timeout_ms))
    except ConnectionRefusedError:
        return NotDelivered()
    except call_errors.CALL_ERRORS as error:
        logger.info(
            'owner_unanswered',
            extra={'address': address, 'why': type(error).__name__},
        )
        peer_calls.record_lost_call(node, address)
        return NoReply()
    peer_calls.record_answer(node, address)
    if not reply.epoch:
        return NotDelivered()
    node.owner.answered_ms = node.clock.now_ms()
    return reply


def _decode_submit(
    job_id: str, reply: jobs_pb2.JobReply
) -> owner_operations.SubmitOutcome:
    if reply.answer == _Answer.DONE:
        return outcomes.Accepted(job_id)
    if reply.answer == _Answer.REFUSED:
        return outcomes.Refused(
            outcomes.RefusalReason(reply.state),
            reply.detail,
            reply.retry_after_ms,
        )
    return outcomes.Unknown(reply.detail or 'the owner lost its ownership')
