"""Callers that reach the instances through a load balancer."""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from google.protobuf import message as message_lib

from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2

ATTEMPT_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.05
WAIT_CALL_MS = 2_000
FINAL_OUTCOMES = frozenset(
    {'refused', 'conflict', 'finished', 'failed', 'cancelled', 'may_have_run'}
)


@dataclasses.dataclass(slots=True)
class Balancer:
    """A round-robin load balancer.

    Attributes:
      list_addresses: Returns the addresses of the instances in service.
      connections: Open connections by address.
      call_count: Number of calls so far.
    """

    list_addresses: Callable[[], list[str]]
    connections: dict[str, clients.Client] = dataclasses.field(
        default_factory=dict
    )
    call_count: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """The outcome that a caller received.

    Attributes:
      outcome: Outcome in the newest reply.
      attempts: Number of calls made; more than 1 if calls failed or were
        repeated.
    """

    outcome: common_pb2.Outcome
    attempts: int

    @property
    def kind(self) -> str:
        """Name of the outcome."""
        return self.outcome.WhichOneof('kind') or ''


def pick(balancer: Balancer) -> clients.Client:
    """Returns a connection to the next instance."""
    addresses = balancer.list_addresses()
    balancer.call_count += 1
    return connect(balancer, addresses[balancer.call_count % len(addresses)])


def connect(balancer: Balancer, address: str) -> clients.Client:
    """Returns the connection to an instance."""
    if address not in balancer.connections:
        balancer.connections[address] = clients.connect(address)
    return balancer.connections[address]


def close(balancer: Balancer) -> None:
    """Closes all connections."""
    for client in balancer.connections.values():
        clients.close(client)
    balancer.connections.clear()


async def call(
    balancer: Balancer,
    method: str,
    message: message_lib.Message,
    limit_s: float = 30.0,
) -> Answer:
    """Makes a call to the service Caller; on failure tries other instances.

    Raises:
      TimeoutError: If no instance answers within limit_s.
    """
    attempts = 0
    async with asyncio.timeout(limit_s):
        while True:
            attempts += 1
            stub = getattr(pick(balancer).caller, method)
            timeout_s = min(ATTEMPT_TIMEOUT_S, limit_s)
            try:
                return Answer(await stub(message, timeout=timeout_s), attempts)
            except clients.CALL_ERRORS:
                await asyncio.sleep(RETRY_DELAY_S)


def make_submit(
    request_id: str,
    key: str,
    payload: dict | None = None,
    **fields: object,
) -> caller_pb2.SubmitCall:
    """Returns a submission of a small task; `fields` override the defaults."""
    spec = {
        'run_ms': 50,
        'answer': f'answer of {request_id}',
        **(payload or {}),
    }
    values: dict = {
        'queue': 'batch',
        'size': common_pb2.Resources(millicores=500, memory_mib=256, slots=1),
        'members': 1,
        'priority': common_pb2.PRIORITY_CLASS_NORMAL,
        'repeatable': True,
        **fields,
    }
    if not values['repeatable']:
        spec['once'] = True
    req = common_pb2.Request(
        id=request_id, payload=json.dumps(spec).encode(), **values
    )
    return caller_pb2.SubmitCall(key=key, request=req)


async def submit(
    balancer: Balancer, message: caller_pb2.SubmitCall, limit_s: float = 30.0
) -> Answer:
    """Submits a request, repeatedly until its outcome is known.

    All calls carry the same request id. After a lost call, a refusal as
    unavailable covers only the call that it answers: the lost call may still
    be accepted. So the caller repeats the call until it gets another answer.
    """
    attempts = 0
    async with asyncio.timeout(limit_s):
        while True:
            answer = await call(balancer, 'Submit', message, limit_s)
            attempts += answer.attempts
            is_refused = answer.outcome.refused.reason == 'unavailable'
            is_undecided = answer.kind == 'unknown' or (
                is_refused and attempts > 1
            )
            if not is_undecided:
                return Answer(answer.outcome, attempts)
            await asyncio.sleep(RETRY_DELAY_S)


async def wait(
    balancer: Balancer, message: caller_pb2.SubmitCall, limit_s: float = 30.0
) -> Answer:
    """Waits for the final outcome of a request."""
    ask = caller_pb2.RequestCall(
        key=message.key,
        queue=message.request.queue,
        request_id=message.request.id,
        wait_ms=WAIT_CALL_MS,
    )
    answer = Answer(common_pb2.Outcome(), 0)
    try:
        async with asyncio.timeout(limit_s):
            while True:
                answer = await call(balancer, 'Wait', ask, limit_s)
                is_refusal = answer.kind == 'refused'
                if answer.kind in FINAL_OUTCOMES and not is_refusal:
                    return answer
                if (
                    is_refusal
                    and answer.outcome.refused.reason != 'unavailable'
                ):
                    return answer
                await asyncio.sleep(RETRY_DELAY_S)
    except TimeoutError:
        detail = f'{message.request.id}: last reply {answer.outcome}'
        raise AssertionError(
            f'no final outcome within {limit_s} s: {detail}'
        ) from None


async def run(
    balancer: Balancer, message: caller_pb2.SubmitCall, limit_s: float = 30.0
) -> Answer:
    """Submits a request and waits for its final outcome."""
    answer = await submit(balancer, message, limit_s)
    if answer.kind != 'accepted':
        return answer
    return await wait(balancer, message, limit_s)
