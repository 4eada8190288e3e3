"""Conversion of the messages that other messages contain.

These are amounts of resources, requests, outcomes and assignments.
"""

from collections.abc import Callable

from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import common_pb2
from nutmegknot._internal.schema import peer_pb2

SCHEMA_PRIORITIES = {
    requests.PriorityClass.URGENT: common_pb2.PRIORITY_CLASS_URGENT,
    requests.PriorityClass.NORMAL: common_pb2.PRIORITY_CLASS_NORMAL,
    requests.PriorityClass.BEST_EFFORT: common_pb2.PRIORITY_CLASS_BEST_EFFORT,
}


def encode_resources(amount: resources.Resources) -> common_pb2.Resources:
    """Returns the message of an amount of resources."""
    return common_pb2.Resources(
        millicores=amount.millicores,
        memory_mib=amount.memory_mib,
        accelerators=amount.accelerators,
        slots=amount.slots,
    )


def decode_resources(message: common_pb2.Resources) -> resources.Resources:
    """Returns the amount of resources that a message contains."""
    return resources.Resources(
        message.millicores,
        message.memory_mib,
        message.accelerators,
        message.slots,
    )


def encode_request(req: requests.Request) -> common_pb2.Request:
    """Returns the message of a request."""
    return common_pb2.Request(
        id=req.id,
        team=req.team,
        queue=req.queue,
        size=encode_resources(req.size),
        members=req.members,
        priority=SCHEMA_PRIORITIES[req.priority],
        repeatable=req.repeatable,
        deadline_ms=req.deadline_ms,
        run_ms=req.run_ms,
        payload=req.payload,
        service=req.service,
    )


def decode_request(message: common_pb2.Request) -> requests.Request:
    """Returns the request that a message contains.

    Raises:
      ValueError: If the priority class is unknown.
    """
    return requests.Request(
        id=message.id,
        team=message.team,
        queue=message.queue,
        size=decode_resources(message.size),
        members=message.members or 1,
        priority=requests.PriorityClass(message.priority),
        repeatable=message.repeatable,
        deadline_ms=message.deadline_ms,
        run_ms=message.run_ms,
        payload=message.payload,
        service=message.service,
    )


def encode_outcome(outcome: outcomes.Outcome) -> common_pb2.Outcome:
    """Returns the message of an outcome."""
    pb = common_pb2
    match outcome:
        case outcomes.Accepted(key):
            return pb.Outcome(accepted=pb.Accepted(request_key=key))
        case outcomes.Refused(reason, detail, retry_after_ms):
            refused = pb.Refused(
                reason=reason.value,
                detail=detail,
                retry_after_ms=retry_after_ms,
            )
            return pb.Outcome(refused=refused)
        case outcomes.Conflict(key):
            return pb.Outcome(conflict=pb.Conflict(request_key=key))
        case outcomes.Pending(state):
            return pb.Outcome(pending=pb.Pending(state=state))
        case outcomes.NotFound(key):
            return pb.Outcome(not_found=pb.NotFound(request_key=key))
        case outcomes.Unknown(detail):
            return pb.Outcome(unknown=pb.Unknown(detail=detail))
        case _:
            return _encode_final(outcome)


def _encode_final(outcome: outcomes.FinalOutcome) -> common_pb2.Outcome:
    pb = common_pb2
    match outcome:
        case outcomes.Finished(answers):
            return pb.Outcome(finished=pb.Finished(answers=answers))
        case outcomes.Failed(reason, detail, started):
            failed = pb.Failed(
                reason=reason.value, detail=detail, started=started
            )
            return pb.Outcome(failed=failed)
        case outcomes.Cancelled(started):
            return pb.Outcome(cancelled=pb.Cancelled(started=started))
        case outcomes.MayHaveRun(detail):
            return pb.Outcome(may_have_run=pb.MayHaveRun(detail=detail))


def decode_outcome(message: common_pb2.Outcome) -> outcomes.Outcome:
    """Returns the outcome that a message contains.

    Raises:
      ValueError: If the message contains no known outcome, or an unknown
        reason of a refusal or failure.
    """
    decode = _DECODERS.get(message.WhichOneof('kind') or '')
    if decode is None:
        raise ValueError('message holds no known outcome')
    return decode(message)


_DECODERS: dict[str, Callable[[common_pb2.Outcome], outcomes.Outcome]] = {
    'accepted': lambda m: outcomes.Accepted(m.accepted.request_key),
    'refused': lambda m: outcomes.Refused(
        outcomes.RefusalReason(m.refused.reason),
        m.refused.detail,
        m.refused.retry_after_ms,
    ),
    'conflict': lambda m: outcomes.Conflict(m.conflict.request_key),
    'finished': lambda m: outcomes.Finished(tuple(m.finished.answers)),
    'failed': lambda m: outcomes.Failed(
        outcomes.FailureReason(m.failed.reason),
        m.failed.detail,
        m.failed.started,
    ),
    'cancelled': lambda m: outcomes.Cancelled(m.cancelled.started),
    'may_have_run': lambda m: outcomes.MayHaveRun(m.may_have_run.detail),
    'pending': lambda m: outcomes.Pending(m.pending.state),
    'not_found': lambda m: outcomes.NotFound(m.not_found.request_key),
    'unknown': lambda m: outcomes.Unknown(m.unknown.detail),
}


def encode_assignment(
    assignment: partitions.Assignment,
) -> peer_pb2.Assignment:
    """Returns the message of an assignment."""
    return peer_pb2.Assignment(
        request=encode_request(assignment.req),
        ledger=assignment.ledger,
        fleet=assignment.fleet,
        fleet_epoch=assignment.fleet_epoch,
        attempt=assignment.attempt,
        accepted_ms=assignment.accepted_ms,
        cancelled=assignment.cancelled,
    )


def decode_assignment(message: peer_pb2.Assignment) -> partitions.Assignment:
    """Returns the assignment that a message contains.

    Raises:
      ValueError: If the priority class of the request is unknown.
    """
    return partitions.Assignment(
        req=decode_request(message.request),
        ledger=message.ledger,
        fleet=message.fleet,
        fleet_epoch=message.fleet_epoch,
        attempt=message.attempt,
        accepted_ms=message.accepted_ms,
        cancelled=message.cancelled,
    )
