"""Life of a job: taking it over, following its members, reporting its end."""

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import signals

REMEMBER_ENDED_MS = 60_000

_STATES = {
    workers.TaskState.RUNNING: 'running',
    workers.TaskState.FINISHED: 'finished',
    workers.TaskState.FAILED: 'failed',
    workers.TaskState.STOPPED: 'stopped',
}


def take_assignment(fleet: fleets.Fleet, given: partitions.Assignment) -> None:
    """Takes an assignment; taking it twice changes nothing."""
    key = requests.get_key(given.req)
    known = fleet.jobs.get(key)
    if known is not None and known.given.attempt >= given.attempt:
        return
    if key in fleet.ended and fleet.ended[key][0] >= given.attempt:
        return
    if known is not None:
        # Members of the attempt that is over are still to be forgotten.
        fleet.has_orphans = True
        _drop_placed(fleet, known)
    job = fleets.Job(given)
    fleet.jobs[key] = job
    if given.fleet_epoch == fleet.epoch:
        # No earlier owner had it, so no worker can have it.
        scheduling.add_waiting(fleet.scheduler, given)
    else:
        fleet.held.add(key)
    signals.notify(fleet.changed)


def _adopt(fleet: fleets.Fleet, job: fleets.Job) -> bool:
    """Finds the members of a job among the inventories."""
    runs = []
    for task in fleets.list_task_ids(job):
        worker_id = fleet.places.get(task)
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
    if any(not run.worker_id for run in runs) and not fleets.is_whole(fleet):
        return False
    job.runs = runs
    job.ordered = True
    # It has run for no longer than since its acceptance.
    given = job.given
    scheduling.note_running(fleet.scheduler, given, given.accepted_ms)
    return True


def resolve_held(fleet: fleets.Fleet) -> None:
    """Decides on jobs of an earlier epoch once the inventories allow it.

    A job that some worker shows is taken over at once. One that none shows may
    be on a worker that has not been claimed yet, and waits for it.
    """
    whole = fleets.is_whole(fleet)
    for key in sorted(fleet.held):
        job = fleet.jobs[key]
        if _adopt(fleet, job):
            fleet.held.discard(key)
            follow(fleet, job)
        elif whole:
            fleet.held.discard(key)
            _restart(fleet, job)


def _restart(fleet: fleets.Fleet, job: fleets.Job) -> None:
    """Queues a job that no worker shows, or gives up one that may have run."""
    if job.cancelled:
        detail = 'cancelled while it was looked for'
        end(fleet, job, reports.Returned('cancelled', detail, True))
        return
    if job.given.req.repeatable:
        scheduling.add_waiting(fleet.scheduler, job.given)
        signals.notify(fleet.changed)
        return
    detail = 'the fleet partition changed its owner and no worker shows it'
    end(fleet, job, reports.Returned('lost', detail, may_have_run=True))


def take_entry(
    fleet: fleets.Fleet,
    worker_id: str,
    entry: workers.InventoryEntry,
    now_ms: int,
) -> None:
    """Takes the state of a task as its worker shows it.

    Args:
      fleet: The fleet partition.
      worker_id: The worker.
      entry: What it shows.
      now_ms: Wall clock instant in ms.
    """
    session = fleet.sessions[worker_id]
    before = session.tasks.get(entry.task)
    fleets.set_task(fleet, session, entry)
    if entry.state is not workers.TaskState.RUNNING:
        if before is None or before.state is workers.TaskState.RUNNING:
            _note_end(fleet, worker_id, entry, now_ms)
        scheduling.release(fleet.scheduler, entry.task)
    elif before is None:
        held = scheduling.Held(worker_id, entry.team, entry.size)
        scheduling.hold(fleet.scheduler, entry.task, held)
    signals.notify(fleet.changed)
    job = fleet.jobs.get(entry.task.request_key)
    if job is None or job.given.attempt != entry.task.attempt:
        fleet.has_orphans = True
        return
    if not job.runs:
        return
    run = job.runs[entry.task.member]
    run.worker_id = worker_id
    run.state = _STATES[entry.state]
    run.answer = entry.answer
    run.detail = entry.detail
    follow(fleet, job)


