"""Calls to the ledger partitions that this instance owns."""

from collections.abc import Awaitable
from collections.abc import Callable

from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.codec import values
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import routing
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.schema import peer_pb2


def make_context(
    inst: instances.Instance, ledger: ledgers.Ledger
) -> accepting.Context:
    """Returns what a ledger partition works with."""
    return accepting.Context(
        clock=inst.clock,
        may_act=lambda: authority.may_act_for(inst, ledger.name, ledger.epoch),
        choose_fleet=lambda req, avoid: routing.choose_fleet(inst, req, avoid),
    )


def _refuse_foreign(partition: str) -> peer_pb2.LedgerReply:
    return peer_pb2.LedgerReply(
        not_owner=peer_pb2.NotOwner(partition=partition)
    )


def _reply(outcome: outcomes.Outcome) -> peer_pb2.LedgerReply:
    return peer_pb2.LedgerReply(outcome=values.encode_outcome(outcome))


async def submit(
    inst: instances.Instance, call: peer_pb2.LedgerSubmit, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Submits a request to an owned ledger partition."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _refuse_foreign(call.partition)
    req = values.decode_request(call.request)
    context = make_context(inst, ledger)
    return _reply(await accepting.submit(ledger, context, req, wait_ms))


async def wait(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Waits for the outcome of a request."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _refuse_foreign(call.partition)
    wait_ms = min(wait_ms, call.wait_ms)
    return _reply(await accepting.wait(ledger, call.request_key, wait_ms))


async def cancel(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Cancels a request."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _refuse_foreign(call.partition)
    context = make_context(inst, ledger)
    return _reply(await accepting.cancel(ledger, context, call.request_key))


async def describe(
    inst: instances.Instance, call: peer_pb2.LedgerRequest, wait_ms: int
) -> peer_pb2.LedgerReply:
    """Describes a request."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is None:
        return _refuse_foreign(call.partition)
    return _reply(accepting.describe(ledger, call.request_key))


CALLS: dict[
    str,
    Callable[
        [instances.Instance, peer_pb2.LedgerRequest, int],
        Awaitable[peer_pb2.LedgerReply],
    ],
] = {'Wait': wait, 'Cancel': cancel, 'Describe': describe}


async def report(
    inst: instances.Instance, call: peer_pb2.ReportCall, wait_ms: int
) -> peer_pb2.ReportReply:
    """Takes reports of a fleet partition; answers once they are durable."""
    ledger = inst.ledgers.get(call.partition)
    if ledger is not None:
        given = [report_codec.decode_report(one) for one in call.reports]
        context = make_context(inst, ledger)
        if await reporting.take_reports(ledger, context, given):
            return peer_pb2.ReportReply(durable=peer_pb2.Assigned())
    return peer_pb2.ReportReply(
        not_owner=peer_pb2.NotOwner(partition=call.partition)
    )
