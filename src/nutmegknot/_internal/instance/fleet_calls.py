"""Handles calls to the fleet partitions that this instance owns."""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import deadlines
from nutmegknot._internal.instance import instances
from nutmegknot._internal.models import requests
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import signals


async def assign(
    inst: instances.Instance, call: peer_pb2.AssignCall, wait_ms: int
) -> peer_pb2.AssignReply:
    """Takes assignments of a ledger partition.

    Calls of one ledger partition that arrive out of order are rejected, so that
    an older call can't undo a newer one.
    """
    fleet = inst.fleets.get(call.partition)
    if fleet is None or fleet.closing or fleet.epoch != call.epoch:
        return peer_pb2.AssignReply(
            not_owner=peer_pb2.NotOwner(partition=call.partition)
        )
    position = (call.ledger_epoch, call.number)
    if position <= fleet.last_calls.get(call.ledger, (0, 0)):
        return peer_pb2.AssignReply(stale=peer_pb2.StaleCall())
    fleet.last_calls[call.ledger] = position
    assignments = [
        common_messages.decode_assignment(message)
        for message in call.assignments
    ]
    for assignment in assignments:
        assigned_requests.add_assignment(fleet, assignment)
        deadlines.add_deadline(fleet, assignment)
        if assignment.cancelled:
            assigned_requests.withdraw(fleet, requests.get_key(assignment.req))
    if call.complete:
        _withdraw_unlisted(
            inst, call, {requests.get_key(item.req) for item in assignments}
        )
        fleet.complete_ledgers.add(call.ledger)
        fleet.has_orphans = True
    signals.notify(fleet.scheduling_needed)
    return peer_pb2.AssignReply(assigned=peer_pb2.Assigned())


def _withdraw_unlisted(
    inst: instances.Instance, call: peer_pb2.AssignCall, listed_keys: set[str]
) -> None:
    """Withdraws requests that their ledger partition did not list as open."""
    fleet = inst.fleets[call.partition]
    for key, request in list(fleet.requests.items()):
        if request.assignment.ledger == call.ledger and key not in listed_keys:
            assigned_requests.withdraw(fleet, key)


async def withdraw(
    inst: instances.Instance, call: peer_pb2.WithdrawCall, wait_ms: int
) -> peer_pb2.WithdrawReply:
    """Withdraws requests that a ledger partition had assigned."""
    fleet = inst.fleets.get(call.partition)
    if fleet is None:
        return peer_pb2.WithdrawReply(
            not_owner=peer_pb2.NotOwner(partition=call.partition)
        )
    for key in call.request_keys:
        assigned_requests.withdraw(fleet, key)
    return peer_pb2.WithdrawReply(withdrawn=peer_pb2.Assigned())
