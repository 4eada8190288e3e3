"""Calls to the fleet partitions that this instance owns."""

from nutmegknot._internal.codec import values
from nutmegknot._internal.fleet import deadlines
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.instance import instances
from nutmegknot._internal.models import requests
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import signals


async def assign(
    inst: instances.Instance, call: peer_pb2.AssignCall, wait_ms: int
) -> peer_pb2.AssignReply:
    """Takes assignments of a ledger partition."""
    fleet = inst.fleets.get(call.partition)
    if fleet is None or fleet.closing or fleet.epoch != call.epoch:
        return peer_pb2.AssignReply(
            not_owner=peer_pb2.NotOwner(partition=call.partition)
        )
    position = (call.ledger_epoch, call.number)
    if position <= fleet.calls.get(call.ledger, (0, 0)):
        return peer_pb2.AssignReply(stale=peer_pb2.StaleCall())
    fleet.calls[call.ledger] = position
    given = [values.decode_assignment(one) for one in call.assignments]
    for one in given:
        jobs.take_assignment(fleet, one)
        deadlines.watch(fleet, one)
        if one.cancelled:
            jobs.withdraw(fleet, requests.get_key(one.req))
    if call.complete:
        _drop_unlisted(inst, call, {requests.get_key(o.req) for o in given})
        fleet.complete.add(call.ledger)
        fleet.has_orphans = True
    signals.notify(fleet.changed)
    return peer_pb2.AssignReply(assigned=peer_pb2.Assigned())


def _drop_unlisted(
    inst: instances.Instance, call: peer_pb2.AssignCall, listed: set[str]
) -> None:
    """Withdraws jobs that their ledger partition no longer has open."""
    fleet = inst.fleets[call.partition]
    for key, job in list(fleet.jobs.items()):
        if job.given.ledger == call.ledger and key not in listed:
            jobs.withdraw(fleet, key)


async def withdraw(
    inst: instances.Instance, call: peer_pb2.WithdrawCall, wait_ms: int
) -> peer_pb2.WithdrawReply:
    """Withdraws assignments of a ledger partition."""
    fleet = inst.fleets.get(call.partition)
    if fleet is None:
        return peer_pb2.WithdrawReply(
            not_owner=peer_pb2.NotOwner(partition=call.partition)
        )
    for key in call.request_keys:
        jobs.withdraw(fleet, key)
    return peer_pb2.WithdrawReply(withdrawn=peer_pb2.Assigned())
