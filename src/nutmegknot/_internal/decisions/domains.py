"""Failure domains that are taken out and brought back.

A closed domain places nothing and moves its running work in batches, so that
the rest of the fleet does not get all of it at once. A reopened one fills up
over some time, so that workers that turn out bad do little harm.
"""

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import reservations
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# Part of the capacity that a reopened domain may use at once.
_FIRST_PART = 0.1
# Batches, at least, in which the work of a closed domain is moved.
_BATCHES = 20


def is_closed(sched: states.Scheduler) -> bool:
    """Tells whether operators have taken the partition's domain out."""
    domain = sched.configuration.domains.get(sched.domain)
    return domain is not None and domain.state is workers.DomainState.CLOSED


def follow_state(sched: states.Scheduler, now_ms: int) -> None:
    """Takes note of when the domain was closed or opened."""
    if is_closed(sched):
        if not sched.closed_ms:
            sched.closed_ms = now_ms
            sched.drained = 0
            sched.to_drain = len(sched.running)
    elif sched.closed_ms:
        sched.closed_ms = 0
        sched.opened_ms = now_ms


def drain(sched: states.Scheduler, now_ms: int) -> list[actions.Decision]:
    """Moves running work off a closed domain, in order of worth.

    Services go first, so that their replacements start elsewhere before batch
    work asks for the same room. Work that is not repeatable runs to its end,
    and so does what is expected to end soon. The rest is moved early, as it
    loses more the longer it runs.
    """
    elapsed_ms = now_ms - sched.closed_ms + 1
    part = min(1.0, elapsed_ms / sched.policy.drain_ms)
    due = int(sched.to_drain * part + 1) - sched.drained
    due = min(due, sched.to_drain // _BATCHES + 1)
    if due <= 0:
        return []
    movable = [
        run
        for run in sched.running.values()
        if not run.stopping
        and run.given.req.repeatable
        and not _ends_soon(sched, run, now_ms)
    ]
    movable.sort(key=_rank)
    sched.drained += min(due, len(movable))
    return [preemption.stop(run, 'domain') for run in movable[:due]]


def _ends_soon(sched: states.Scheduler, run: states.Run, now_ms: int) -> bool:
    """Tells whether a run is expected to end within the time left to it."""
    key = requests.get_key(run.given.req)
    end_ms = reservations.expect_end(sched, key, now_ms)
    until_ms = max(now_ms, sched.closed_ms + sched.policy.finish_ms)
    return end_ms is not None and run.run_ms > 0 and end_ms <= until_ms


def _rank(run: states.Run) -> tuple[bool, int, int]:
    """Returns the worth of moving a run; the lowest goes first."""
    req = run.given.req
    return (not req.service, req.priority, -run.started_ms)


def may_fill(
    sched: states.Scheduler, more: resources.Resources, now_ms: int
) -> bool:
    """Tells whether a partition may hold more while it is filling up again."""
    if not sched.opened_ms:
        return True
    part = (now_ms - sched.opened_ms) / max(1, sched.policy.ramp_ms)
    if part >= 1.0:
        sched.opened_ms = 0
        return True
    used = resources.add(sched.used, more)
    share = resources.compute_dominant_share(used, sched.capacity)
    return share <= max(part, _FIRST_PART)
