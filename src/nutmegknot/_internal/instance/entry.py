"""Entry of calls: authorization and forwarding to the ledger's owner."""

import grpclib.client

from nutmegknot._internal.codec import values
from nutmegknot._internal.configuration import keys
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import forwarding
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import peer_grpc
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import hashing

MAX_ID_CHARS = 200
MAX_MEMBERS = 10_000
# Replicas of services have identifiers that begin with this.
SERVICE_PREFIX = 'service/'


def find_team(
    config: cells.Configuration, queue_name: str, key_text: str
) -> str | outcomes.Refused:
    """Returns the team that a call acts for.

    Args:
      config: The configuration in force.
      queue_name: Queue of the request.
      key_text: The caller's key, 'ID.SECRET', or '' for open queues.
    """
    queue = config.queues.get(queue_name)
    if queue is None:
        return outcomes.Refused(
            outcomes.RefusalReason.UNKNOWN_QUEUE, f'no queue {queue_name!r}'
        )
    if queue.open_team and not key_text:
        return queue.open_team
    rejected = outcomes.Refused(
        outcomes.RefusalReason.KEY_REJECTED, 'the key is unknown or withdrawn'
    )
    key = keys.find_holder(config.keys, key_text)
    return key.team if isinstance(key, cells.Key) else rejected


def authorize(
    inst: instances.Instance, queue_name: str, key_text: str
) -> str | outcomes.Refused | outcomes.Unknown:
    """Returns the team that a call acts for, if that is certain right now.

    Without confirmed authority the answer is Unknown and not a refusal, as an
    earlier copy of the request may have been accepted.
    """
    team = find_team(inst.membership.view.configuration, queue_name, key_text)
    if not authority.may_act(inst):
        return outcomes.Unknown('authority is not confirmed')
    return team


def check_request(message: common_pb2.Request) -> str:
    """Returns what is wrong with a caller's request, or ''."""
    size = message.size
    amounts = (size.millicores, size.memory_mib, size.accelerators, size.slots)
    if not message.id or len(message.id) > MAX_ID_CHARS:
        return f'id must have 1 to {MAX_ID_CHARS} characters'
    if '#' in message.id:
        return "id must not contain '#'"
    if message.id.startswith(SERVICE_PREFIX):
        return f"id must not begin with '{SERVICE_PREFIX}'"
    if message.members > MAX_MEMBERS:
        return f'members must be at most {MAX_MEMBERS}'
    if min(amounts) < 0 or size.slots < 1:
        return 'amounts must not be negative and slots must be 1 or more'
    if message.priority not in list(requests.PriorityClass):
        return 'priority is unknown'
    if message.service:
        return 'service must be empty'
    return ''


async def submit(
    inst: instances.Instance, call: caller_pb2.SubmitCall, wait_ms: int
) -> common_pb2.Outcome:
    """Accepts a caller's request, or refuses it truthfully."""
    outcome = await _submit(inst, call, wait_ms)
    if outcome.HasField('refused'):
        counters.count(inst.metrics.refusals, outcome.refused.reason)
    return outcome


async def _submit(
    inst: instances.Instance, call: caller_pb2.SubmitCall, wait_ms: int
) -> common_pb2.Outcome:
    wrong = check_request(call.request)
    if wrong:
        return values.encode_outcome(
            outcomes.Refused(outcomes.RefusalReason.BAD_REQUEST, wrong)
        )
    team = authorize(inst, call.request.queue, call.key)
    if not isinstance(team, str):
        return values.encode_outcome(team)
    call.request.team = team
    request_key = f'{team}/{call.request.id}'
    partition = _choose_ledger(inst, request_key)
    forward = peer_pb2.LedgerSubmit(partition=partition, request=call.request)

    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        return await forwarding.answer_submit(inst, forward, left_ms)

    async def call_remote(
        channel: grpclib.client.Channel, left_ms: int
    ) -> peer_pb2.LedgerReply:
        stub = peer_grpc.LedgerStub(channel)
        return await stub.Submit(forward, timeout=clock_lib.to_seconds(left_ms))

    return _read_reply(
        await forwarding.call_ledger(
            inst, partition, request_key, wait_ms, call_local, call_remote
        )
    )


async def ask(
    inst: instances.Instance,
    method: str,
    call: caller_pb2.RequestCall,
    wait_ms: int,
) -> common_pb2.Outcome:
    """Forwards 'Wait', 'Cancel' or 'Describe' to the ledger's owner."""
    team = authorize(inst, call.queue, call.key)
    if not isinstance(team, str):
        return values.encode_outcome(team)
    request_key = f'{team}/{call.request_id}'

    async def ask_owner(
        held_ms: int,
    ) -> outcomes.Outcome | peer_pb2.LedgerReply:
        return await _ask_owner(inst, method, request_key, held_ms, wait_ms)

    held_ms = min(call.wait_ms, wait_ms) if method == 'Wait' else 0
    reply = await forwarding.ask_until_stop(inst, ask_owner, held_ms)
    return _read_reply(reply)


async def _ask_owner(
    inst: instances.Instance,
    method: str,
    request_key: str,
    held_ms: int,
    wait_ms: int,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    partition = _choose_ledger(inst, request_key)
    forward = peer_pb2.LedgerRequest(
        partition=partition, request_key=request_key, wait_ms=held_ms
    )

    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        handle = ledger_calls.CALLS[method]
        return await forwarding.answer_ledger(inst, handle, forward, left_ms)

    async def call_remote(
        channel: grpclib.client.Channel, left_ms: int
    ) -> peer_pb2.LedgerReply:
        stub_call = getattr(peer_grpc.LedgerStub(channel), method)
        return await stub_call(forward, timeout=clock_lib.to_seconds(left_ms))

    return await forwarding.call_ledger(
        inst, partition, request_key, wait_ms, call_local, call_remote
    )


def _choose_ledger(inst: instances.Instance, request_key: str) -> str:
    count = inst.settings.cell.ledger_partitions
    return hashing.choose_ledger(request_key, count)


def _read_reply(
    reply: outcomes.Outcome | peer_pb2.LedgerReply,
) -> common_pb2.Outcome:
    if isinstance(reply, peer_pb2.LedgerReply):
        return reply.outcome
    return values.encode_outcome(reply)
