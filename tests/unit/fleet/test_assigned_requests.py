"""Tests of fleet/assigned_requests.py.

They guard against a second run of a request, a wrong report of its end, and
resources or tasks that stay behind.
"""

from lib import makers

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import workers

NOW_MS = 1000
RUNNING = workers.TaskState.RUNNING
FINISHED = workers.TaskState.FINISHED
STOPPED = workers.TaskState.STOPPED


def list_updates(fleet: fleets.Fleet) -> list[object]:
    return [
        report.update
        for outbox in fleet.outboxes.values()
        for report in outbox.unsent_reports
    ]


def run_on_worker(
    fleet: fleets.Fleet, name: str, key: str, worker: str
) -> None:
    """Adds a request that runs on a worker."""
    assigned_requests.add_assignment(fleet, makers.make_assignment(name))
    fleet.scheduler.waiting.pop(key)
    fleet.requests[key].runs = [fleets.MemberRun(worker, 'running')]
    entry = makers.make_entry(workers.TaskId(key))
    assigned_requests.update_task(fleet, worker, entry, NOW_MS)


def test_assignment_of_current_epoch_is_queued_at_once() -> None:
    fleet = makers.make_fleet(['w1'])
    assigned_requests.add_assignment(fleet, makers.make_assignment('a'))
    assert list(fleet.scheduler.waiting) == ['t/a']


def test_assignment_of_earlier_epoch_waits_for_every_inventory() -> None:
    fleet = makers.make_fleet(['w1', 'w2'], epoch=2)
    assigned_requests.add_assignment(
        fleet, makers.make_assignment('a', epoch=1)
    )
    makers.claim(fleet, 'w1')
    assigned_requests.resolve_inherited_requests(fleet)
    assert not fleet.scheduler.waiting
    makers.claim(fleet, 'w2')
    assigned_requests.resolve_inherited_requests(fleet)
    assert list(fleet.scheduler.waiting) == ['t/a']


def test_running_task_is_adopted_and_not_started_again() -> None:
    fleet = makers.make_fleet(['w1', 'w2'], epoch=2)
    assigned_requests.add_assignment(
        fleet, makers.make_assignment('a', epoch=1)
    )
    makers.claim(fleet, 'w1')
    entry = makers.make_entry(workers.TaskId('t/a'))
    assigned_requests.update_task(fleet, 'w1', entry, NOW_MS)
    assigned_requests.resolve_inherited_requests(fleet)
    makers.claim(fleet, 'w2')
    assigned_requests.resolve_inherited_requests(fleet)
    assert not fleet.scheduler.waiting
    assert list_updates(fleet) == [reports.Running(('w1',))]


def test_non_repeatable_of_earlier_epoch_is_never_restarted() -> None:
    fleet = makers.make_fleet(['w1'], epoch=2)
    assignment = makers.make_assignment('a', epoch=1, repeatable=False)
    assigned_requests.add_assignment(fleet, assignment)
    makers.claim(fleet, 'w1')
    assigned_requests.resolve_inherited_requests(fleet)
    assert not fleet.scheduler.waiting
    (update,) = list_updates(fleet)
    assert isinstance(update, reports.Returned)
    assert update.may_have_run


def test_late_copy_of_ended_assignment_is_ignored() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    run_on_worker(fleet, 'a', 't/a', 'w1')
    ended = makers.make_entry(workers.TaskId('t/a'), FINISHED, b'x')
    assigned_requests.update_task(fleet, 'w1', ended, NOW_MS)
    outbox = fleet.outboxes['ledger-0']
    assert outbox.unsent_reports[-1].update == reports.Ended(
        outcomes.Finished((b'x',))
    )
    assigned_requests.forget(fleet, outbox.unsent_reports[-1], NOW_MS)
    assert fleet.sessions['w1'].acknowledged == {workers.TaskId('t/a')}
    assigned_requests.add_assignment(fleet, makers.make_assignment('a'))
    assert not fleet.requests


def test_lost_worker_returns_repeatable_request() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    run_on_worker(fleet, 'a', 't/a', 'w1')
    assigned_requests.handle_lost_worker(fleet, 'w1')
    update = list_updates(fleet)[-1]
    assert isinstance(update, reports.Returned)
    assert not fleet.task_workers
    assert not fleet.scheduler.allocations


