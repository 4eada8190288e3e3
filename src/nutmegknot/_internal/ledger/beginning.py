"""Permission for the first start of what is not repeatable."""

import dataclasses

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records


@dataclasses.dataclass(slots=True, frozen=True)
class Beginning:
    """An attempt that the owner of a fleet partition wants to start.

    Attributes:
      request_key: The request.
      attempt: The attempt.
      fleet: The fleet partition.
      fleet_epoch: Epoch of its owner.
    """

    request_key: str
    attempt: int
    fleet: str
    fleet_epoch: int


def begin(
    ledger: ledgers.Ledger, context: accepting.Context, asked: Beginning
) -> bool:
    """Grants the first start of an attempt, and remembers it in memory.

    Asking again under the same fleet epoch grants it again; its owner sends the
    start once.
    """
    entry = ledger.entries.get(asked.request_key)
    if entry is None or not context.may_act():
        return False
    if entry.outcome is not None or entry.ending is not None:
        return False
    if entry.cancelled or entry.cancelling is not None:
        return False
    if asked.fleet_epoch < ledger.fleet_epochs.get(asked.fleet, 0):
        return False
    is_present = (
        asked.attempt == entry.attempt
        and asked.fleet == entry.fleet
        and asked.fleet_epoch == entry.fleet_epoch
    )
    if is_present:
        entry.begun = True
    return is_present


def must_move(
    context: accepting.Context, entry: ledgers.Entry, fleet_epoch: int
) -> bool:
    """Tells whether an attempt that surely never began needs a new epoch.

    Args:
      context: What the ledger works with.
      entry: An open entry.
      fleet_epoch: Present epoch of its fleet partition.
    """
    return (
        not entry.req.repeatable
        and not entry.begun
        and not entry.started
        and entry.fleet_epoch < fleet_epoch
    )


def move(
    ledger: ledgers.Ledger, context: accepting.Context, entry: ledgers.Entry
) -> None:
    """Ends an attempt that never began, and assigns the request anew."""
    if entry.ending is not None:
        return
    if entry.cancelled:
        end = records.End(outcomes.Cancelled(started=False))
        reporting.append_step(ledger, context, entry, end)
        return
    choice = context.choose_fleet(entry.req, frozenset())
    if isinstance(choice, outcomes.Refused):
        choice = accepting.Choice(entry.fleet, ledger.fleet_epochs[entry.fleet])
    step = records.Assign(
        choice.fleet, choice.epoch, entry.attempt + 1, 'moved'
    )
    reporting.append_step(ledger, context, entry, step)
