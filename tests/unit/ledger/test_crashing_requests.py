"""Requests that crash the workers that start them."""

from lib import ledger_partitions
from lib import makers

from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import workers

KEY = 't/job'
# Three crashes, and less than three starts after them.
MAX_STARTS = 5


def lose_worker() -> reports.Returned:
    """Returns what a fleet partition reports when a worker has crashed."""
    fleet = makers.make_fleet(['w1'])
    makers.claim(fleet, 'w1')
    assigned_requests.add_assignment(fleet, makers.make_assignment('job'))
    fleet.scheduler.waiting.pop(KEY)
    fleet.requests[KEY].runs = [fleets.MemberRun('w1', 'running')]
    entry = makers.make_entry(workers.TaskId(KEY))
    assigned_requests.update_task(fleet, 'w1', entry, 1_000)
    assigned_requests.handle_lost_worker(fleet, 'w1')
    updates = [
        report.update
        for outbox in fleet.outboxes.values()
        for report in outbox.unsent_reports
    ]
    assert isinstance(updates[-1], reports.Returned)
    return updates[-1]


async def test_a_request_that_crashes_its_workers_is_given_up() -> None:
    """Guards against a request that crashes one worker after another.

    An attempt that was lost with its worker counts for nothing, as in jobs/
    before the incident of issue 25.
    """
    owner = await ledger_partitions.take_over(ledger_partitions.Environment())
    await request_operations.submit(
        owner.ledger, owner.context, makers.make_request('job'), 1_000
    )
    for attempt in range(MAX_STARTS):
        report = reports.Report(
            KEY, attempt, ledger_partitions.FLEET_PARTITION, 1, lose_worker()
        )
        await report_processing.process_reports(
            owner.ledger, owner.context, [report]
        )
    outcome = request_operations.get_outcome(owner.ledger, KEY)
    await ledger_partitions.stop(owner)
    assert isinstance(outcome, outcomes.Failed)
