"""Permission to start attempts of requests that are not repeatable.

Such a request must not run twice. Before the owner of a fleet partition starts
an attempt of it, it needs the permission of the owner of the ledger partition.
"""

import dataclasses

from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records


@dataclasses.dataclass(slots=True, frozen=True)
class StartRequest:
    """Request of a fleet partition's owner for permission to start an attempt.

    Attributes:
      request_key: Key of the request that the attempt belongs to.
      attempt: Number of the attempt.
      fleet: Name of the fleet partition.
      fleet_epoch: Epoch under which its owner asks.
    """

    request_key: str
    attempt: int
    fleet: str
    fleet_epoch: int


def permit_start(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    start_request: StartRequest,
) -> bool:
    """Decides whether an attempt may start; keeps a permission in memory.

    The owner of the fleet partition may ask again under the same epoch and then
    gets the permission again: it starts the attempt only once.
    """
    entry = ledger.entries.get(start_request.request_key)
    if entry is None or not context.may_act():
        return False
    if entry.outcome is not None or entry.ending is not None:
        return False
    if entry.cancelled or entry.cancelling is not None:
        return False
    if start_request.fleet_epoch < ledger.fleet_epochs.get(
        start_request.fleet, 0
    ):
        return False
    is_current = (
        start_request.attempt == entry.attempt
        and start_request.fleet == entry.fleet
        and start_request.fleet_epoch == entry.fleet_epoch
    )
    if is_current:
        entry.start_permitted = True
    return is_current


def must_reassign(
    context: request_operations.Context, entry: ledgers.Entry, fleet_epoch: int
) -> bool:
    """Tells whether an attempt must be replaced by one under a new epoch.

    That is so if the request is not repeatable, the attempt was certainly never
    started, and its fleet partition has a new owner. Permission to start is
    given only under the epoch of the assignment, so that the new owner could
    not get it.

    Args:
      context: Dependencies and settings.
      entry: An entry without an outcome.
      fleet_epoch: Current epoch of its fleet partition.
    """
    return (
        not entry.req.repeatable
        and not entry.start_permitted
        and not entry.started
        and entry.fleet_epoch < fleet_epoch
    )


def reassign(
    ledger: ledgers.Ledger,
    context: request_operations.Context,
    entry: ledgers.Entry,
) -> None:
    """Ends an attempt that was never started, and assigns the request again.

    A cancelled request ends instead.
    """
    if entry.ending is not None:
        return
    if entry.cancelled:
        end = records.End(outcomes.Cancelled(started=False))
        report_processing.append_event(ledger, context, entry, end)
        return
    choice = context.choose_fleet(entry.req, frozenset())
    if isinstance(choice, outcomes.Refused):
        choice = request_operations.FleetChoice(
            entry.fleet, ledger.fleet_epochs[entry.fleet]
        )
    event = records.Assign(
        choice.fleet, choice.epoch, entry.attempt + 1, 'moved'
    )
    report_processing.append_event(ledger, context, entry, event)
