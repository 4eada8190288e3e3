"""Life cycle of an assigned request, from its assignment to its end."""

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals

# A copy of an assignment that arrives within this time after the end of its
# attempt is ignored.
ENDED_RETENTION_MS = 60_000

_STATES = {
    workers.TaskState.RUNNING: 'running',
    workers.TaskState.FINISHED: 'finished',
    workers.TaskState.FAILED: 'failed',
    workers.TaskState.STOPPED: 'stopped',
}


def add_assignment(
    fleet: fleets.Fleet, assignment: partitions.Assignment
) -> None:
    """Adds an assigned request; repeating the call has no effect."""
    key = requests.get_key(assignment.req)
    known = fleet.requests.get(key)
    if known is not None and known.assignment.attempt >= assignment.attempt:
        return
    if (
        key in fleet.recent_ends
        and fleet.recent_ends[key][0] >= assignment.attempt
    ):
        return
    if known is not None:
        # Workers may still remember members of the earlier attempt.
        fleet.has_orphans = True
        _release_placed_members(fleet, known)
    request = fleets.AssignedRequest(assignment)
    fleet.requests[key] = request
    if assignment.fleet_epoch == fleet.epoch:
        # No earlier owner received this assignment, so no worker runs it.
        scheduling.add_waiting(fleet.scheduler, assignment)
    else:
        fleet.inherited_requests.add(key)
    signals.notify(fleet.scheduling_needed)


def _adopt(fleet: fleets.Fleet, request: fleets.AssignedRequest) -> bool:
    """Adopts the members of an inherited request that workers already run.

    Returns:
      Whether the request was adopted. It is not if no member was found, or if
      some were not found and not every worker has sent its inventory.
    """
    runs = []
    for task in fleets.list_task_ids(request):
        worker_id = fleet.task_workers.get(task)
        if worker_id is None:
            runs.append(fleets.MemberRun('', 'stopped', detail='not found'))
            continue
        entry = fleet.sessions[worker_id].tasks[task]
        runs.append(
            fleets.MemberRun(
                worker_id, _STATES[entry.state], entry.answer, entry.detail
            )
        )
    if all(not run.worker_id for run in runs):
        return False
    if any(
        not run.worker_id for run in runs
    ) and not fleets.is_inventory_complete(fleet):
        return False
    request.runs = runs
    request.may_have_started = True
    # When it started is unknown; it cannot be before its acceptance.
    assignment = request.assignment
    scheduling.add_running_request(
        fleet.scheduler, assignment, assignment.accepted_ms
    )
    return True


def resolve_inherited_requests(fleet: fleets.Fleet) -> None:
    """Adopts or queues requests that were assigned under an earlier epoch.

    A request whose members are all in workers' inventories is adopted at once.
    One with missing members may be running on a worker that has not been
    claimed yet, so it waits until every worker has sent its inventory.
    """
    is_complete = fleets.is_inventory_complete(fleet)
    for key in sorted(fleet.inherited_requests):
        request = fleet.requests[key]
        if _adopt(fleet, request):
            fleet.inherited_requests.discard(key)
            process_member_states(fleet, request)
        elif is_complete:
            fleet.inherited_requests.discard(key)
            _resolve_unlocated(fleet, request)


def _resolve_unlocated(
    fleet: fleets.Fleet, request: fleets.AssignedRequest
) -> None:
    """Handles a request that is in no inventory.

    A repeatable request is queued again. One that is not repeatable may have
    run, and is handed back to its ledger partition; so is a cancelled one.
    """
    if request.cancelled:
        detail = 'cancelled while it was looked for'
        report_end(fleet, request, reports.Returned('cancelled', detail, True))
        return
    if request.assignment.req.repeatable:
        scheduling.add_waiting(fleet.scheduler, request.assignment)
        signals.notify(fleet.scheduling_needed)
        return
    detail = 'the fleet partition changed its owner and no worker shows it'
    report_end(
        fleet, request, reports.Returned('lost', detail, may_have_run=True)
    )


