"""State of a ledger partition, and how journal records change it.

A ledger partition keeps a part of all accepted requests and is owned by one
instance at a time. It assigns each request to a fleet partition, which runs it
on its workers and has an owner of its own.
"""

import asyncio
import dataclasses

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import records
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

# Reason that a fleet partition reports if a task of the attempt failed.
REASON_FAILED = 'failed'
# Reason that a fleet partition reports if the request fits none of its workers.
REASON_REJECTED = 'rejected'


@dataclasses.dataclass(slots=True)
class Entry:
    """An accepted request.

    Attributes:
      req: The request.
      fingerprint: Hash of the request's content, by which a copy is told from
        another request with the same key.
      accepted_ms: Wall clock time of its acceptance in ms.
      fleet: Fleet partition that it is assigned to.
      fleet_epoch: Epoch of the fleet partition at the assignment.
      attempt: Number of the current attempt, from 0.
      reason: Why the previous attempt is over; '' if there is none.
      workers: Workers of its members, in member order, once all members run.
      started: Whether any attempt may have run.
      failures: Number of attempts that ended with a failed task.
      rejected: Fleet partitions that have no worker that the request fits.
      start_permitted: Whether the current attempt may have been permitted to
        start. Used for requests that are not repeatable; kept in memory only.
      cancelled: Whether the caller cancelled it.
      outcome: The final outcome, once durable.
      starting: Pending write of the attempt's start, or None.
      ending: Pending write of the request's end or next attempt, or None.
      cancelling: Pending write of its cancellation, or None.
      ended: Set once there is a final outcome.
      ended_ms: Wall clock time of the final outcome in ms.
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
    start_permitted: bool = False
    cancelled: bool = False
    outcome: outcomes.FinalOutcome | None = None
    starting: journals.Batch | None = None
    ending: journals.Batch | None = None
    cancelling: journals.Batch | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended_ms: int = 0


@dataclasses.dataclass(slots=True)
class PendingAcceptance:
    """A request whose acceptance is being written.

    Attributes:
      fingerprint: Hash of the request's content.
      batch: The batch with the record of the acceptance.
      waiters: Number of calls that wait for the write.
    """

    fingerprint: str
    batch: journals.Batch
    waiters: int = 0


@dataclasses.dataclass(slots=True)
class Ledger:
    """A ledger partition that this instance owns.

    Attributes:
      name: Name of the partition.
      epoch: Epoch of this instance's ownership.
      journal: Its journal.
      entries: Accepted requests by request key.
      pending_acceptances: Requests whose acceptance is being written, by
        request key.
      replicas: Newest generation of each replica of a service. A generation is
        a request whose key is the replica's key, '@' and a number; the dict is
        by the replica's key.
      fleet_epochs: The highest known epoch of each fleet partition. Reports
        under an earlier epoch are outdated.
      unsent_assignments: By fleet partition, request keys of assignments to
        send to it.
      unsent_withdrawals: By fleet partition, request keys of withdrawals to
        send to it.
      send_needed: Notified when there is something to send.
    """

    name: str
    epoch: int
    journal: journals.Journal
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    pending_acceptances: dict[str, PendingAcceptance] = dataclasses.field(
        default_factory=dict
    )
    replicas: dict[str, int] = dataclasses.field(default_factory=dict)
    fleet_epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    unsent_assignments: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )
    unsent_withdrawals: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )
    send_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


def apply_record(ledger: Ledger, record: records.Record) -> None:
    """Updates the entries with a durable record.

    The writer calls it for each record that it has written, and recovery for
    each record that it reads, in the same order; so both reach the same state.
    """
    event = record.event
    key = record.request_key
    if isinstance(event, records.Accept):
        _add_entry(ledger, record, event)
        return
    entry = ledger.entries.get(key)
    if entry is None:
        return
    match event:
        case records.Assign():
            _assign(ledger, entry, event)
        case records.Start():
            entry.workers = event.workers
            entry.started = True
        case records.End():
            entry.outcome = event.outcome
            entry.ended_ms = record.at_ms
            entry.ended.set()
        case records.Cancel() if entry.outcome is None:
            entry.cancelled = True
            queue_withdrawal(ledger, entry)
        case records.Forget():
            del ledger.entries[key]


def _add_entry(
    ledger: Ledger, record: records.Record, event: records.Accept
) -> None:
    key = record.request_key
    pending = ledger.pending_acceptances.pop(key, None)
    if pending is None:
        fingerprint = hashing.compute_fingerprint(event.req)
    else:
        fingerprint = pending.fingerprint
    entry = Entry(
        req=event.req,
        fingerprint=fingerprint,
        accepted_ms=record.at_ms,
        fleet=event.fleet,
        fleet_epoch=event.fleet_epoch,
    )
    ledger.entries[key] = entry
    replica_key, _, generation = key.rpartition('@')
    if event.req.service and generation.isdecimal():
        newest = ledger.replicas.get(replica_key, 0)
        ledger.replicas[replica_key] = max(newest, int(generation))
    queue_assignment(ledger, entry)


def _assign(ledger: Ledger, entry: Entry, event: records.Assign) -> None:
    if event.reason == REASON_REJECTED:
        entry.rejected |= {entry.fleet}
    entry.fleet = event.fleet
    entry.fleet_epoch = event.fleet_epoch
    entry.attempt = event.attempt
    entry.reason = event.reason
    entry.workers = ()
    entry.start_permitted = False
    entry.started |= event.started
    entry.failures += event.reason == REASON_FAILED
    queue_assignment(ledger, entry)


def finish_recovery(ledger: Ledger) -> None:
    """Completes the recovery of a partition after all records were applied.

    An earlier owner may have permitted any attempt to start: it kept that in
    memory only. Nothing needs to be queued for sending, because the first call
    to each owner of a fleet partition lists all open entries anyway.
    """
    for entry in ledger.entries.values():
        entry.start_permitted = True
    ledger.unsent_assignments.clear()
    ledger.unsent_withdrawals.clear()


def get_key(entry: Entry) -> str:
    """Returns the request key of an entry."""
    return requests.get_key(entry.req)


def list_open_entries(ledger: Ledger, fleet: str) -> list[Entry]:
    """Returns a fleet partition's entries that have no outcome yet."""
    return [
        entry
        for entry in ledger.entries.values()
        if entry.fleet == fleet and entry.outcome is None
    ]


def make_assignment(ledger: Ledger, entry: Entry) -> partitions.Assignment:
    """Returns the assignment for the current attempt of an entry."""
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
    """Queues an entry's assignment to be sent to its fleet partition."""
    key = get_key(entry)
    ledger.unsent_assignments.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.send_needed)


def queue_withdrawal(ledger: Ledger, entry: Entry) -> None:
    """Queues an entry's withdrawal to be sent to its fleet partition."""
    key = get_key(entry)
    ledger.unsent_withdrawals.setdefault(entry.fleet, set()).add(key)
    signals.notify(ledger.send_needed)
