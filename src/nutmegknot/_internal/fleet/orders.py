"""Turning placements into start orders."""

from nutmegknot._internal.backing import fleets as platform_fleets
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals


def place(
    fleet: fleets.Fleet,
    context: contexts.Context,
    job: fleets.Job,
    decision: scheduling.Place,
) -> None:
    """Gives each member of a job its worker.

    Starts of repeatable work are queued at once; other work asks its ledger
    partition first.
    """
    job.size = decision.size
    if job.size == resources.NOTHING:
        job.size = job.given.req.size
    job.runs = [fleets.MemberRun(worker_id) for worker_id in decision.workers]
    if job.given.req.repeatable:
        queue_starts(fleet, context, job)
        return
    asking = fleet.asking.setdefault(job.given.ledger, fleets.Asking())
    asking.waiting[requests.get_key(job.given.req)] = job.given.attempt
    signals.notify(asking.wake)


def queue_starts(
    fleet: fleets.Fleet, context: contexts.Context, job: fleets.Job
) -> None:
    """Queues the start order of each member for its worker."""
    req = job.given.req
    not_after_ms = context.clock.wall_ms() + context.settings.fleet.start_ms
    if req.deadline_ms:
        not_after_ms = min(not_after_ms, req.deadline_ms)
    job.ordered = True
    members = zip(fleets.list_task_ids(job), job.runs, strict=True)
    for task, run in members:
        session = fleet.sessions.get(run.worker_id)
        if session is None:
            run.state = 'stopped'
            run.detail = f'worker {run.worker_id} was lost'
            continue
        run.state = 'starting'
        entry = workers.InventoryEntry(
            task, req.team, job.size, workers.TaskState.RUNNING
        )
        fleets.set_task(fleet, session, entry)
        session.starts.append(
            platform_fleets.Start(
                task, req.team, job.size, not_after_ms, req.payload
            )
        )
        signals.notify(session.wake)
