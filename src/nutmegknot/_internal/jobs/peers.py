"""Calls between instances about jobs."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
from typing import Any

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import fetches
from nutmegknot._internal.jobs import accepting
from nutmegknot._internal.jobs import advising
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.network import calls
from nutmegknot._internal.network import channels
from nutmegknot._internal.network import services
from nutmegknot._internal.schema import jobs_grpc
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# How long an owner without news holds a greeting, and how much longer its
# answer is waited for, in ms.
GREET_WAIT_MS = 400
MOST_GREET_WAIT_MS = 2_000
GREET_MS = 120
# How long one that was silent is waited for, in ms.
SILENT_GREET_MS = 80
# A connection on which a call was lost is closed if no answer has come on it
# for so long, in ms.
UNHEARD_MS = 1_500
# Advice is asked of another instance up to so many failures in a row.
MOST_ADVICE_FAILURES = 2

_Answer = jobs_pb2.JobReply.Answer
_MESSAGE_BYTES = 1_048_576


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """An instance did not answer.

    Attributes:
      is_refused: Whether nothing listens at its address.
    """

    is_refused: bool


def bind(node: nodes.Node, running: services.Calls) -> services.BoundService:
    """Returns the calls that an instance serves to the others."""
    handles: dict[str, services.Handle] = {
        'Submit': lambda call, _: _serve_submit(node, call),
        'Look': lambda call, _: _serve_look(node, call),
        'Cancel': lambda call, _: _serve_cancel(node, call),
        'Count': lambda call, _: _serve_count(node, call),
        'Greet': lambda call, _: _serve_greeting(node, call),
        'Advise': lambda call, _: _serve_advice(node, call),
        'Relay': lambda call, _: _serve_relay(node, call),
    }
    return services.bind(
        jobs_pb2.DESCRIPTOR.services_by_name['Jobs'],
        handles,
        running,
        services.Limits(_MESSAGE_BYTES),
    )


async def _serve_submit(
    node: nodes.Node, call: jobs_pb2.SubmitJob
) -> jobs_pb2.JobReply:
    order = rows.decode_order(call.job)
    return await _reply_as_owner(node, lambda own: accepting.submit(own, order))


async def _serve_look(
    node: nodes.Node, call: jobs_pb2.NamedJob
) -> jobs_pb2.JobReply:
    own = nodes.get_acting(node)
    if own is None:
        return jobs_pb2.JobReply()
    found = accepting.look(own, call.id, call.customer)
    if isinstance(found, jobs.JobState):
        return jobs_pb2.JobReply(
            epoch=own.book.epoch, answer=_Answer.DONE, state=found.value
        )
    return encode_outcome(own, found)


async def _serve_cancel(
    node: nodes.Node, call: jobs_pb2.NamedJob
) -> jobs_pb2.JobReply:
    return await _reply_as_owner(
        node, lambda own: accepting.cancel(own, call.id, call.customer)
    )


async def _reply_as_owner(
    node: nodes.Node,
    act: Callable[[ownerships.Ownership], Awaitable[outcomes.Outcome]],
) -> jobs_pb2.JobReply:
    """Returns the owner's outcome; an empty reply at any other instance."""
    own = nodes.get_acting(node)
    if own is None:
        return jobs_pb2.JobReply()
    return encode_outcome(own, await act(own))


async def _serve_count(
    node: nodes.Node, call: jobs_pb2.CountQueue
) -> jobs_pb2.CountReply:
    own = nodes.get_acting(node)
    if own is None:
        return jobs_pb2.CountReply()
    return jobs_pb2.CountReply(
        epoch=own.book.epoch, waiting=accepting.count_waiting(own, call.queue)
    )


