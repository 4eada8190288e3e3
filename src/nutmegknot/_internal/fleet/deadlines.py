"""Ending waiting jobs whose deadline has passed."""

import heapq

from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import jobs
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import reports
from nutmegknot._internal.models import requests


def watch(fleet: fleets.Fleet, given: partitions.Assignment) -> None:
    """Takes note of an assignment's deadline, if it has one."""
    if given.req.deadline_ms:
        key = requests.get_key(given.req)
        heapq.heappush(fleet.deadlines, (given.req.deadline_ms, key))


def expire(fleet: fleets.Fleet, now_ms: int) -> None:
    """Gives back the waiting jobs whose deadline lies before now_ms.

    Args:
      fleet: The fleet partition.
      now_ms: Wall clock instant in ms.
    """
    while fleet.deadlines and fleet.deadlines[0][0] < now_ms:
        _, key = heapq.heappop(fleet.deadlines)
        job = fleet.jobs.get(key)
        if job is None or not scheduling.remove_waiting(fleet.scheduler, key):
            continue
        detail = 'its deadline passed before there was room for it'
        news = reports.Returned('deadline', detail, may_have_run=False)
        jobs.end(fleet, job, news)
