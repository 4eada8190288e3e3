"""Callers' calls: authorization, and forwarding to a ledger partition's owner.

Any instance takes any caller's call. The owner of the ledger partition that
keeps the request may be another instance.
"""

import grpclib.client

from nutmegknot._internal.codec import common_messages
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
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import hashing

MAX_REQUEST_ID_CHARS = 200
MAX_MEMBERS_PER_REQUEST = 10_000
# Reserved for the requests that the cell itself makes for service replicas.
SERVICE_ID_PREFIX = 'service/'


def find_team(
    config: cells.Configuration, queue_name: str, key_text: str
) -> str | outcomes.Refused:
    """Returns the team that a call acts for.

    Args:
      config: The configuration in force.
      queue_name: Queue of the request.
      key_text: The caller's key, 'ID.SECRET', or '' for a queue that takes
        requests without a key.

    Returns:
      Name of the team, or Refused if the queue is unknown or the key invalid.
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
    key = keys.find_valid_key(config.keys, key_text)
    return key.team if isinstance(key, cells.Key) else rejected


def authorize(
    inst: instances.Instance, queue_name: str, key_text: str
) -> str | outcomes.Refused | outcomes.Unknown:
    """Returns the team that a call acts for, if the instance may act now.

    An instance whose lease is not confirmed may have an outdated configuration.
    It returns Unknown and not Refused, because an earlier call with the same
    request may have been accepted.
    """
    team = find_team(inst.membership.view.configuration, queue_name, key_text)
    if not authority.may_act(inst):
        return outcomes.Unknown('authority is not confirmed')
    return team


def find_request_error(message: common_pb2.Request) -> str:
    """Returns why a caller's request is invalid, or '' if it is valid."""
    size = message.size
    amounts = (size.millicores, size.memory_mib, size.accelerators, size.slots)
    if not message.id or len(message.id) > MAX_REQUEST_ID_CHARS:
        return f'id must have 1 to {MAX_REQUEST_ID_CHARS} characters'
    if '#' in message.id:
        return "id must not contain '#'"
    if message.id.startswith(SERVICE_ID_PREFIX):
        return f"id must not begin with '{SERVICE_ID_PREFIX}'"
    if message.members > MAX_MEMBERS_PER_REQUEST:
        return f'members must be at most {MAX_MEMBERS_PER_REQUEST}'
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
    """Submits a caller's request to the owner of its ledger partition.

    Refused is returned only if the request was certainly not accepted.
    """
    outcome = await _submit(inst, call, wait_ms)
    if outcome.HasField('refused'):
        instruments.increment(inst.metrics.refusals, outcome.refused.reason)
    return outcome


async def _submit(
    inst: instances.Instance, call: caller_pb2.SubmitCall, wait_ms: int
) -> common_pb2.Outcome:
    request_error = find_request_error(call.request)
    if request_error:
        return common_messages.encode_outcome(
            outcomes.Refused(outcomes.RefusalReason.BAD_REQUEST, request_error)
        )
    team = authorize(inst, call.request.queue, call.key)
    if not isinstance(team, str):
        return common_messages.encode_outcome(team)
    call.request.team = team
    request_key = f'{team}/{call.request.id}'
    partition = _choose_ledger(inst, request_key)
    ledger_call = peer_pb2.LedgerSubmit(
        partition=partition, request=call.request
    )

    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        return await forwarding.handle_submit(inst, ledger_call, left_ms)

    async def call_remote(
        channel: grpclib.client.Channel, left_ms: int
    ) -> peer_pb2.LedgerReply:
        stub = peer_grpc.LedgerStub(channel)
        return await stub.Submit(ledger_call, timeout=clock.to_seconds(left_ms))

    return _get_outcome(
        await forwarding.call_ledger_owner(
            inst, partition, request_key, wait_ms, call_local, call_remote
        )
    )


async def forward_call(
    inst: instances.Instance,
    method: str,
    call: caller_pb2.RequestCall,
    wait_ms: int,
) -> common_pb2.Outcome:
    """Forwards a call about a request to the owner of its ledger partition.

    Args:
      inst: The instance.
      method: 'Wait', 'Cancel' or 'Describe'.
      call: The caller's call.
      wait_ms: Time left in ms to answer it.
    """
    team = authorize(inst, call.queue, call.key)
    if not isinstance(team, str):
        return common_messages.encode_outcome(team)
    request_key = f'{team}/{call.request_id}'

    async def call_owner(
        long_poll_ms: int,
    ) -> outcomes.Outcome | peer_pb2.LedgerReply:
        return await _call_ledger_owner(
            inst, method, request_key, long_poll_ms, wait_ms
        )

    long_poll_ms = min(call.wait_ms, wait_ms) if method == 'Wait' else 0
    reply = await forwarding.long_poll(inst, call_owner, long_poll_ms)
    return _get_outcome(reply)


async def _call_ledger_owner(
    inst: instances.Instance,
    method: str,
    request_key: str,
    long_poll_ms: int,
    wait_ms: int,
) -> outcomes.Outcome | peer_pb2.LedgerReply:
    partition = _choose_ledger(inst, request_key)
    ledger_call = peer_pb2.LedgerRequest(
        partition=partition, request_key=request_key, wait_ms=long_poll_ms
    )

    async def call_local(left_ms: int) -> peer_pb2.LedgerReply:
        handle = ledger_calls.REQUEST_HANDLERS[method]
        return await forwarding.handle_request_call(
            inst, handle, ledger_call, left_ms
        )

    async def call_remote(
        channel: grpclib.client.Channel, left_ms: int
    ) -> peer_pb2.LedgerReply:
        stub_call = getattr(peer_grpc.LedgerStub(channel), method)
        return await stub_call(ledger_call, timeout=clock.to_seconds(left_ms))

    return await forwarding.call_ledger_owner(
        inst, partition, request_key, wait_ms, call_local, call_remote
    )


def _choose_ledger(inst: instances.Instance, request_key: str) -> str:
    count = inst.settings.cell.ledger_partitions
    return hashing.choose_ledger(request_key, count)


def _get_outcome(
    reply: outcomes.Outcome | peer_pb2.LedgerReply,
) -> common_pb2.Outcome:
    if isinstance(reply, peer_pb2.LedgerReply):
        return reply.outcome
    return common_messages.encode_outcome(reply)
