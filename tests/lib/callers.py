"""Callers behind a balancer that picks an instance for each call."""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from google.protobuf import message as message_lib

from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2

ATTEMPT_S = 3.0
RETRY_S = 0.05
WAIT_MS = 2_000
FINAL = frozenset(
    {'refused', 'conflict', 'finished', 'failed', 'cancelled', 'may_have_run'}
)


@dataclasses.dataclass(slots=True)
class Balancer:
    """Picks instances in turn.

    Attributes:
      list_addresses: Returns the addresses of the instances in service.
      opened: Connections by address.
      turn: Number of calls so far.
    """

    list_addresses: Callable[[], list[str]]
    opened: dict[str, clients.Client] = dataclasses.field(default_factory=dict)
    turn: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got.

    Attributes:
      outcome: The last outcome.
      attempts: Calls that it took; above 1 if a connection was lost.
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
    balancer.turn += 1
    return connect(balancer, addresses[balancer.turn % len(addresses)])


def connect(balancer: Balancer, address: str) -> clients.Client:
    """Returns the connection to an instance."""
    if address not in balancer.opened:
        balancer.opened[address] = clients.connect(address)
    return balancer.opened[address]


def close(balancer: Balancer) -> None:
    """Closes all connections."""
    for client in balancer.opened.values():
        clients.close(client)
    balancer.opened.clear()


async def call(
    balancer: Balancer,
    method: str,
    message: message_lib.Message,
    limit_s: float = 30.0,
) -> Answer:
    """Makes a call of the caller interface, elsewhere if an instance fails.

    Raises:
      TimeoutError: If no instance answers within limit_s.
    """
    attempts = 0
    async with asyncio.timeout(limit_s):
        while True:
            attempts += 1
            stub = getattr(pick(balancer).caller, method)
            timeout_s = min(ATTEMPT_S, limit_s)
            try:
                return Answer(await stub(message, timeout=timeout_s), attempts)
            except clients.CALL_ERRORS:
                await asyncio.sleep(RETRY_S)


def make_submit(
    request_id: str,
    key: str,
    payload: dict | None = None,
    **fields: object,
) -> caller_pb2.SubmitCall:
    """Returns a submission of a small task; fields replace its own."""
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
    """Submits a request, again with the same id while its fate is unknown.

    Once a call has been lost, a refusal of a later one speaks for that later
    call alone, so the caller goes on until it learns what became of the id.
    """
    attempts = 0
    async with asyncio.timeout(limit_s):
        while True:
            answer = await call(balancer, 'Submit', message, limit_s)
            attempts += answer.attempts
            is_refused = answer.outcome.refused.reason == 'unavailable'
            is_open = answer.kind == 'unknown' or (is_refused and attempts > 1)
            if not is_open:
                return Answer(answer.outcome, attempts)
            await asyncio.sleep(RETRY_S)


async def wait(
    balancer: Balancer, message: caller_pb2.SubmitCall, limit_s: float = 30.0
) -> Answer:
    """Waits for the final outcome of a request."""
    ask = caller_pb2.RequestCall(
        key=message.key,
        queue=message.request.queue,
        request_id=message.request.id,
        wait_ms=WAIT_MS,
    )
    answer = Answer(common_pb2.Outcome(), 0)
    try:
        async with asyncio.timeout(limit_s):
            while True:
                answer = await call(balancer, 'Wait', ask, limit_s)
                is_refusal = answer.kind == 'refused'
                if answer.kind in FINAL and not is_refusal:
                    return answer
                if (
                    is_refusal
                    and answer.outcome.refused.reason != 'unavailable'
                ):
                    return answer
                await asyncio.sleep(RETRY_S)
    except TimeoutError:
        detail = f'{message.request.id}: last {answer.outcome}'
        raise AssertionError(f'not within {limit_s} s: {detail}') from None


async def run(
    balancer: Balancer, message: caller_pb2.SubmitCall, limit_s: float = 30.0
) -> Answer:
    """Submits a request and waits for its final outcome."""
    answer = await submit(balancer, message, limit_s)
    if answer.kind != 'accepted':
        return answer
    return await wait(balancer, message, limit_s)
