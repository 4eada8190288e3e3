"""Asks ledger partitions for permission to start non-repeatable requests.

A request that is not repeatable must not run twice, so the ledger partition
that keeps it permits its first start.
"""

import asyncio

from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import task_starts
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

# Bounds the size of one call; the remaining requests go into the next call.
MAX_REQUESTS_PER_CALL = 500


async def run_start_request_loop(
    fleet: fleets.Fleet, context: contexts.Context, ledger: str
) -> None:
    """Asks one ledger partition to permit the starts of its placed requests.

    The resources of these requests stay allocated meanwhile. The call is
    repeated for a request that was not permitted, until the request is
    permitted, withdrawn or assigned under a new attempt.
    """
    pending_starts = fleet.pending_starts.setdefault(
        ledger, fleets.PendingStarts()
    )
    backoff = retries.Backoff(context.rng)
    while True:
        count = pending_starts.send_needed.count
        if not pending_starts.attempts:
            await signals.wait_for_notification(
                pending_starts.send_needed, count
            )
        elif await request_starts(fleet, context, ledger, pending_starts):
            retries.reset_backoff(backoff)
        else:
            wait_ms = retries.advance_backoff(backoff)
            await asyncio.sleep(clock.to_seconds(wait_ms))


async def request_starts(
    fleet: fleets.Fleet,
    context: contexts.Context,
    ledger: str,
    pending_starts: fleets.PendingStarts,
) -> bool:
    """Asks once, oldest requests first; returns whether any was permitted."""
    wanted = [
        start_permissions.StartRequest(key, attempt, fleet.name, fleet.epoch)
        for key, attempt in list(pending_starts.attempts.items())[
            :MAX_REQUESTS_PER_CALL
        ]
    ]
    permitted = await context.request_starts(ledger, wanted)
    for one in wanted:
        if one.request_key in permitted:
            _process_permission(fleet, context, pending_starts, one)
        elif _is_obsolete(fleet, one):
            pending_starts.attempts.pop(one.request_key, None)
    return bool(permitted)


def _is_obsolete(
    fleet: fleets.Fleet, wanted: start_permissions.StartRequest
) -> bool:
    """Returns whether to stop asking for a request that was not permitted."""
    request = fleet.requests.get(wanted.request_key)
    return (
        request is None
        or request.reported
        or not assigned_requests.is_placed(request)
    )


def _process_permission(
    fleet: fleets.Fleet,
    context: contexts.Context,
    pending_starts: fleets.PendingStarts,
    permitted: start_permissions.StartRequest,
) -> None:
    """Queues the start commands of a request that is still to be started."""
    key = permitted.request_key
    if pending_starts.attempts.get(key) != permitted.attempt:
        return
    del pending_starts.attempts[key]
    request = fleet.requests.get(key)
    if request is None or request.assignment.attempt != permitted.attempt:
        return
    if (
        request.reported
        or request.cancelled
        or not assigned_requests.is_placed(request)
    ):
        return
    task_starts.queue_starts(fleet, context, request)