def test_one_stopped_member_stops_all_members() -> None:
    fleet = makers.make_fleet(['w1', 'w2'])
    for name in ('w1', 'w2'):
        makers.claim(fleet, name)
    assigned_requests.add_assignment(
        fleet, makers.make_assignment('g', members=2)
    )
    fleet.scheduler.waiting.clear()
    request = fleet.requests['t/g']
    request.runs = [fleets.MemberRun(n, 'running') for n in ('w1', 'w2')]
    for member, name in enumerate(('w1', 'w2')):
        entry = makers.make_entry(workers.TaskId('t/g', member))
        assigned_requests.update_task(fleet, name, entry, NOW_MS)
    stopped = makers.make_entry(workers.TaskId('t/g', 0), STOPPED)
    assigned_requests.update_task(fleet, 'w1', stopped, NOW_MS)
    assert fleet.sessions['w2'].unsent_stops == {workers.TaskId('t/g', 1)}
    assert not request.reported
    other = makers.make_entry(workers.TaskId('t/g', 1), STOPPED)
    assigned_requests.update_task(fleet, 'w2', other, NOW_MS)
    assert isinstance(list_updates(fleet)[-1], reports.Returned)


def test_orphans_are_stopped_only_after_all_assignments_arrived() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    task = workers.TaskId('t/x')
    assigned_requests.update_task(fleet, 'w1', makers.make_entry(task), NOW_MS)
    fleet.complete_ledgers = {'ledger-0'}
    assigned_requests.stop_orphans(fleet, ledgers=2)
    assert not fleet.sessions['w1'].unsent_stops
    fleet.complete_ledgers.add('ledger-1')
    assigned_requests.stop_orphans(fleet, ledgers=2)
    assert fleet.sessions['w1'].unsent_stops == {task}


def test_cancelled_request_found_on_a_worker_is_stopped() -> None:
    fleet = makers.make_fleet(['w1'], epoch=2)
    assigned_requests.add_assignment(
        fleet, makers.make_assignment('a', epoch=1)
    )
    assigned_requests.withdraw(fleet, 't/a')
    makers.claim(fleet, 'w1')
    entry = makers.make_entry(workers.TaskId('t/a'))
    assigned_requests.update_task(fleet, 'w1', entry, NOW_MS)
    assigned_requests.resolve_inherited_requests(fleet)
    assert fleet.sessions['w1'].unsent_stops == {workers.TaskId('t/a')}
    ended = makers.make_entry(workers.TaskId('t/a'), STOPPED)
    assigned_requests.update_task(fleet, 'w1', ended, NOW_MS)
    assert list_updates(fleet)[-1] == reports.Ended(outcomes.Cancelled(True))


def place_without_start(fleet: fleets.Fleet) -> fleets.AssignedRequest:
    """Adds a non-repeatable request that has a worker and was not started."""
    makers.claim(fleet, 'w1')
    assignment = makers.make_assignment('n', repeatable=False)
    assigned_requests.add_assignment(fleet, assignment)
    scheduling.decide(fleet.scheduler, NOW_MS)
    request = fleet.requests['t/n']
    request.runs = [fleets.MemberRun('w1')]
    fleet.pending_starts['ledger-0'] = fleets.PendingStarts({'t/n': 0})
    return request


def test_cancelled_request_that_never_started_has_not_run() -> None:
    fleet = makers.make_fleet(['w1'])
    request = place_without_start(fleet)
    assigned_requests.withdraw(fleet, 't/n')
    assert list_updates(fleet) == [reports.Ended(outcomes.Cancelled(False))]
    assert request.reported
    assert not fleet.scheduler.allocations
    assert not fleet.sessions['w1'].unsent_stops


def test_lost_worker_returns_unstarted_requests() -> None:
    fleet = makers.make_fleet(['w1'])
    place_without_start(fleet)
    assigned_requests.handle_lost_worker(fleet, 'w1')
    assert list_updates(fleet) == [reports.Returned('lost', 'lost', False)]


def test_handover_returns_unstarted_requests() -> None:
    fleet = makers.make_fleet(['w1'])
    place_without_start(fleet)
    waiting = makers.make_assignment('m', repeatable=False)
    assigned_requests.add_assignment(fleet, waiting)
    assigned_requests.add_assignment(fleet, makers.make_assignment('r'))
    assigned_requests.return_unstarted_requests(fleet)
    returned = [
        report.request_key
        for report in fleet.outboxes['ledger-0'].unsent_reports
    ]
    assert returned == ['t/n', 't/m']
    assert all(not update.may_have_run for update in list_updates(fleet))  # type: ignore[attr-defined]