async def _serve_greeting(
    node: nodes.Node, call: jobs_pb2.Greeting
) -> jobs_pb2.GreetingReply:
    node.known_revision = max(node.known_revision, call.configuration)
    if node.relay is not None:
        relays.note_peer(
            node.relay,
            call.address,
            call.reaches_store,
            call.strength,
            call.late_ms,
        )
    own = nodes.get_acting(node)
    if own is not None:
        _note_adviser(node, own, call.address)
        await _wait_news(node, call)
        own = nodes.get_acting(node)
    return jobs_pb2.GreetingReply(
        epoch=0 if own is None else own.book.epoch,
        configuration=0 if node.catalog is None else node.catalog.revision,
        instance=node.id,
        version=0 if own is None else own.writer.version,
        reaches_store=_reaches_store(node),
        strongest=_find_strongest(node),
    )


def _find_strongest(node: nodes.Node) -> int:
    standbys = [] if node.relay is None else relays.list_standbys(node.relay)
    return max((peer.strength for peer in standbys), default=0)


async def _wait_news(node: nodes.Node, call: jobs_pb2.Greeting) -> None:
    """Waits until there is something to tell, or the caller's time is over."""
    until_ms = node.clock.now_ms() + min(call.wait_ms, MOST_GREET_WAIT_MS)
    count = node.changed.count
    while nodes.get_acting(node) is not None and node.catalog is not None:
        left_ms = until_ms - node.clock.now_ms()
        if left_ms <= 0 or node.catalog.revision > call.configuration:
            return
        count = await signals.wait_at_most(node.changed, count, left_ms)


