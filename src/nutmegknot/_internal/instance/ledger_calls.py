"""Handles calls to the ledger partitions that this instance owns."""

from collections.abc import Awaitable
from collections.abc import Callable

import grpclib.const
import grpclib.exceptions

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import fleet_selection
from nutmegknot._internal.instance import instances
from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.schema import peer_pb2


def make_context(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> request_operations.Context:
    """Returns the clock, checks and settings that a ledger partition needs."""
    return request_operations.Context(
        clock=inst.clock,
        may_act=lambda: authority.may_act_for(inst, ledger.name, ledger.epoch),
        choose_fleet=lambda req, avoid: fleet_selection.choose_fleet(
            inst, req, avoid
        ),
        max_failed_attempts=inst.settings.fleet.attempts,
    )


def _make_not_owner_reply(partition: str) -> peer_pb2.LedgerReply:
    return peer_pb2.LedgerReply(
        not_owner=peer_pb2.NotOwner(partition=partition)
    )


def _make_reply(
    partition: str, outcome: outcomes.Outcome | journals.Fenced
) -> peer_pb2.LedgerReply:
    if isinstance(outcome, journals.Fenced):
        return _make_not_owner_reply(partition)
    return peer_pb2.LedgerReply(outcome=common_messages.encode_outcome(outcome))


async def submit(
    inst: instances.Instance, call: peer_pb2.LedgerSubmit, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Submits a request to a ledger partition owned here."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _make_not_owner_reply(call.partition)
    try:
        req = common_messages.decode_request(call.request)
    except ValueError as error:
        reason = outcomes.RefusalReason.BAD_REQUEST
        return _make_reply(ledger.name, outcomes.Refused(reason, str(error)))
    context = make_context(inst, ledger)
    outcome = await request_operations.submit(ledger, context, req, wait_ms)
    return _make_reply(ledger.name, outcome)


async def wait_for_outcome(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Waits for the outcome of a request in a ledger partition owned here."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _make_not_owner_reply(call.partition)
    wait_ms = min(wait_ms, call.wait_ms)
    outcome = await request_operations.wait_for_outcome(
        ledger, call.request_key, wait_ms
    )
    return _make_reply(ledger.name, outcome)


async def cancel(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Cancels a request in a ledger partition owned here."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _make_not_owner_reply(call.partition)
    context = make_context(inst, ledger)
    outcome = await request_operations.cancel(
        ledger, context, call.request_key, wait_ms
    )
    return _make_reply(ledger.name, outcome)


async def get_outcome(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Returns the present outcome of a request, without waiting."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _make_not_owner_reply(call.partition)
    return _make_reply(
        ledger.name, request_operations.get_outcome(ledger, call.request_key)
    )


REQUEST_HANDLERS: dict[
    str,
    Callable[
        [instances.Instance, peer_pb2.LedgerRequest, int],
        Awaitable[peer_pb2.LedgerReply],
    ],
] = {'Wait': wait_for_outcome, 'Cancel': cancel, 'Describe': get_outcome}


async def process_reports(
    inst: instances.Instance, call: peer_pb2.ReportCall, wait_ms: int
) -> peer_pb2.ReportReply:
    """Processes reports of a fleet partition; replies once they are durable."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is not None:
        try:
            reports = [report_codec.decode_report(one) for one in call.reports]
        except ValueError as error:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(error)
            ) from error
        context = make_context(inst, ledger)
        if await report_processing.process_reports(ledger, context, reports):
            return peer_pb2.ReportReply(durable=peer_pb2.Assigned())
    return peer_pb2.ReportReply(
        not_owner=peer_pb2.NotOwner(partition=call.partition)
    )


async def permit_starts(
    inst: instances.Instance, call: peer_pb2.BeginCall, wait_ms: int
) -> peer_pb2.BeginReply:
    """Grants permission for the first start of non-repeatable requests."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return peer_pb2.BeginReply(
            not_owner=peer_pb2.NotOwner(partition=call.partition)
        )
    context = make_context(inst, ledger)
    granted = peer_pb2.BeginGranted()
    for message in call.beginnings:
        start_request = start_permissions.StartRequest(
            message.request_key, message.attempt, call.fleet, call.fleet_epoch
        )
        if start_permissions.permit_start(ledger, context, start_request):
            granted.request_keys.append(message.request_key)
    return peer_pb2.BeginReply(granted=granted)
