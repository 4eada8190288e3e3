"""Accepting, waiting for and cancelling requests in a ledger partition."""

import asyncio
from collections.abc import Callable
import dataclasses

from nutmegknot._internal.ledger import journals
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import requests
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import hashing


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Fleet partition that a request is to be assigned to."""

    fleet: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """What the ledger works with.

    Attributes:
      clock: Source of time.
      may_act: Tells whether the instance may act for the partition now.
      choose_fleet: Chooses the fleet partition of a request; the second
        argument names those to avoid.
    """

    clock: clock_lib.Clock
    may_act: Callable[[], bool]
    choose_fleet: Callable[
        [requests.Request, frozenset[str]], Choice | outcomes.Refused
    ]


async def submit(
    ledger: ledgers.Ledger,
    context: Context,
    req: requests.Request,
    wait_ms: int,
) -> outcomes.Outcome:
    """Accepts a request durably, or finds the acceptance of its first copy.

    Args:
      ledger: The partition of the request.
      context: What the ledger works with.
      req: The request, with its team set.
      wait_ms: Time left to the caller in ms.

    Returns:
      Accepted, Conflict, Refused, or Unknown if the write did not end in time.
    """
    key = requests.get_key(req)
    fingerprint = hashing.compute_fingerprint(req)
    entry = ledger.entries.get(key)
    if entry is None:
        made = _open_entry(ledger, context, req, fingerprint)
        if isinstance(made, outcomes.Refused):
            return made
        entry = made
    elif entry.fingerprint != fingerprint:
        return outcomes.Conflict(key)
    if entry.accepting is None:
        return outcomes.Accepted(key)
    return await _await_acceptance(ledger, key, entry, wait_ms)


def _open_entry(
    ledger: ledgers.Ledger,
    context: Context,
    req: requests.Request,
    fingerprint: str,
) -> ledgers.Entry | outcomes.Refused:
    choice = context.choose_fleet(req, frozenset())
    if isinstance(choice, outcomes.Refused):
        return choice
    if not context.may_act():
        return outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE, 'authority is not confirmed'
        )
    now_ms = context.clock.wall_ms()
    entry = ledgers.Entry(req, fingerprint, now_ms, choice.fleet, choice.epoch)
    step = records.Accept(req, choice.fleet, choice.epoch)
    key = requests.get_key(req)
    entry.accepting = journals.append(
        ledger.journal, [records.Record(key, now_ms, step)]
    )
    entry.accepting.written.add_done_callback(
        lambda done: _end_acceptance(ledger, key, entry, done.result())
    )
    ledger.entries[key] = entry
    return entry


def _end_acceptance(
    ledger: ledgers.Ledger,
    key: str,
    entry: ledgers.Entry,
    written: journals.Written,
) -> None:
    entry.accepting = None
    if isinstance(written, journals.Durable):
        ledgers.queue_assignment(ledger, entry)
    else:
        ledger.entries.pop(key, None)


async def _await_acceptance(
    ledger: ledgers.Ledger, key: str, entry: ledgers.Entry, wait_ms: int
) -> outcomes.Outcome:
    batch = entry.accepting
    assert batch is not None
    try:
        async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
            written = await asyncio.shield(batch.written)
    except TimeoutError:
        if not journals.withdraw(ledger.journal, batch):
            return outcomes.Unknown('the acceptance is still being written')
        written = journals.Withdrawn()
    match written:
        case journals.Durable():
            return outcomes.Accepted(key)
        case journals.Withdrawn():
            return outcomes.Refused(
                outcomes.RefusalReason.UNAVAILABLE,
                'the table service did not answer in time',
            )
        case journals.Fenced():
            return outcomes.Unknown('the partition has a new owner')


async def wait(
    ledger: ledgers.Ledger, key: str, wait_ms: int
) -> outcomes.Outcome:
    """Returns the final outcome, or the present one after wait_ms."""
    entry = ledger.entries.get(key)
    if entry is not None and entry.outcome is None:
        try:
            async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
                await entry.ended.wait()
        except TimeoutError:
            pass
    return describe(ledger, key)


def describe(ledger: ledgers.Ledger, key: str) -> outcomes.Outcome:
    """Returns the present outcome of a request."""
    entry = ledger.entries.get(key)
    if entry is None or entry.accepting is not None:
        return outcomes.NotFound(key)
    if entry.outcome is not None:
        return entry.outcome
    return outcomes.Pending('running' if entry.workers else 'queued')


async def cancel(
    ledger: ledgers.Ledger, context: Context, key: str
) -> outcomes.Outcome:
    """Notes durably that a request is to end, and has it withdrawn.

    Returns:
      The present outcome; wait tells when the request has ended.
    """
    entry = ledger.entries.get(key)
    if entry is None or entry.accepting is not None:
        return outcomes.NotFound(key)
    if entry.outcome is None and not entry.cancelled:
        now_ms = context.clock.wall_ms()
        batch = journals.append(
            ledger.journal, [records.Record(key, now_ms, records.Cancel())]
        )
        written = await asyncio.shield(batch.written)
        if not isinstance(written, journals.Durable):
            return outcomes.Unknown('the partition has a new owner')
        entry.cancelled = True
        ledgers.queue_withdrawal(ledger, entry)
    return describe(ledger, key)