async def _serve_advice(
    node: nodes.Node, call: jobs_pb2.AdviceCall
) -> jobs_pb2.AdviceReply:
    result = await node.outside.advise(
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
    if node.relay is None:
        return jobs_pb2.RelayReply(detail='no relay')
    reply = await node.relay.direct(
        fetches.Call(
            call.method,
            call.path,
            dict(call.params),
            json.loads(call.body) if call.body else None,
        ),
        call.timeout_ms,
    )
    if isinstance(reply, fetches.NoAnswer):
        return jobs_pb2.RelayReply(was_sent=reply.was_sent, detail=reply.detail)
    return jobs_pb2.RelayReply(
        is_answered=True,
        status=reply.status,
        fields=json.dumps(reply.fields, separators=(',', ':')).encode(),
    )


async def relay_call(
    node: nodes.Node, address: str, call: fetches.Call, timeout_ms: int
) -> fetches.Reply | fetches.NoAnswer:
    """Has the instance at an address make a call to the store."""
    body = b''
    if call.body is not None:
        body = json.dumps(call.body, separators=(',', ':')).encode()
    asked = jobs_pb2.RelayCall(
        method=call.method,
        path=call.path,
        params=call.params,
        body=body,
        timeout_ms=timeout_ms,
    )
    try:
        reply: jobs_pb2.RelayReply = await get_stub(node, address).Relay(
            asked, timeout=clock_lib.to_seconds(timeout_ms)
        )
    except ConnectionRefusedError:
        return fetches.NoAnswer(False, f'{address}: refused')
    except calls.CALL_ERRORS as error:
        note_lost(node, address)
        return fetches.NoAnswer(True, f'{address}: {type(error).__name__}')
    note_answer(node, address)
    if not reply.is_answered:
        return fetches.NoAnswer(reply.was_sent, reply.detail)
    return fetches.Reply(reply.status, json.loads(reply.fields))


def encode_outcome(
    own: ownerships.Ownership,
    outcome: outcomes.Outcome,
) -> jobs_pb2.JobReply:
    """Returns the reply for an outcome of the owner."""
    reply = jobs_pb2.JobReply(epoch=own.book.epoch)
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


def _note_adviser(
    node: nodes.Node, own: ownerships.Ownership, address: str
) -> None:
    """Has another instance ask for advice too, as each has its own turn."""
    if not address or address in own.advisers:
        return

    async def advise(
        stage: str, workers: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        return await ask_advice(node, address, stage, workers, timeout_ms)

    own.advisers[address] = advise
    tasks.spawn(
        own.tasks, _keep_adviser(own, address, advise), f'advise {address}'
    )


async def _keep_adviser(
    own: ownerships.Ownership, address: str, advise: advisers.Advise
) -> None:
    failures = 0

    async def advise_counting(
        stage: str, workers: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        nonlocal failures
        result = await advise(stage, workers, timeout_ms)
        is_failed = isinstance(result, advisers.Unadvised)
        failures = failures + 1 if is_failed else 0
        return result

    await advising.keep_advising(
        own,
        advise_counting,
        lambda: failures < MOST_ADVICE_FAILURES,
    )
    own.advisers.pop(address, None)
    logger.info('adviser_dropped', extra={'address': address})


def get_stub(node: nodes.Node, address: str) -> jobs_grpc.JobsStub:
    """Returns the calls of the instance at an address."""
    return jobs_grpc.JobsStub(channels.get(node.channels, address))


def note_answer(node: nodes.Node, address: str) -> None:
    """Takes note that the instance at an address has answered a call."""
    node.channels.heard_ms[address] = node.clock.now_ms()


def note_lost(node: nodes.Node, address: str) -> None:
    """Takes note that a call has had no answer.

    A connection on which nothing comes any more is closed, and the next call
    makes a new one. That ends the other calls on it, so it is kept while any
    of them is answered.
    """
    heard_ms = node.channels.heard_ms.get(address)
    if heard_ms is not None and node.clock.now_ms() - heard_ms < UNHEARD_MS:
        return
    channel = node.channels.opened.pop(address, None)
    if channel is not None:
        channel.close()


async def ask_advice(
    node: nodes.Node,
    address: str,
    stage: str,
    workers: list[str],
    timeout_ms: int,
) -> advisers.Advised | advisers.Unadvised:
    """Has the instance at an address ask for advice."""
    call = jobs_pb2.AdviceCall(
        stage=stage, workers=workers, timeout_ms=timeout_ms
    )
    try:
        reply: Any = await get_stub(node, address).Advise(
            call, timeout=clock_lib.to_seconds(timeout_ms)
        )
    except calls.CALL_ERRORS as error:
        note_lost(node, address)
        return advisers.Unadvised(f'{address}: {type(error).__name__}')
    note_answer(node, address)
    if not reply.is_given:
        return advisers.Unadvised(f'{address}: no advice')
    tickets = {part.worker: part.ticket for part in reply.tickets}
    return advisers.Advised(tickets, reply.valid_ms)


async def greet(
    node: nodes.Node, address: str
) -> jobs_pb2.GreetingReply | Silence:
    """Greets the instance at an address, which answers when it has news.

    One that was silent before is asked to answer at once.
    """
    wait_ms = 0 if node.is_silent else GREET_WAIT_MS
    revision = 0 if node.catalog is None else node.catalog.revision
    call = jobs_pb2.Greeting(
        instance=node.id,
        address=node.address,
        domain=node.domain,
        configuration=revision,
        reaches_store=_reaches_store(node),
        wait_ms=wait_ms,
        strength=node.strength,
        late_ms=int(node.lateness.mean_ms),
    )
    timeout_ms = wait_ms + (SILENT_GREET_MS if node.is_silent else GREET_MS)
    try:
        reply: jobs_pb2.GreetingReply = await get_stub(node, address).Greet(
            call, timeout=clock_lib.to_seconds(timeout_ms)
        )
    except calls.CALL_ERRORS as error:
        logger.info(
            'owner_silent',
            extra={'address': address, 'why': type(error).__name__},
        )
        note_lost(node, address)
        return Silence(isinstance(error, ConnectionRefusedError))
    note_answer(node, address)
    if node.relay is not None:
        relays.note_peer(node.relay, address, reply.reaches_store)
    return reply


def _reaches_store(node: nodes.Node) -> bool:
    return node.relay is None or node.relay.lost_ms is None