def _note_end(
    fleet: fleets.Fleet,
    worker_id: str,
    entry: workers.InventoryEntry,
    now_ms: int,
) -> None:
    """Tells the decisions how a task ended, as workers may be at fault."""
    key = entry.task.request_key
    if entry.state is workers.TaskState.FINISHED:
        scheduling.note_success(fleet.scheduler, worker_id, now_ms, key)
    elif entry.state is workers.TaskState.FAILED:
        scheduling.note_failure(fleet.scheduler, worker_id, key, now_ms)


def follow(fleet: fleets.Fleet, job: fleets.Job) -> None:
    """Acts on the present states of a job's members."""
    states = {run.state for run in job.runs}
    if job.reported or not states:
        return
    if job.cancelled and states & {'starting', 'running'}:
        stop(fleet, job, 'cancelled')
    if states == {'running'}:
        places = tuple(run.worker_id for run in job.runs)
        report = fleets.make_report(fleet, job, reports.Running(places))
        fleets.add_report(fleet, job, report)
    if states == {'finished'}:
        answers = tuple(run.answer for run in job.runs)
        end(fleet, job, reports.Ended(outcomes.Finished(answers)))
    elif states & {'failed', 'stopped'}:
        if states & {'starting', 'running'}:
            stop(fleet, job, job.stopping or 'stopped')
        else:
            end(fleet, job, _judge_end(job))


def _judge_end(job: fleets.Job) -> reports.Ended | reports.Returned:
    """Returns the news of a job of which no member runs any more."""
    detail = next(
        run.detail for run in job.runs if run.state in ('failed', 'stopped')
    )
    failed = any(run.state == 'failed' for run in job.runs)
    if job.cancelled:
        return reports.Ended(outcomes.Cancelled(started=job.ordered))
    if failed and not job.given.req.repeatable:
        reason = outcomes.FailureReason.TASK_FAILED
        return reports.Ended(outcomes.Failed(reason, detail, started=True))
    reason_text = 'failed' if failed else job.stopping or 'stopped'
    return reports.Returned(reason_text, detail, may_have_run=job.ordered)


def stop(fleet: fleets.Fleet, job: fleets.Job, reason: str) -> None:
    """Has the members of a job that run or may run stopped."""
    job.stopping = job.stopping or reason
    was_placed = is_placed(job)
    for task, run in zip(fleets.list_task_ids(job), job.runs, strict=True):
        session = fleet.sessions.get(run.worker_id)
        if run.state == 'placed':
            _drop_place(fleet, task, run, reason)
        elif session is not None and run.state in ('starting', 'running'):
            session.stops.add(task)
            signals.notify(session.wake)
    if was_placed:
        follow(fleet, job)


def is_placed(job: fleets.Job) -> bool:
    """Tells whether a job has places but no start order yet."""
    return bool(job.runs) and all(run.state == 'placed' for run in job.runs)


def _drop_placed(fleet: fleets.Fleet, job: fleets.Job) -> None:
    """Frees the places of a job that was never ordered to start."""
    for task, run in zip(fleets.list_task_ids(job), job.runs, strict=False):
        if run.state == 'placed':
            _drop_place(fleet, task, run, 'assigned anew')


def _drop_place(
    fleet: fleets.Fleet,
    task: workers.TaskId,
    run: fleets.MemberRun,
    reason: str,
) -> None:
    run.state = 'stopped'
    run.detail = reason
    scheduling.release(fleet.scheduler, task)


