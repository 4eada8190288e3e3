"""What a waiting request waits for, from the data that decides it."""

from nutmegknot._internal.decisions import domains
from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import preemption
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import shares
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import resources


def explain(sched: states.Scheduler, request_key: str, now_ms: int) -> str:
    """Returns what a waiting request waits for, one line; '' if it doesn't.

    The line starts with 'domain', 'limit', 'reservation', 'capacity' or
    'share'.
    """
    given = sched.waiting.get(request_key)
    if given is None:
        return ''
    if domains.is_closed(sched):
        return f'domain: {sched.domain} is closed'
    shape = queues.get_shape(sched.queue, request_key)
    whole = resources.multiply(shape.size, shape.members)
    if not holdings.is_granted(sched, given.req.team, whole):
        return _explain_limit(sched, given, whole)
    if not domains.may_fill(sched, whole, now_ms):
        return f'domain: {sched.domain} was reopened and fills up gradually'
    reservation = sched.reservations.get(request_key)
    if reservation is not None:
        names = ', '.join(sorted(reservation.rooms)[:5])
        left_ms = max(0, reservation.start_ms - now_ms)
        return (
            f'reservation: room is kept on {len(reservation.rooms)} workers '
            f'({names}), expected in {left_ms} ms'
        )
    if shape.blocked:
        return _explain_capacity(sched, shape)
    return _explain_share(sched, given)


def _explain_limit(
    sched: states.Scheduler,
    given: partitions.Assignment,
    whole: resources.Resources,
) -> str:
    team = given.req.team
    grants = sched.grants or {}
    held = sched.usage.get(team, resources.NOTHING)
    granted = grants.get(team, resources.NOTHING)
    return (
        f'limit: team {team} holds {held} of {granted} granted here, '
        f'and the request needs {whole}'
    )


def _explain_capacity(sched: states.Scheduler, shape: queues.Shape) -> str:
    able = [
        worker_id
        for worker_id, worker in sched.machines.items()
        if resources.fits(shape.size, worker.capacity)
    ]
    if not able:
        return (
            f'capacity: no worker of the partition is as large as {shape.size}'
        )
    earmarked = sum(worker_id in sched.earmarks for worker_id in able)
    return (
        f'capacity: none of the {len(able)} workers that are large enough has '
        f'{shape.size} free for each of {shape.members} members; '
        f'{earmarked} of them are reserved for others'
    )


def _explain_share(
    sched: states.Scheduler, given: partitions.Assignment
) -> str:
    team = given.req.team
    level = preemption.compute_level(sched)
    entitled = level * shares.get_weight(sched, team)
    share = shares.compute_share(sched, team)
    return (
        f'share: team {team} holds {share:.3f} of the fleet, its share is '
        f'{entitled:.3f}; {given.req.priority.name} requests of teams further '
        'below their share go first'
    )
