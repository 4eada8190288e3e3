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

OVERLOAD_RETRY_MS = 2_000


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
      attempts: Attempts of a repeatable request that may fail.
    """

    clock: clock_lib.Clock
    may_act: Callable[[], bool]
    choose_fleet: Callable[
        [requests.Request, frozenset[str]], Choice | outcomes.Refused
    ]
    attempts: int = 4


async def submit(
    ledger: ledgers.Ledger,
    context: Context,
    req: requests.Request,
    wait_ms: int,
) -> outcomes.Outcome | journals.Fenced:
    """Accepts a request durably, or finds the acceptance of its first copy.

    Args:
      ledger: The partition of the request.
      context: What the ledger works with.
      req: The request, with its team set.
      wait_ms: Time left to the caller in ms.

    Returns:
      Accepted, Conflict, Refused, Unknown if the write did not end in time, or
      Fenced if nothing was written since the partition has a new owner.
    """
    key = requests.get_key(req)
    fingerprint = hashing.compute_fingerprint(req)
    entry = ledger.entries.get(key)
    if entry is not None:
        if entry.fingerprint != fingerprint:
            return outcomes.Conflict(key)
        return outcomes.Accepted(key)
    pending = ledger.accepting.get(key)
    if pending is None:
        refusal = _find_refusal(ledger, context, req)
        if refusal is not None:
            return refusal
        made = _open_acceptance(ledger, context, req, fingerprint)
        if isinstance(made, outcomes.Refused):
            return made
        pending = made
    elif pending.fingerprint != fingerprint:
        return outcomes.Conflict(key)
    return await _await_acceptance(ledger, key, pending, wait_ms)


def _find_refusal(
    ledger: ledgers.Ledger, context: Context, req: requests.Request
) -> outcomes.Refused | None:
    if not context.may_act():
        return outcomes.Refused(
            outcomes.RefusalReason.UNAVAILABLE, 'authority is not confirmed'
        )
    if 0 < req.deadline_ms <= context.clock.wall_ms():
        return outcomes.Refused(
            outcomes.RefusalReason.DEADLINE_PASSED, 'its deadline has passed'
        )
    if journals.is_full(ledger.journal):
        return outcomes.Refused(
            outcomes.RefusalReason.OVERLOADED,
            'too much waits for the table service',
            OVERLOAD_RETRY_MS,
        )
    return None


def _open_acceptance(
    ledger: ledgers.Ledger,
    context: Context,
    req: requests.Request,
    fingerprint: str,
) -> ledgers.Acceptance | outcomes.Refused:
    choice = context.choose_fleet(req, frozenset())
    if isinstance(choice, outcomes.Refused):
        return choice
    key = requests.get_key(req)
    step = records.Accept(req, choice.fleet, choice.epoch)
    record = records.Record(key, context.clock.wall_ms(), step)
    batch = journals.append(ledger.journal, [record])
    pending = ledgers.Acceptance(fingerprint, batch)
    ledger.accepting[key] = pending

    def drop(_: asyncio.Future[journals.Written]) -> None:
        if ledger.accepting.get(key) is pending:
            del ledger.accepting[key]

    batch.written.add_done_callback(drop)
    return pending


async def _await_acceptance(
    ledger: ledgers.Ledger,
    key: str,
    pending: ledgers.Acceptance,
    wait_ms: int,
) -> outcomes.Outcome | journals.Fenced:
    written = await _await_batch(ledger, pending, wait_ms)
    match written:
        case journals.Durable():
            return outcomes.Accepted(key)
        case journals.Withdrawn():
            return outcomes.Refused(
                outcomes.RefusalReason.UNAVAILABLE,
                'the table service did not answer in time',
                OVERLOAD_RETRY_MS,
            )
        case journals.Unsettled():
            return outcomes.Unknown('the partition has a new owner')
        case journals.Fenced():
            return written
        case None:
            return outcomes.Unknown('the acceptance is still being written')


async def _await_batch(
    ledger: ledgers.Ledger, pending: ledgers.Acceptance, wait_ms: int
) -> journals.Written | None:
    """Waits for a write; takes it back in time if nobody else waits for it."""
    pending.waiters += 1
    try:
        async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
            return await asyncio.shield(pending.batch.written)
    except TimeoutError:
        if pending.batch.written.done():
            return pending.batch.written.result()
        if pending.waiters > 1:
            return None
        is_back = journals.withdraw(ledger.journal, pending.batch)
        return journals.Withdrawn() if is_back else None
    finally:
        pending.waiters -= 1


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
    if entry is None:
        if key in ledger.accepting:
            return outcomes.Unknown('the acceptance is still being written')
        return outcomes.NotFound(key)
    if entry.outcome is not None:
        return entry.outcome
    return outcomes.Pending('running' if entry.workers else 'queued')


async def cancel(
    ledger: ledgers.Ledger, context: Context, key: str, wait_ms: int
) -> outcomes.Outcome | journals.Fenced:
    """Notes durably that a request is to end, and has it withdrawn.

    Cancellations of the same tick share a segment and a call to each fleet
    partition.

    Returns:
      The present outcome; wait tells when the request has ended. Unknown if the
      write did not end in time, or Fenced if nothing was written.
    """
    entry = ledger.entries.get(key)
    if entry is None or entry.outcome is not None or entry.cancelled:
        return describe(ledger, key)
    batch = entry.cancelling or _open_cancellation(ledger, context, key, entry)
    try:
        async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
            written = await asyncio.shield(batch.written)
    except TimeoutError:
        return outcomes.Unknown('the cancellation is still being written')
    match written:
        case journals.Durable():
            return describe(ledger, key)
        case journals.Fenced():
            return written
        case _:
            return outcomes.Unknown('the partition has a new owner')


def _open_cancellation(
    ledger: ledgers.Ledger,
    context: Context,
    key: str,
    entry: ledgers.Entry,
) -> journals.Batch:
    record = records.Record(key, context.clock.wall_ms(), records.Cancel())
    batch = journals.append(ledger.journal, [record])
    entry.cancelling = batch

    def settle(_: asyncio.Future[journals.Written]) -> None:
        entry.cancelling = None

    batch.written.add_done_callback(settle)
    return batch
