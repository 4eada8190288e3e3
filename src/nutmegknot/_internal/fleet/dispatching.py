"""Carrying out the decisions of a fleet partition."""

import asyncio
import logging

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import deadlines
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.fleet import orders
from nutmegknot._internal.models import reports
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

CHECK_MS = 1_000
GATHER_MS = 5


async def keep_dispatching(
    fleet: fleets.Fleet, context: contexts.Context
) -> None:
    """Decides whenever something has changed, until cancelled or fenced."""
    ledgers = context.settings.cell.ledger_partitions
    count = -1
    checked_ms = context.clock.now_ms()
    while not fleet.fenced.is_set():
        count = await signals.wait_at_most(fleet.changed, count, CHECK_MS)
        # A short pause gathers what happens together into one decision.
        await asyncio.sleep(clock_lib.to_seconds(GATHER_MS))
        if context.clock.now_ms() - checked_ms >= CHECK_MS:
            checked_ms = context.clock.now_ms()
            lose_lapsed(fleet, context)
        jobs.resolve_held(fleet)
        jobs.stop_orphans(fleet, ledgers)
        if context.may_act():
            dispatch(fleet, context)


def dispatch(fleet: fleets.Fleet, context: contexts.Context) -> None:
    """Takes the decisions that are due and queues their orders."""
    now_ms = context.clock.wall_ms()
    deadlines.expire(fleet, now_ms)
    for decision in scheduling.decide(fleet.scheduler, now_ms):
        job = fleet.jobs[decision.request_key]
        match decision:
            case scheduling.Place():
                orders.place(fleet, context, job, decision)
            case scheduling.GiveBack(_, reason, detail):
                news = reports.Returned(reason, detail, may_have_run=False)
                jobs.end(fleet, job, news)
            case scheduling.Preempt(_, reason):
                jobs.stop(fleet, job, reason)


def lose_lapsed(fleet: fleets.Fleet, context: contexts.Context) -> None:
    """Gives up workers whose leases have all lapsed."""
    settings = context.settings
    bound_ms = (
        settings.fleet.task_lease_ms
        + settings.fleet.start_ms
        + settings.membership.drift_ms
    )
    now_ms = context.clock.now_ms()
    for worker_id, session in list(fleet.sessions.items()):
        if now_ms - session.renewed_ms > bound_ms + settings.fleet.poll_ms:
            logger.warning('worker_lost', extra={'worker': worker_id})
            jobs.lose_worker(fleet, worker_id)
