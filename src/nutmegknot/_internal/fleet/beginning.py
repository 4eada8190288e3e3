"""Asking ledger partitions before work that is not repeatable first starts."""

import asyncio

from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.fleet import orders
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

MAX_BATCH = 500


async def keep_beginning(
    fleet: fleets.Fleet, context: contexts.Context, ledger: str
) -> None:
    """Asks one ledger partition for the placed jobs that wait for its answer.

    Their places are held meanwhile. What is not granted is asked for again
    until it is granted, withdrawn or assigned anew.
    """
    asking = fleet.asking.setdefault(ledger, fleets.Asking())
    backoff = retries.Backoff(context.rng)
    while True:
        count = asking.wake.count
        if not asking.waiting:
            await signals.wait_beyond(asking.wake, count)
        elif await ask(fleet, context, ledger, asking):
            retries.reset(backoff)
        else:
            wait_ms = retries.take_wait(backoff)
            await asyncio.sleep(clock_lib.to_seconds(wait_ms))


async def ask(
    fleet: fleets.Fleet,
    context: contexts.Context,
    ledger: str,
    asking: fleets.Asking,
) -> bool:
    """Asks once for the oldest of the jobs; tells whether any was granted."""
    asked = [
        beginning.Beginning(key, attempt, fleet.name, fleet.epoch)
        for key, attempt in list(asking.waiting.items())[:MAX_BATCH]
    ]
    granted = await context.begin(ledger, asked)
    for one in asked:
        if one.request_key in granted:
            _take_grant(fleet, context, asking, one)
        elif _is_over(fleet, one):
            asking.waiting.pop(one.request_key, None)
    return bool(granted)


def _is_over(fleet: fleets.Fleet, asked: beginning.Beginning) -> bool:
    """Tells whether a job that was not granted needs no more asking."""
    job = fleet.jobs.get(asked.request_key)
    return job is None or job.reported or not jobs.is_placed(job)


def _take_grant(
    fleet: fleets.Fleet,
    context: contexts.Context,
    asking: fleets.Asking,
    granted: beginning.Beginning,
) -> None:
    """Queues the start orders of a job, if it still stands as it was asked."""
    key = granted.request_key
    if asking.waiting.get(key) != granted.attempt:
        return
    del asking.waiting[key]
    job = fleet.jobs.get(key)
    if job is None or job.given.attempt != granted.attempt:
        return
    if job.reported or job.cancelled or not jobs.is_placed(job):
        return
    orders.queue_starts(fleet, context, job)
