"""Conversion between journal records and their schema messages."""

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.schema import journal_pb2


def encode_record(record: records.Record) -> journal_pb2.Record:
    """Returns the message of a journal record."""
    message = journal_pb2.Record(
        request_key=record.request_key, at_ms=record.at_ms
    )
    match record.event:
        case records.Accept(req, fleet, fleet_epoch):
            message.accept.request.CopyFrom(common_messages.encode_request(req))
            message.accept.fleet = fleet
            message.accept.fleet_epoch = fleet_epoch
        case records.Assign(fleet, fleet_epoch, attempt, reason, started):
            message.assign.fleet = fleet
            message.assign.fleet_epoch = fleet_epoch
            message.assign.attempt = attempt
            message.assign.reason = reason
            message.assign.started = started
        case records.Start(attempt, workers):
            message.start.attempt = attempt
            message.start.workers.extend(workers)
        case records.End(outcome):
            message.end.outcome.CopyFrom(
                common_messages.encode_outcome(outcome)
            )
        case records.Cancel():
            message.cancel.SetInParent()
        case records.Forget():
            message.forget.SetInParent()
    return message


def decode_record(message: journal_pb2.Record) -> records.Record:
    """Returns the journal record that a message contains.

    Raises:
      ValueError: If the message contains no known event, an event with an
        unknown value, or an end without a final outcome.
    """
    return records.Record(
        message.request_key, message.at_ms, _decode_event(message)
    )


def _decode_event(message: journal_pb2.Record) -> records.RequestEvent:
    match message.WhichOneof('kind'):
        case 'accept':
            accept = message.accept
            req = common_messages.decode_request(accept.request)
            return records.Accept(req, accept.fleet, accept.fleet_epoch)
        case 'assign':
            assign = message.assign
            return records.Assign(
                assign.fleet,
                assign.fleet_epoch,
                assign.attempt,
                assign.reason,
                assign.started,
            )
        case 'start':
            return records.Start(
                message.start.attempt, tuple(message.start.workers)
            )
        case 'end':
            outcome = common_messages.decode_outcome(message.end.outcome)
            if not isinstance(outcome, outcomes.FinalOutcome):
                raise ValueError('an end record holds no final outcome')
            return records.End(outcome)
        case 'cancel':
            return records.Cancel()
        case 'forget':
            return records.Forget()
        case _:
            raise ValueError('the record holds no known step')
