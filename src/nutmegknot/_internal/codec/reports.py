"""Conversion between reports of fleet partitions and schema messages.

A report tells a ledger partition what became of an assigned request.
"""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import peer_pb2


def encode_report(report: reports.Report) -> peer_pb2.Report:
    """Returns the message of a report."""
    message = peer_pb2.Report(
        request_key=report.request_key,
        attempt=report.attempt,
        fleet=report.fleet,
        fleet_epoch=report.fleet_epoch,
    )
    match report.update:
        case reports.Running(workers):
            message.started.workers.extend(workers)
        case reports.Ended(outcome):
            message.ended.outcome.CopyFrom(
                common_messages.encode_outcome(outcome)
            )
        case reports.Returned(reason, detail, may_have_run, checkpoint):
            message.returned.reason = reason
            message.returned.detail = detail
            message.returned.may_have_run = may_have_run
            message.returned.checkpoint = checkpoint
    return message


def decode_report(message: peer_pb2.Report) -> reports.Report:
    """Returns the report that a message contains.

    Raises:
      ValueError: If the message contains no known update, an update with an
        unknown value, or an end without a final outcome.
    """
    return reports.Report(
        message.request_key,
        message.attempt,
        message.fleet,
        message.fleet_epoch,
        _decode_update(message),
    )


def _decode_update(
    message: peer_pb2.Report,
) -> reports.Running | reports.Ended | reports.Returned:
    match message.WhichOneof('kind'):
        case 'started':
            return reports.Running(tuple(message.started.workers))
        case 'ended':
            outcome = common_messages.decode_outcome(message.ended.outcome)
            if not isinstance(outcome, outcomes.FinalOutcome):
                raise ValueError('an ended report contains no final outcome')
            return reports.Ended(outcome)
        case 'returned':
            returned = message.returned
            return reports.Returned(
                returned.reason,
                returned.detail,
                returned.may_have_run,
                returned.checkpoint,
            )
        case _:
            raise ValueError('the report contains no known update')