def update_task(
    fleet: fleets.Fleet,
    worker_id: str,
    entry: workers.InventoryEntry,
    now_ms: int,
) -> None:
    """Applies the state of a task that its worker has sent.

    Args:
      fleet: The fleet partition.
      worker_id: The worker.
      entry: The task and its state.
      now_ms: Wall clock time in ms.
    """
    session = fleet.sessions[worker_id]
    before = session.tasks.get(entry.task)
    fleets.set_task(fleet, session, entry)
    if entry.state is not workers.TaskState.RUNNING:
        if before is None or before.state is workers.TaskState.RUNNING:
            _record_task_end(fleet, worker_id, entry, now_ms)
        scheduling.release(fleet.scheduler, entry.task)
    elif before is None:
        allocation = scheduling.Allocation(worker_id, entry.team, entry.size)
        scheduling.allocate(fleet.scheduler, entry.task, allocation)
    signals.notify(fleet.scheduling_needed)
    request = fleet.requests.get(entry.task.request_key)
    if request is None or request.assignment.attempt != entry.task.attempt:
        fleet.has_orphans = True
        return
    if not request.runs:
        return
    run = request.runs[entry.task.member]
    run.worker_id = worker_id
    run.state = _STATES[entry.state]
    run.answer = entry.answer
    run.detail = entry.detail
    process_member_states(fleet, request)


def _record_task_end(
    fleet: fleets.Fleet,
    worker_id: str,
    entry: workers.InventoryEntry,
    now_ms: int,
) -> None:
    """Records how a task ended, as the scheduler avoids workers that fail."""
    key = entry.task.request_key
    if entry.state is workers.TaskState.FINISHED:
        scheduling.record_success(fleet.scheduler, worker_id, now_ms, key)
    elif entry.state is workers.TaskState.FAILED:
        scheduling.record_failure(fleet.scheduler, worker_id, key, now_ms)


def process_member_states(
    fleet: fleets.Fleet, request: fleets.AssignedRequest
) -> None:
    """Reports or stops a request as the states of its members require."""
    states = {run.state for run in request.runs}
    if request.reported or not states:
        return
    if request.cancelled and states & {'starting', 'running'}:
        stop(fleet, request, 'cancelled')
    if states == {'running'}:
        places = tuple(run.worker_id for run in request.runs)
        report = fleets.make_report(fleet, request, reports.Running(places))
        fleets.add_report(fleet, request, report)
    if states == {'finished'}:
        answers = tuple(run.answer for run in request.runs)
        report_end(fleet, request, reports.Ended(outcomes.Finished(answers)))
    elif states & {'failed', 'stopped'}:
        if states & {'starting', 'running'}:
            stop(fleet, request, request.stop_reason or 'stopped')
        else:
            report_end(fleet, request, _make_end_update(request))


def _make_end_update(
    request: fleets.AssignedRequest,
) -> reports.Ended | reports.Returned:
    """Returns the update for a request that has ended without success."""
    detail = next(
        run.detail for run in request.runs if run.state in ('failed', 'stopped')
    )
    failed = any(run.state == 'failed' for run in request.runs)
    if request.cancelled:
        return reports.Ended(
            outcomes.Cancelled(started=request.may_have_started)
        )
    if failed and not request.assignment.req.repeatable:
        reason = outcomes.FailureReason.TASK_FAILED
        return reports.Ended(outcomes.Failed(reason, detail, started=True))
    reason_text = 'failed' if failed else request.stop_reason or 'stopped'
    return reports.Returned(
        reason_text, detail, may_have_run=request.may_have_started
    )


def stop(
    fleet: fleets.Fleet, request: fleets.AssignedRequest, reason: str
) -> None:
    """Stops all members of a request that run, may run or are to be started."""
    request.stop_reason = request.stop_reason or reason
    was_placed = is_placed(request)
    for task, run in zip(
        fleets.list_task_ids(request), request.runs, strict=True
    ):
        session = fleet.sessions.get(run.worker_id)
        if run.state == 'placed':
            _release_member(fleet, task, run, reason)
        elif session is not None and run.state in ('starting', 'running'):
            session.unsent_stops.add(task)
            signals.notify(session.send_needed)
    if was_placed:
        process_member_states(fleet, request)


def is_placed(request: fleets.AssignedRequest) -> bool:
    """Returns whether a request has workers but no start command yet."""
    return bool(request.runs) and all(
        run.state == 'placed' for run in request.runs
    )


def _release_placed_members(
    fleet: fleets.Fleet, request: fleets.AssignedRequest
) -> None:
    """Releases the resources of members without a start command."""
    for task, run in zip(
        fleets.list_task_ids(request), request.runs, strict=False
    ):
        if run.state == 'placed':
            _release_member(fleet, task, run, 'assigned anew')


def _release_member(
    fleet: fleets.Fleet,
    task: workers.TaskId,
    run: fleets.MemberRun,
    reason: str,
) -> None:
    run.state = 'stopped'
    run.detail = reason
    scheduling.release(fleet.scheduler, task)


def report_end(
    fleet: fleets.Fleet,
    request: fleets.AssignedRequest,
    update: reports.Ended | reports.Returned,
) -> None:
    """Reports the end of the current attempt of a request, once."""
    if request.reported:
        return
    request.reported = True
    fleets.add_report(
        fleet, request, fleets.make_report(fleet, request, update)
    )


