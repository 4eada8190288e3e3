"""Turns placements into start commands for workers."""

from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals


def assign_workers(
    fleet: fleets.Fleet,
    context: contexts.Context,
    request: fleets.AssignedRequest,
    decision: scheduling.Place,
) -> None:
    """Assigns each member of a request to its worker.

    The starts of a repeatable request are queued at once. Any other request
    first needs the permission of its ledger partition.
    """
    request.size = decision.size
    if request.size == resources.ZERO:
        request.size = request.assignment.req.size
    request.runs = [
        fleets.MemberRun(worker_id) for worker_id in decision.workers
    ]
    if request.assignment.req.repeatable:
        queue_starts(fleet, context, request)
        return
    pending_starts = fleet.pending_starts.setdefault(
        request.assignment.ledger, fleets.PendingStarts()
    )
    pending_starts.attempts[requests.get_key(request.assignment.req)] = (
        request.assignment.attempt
    )
    signals.notify(pending_starts.send_needed)


def queue_starts(
    fleet: fleets.Fleet,
    context: contexts.Context,
    request: fleets.AssignedRequest,
) -> None:
    """Queues the start command of each member for its worker."""
    req = request.assignment.req
    not_after_ms = context.clock.wall_ms() + context.settings.fleet.start_ms
    if req.deadline_ms:
        not_after_ms = min(not_after_ms, req.deadline_ms)
    request.may_have_started = True
    members = zip(fleets.list_task_ids(request), request.runs, strict=True)
    for task, run in members:
        session = fleet.sessions.get(run.worker_id)
        if session is None:
            run.state = 'stopped'
            run.detail = f'worker {run.worker_id} was lost'
            continue
        run.state = 'starting'
        entry = workers.InventoryEntry(
            task, req.team, request.size, workers.TaskState.RUNNING
        )
        fleets.set_task(fleet, session, entry)
        session.unsent_starts.append(
            worker_clients.TaskStart(
                task, req.team, request.size, not_after_ms, req.payload
            )
        )
        signals.notify(session.send_needed)
