"""Scheduling loop of a fleet partition: makes and carries out decisions."""

import asyncio
import logging

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import deadlines
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import task_starts
from nutmegknot._internal.models import reports
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

LEASE_CHECK_INTERVAL_MS = 1_000
# Changes that happen within this time are handled by one scheduling pass.
BATCHING_DELAY_MS = 5


async def run_scheduling_loop(
    fleet: fleets.Fleet, context: contexts.Context
) -> None:
    """Runs a scheduling pass after each change, until cancelled or fenced."""
    ledgers = context.settings.cell.ledger_partitions
    count = -1
    checked_ms = context.clock.now_ms()
    while not fleet.fenced.is_set():
        count = await signals.wait_with_timeout(
            fleet.scheduling_needed, count, LEASE_CHECK_INTERVAL_MS
        )
        await asyncio.sleep(clock.to_seconds(BATCHING_DELAY_MS))
        if context.clock.now_ms() - checked_ms >= LEASE_CHECK_INTERVAL_MS:
            checked_ms = context.clock.now_ms()
            remove_lost_workers(fleet, context)
        assigned_requests.resolve_inherited_requests(fleet)
        assigned_requests.stop_orphans(fleet, ledgers)
        if context.may_act() and not fleet.closing:
            run_scheduling_pass(fleet, context)


def run_scheduling_pass(fleet: fleets.Fleet, context: contexts.Context) -> None:
    """Makes the decisions that are due and queues the resulting commands."""
    now_ms = context.clock.wall_ms()
    deadlines.expire(fleet, now_ms)
    for decision in scheduling.decide(fleet.scheduler, now_ms):
        request = fleet.requests[decision.request_key]
        match decision:
            case scheduling.Place():
                task_starts.assign_workers(fleet, context, request, decision)
            case scheduling.GiveBack(_, reason, detail):
                update = reports.Returned(reason, detail, may_have_run=False)
                assigned_requests.report_end(fleet, request, update)
            case scheduling.Preempt(_, reason):
                assigned_requests.stop(fleet, request, reason)


def remove_lost_workers(fleet: fleets.Fleet, context: contexts.Context) -> None:
    """Removes workers on which the leases of all tasks have expired."""
    settings = context.settings
    expiry_delay_ms = (
        settings.fleet.task_lease_ms
        + settings.fleet.start_ms
        + settings.membership.drift_ms
    )
    now_ms = context.clock.now_ms()
    for worker_id, session in list(fleet.sessions.items()):
        if (
            now_ms - session.renewed_ms
            > expiry_delay_ms + settings.fleet.poll_ms
        ):
            logger.warning('worker_lost', extra={'worker': worker_id})
            assigned_requests.handle_lost_worker(fleet, worker_id)
