"""Draining of closed failure domains, and gradual return of reopened ones.

A closed domain places no requests, and its running requests are moved away in
batches, so that the rest of the fleet does not get all of them at once. The
load of a reopened domain rises gradually, so that workers that turn out to be
faulty do little harm.
"""

from nutmegknot._internal.decisions import actions
from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

# Fraction of its capacity that a partition may use as soon as its domain is
# reopened.
_INITIAL_SHARE = 0.1
# Approximate minimum number of batches in which the running requests of a
# closed domain are moved.
_MIN_BATCHES = 20


def is_closed(sched: states.Scheduler) -> bool:
    """Returns whether operators have closed the partition's failure domain."""
    domain = sched.configuration.domains.get(sched.domain)
    return domain is not None and domain.state is workers.DomainState.CLOSED


def record_state_change(sched: states.Scheduler, now_ms: int) -> None:
    """Records the time at which the domain was closed or reopened.

    When it was closed, this also counts the requests that are to be moved.
    """
    if is_closed(sched):
        if not sched.closed_ms:
            sched.closed_ms = now_ms
            sched.drain_stopped = 0
            sched.drain_total = len(sched.running)
    elif sched.closed_ms:
        sched.closed_ms = 0
        sched.opened_ms = now_ms


def drain(sched: states.Scheduler, now_ms: int) -> list[actions.Decision]:
    """Stops the next batch of requests of a closed domain to move them away.

    Services go first, so that their replacements start elsewhere before batch
    work needs the same resources. Requests that are not repeatable and those
    expected to end soon are left to finish. The others are moved early, since
    they lose more work the longer they run.
    """
    elapsed_ms = now_ms - sched.closed_ms + 1
    fraction = min(1.0, elapsed_ms / sched.policy.drain_ms)
    due = int(sched.drain_total * fraction + 1) - sched.drain_stopped
    due = min(due, sched.drain_total // _MIN_BATCHES + 1)
    if due <= 0:
        return []
    movable = [
        run
        for run in sched.running.values()
        if not run.stop_reason
        and run.assignment.req.repeatable
        and not _is_left_to_finish(sched, run, now_ms)
    ]
    movable.sort(key=_get_move_rank)
    sched.drain_stopped += min(due, len(movable))
    return [preemption.mark_stopping(run, 'domain') for run in movable[:due]]


def _is_left_to_finish(
    sched: states.Scheduler, run: states.RunningRequest, now_ms: int
) -> bool:
    """Returns whether a run is left to finish because it should end in time.

    Its expected end is its start plus the mean run time. The estimate
    of a run that is past that time is not updated, since the run is likely to
    be near its end.
    """
    until_ms = sched.closed_ms + sched.policy.finish_ms
    if now_ms > until_ms or not run.run_ms:
        return False
    req = run.assignment.req
    mean_ms = estimates.estimate_run_ms(
        sched.queue_estimates.get(req.queue), req.run_ms, deviations=0.0
    )
    return run.started_ms + mean_ms <= until_ms


def _get_move_rank(run: states.RunningRequest) -> tuple[bool, int, int]:
    """Returns the sort key of a run to be moved; the lowest goes first.

    Services go first, then urgent requests, then the ones started last.
    """
    req = run.assignment.req
    return (not req.service, req.priority, -run.started_ms)


def is_within_ramp_up(
    sched: states.Scheduler, more: resources.Resources, now_ms: int
) -> bool:
    """Returns whether a partition may take more load after it was reopened.

    Its limit rises in proportion to the time since it was reopened.
    """
    if not sched.opened_ms:
        return True
    fraction = (now_ms - sched.opened_ms) / max(1, sched.policy.ramp_ms)
    if fraction >= 1.0:
        sched.opened_ms = 0
        return True
    used = resources.add(sched.used, more)
    share = resources.compute_dominant_share(used, sched.capacity)
    return share <= max(fraction, _INITIAL_SHARE)
