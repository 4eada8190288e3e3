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

# Reason for which a fleet partition gives back an attempt whose task failed.
FAILED = 'failed'
# Reason for which one gives back what fits none of its workers.
REJECTED = 'rejected'


@dataclasses.dataclass(slots=True)
class Entry:
    """An accepted request.

    Attributes:
      req: The request.
      fingerprint: Hash of what the caller said in it.
      accepted_ms: Wall clock instant of its acceptance in ms.
      fleet: Fleet partition that it is assigned to.
      fleet_epoch: Epoch of the fleet partition at the assignment.
      attempt: Number of the present attempt.
      reason: Why the attempt before it is over, or ''.
      workers: Workers of the members, once all run.
      started: Whether any attempt may have run.
      failures: Attempts that ended with a failed task.
      rejected: Fleet partitions none of whose workers it fits.
      begun: Whether the present attempt, if the request is not repeatable, may
        have been allowed to start. Kept in memory only.
      cancelled: Whether the caller cancelled it.
      outcome: The final outcome, once durable.
      starting: The write of its start, until durable.
      ending: The write of its end or next attempt, until durable.
      cancelling: The write of its cancellation, until durable.
      ended: Set once there is a final outcome.
      ended_ms: Wall clock instant of the final outcome in ms.
    """

    req: requests.Request
    fingerprint: str
    accepted_ms: int
    fleet: str
    fleet_epoch: int
    attempt: int = 0
    reason: str = ''
    workers: tuple[str, ...] = ()
    started: bool = False
    failures: int = 0
    rejected: frozenset[str] = frozenset()
    begun: bool = False
    cancelled: bool = False
    outcome: outcomes.Final | None = None
    starting: journals.Batch | None = None
    ending: journals.Batch | None = None
    cancelling: journals.Batch | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended_ms: int = 0


@dataclasses.dataclass(slots=True)
class Acceptance:
    """A request whose acceptance is being written.

    Attributes:
      fingerprint: Hash of what the caller said in it.
      batch: The write.
      waiters: Calls that wait for it.
    """

    fingerprint: str
    batch: journals.Batch
    waiters: int = 0


@dataclasses.dataclass(slots=True)
class Ledger:
    """A ledger partition that this instance owns.

    Attributes:
      name: Name of the partition.
      epoch: Epoch of the ownership.
      journal: Its journal.
      entries: Accepted requests by request key.
      accepting: Requests whose acceptance is being written, by request key.
      replicas: Newest generation of each replica of a service, by the part of
        the request key before '@'.
      fleet_epochs: The highest epoch known of each fleet partition. Reports of
        an earlier one are out of date.
      unsent: By fleet partition, keys of entries to be sent to it.
      withdrawals: By fleet partition, keys of entries to be withdrawn there.
      changed: Notified when there is something to send.
    """

    name: str
    epoch: int
    journal: journals.Journal
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    accepting: dict[str, Acceptance] = dataclasses.field(default_factory=dict)
    replicas: dict[str, int] = dataclasses.field(default_factory=dict)
    fleet_epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    unsent: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    withdrawals: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    changed: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def apply_record(ledger: Ledger, record: records.Record) -> None:
    """Brings the entries to the state after a record.

    The writer calls it for each durable record, and recovery for each one read,
    in the same order; so both reach the same state.
    """
    step = record.step
    key = record.request_key
    if isinstance(step, records.Accept):
        _add_entry(ledger, record, step)
        return
    entry = ledger.entries.get(key)
    if entry is None:
        return
    match step:
        case records.Assign():
            _assign(ledger, entry, step)
        case records.Start():
            entry.workers = step.workers
            entry.started = True
        case records.End():
            entry.outcome = step.outcome
            entry.ended_ms = record.at_ms
            entry.ended.set()
        case records.Cancel():
            entry.cancelled = True
            queue_withdrawal(ledger, entry)
        case records.Forget():
            del ledger.entries[key]


def _add_entry(
    ledger: Ledger, record: records.Record, step: records.Accept
) -> None:
    key = record.request_key
    pending = ledger.accepting.pop(key, None)
    if pending is None:
        fingerprint = hashing.compute_fingerprint(step.req)
    else:
        fingerprint = pending.fingerprint
    entry = Entry(
        req=step.req,
        fingerprint=fingerprint,
        accepted_ms=record.at_ms,
        fleet=step.fleet,
        fleet_epoch=step.fleet_epoch,
    )
    ledger.entries[key] = entry
    stem, _, generation = key.rpartition('@')
    if step.req.service and generation.isdecimal():
        newest = ledger.replicas.get(stem, 0)
        ledger.replicas[stem] = max(newest, int(generation))
    queue_assignment(ledger, entry)


def _assign(ledger: Ledger, entry: Entry, step: records.Assign) -> None:
    if step.reason == REJECTED:
        entry.rejected |= {entry.fleet}
    entry.fleet = step.fleet
    entry.fleet_epoch = step.fleet_epoch
    entry.attempt = step.attempt
    entry.reason = step.reason
    entry.workers = ()
    entry.begun = False
    entry.started |= step.started
    entry.failures += step.reason == FAILED
    queue_assignment(ledger, entry)


def finish_recovery(ledger: Ledger) -> None:
    """Readies a ledger partition whose records have all been applied.

    An earlier owner may have allowed any attempt to start; what it knew of that
    in memory is lost.
    """
    for entry in ledger.entries.values():
        entry.begun = True
    ledger.unsent.clear()
    ledger.withdrawals.clear()


def get_key(entry: Entry) -> str:
    """Returns the request key of an entry."""
    return requests.get_key(entry.req)


def list_open(ledger: Ledger, fleet: str) -> list[Entry]:
    """Returns the durable entries assigned to a fleet partition."""
    return [
        entry
        for entry in ledger.entries.values()
        if entry.fleet == fleet and entry.outcome is None
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
        cancelled=entry.cancelled,
    )


def queue_assignment(ledger: Ledger, entry: Entry) -> None:
    """Marks an entry to be sent to its fleet partition."""
    key = get_key(entry)
    ledger.unsent.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.changed)


def queue_withdrawal(ledger: Ledger, entry: Entry) -> None:
    """Marks an entry to be withdrawn from its fleet partition."""
    key = get_key(entry)
    ledger.withdrawals.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.changed)
