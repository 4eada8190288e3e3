"""Tests of fleet/jobs.py: no second run, no untrue end, no leak."""

from lib import makers

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import workers

NOW_MS = 1000
RUNNING = workers.TaskState.RUNNING
FINISHED = workers.TaskState.FINISHED
STOPPED = workers.TaskState.STOPPED


def list_news(fleet: fleets.Fleet) -> list[object]:
    return [
        report.news
        for outbox in fleet.outboxes.values()
        for report in outbox.waiting
    ]


def run_on(fleet: fleets.Fleet, name: str, key: str, worker: str) -> None:
    """Makes a waiting job run on a worker."""
    jobs.take_assignment(fleet, makers.make_assignment(name))
    fleet.scheduler.waiting.pop(key)
    fleet.jobs[key].runs = [fleets.MemberRun(worker, 'running')]
    entry = makers.make_entry(workers.TaskId(key))
    jobs.take_entry(fleet, worker, entry, NOW_MS)


def test_assignment_of_this_epoch_waits_for_nothing() -> None:
    fleet = makers.make_fleet(['w1'])
    jobs.take_assignment(fleet, makers.make_assignment('a'))
    assert list(fleet.scheduler.waiting) == ['t/a']


def test_assignment_of_earlier_epoch_waits_for_every_inventory() -> None:
    fleet = makers.make_fleet(['w1', 'w2'], epoch=2)
    jobs.take_assignment(fleet, makers.make_assignment('a', epoch=1))
    makers.claim(fleet, 'w1')
    jobs.resolve_held(fleet)
    assert not fleet.scheduler.waiting
    makers.claim(fleet, 'w2')
    jobs.resolve_held(fleet)
    assert list(fleet.scheduler.waiting) == ['t/a']


def test_running_task_is_adopted_and_not_started_again() -> None:
    fleet = makers.make_fleet(['w1', 'w2'], epoch=2)
    jobs.take_assignment(fleet, makers.make_assignment('a', epoch=1))
    makers.claim(fleet, 'w1')
    entry = makers.make_entry(workers.TaskId('t/a'))
    jobs.take_entry(fleet, 'w1', entry, NOW_MS)
    jobs.resolve_held(fleet)
    makers.claim(fleet, 'w2')
    jobs.resolve_held(fleet)
    assert not fleet.scheduler.waiting
    assert list_news(fleet) == [reports.Running(('w1',))]


def test_non_repeatable_of_earlier_epoch_is_never_restarted() -> None:
    fleet = makers.make_fleet(['w1'], epoch=2)
    given = makers.make_assignment('a', epoch=1, repeatable=False)
    jobs.take_assignment(fleet, given)
    makers.claim(fleet, 'w1')
    jobs.resolve_held(fleet)
    assert not fleet.scheduler.waiting
    (news,) = list_news(fleet)
    assert isinstance(news, reports.Returned)
    assert news.may_have_run


def test_late_copy_of_ended_assignment_is_ignored() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    run_on(fleet, 'a', 't/a', 'w1')
    ended = makers.make_entry(workers.TaskId('t/a'), FINISHED, b'x')
    jobs.take_entry(fleet, 'w1', ended, NOW_MS)
    outbox = fleet.outboxes['ledger-0']
    assert outbox.waiting[-1].news == reports.Ended(outcomes.Finished((b'x',)))
    jobs.forget(fleet, outbox.waiting[-1], NOW_MS)
    assert fleet.sessions['w1'].acknowledged == {workers.TaskId('t/a')}
    jobs.take_assignment(fleet, makers.make_assignment('a'))
    assert not fleet.jobs


def test_lost_worker_returns_repeatable_work() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    run_on(fleet, 'a', 't/a', 'w1')
    jobs.lose_worker(fleet, 'w1')
    news = list_news(fleet)[-1]
    assert isinstance(news, reports.Returned)
    assert not fleet.places
    assert not fleet.scheduler.held


def test_gang_with_one_stopped_member_is_stopped_whole() -> None:
    fleet = makers.make_fleet(['w1', 'w2'])
    for name in ('w1', 'w2'):
        makers.claim(fleet, name)
    jobs.take_assignment(fleet, makers.make_assignment('g', members=2))
    fleet.scheduler.waiting.clear()
    job = fleet.jobs['t/g']
    job.runs = [fleets.MemberRun(n, 'running') for n in ('w1', 'w2')]
    for member, name in enumerate(('w1', 'w2')):
        entry = makers.make_entry(workers.TaskId('t/g', member))
        jobs.take_entry(fleet, name, entry, NOW_MS)
    stopped = makers.make_entry(workers.TaskId('t/g', 0), STOPPED)
    jobs.take_entry(fleet, 'w1', stopped, NOW_MS)
    assert fleet.sessions['w2'].stops == {workers.TaskId('t/g', 1)}
    assert not job.reported
    other = makers.make_entry(workers.TaskId('t/g', 1), STOPPED)
    jobs.take_entry(fleet, 'w2', other, NOW_MS)
    assert isinstance(list_news(fleet)[-1], reports.Returned)


def test_orphans_are_stopped_only_once_every_ledger_has_listed() -> None:
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    task = workers.TaskId('t/x')
    jobs.take_entry(fleet, 'w1', makers.make_entry(task), NOW_MS)
    fleet.complete = {'ledger-0'}
    jobs.stop_orphans(fleet, ledgers=2)
    assert not fleet.sessions['w1'].stops
    fleet.complete.add('ledger-1')
    jobs.stop_orphans(fleet, ledgers=2)
    assert fleet.sessions['w1'].stops == {task}


def test_cancelled_job_found_on_a_worker_is_stopped() -> None:
    fleet = makers.make_fleet(['w1'], epoch=2)
    jobs.take_assignment(fleet, makers.make_assignment('a', epoch=1))
    jobs.withdraw(fleet, 't/a')
    makers.claim(fleet, 'w1')
    entry = makers.make_entry(workers.TaskId('t/a'))
    jobs.take_entry(fleet, 'w1', entry, NOW_MS)
    jobs.resolve_held(fleet)
    assert fleet.sessions['w1'].stops == {workers.TaskId('t/a')}
    ended = makers.make_entry(workers.TaskId('t/a'), STOPPED)
    jobs.take_entry(fleet, 'w1', ended, NOW_MS)
    assert list_news(fleet)[-1] == reports.Ended(outcomes.Cancelled(True))


def place_without_order(fleet: fleets.Fleet) -> fleets.Job:
    """Gives a non-repeatable job a place that has not begun."""
    makers.claim(fleet, 'w1')
    given = makers.make_assignment('n', repeatable=False)
    jobs.take_assignment(fleet, given)
    scheduling.decide(fleet.scheduler, NOW_MS)
    job = fleet.jobs['t/n']
    job.runs = [fleets.MemberRun('w1')]
    fleet.asking['ledger-0'] = fleets.Asking({'t/n': 0})
    return job


def test_cancelled_job_that_never_began_has_not_run() -> None:
    fleet = makers.make_fleet(['w1'])
    job = place_without_order(fleet)
    jobs.withdraw(fleet, 't/n')
    assert list_news(fleet) == [reports.Ended(outcomes.Cancelled(False))]
    assert job.reported
    assert not fleet.scheduler.held
    assert not fleet.sessions['w1'].stops


def test_lost_worker_gives_back_what_never_began() -> None:
    fleet = makers.make_fleet(['w1'])
    place_without_order(fleet)
    jobs.lose_worker(fleet, 'w1')
    assert list_news(fleet) == [reports.Returned('lost', 'lost', False)]