def end(
    fleet: fleets.Fleet,
    job: fleets.Job,
    news: reports.Ended | reports.Returned,
) -> None:
    """Reports the end of a job's present attempt."""
    if job.reported:
        return
    job.reported = True
    fleets.add_report(fleet, job, fleets.make_report(fleet, job, news))


def give_back_unbegun(fleet: fleets.Fleet) -> None:
    """Gives back non-repeatable jobs that no start order was queued for.

    The next owner could not know that they never began.
    """
    for key, job in list(fleet.jobs.items()):
        if job.given.req.repeatable or job.reported:
            continue
        if scheduling.remove_waiting(fleet.scheduler, key):
            news = reports.Returned('handover', '', may_have_run=False)
            end(fleet, job, news)
        elif is_placed(job):
            stop(fleet, job, 'handover')


def withdraw(fleet: fleets.Fleet, key: str) -> None:
    """Ends a job on the caller's wish."""
    job = fleet.jobs.get(key)
    if job is None or job.reported:
        return
    job.cancelled = True
    if scheduling.remove_waiting(fleet.scheduler, key):
        news = reports.Returned('cancelled', 'withdrawn', may_have_run=False)
        end(fleet, job, news)
    elif job.runs:
        stop(fleet, job, 'cancelled')


def forget(fleet: fleets.Fleet, report: reports.Report, now_ms: int) -> None:
    """Lets workers forget a job whose end is durable."""
    job = fleet.jobs.get(report.request_key)
    if job is None or not job.reported:
        return
    if job.given.attempt != report.attempt:
        return
    del fleet.jobs[report.request_key]
    fleet.ended[report.request_key] = (report.attempt, now_ms)
    for task, run in zip(fleets.list_task_ids(job), job.runs, strict=False):
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
    """Drops the oldest remembered ends; they are in order of time."""
    while fleet.ended:
        key = next(iter(fleet.ended))
        if now_ms - fleet.ended[key][1] < REMEMBER_ENDED_MS:
            return
        del fleet.ended[key]


def stop_orphans(fleet: fleets.Fleet, ledgers: int) -> None:
    """Stops what no ledger partition knows, once all have listed theirs."""
    if len(fleet.complete) < ledgers or not fleet.has_orphans:
        return
    fleet.has_orphans = False
    for worker_id, session in fleet.sessions.items():
        for task, entry in list(session.tasks.items()):
            job = fleet.jobs.get(task.request_key)
            if job is not None and job.given.attempt == task.attempt:
                continue
            if entry.state is workers.TaskState.RUNNING:
                session.stops.add(task)
                signals.notify(session.wake)
            else:
                acknowledge(fleet, worker_id, task)


def _return_placed(fleet: fleets.Fleet, worker_id: str) -> None:
    """Gives back jobs that have a place on a lost worker and never began."""
    for asking in fleet.asking.values():
        for key in list(asking.waiting):
            job = fleet.jobs.get(key)
            if job is None or not is_placed(job):
                continue
            if any(run.worker_id == worker_id for run in job.runs):
                del asking.waiting[key]
                stop(fleet, job, 'lost')


def lose_worker(fleet: fleets.Fleet, worker_id: str) -> None:
    """Ends what a worker ran whose leases have all lapsed."""
    session = fleet.sessions.pop(worker_id)
    # It may be listed all the same, and then gets a new session.
    fleet.taken_list = None
    session.closed = True
    signals.notify(session.wake)
    scheduling.forget_worker(fleet.scheduler, worker_id)
    _return_placed(fleet, worker_id)
    for task, entry in list(session.tasks.items()):
        fleets.drop_task(fleet, session, task)
        job = fleet.jobs.get(task.request_key)
        if job is None or not job.runs or job.given.attempt != task.attempt:
            continue
        if entry.state is workers.TaskState.RUNNING:
            run = job.runs[task.member]
            run.state = 'stopped'
            run.detail = f'worker {worker_id} was lost'
            follow(fleet, job)
    signals.notify(fleet.changed)
