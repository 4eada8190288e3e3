"""Deadlines of waiting requests."""

import heapq

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests


def add_deadline(
    fleet: fleets.Fleet, assignment: partitions.Assignment
) -> None:
    """Records the deadline of an assignment, if it has one."""
    if assignment.req.deadline_ms:
        key = requests.get_key(assignment.req)
        heapq.heappush(fleet.deadlines, (assignment.req.deadline_ms, key))


def expire(fleet: fleets.Fleet, now_ms: int) -> None:
    """Ends waiting requests whose deadline is before now_ms.

    Each is reported to its ledger partition as not having run.

    Args:
      fleet: The fleet partition.
      now_ms: Wall clock time in ms.
    """
    while fleet.deadlines and fleet.deadlines[0][0] < now_ms:
        _, key = heapq.heappop(fleet.deadlines)
        request = fleet.requests.get(key)
        if request is None or not scheduling.remove_waiting(
            fleet.scheduler, key
        ):
            continue
        detail = 'its deadline passed before there was room for it'
        update = reports.Returned('deadline', detail, may_have_run=False)
        assigned_requests.report_end(fleet, request, update)
