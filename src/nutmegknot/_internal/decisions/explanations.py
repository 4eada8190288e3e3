"""Explanations of why a request waits, from the state of the scheduler."""

from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import resources


def explain(sched: states.Scheduler, request_key: str, now_ms: int) -> str:
    """Returns why a request waits, as one line.

    The line starts with 'domain', 'limit', 'reservation', 'capacity' or
    'share'. It is '' if the request is not waiting.
    """
    assignment = sched.waiting.get(request_key)
    if assignment is None:
        return ''
    if domains.is_closed(sched):
        return f'domain: {sched.domain} is closed'
    shape = queues.get_shape(sched.queue, request_key)
    total_size = resources.multiply(shape.size, shape.members)
    if not allocations.is_granted(sched, assignment.req.team, total_size):
        return _explain_limit(sched, assignment, total_size)
    if not domains.is_within_ramp_up(sched, total_size, now_ms):
        return f'domain: {sched.domain} was reopened and fills up gradually'
    reservation = sched.reservations.get(request_key)
    if reservation is not None:
        worker_ids = ', '.join(sorted(reservation.reserved)[:5])
        left_ms = max(0, reservation.start_ms - now_ms)
        return (
            f'reservation: room is kept on {len(reservation.reserved)} workers '
            f'({worker_ids}), expected in {left_ms} ms'
        )
    if shape.blocked:
        return _explain_capacity(sched, shape)
    return _explain_share(sched, assignment)


def _explain_limit(
    sched: states.Scheduler,
    assignment: partitions.Assignment,
    total_size: resources.Resources,
) -> str:
    team = assignment.req.team
    grants = sched.grants or {}
    held = sched.usage.get(team, resources.ZERO)
    granted = grants.get(team, resources.ZERO)
    return (
        f'limit: team {team} holds {held} of {granted} granted here, '
        f'and the request needs {total_size}'
    )


def _explain_capacity(
    sched: states.Scheduler, shape: queues.RequestShape
) -> str:
    large_enough = [
        worker_id
        for worker_id, worker in sched.schedulable_workers.items()
        if resources.fits(shape.size, worker.capacity)
    ]
    if not large_enough:
        return (
            f'capacity: no worker of the partition is as large as {shape.size}'
        )
    reserved = sum(
        worker_id in sched.reserved_workers for worker_id in large_enough
    )
    return (
        f'capacity: none of the {len(large_enough)} workers that are large '
        f'enough has {shape.size} free for each of {shape.members} members; '
        f'{reserved} of them are reserved for others'
    )


def _explain_share(
    sched: states.Scheduler, assignment: partitions.Assignment
) -> str:
    team = assignment.req.team
    fair_level = preemption.compute_fair_level(sched)
    fair_share = fair_level * shares.get_weight(sched, team)
    share = shares.compute_share(sched, team)
    return (
        f'share: team {team} holds {share:.3f} of the fleet, its share is '
        f'{fair_share:.3f}; {assignment.req.priority.name} requests of teams '
        'further below their share go first'
    )