def return_unstarted_requests(fleet: fleets.Fleet) -> None:
    """Hands unstarted, non-repeatable requests back to ledger partitions.

    The next owner could not tell that they never started.
    """
    for key, request in list(fleet.requests.items()):
        if request.assignment.req.repeatable or request.reported:
            continue
        if scheduling.remove_waiting(fleet.scheduler, key):
            update = reports.Returned('handover', '', may_have_run=False)
            report_end(fleet, request, update)
        elif is_placed(request):
            stop(fleet, request, 'handover')


def withdraw(fleet: fleets.Fleet, key: str) -> None:
    """Cancels a request that its ledger partition has withdrawn."""
    request = fleet.requests.get(key)
    if request is None or request.reported:
        return
    request.cancelled = True
    if scheduling.remove_waiting(fleet.scheduler, key):
        update = reports.Returned('cancelled', 'withdrawn', may_have_run=False)
        report_end(fleet, request, update)
    elif request.runs:
        stop(fleet, request, 'cancelled')


def forget(fleet: fleets.Fleet, report: reports.Report, now_ms: int) -> None:
    """Forgets a request whose end is durable, here and on its workers."""
    request = fleet.requests.get(report.request_key)
    if request is None or not request.reported:
        return
    if request.assignment.attempt != report.attempt:
        return
    del fleet.requests[report.request_key]
    fleet.recent_ends[report.request_key] = (report.attempt, now_ms)
    for task, run in zip(
        fleets.list_task_ids(request), request.runs, strict=False
    ):
        acknowledge(fleet, run.worker_id, task)
    _forget_old_ends(fleet, now_ms)


def acknowledge(
    fleet: fleets.Fleet, worker_id: str, task: workers.TaskId
) -> None:
    """Lets a worker forget an ended task."""
    session = fleet.sessions.get(worker_id)
    if session is None or task not in session.tasks:
        return
    if session.tasks[task].state is not workers.TaskState.RUNNING:
        fleets.drop_task(fleet, session, task)
        session.acknowledged.add(task)


def _forget_old_ends(fleet: fleets.Fleet, now_ms: int) -> None:
    """Removes ends past the retention time; they are sorted by time."""
    while fleet.recent_ends:
        key = next(iter(fleet.recent_ends))
        if now_ms - fleet.recent_ends[key][1] < ENDED_RETENTION_MS:
            return
        del fleet.recent_ends[key]


def stop_orphans(fleet: fleets.Fleet, ledgers: int) -> None:
    """Stops tasks without a request, once all assignments have arrived."""
    if len(fleet.complete_ledgers) < ledgers or not fleet.has_orphans:
        return
    fleet.has_orphans = False
    for worker_id, session in fleet.sessions.items():
        for task, entry in list(session.tasks.items()):
            request = fleet.requests.get(task.request_key)
            if (
                request is not None
                and request.assignment.attempt == task.attempt
            ):
                continue
            if entry.state is workers.TaskState.RUNNING:
                session.unsent_stops.add(task)
                signals.notify(session.send_needed)
            else:
                acknowledge(fleet, worker_id, task)


def _return_placed_requests(fleet: fleets.Fleet, worker_id: str) -> None:
    """Hands back placed requests that have a member on a lost worker.

    They wait for permission to start, so none of their members has started.
    """
    for pending_starts in fleet.pending_starts.values():
        for key in list(pending_starts.attempts):
            request = fleet.requests.get(key)
            if request is None or not is_placed(request):
                continue
            if any(run.worker_id == worker_id for run in request.runs):
                del pending_starts.attempts[key]
                stop(fleet, request, 'lost')


def handle_lost_worker(fleet: fleets.Fleet, worker_id: str) -> None:
    """Removes a worker whose task leases have expired, and ends its tasks."""
    session = fleet.sessions.pop(worker_id)
    # If the list still has the worker, processing it opens a new session.
    fleet.last_worker_list = None
    session.closed = True
    signals.notify(session.send_needed)
    scheduling.forget_worker(fleet.scheduler, worker_id)
    _return_placed_requests(fleet, worker_id)
    for task, entry in list(session.tasks.items()):
        fleets.drop_task(fleet, session, task)
        request = fleet.requests.get(task.request_key)
        if (
            request is None
            or not request.runs
            or request.assignment.attempt != task.attempt
        ):
            continue
        if entry.state is workers.TaskState.RUNNING:
            run = request.runs[task.member]
            run.state = 'stopped'
            run.detail = f'worker {worker_id} was lost'
            process_member_states(fleet, request)
    signals.notify(fleet.scheduling_needed)
