"""State of a ledger partition and its rebuilding from records."""

import asyncio
import dataclasses

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import records
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals


@dataclasses.dataclass(slots=True)
class Entry:
    """An accepted request, or one whose acceptance is being written.

    Attributes:
      req: The request.
      fingerprint: Hash of what the caller said in it.
      accepted_ms: Wall clock instant of its acceptance in ms.
      fleet: Fleet partition that it is assigned to.
      fleet_epoch: Epoch of the fleet partition at the assignment.
      attempt: Number of the present attempt.
      workers: Workers of the members, once all run.
      cancelled: Whether the caller cancelled it.
      outcome: The final outcome, once durable.
      accepting: The write of its acceptance, until durable.
      ending: The write of its end or next attempt, until durable.
      ended: Set once there is a final outcome.
      ended_ms: Wall clock instant of the final outcome in ms.
    """

    req: requests.Request
    fingerprint: str
    accepted_ms: int
    fleet: str
    fleet_epoch: int
    attempt: int = 0
    workers: tuple[str, ...] = ()
    cancelled: bool = False
    outcome: outcomes.Final | None = None
    accepting: journals.Batch | None = None
    ending: journals.Batch | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended_ms: int = 0


@dataclasses.dataclass(slots=True)
class Ledger:
    """A ledger partition that this instance owns.

    Attributes:
      name: Name of the partition.
      epoch: Epoch of the ownership.
      journal: Its journal.
      entries: Requests by request key.
      unsent: By fleet partition, keys of entries to be sent to it.
      withdrawals: By fleet partition, keys of entries to be withdrawn there.
      changed: Notified when there is something to send.
    """

    name: str
    epoch: int
    journal: journals.Journal
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    unsent: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    withdrawals: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def apply_record(ledger: Ledger, record: records.Record) -> None:
    """Brings the entries to the state after a record."""
    step = record.step
    key = record.request_key
    if isinstance(step, records.Accept):
        ledger.entries[key] = Entry(
            req=step.req,
            fingerprint=hashing.compute_fingerprint(step.req),
            accepted_ms=record.at_ms,
            fleet=step.fleet,
            fleet_epoch=step.fleet_epoch,
        )
        return
    entry = ledger.entries.get(key)
    if entry is None:
        return
    match step:
        case records.Assign():
            entry.fleet = step.fleet
            entry.fleet_epoch = step.fleet_epoch
            entry.attempt = step.attempt
            entry.workers = ()
        case records.Start():
            entry.workers = step.workers
        case records.End():
            entry.outcome = step.outcome
            entry.ended_ms = record.at_ms
            entry.ended.set()
        case records.Cancel():
            entry.cancelled = True
        case records.Forget():
            del ledger.entries[key]


def list_open(ledger: Ledger, fleet: str) -> list[Entry]:
    """Returns the durable entries assigned to a fleet partition."""
    return [
        entry
        for entry in ledger.entries.values()
        if entry.fleet == fleet
        and entry.outcome is None
        and entry.accepting is None
    ]


def make_assignment(ledger: Ledger, entry: Entry) -> partitions.Assignment:
    """Returns the assignment of an entry in its present attempt."""
    return partitions.Assignment(
        req=entry.req,
        ledger=ledger.name,
        fleet=entry.fleet,
        fleet_epoch=entry.fleet_epoch,
        attempt=entry.attempt,
        accepted_ms=entry.accepted_ms,
    )


def queue_assignment(ledger: Ledger, entry: Entry) -> None:
    """Marks an entry to be sent to its fleet partition."""
    key = requests.get_key(entry.req)
    ledger.unsent.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.changed)


def queue_withdrawal(ledger: Ledger, entry: Entry) -> None:
    """Marks an entry to be withdrawn from its fleet partition."""
    key = requests.get_key(entry.req)
    ledger.withdrawals.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.changed)
