"""Calls between instances.

Instances forward calls of callers to the owner, send it greetings, which are
heartbeats, request advice from the advice service on its behalf, and relay each
other's calls to the store.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
from typing import Any

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.network import call_errors
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import jobs_grpc
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import json_fields
from nutmegknot._internal.utils import processor_speed
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# How long the owner may hold its answer to a standby's greeting while there are
# no newer settings to report.
GREETING_HOLD_MS = 400
# Longest time for which the owner holds the answer to any greeting.
MAX_GREETING_HOLD_MS = 2_000
# Time-out of a greeting, beyond the time for which the answer may be held.
GREETING_TIMEOUT_MARGIN_MS = 120
# Time-out of a greeting to an owner that did not answer the previous one.
SILENT_OWNER_TIMEOUT_MS = 80
# Longest addition to the time-out of a greeting for the delay of timers. With
# it, a failed owner is still noticed before its lease ends.
MAX_GREETING_LAG_MS = 400
# Time without any answer on a connection after which it is closed when a call
# on it is lost.
IDLE_CONNECTION_MS = 1_500
# Number of consecutive failures after which an instance is no longer used for
# advice.
MAX_ADVICE_FAILURES = 2

_Answer = jobs_pb2.JobReply.Answer
_MAX_MESSAGE_BYTES = 1_048_576


@dataclasses.dataclass(slots=True, frozen=True)
class NoReply:
    """An instance did not answer a greeting.

    Attributes:
      is_refused: Whether nothing listens at its address.
    """

    is_refused: bool


def bind_service(
    node: nodes.Node, open_calls: services.ActiveCalls
) -> services.BoundService:
    """Returns the service with the calls that other instances make."""
    method_handlers: dict[str, services.MethodHandler] = {
        'Submit': lambda call, _: _serve_submit(node, call),
        'Look': lambda call, _: _serve_look(node, call),
        'Cancel': lambda call, _: _serve_cancel(node, call),
        'Count': lambda call, _: _serve_count(node, call),
        'Greet': lambda call, _: serve_greeting(node, call),
        'Advise': lambda call, _: _serve_advice(node, call),
        'Relay': lambda call, _: _serve_relay(node, call),
    }
    return services.bind(
        jobs_pb2.DESCRIPTOR.services_by_name['Jobs'],
        method_handlers,
        open_calls,
        services.Limits(
            _MAX_MESSAGE_BYTES, max_held_bytes=node.max_message_bytes
        ),
    )


async def _serve_submit(
    node: nodes.Node, call: jobs_pb2.SubmitJob
) -> jobs_pb2.JobReply:
    spec = rows.decode_spec(call.job)
    return await _reply_as_owner(
        node, lambda ownership: owner_operations.submit(ownership, spec)
    )


async def _serve_look(
    node: nodes.Node, call: jobs_pb2.NamedJob
) -> jobs_pb2.JobReply:
    ownership = nodes.get_valid_ownership(node)
    if ownership is None:
        return jobs_pb2.JobReply()
    found = owner_operations.get_job_state(ownership, _decode_reference(call))
    if isinstance(found, jobs.JobState):
        return jobs_pb2.JobReply(
            epoch=ownership.cluster.epoch,
            answer=_Answer.DONE,
            state=found.value,
        )
    return encode_outcome(ownership, found)


async def _serve_cancel(
    node: nodes.Node, call: jobs_pb2.NamedJob
) -> jobs_pb2.JobReply:
    return await _reply_as_owner(
        node,
        lambda ownership: owner_operations.cancel(
            ownership, _decode_reference(call)
        ),
    )


def _decode_reference(call: jobs_pb2.NamedJob) -> jobs.JobReference:
    return jobs.JobReference(call.id, call.customer, call.queue)


async def _reply_as_owner(
    node: nodes.Node,
    act: Callable[[ownerships.Ownership], Awaitable[outcomes.Outcome]],
) -> jobs_pb2.JobReply:
    """Returns the outcome of an operation of the owner.

    The reply is empty if this instance is not the owner.
    """
    ownership = nodes.get_valid_ownership(node)
    if ownership is None:
        return jobs_pb2.JobReply()
    return encode_outcome(ownership, await act(ownership))


async def _serve_count(
    node: nodes.Node, call: jobs_pb2.CountQueue
) -> jobs_pb2.CountReply:
    ownership = nodes.get_valid_ownership(node)
    if ownership is None:
        return jobs_pb2.CountReply()
    return jobs_pb2.CountReply(
        epoch=ownership.cluster.epoch,
        waiting=owner_operations.count_waiting_jobs(ownership, call.queue),
    )


async def serve_greeting(
    node: nodes.Node, call: jobs_pb2.Greeting
) -> jobs_pb2.GreetingReply:
    """Answers a greeting; the owner holds its answer while nothing changes."""
    node.known_revision = max(node.known_revision, call.configuration)
    if node.routes is not None:
        store_routes.update_peer(
            node.routes,
            call.address,
            call.reaches_store,
            call.strength,
            call.late_ms,
            call.calculation_us,
        )
    ownership = nodes.get_valid_ownership(node)
    if ownership is not None:
        _add_adviser(node, ownership, call.address)
        await _wait_for_change(node, call)
        ownership = nodes.get_valid_ownership(node)
    return jobs_pb2.GreetingReply(
        epoch=0 if ownership is None else ownership.cluster.epoch,
        configuration=0 if node.settings is None else node.settings.revision,
        instance=node.id,
        version=0 if ownership is None else ownership.writer.version,
        reaches_store=_reaches_store(node),
        strongest=_find_max_standby_millicores(node),
        lag_ms=int(node.lateness.peak_ms),
    )


def _find_max_standby_millicores(node: nodes.Node) -> int:
    """Returns the processors of the largest standby; 0 if there is none."""
    standbys = (
        [] if node.routes is None else store_routes.list_standbys(node.routes)
    )
    return max((peer.millicores for peer in standbys), default=0)


async def _wait_for_change(node: nodes.Node, call: jobs_pb2.Greeting) -> None:
    """Waits for a change that the sender of a greeting has to know at once.

    That is newer settings than those of the sender, or a change of whether this
    instance reaches the store: in an outage for all, it may go on only if every
    other instance reports soon that it does not reach the store either.
    The wait also ends when this instance is no longer the owner, and after the
    time that the sender allows.
    """
    reached_store = _reaches_store(node)
    until_ms = node.clock.now_ms() + min(call.wait_ms, MAX_GREETING_HOLD_MS)
    count = node.changed.count
    while (
        nodes.get_valid_ownership(node) is not None
        and node.settings is not None
    ):
        left_ms = until_ms - node.clock.now_ms()
        if left_ms <= 0 or node.settings.revision > call.configuration:
            return
        if _reaches_store(node) is not reached_store:
            return
        count = await signals.wait_with_timeout(node.changed, count, left_ms)


async def _serve_advice(
    node: nodes.Node, call: jobs_pb2.AdviceCall
) -> jobs_pb2.AdviceReply:
    result = await node.backends.advise(
        call.stage, list(call.workers), call.timeout_ms
    )
    if isinstance(result, advisers.Unadvised):
        return jobs_pb2.AdviceReply(is_given=False)
    return jobs_pb2.AdviceReply(
        is_given=True,
        tickets=[
            jobs_pb2.TicketPart(worker=id, ticket=ticket)
            for id, ticket in result.tickets.items()
        ],
        valid_ms=result.valid_ms,
    )


async def _serve_relay(
    node: nodes.Node, call: jobs_pb2.RelayCall
) -> jobs_pb2.RelayReply:
    if node.routes is None:
        return jobs_pb2.RelayReply(detail='no relay')
    try:
        body = json_fields.decode_object(call.body) if call.body else None
    except ValueError as error:
        logger.warning('relay_call_unreadable', extra={'why': repr(error)})
        return jobs_pb2.RelayReply(detail='malformed body')
    reply = await node.routes.direct(
        platform_calls.Call(
            call.method,
            call.path,
            dict(call.params),
            body,
        ),
        call.timeout_ms,
    )
    if isinstance(reply, platform_calls.NoAnswer):
        return jobs_pb2.RelayReply(was_sent=reply.was_sent, detail=reply.detail)
    return jobs_pb2.RelayReply(
        is_answered=True,
        status=reply.status,
        fields=json.dumps(reply.fields, separators=(',', ':')).encode(),
    )


async def relay_call(
    node: nodes.Node, address: str, call: platform_calls.Call, timeout_ms: int
) -> platform_calls.Reply | platform_calls.NoAnswer:
    """Makes a call to the store through the instance at an address."""
    body = b''
    if call.body is not None:
        body = json.dumps(call.body, separators=(',', ':')).encode()
    request = jobs_pb2.RelayCall(
        method=call.method,
        path=call.path,
        params=call.params,
        body=body,
        timeout_ms=timeout_ms,
    )
    try:
        reply: jobs_pb2.RelayReply = await get_stub(node, address).Relay(
            request, timeout=clock.to_seconds(timeout_ms)
        )
    except ConnectionRefusedError:
        return platform_calls.NoAnswer(False, f'{address}: refused')
    except call_errors.CALL_ERRORS as error:
        record_lost_call(node, address)
        return platform_calls.NoAnswer(
            True, f'{address}: {type(error).__name__}'
        )
    record_answer(node, address)
    if not reply.is_answered:
        return platform_calls.NoAnswer(reply.was_sent, reply.detail)
    try:
        fields = json_fields.decode_object(reply.fields)
    except ValueError as error:
        return platform_calls.NoAnswer(True, f'{address}: {error!r}')
    return platform_calls.Reply(reply.status, fields)


def encode_outcome(
    ownership: ownerships.Ownership,
    outcome: outcomes.Outcome,
) -> jobs_pb2.JobReply:
    """Returns the reply to another instance for an outcome of the owner."""
    reply = jobs_pb2.JobReply(epoch=ownership.cluster.epoch)
    match outcome:
        case outcomes.Accepted() | outcomes.Cancelled():
            reply.answer = _Answer.DONE
        case outcomes.Refused(reason, detail, retry_after_ms):
            reply.answer = _Answer.REFUSED
            reply.state = reason.value
            reply.detail = detail
            reply.retry_after_ms = retry_after_ms
        case outcomes.NotFound():
            reply.answer = _Answer.MISSING
        case _:
            reply.answer = _Answer.UNKNOWN
    return reply


def _add_adviser(
    node: nodes.Node, ownership: ownerships.Ownership, address: str
) -> None:
    """Starts to request advice through another instance as well.

    The advice service serves one call at a time of each instance.
    """
    if not address or address in ownership.advisers:
        return

    async def advise(
        stage: str, workers: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        return await request_advice(node, address, stage, workers, timeout_ms)

    ownership.advisers[address] = advise
    tasks.spawn(
        ownership.tasks,
        _run_adviser(ownership, address, advise),
        f'advise {address}',
    )


async def _run_adviser(
    ownership: ownerships.Ownership, address: str, advise: advisers.Advise
) -> None:
    """Requests advice through an instance until it fails repeatedly."""
    failures = 0

    async def advise_and_count_failures(
        stage: str, workers: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        nonlocal failures
        result = await advise(stage, workers, timeout_ms)
        is_failed = isinstance(result, advisers.Unadvised)
        failures = failures + 1 if is_failed else 0
        return result

    await advice_calls.run_adviser_calls(
        ownership,
        advise_and_count_failures,
        lambda: failures < MAX_ADVICE_FAILURES,
    )
    ownership.advisers.pop(address, None)
    logger.info('adviser_dropped', extra={'address': address})


def get_stub(node: nodes.Node, address: str) -> jobs_grpc.JobsStub:
    """Returns the client stub for the instance at an address."""
    return jobs_grpc.JobsStub(channels.get_channel(node.channels, address))


def record_answer(node: nodes.Node, address: str) -> None:
    """Records that the instance at an address has answered a call."""
    node.channels.last_answer_ms[address] = node.clock.now_ms()


def record_lost_call(node: nodes.Node, address: str) -> None:
    """Records that a call to the instance at an address was not answered.

    If no answer to any call has come for IDLE_CONNECTION_MS, the connection is
    closed, and the next call makes a new one. Closing ends the other calls on
    the connection, so it is kept while any of them is answered.
    """
    last_answer_ms = node.channels.last_answer_ms.get(address)
    if (
        last_answer_ms is not None
        and node.clock.now_ms() - last_answer_ms < IDLE_CONNECTION_MS
    ):
        return
    channel = node.channels.by_address.pop(address, None)
    if channel is not None:
        channel.close()


async def request_advice(
    node: nodes.Node,
    address: str,
    stage: str,
    workers: list[str],
    timeout_ms: int,
) -> advisers.Advised | advisers.Unadvised:
    """Requests advice through the instance at an address."""
    call = jobs_pb2.AdviceCall(
        stage=stage, workers=workers, timeout_ms=timeout_ms
    )
    try:
        reply: Any = await get_stub(node, address).Advise(
            call, timeout=clock.to_seconds(timeout_ms)
        )
    except call_errors.CALL_ERRORS as error:
        record_lost_call(node, address)
        return advisers.Unadvised(f'{address}: {type(error).__name__}')
    record_answer(node, address)
    if not reply.is_given:
        return advisers.Unadvised(f'{address}: no advice')
    tickets = {part.worker: part.ticket for part in reply.tickets}
    return advisers.Advised(tickets, reply.valid_ms)


async def greet(
    node: nodes.Node, address: str
) -> jobs_pb2.GreetingReply | NoReply:
    """Sends a greeting, which is the heartbeat between a standby and the owner.

    The owner holds its answer until it has newer settings to report or the
    holding time is over. If it did not answer the previous greeting, it is
    asked to answer at once.
    """
    wait_ms = 0 if node.is_owner_silent else GREETING_HOLD_MS
    revision = 0 if node.settings is None else node.settings.revision
    call = jobs_pb2.Greeting(
        instance=node.id,
        address=node.address,
        domain=node.domain,
        configuration=revision,
        reaches_store=_reaches_store(node),
        wait_ms=wait_ms,
        strength=node.millicores,
        late_ms=int(node.lateness.mean_ms),
        calculation_us=processor_speed.get_calculation_time(node.speed),
    )
    timeout_ms = wait_ms + compute_greeting_margin(node)
    try:
        reply: jobs_pb2.GreetingReply = await get_stub(node, address).Greet(
            call, timeout=clock.to_seconds(timeout_ms)
        )
    except call_errors.CALL_ERRORS as error:
        logger.info(
            'owner_silent',
            extra={'address': address, 'why': type(error).__name__},
        )
        record_lost_call(node, address)
        return NoReply(isinstance(error, ConnectionRefusedError))
    record_answer(node, address)
    if node.routes is not None:
        store_routes.update_peer(node.routes, address, reply.reaches_store)
    return reply


def compute_greeting_margin(node: nodes.Node) -> int:
    """Returns the time-out of a greeting beyond the holding time, in ms.

    Load pattern: the owner has so much work that it answers late. Standbys that
    give up on a call before its answer can come add the cost of another call.
    The margin therefore allows for the delay that the owner last told, and for
    the delay of this instance itself.
    """
    margin_ms = (
        SILENT_OWNER_TIMEOUT_MS
        if node.is_owner_silent
        else GREETING_TIMEOUT_MARGIN_MS
    )
    lag_ms = node.owner_lag_ms + int(node.lateness.peak_ms)
    return margin_ms + min(MAX_GREETING_LAG_MS, lag_ms)


def _reaches_store(node: nodes.Node) -> bool:
    """Tells whether this instance reaches the store on its direct route."""
    return node.routes is None or node.routes.direct_failed_since_ms is None
