"""Model of a customer's limit around changes of the owner of the jobs.

An owner starts tasks on workers that have answered it, and learns of ends when
they answer again. It keeps what the customer uses at or below a ceiling in the
table. The next owner counts as used what it has found on the workers that have
answered, and the ceiling less all that it has found.
"""

import dataclasses
from typing import NamedTuple

import minicheck

from specification import model_builder

HIGH_LIMIT = 2
LOW_LIMIT = 1
WORKERS = (0, 1)
MAX_EPOCH = 3

MISTAKES = (
    'counts only the runs that it has found',
    'counts ends that a worker lists at first as found',
    'uses a raised ceiling before it is in the table',
    'exceeds a lower ceiling that is being written',
    'takes the limit for the ceiling',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """Configuration of the model.

    Attributes:
      mistake: The fault that is put into the protocol: one of MISTAKES, or ''.
    """

    mistake: str = ''


class Worker(NamedTuple):
    """A worker.

    Attributes:
      running: Number of tasks that it runs.
      listed: Whether it lists an end that no owner has acknowledged.
    """

    running: int = 0
    listed: int = 0


class Owner(NamedTuple):
    """The owner of the jobs.

    Attributes:
      claimed: Whether each worker has answered it.
      known: Number of runs on each worker that it counts.
      inherited: Ceiling that the owner before left; None once all workers have
        answered.
      found: Number of runs of earlier owners that it has found.
      stored: Ceiling that it knows to be in the table.
      pending: Ceiling that it is writing; None if it writes none.
    """

    claimed: tuple[bool, bool]
    known: tuple[int, int]
    inherited: int | None
    found: int
    stored: int
    pending: int | None = None


class State(NamedTuple):
    """State of the model.

    Attributes:
      epoch: Number of the present owner.
      limit: Limit in force.
      ceiling: Ceiling in the table.
      workers: Both workers.
      owner: The present owner.
      is_exceeded: Whether a start has brought the customer over the limit.
    """

    epoch: int
    limit: int
    ceiling: int
    workers: tuple[Worker, Worker]
    owner: Owner
    is_exceeded: bool = False


# Label and resulting state.
Transition = tuple[str, State]


def _replace(values: tuple, number: int, value: object) -> tuple:
    return (*values[:number], value, *values[number + 1 :])


def _compute_bound(owner: Owner, rules: Rules) -> int:
    used = sum(owner.known)
    if (
        owner.inherited is None
        or rules.mistake == 'counts only the runs that it has found'
    ):
        return used
    return used + max(0, owner.inherited - owner.found)


def _get_ceiling(owner: Owner, rules: Rules) -> int:
    if owner.pending is None:
        return owner.stored
    if rules.mistake == 'uses a raised ceiling before it is in the table':
        return max(owner.stored, owner.pending)
    if rules.mistake == 'exceeds a lower ceiling that is being written':
        return owner.stored
    return min(owner.stored, owner.pending)


def _list_worker_transitions(
    state: State, rules: Rules, number: int
) -> list[Transition]:
    transitions: list[Transition] = []
    owner, worker = state.owner, state.workers[number]

    def replace_worker(changed: Worker) -> State:
        return state._replace(workers=_replace(state.workers, number, changed))

    if worker.running:
        ended = worker._replace(running=worker.running - 1, listed=1)
        transitions.append((f'a run ends on {number}', replace_worker(ended)))
    if not owner.claimed[number]:
        found = owner.found + worker.running
        if rules.mistake == 'counts ends that a worker lists at first as found':
            found += worker.listed
        answered = owner._replace(
            claimed=_replace(owner.claimed, number, True),
            known=_replace(owner.known, number, worker.running),
            found=found if owner.inherited is not None else 0,
        )
        transitions.append(
            (f'{number} answers first', state._replace(owner=answered))
        )
        return transitions
    if owner.known[number] != worker.running:
        heard = owner._replace(
            known=_replace(owner.known, number, worker.running)
        )
        transitions.append((f'{number} answers', state._replace(owner=heard)))
    elif worker.listed:
        acknowledged = replace_worker(worker._replace(listed=0))
        transitions.append((f'{number} forgets an end', acknowledged))
    most = min(state.limit, _get_ceiling(owner, rules))
    if _compute_bound(owner, rules) < most:
        transitions.append(
            (f'a run starts on {number}', _start_run(state, number))
        )
    return transitions


def _start_run(state: State, number: int) -> State:
    """Returns the state after a start, and whether it exceeds the limit."""
    owner, worker = state.owner, state.workers[number]
    counted = owner._replace(
        known=_replace(owner.known, number, owner.known[number] + 1)
    )
    started = worker._replace(running=worker.running + 1)
    workers = _replace(state.workers, number, started)
    total = sum(one.running for one in workers)
    return state._replace(
        owner=counted,
        workers=workers,
        is_exceeded=state.is_exceeded or total > state.limit,
    )


def _list_ceiling_transitions(state: State, rules: Rules) -> list[Transition]:
    owner = state.owner
    if owner.pending is None:
        lowest = _compute_bound(owner, rules)
        return [
            (
                f'a ceiling of {value} is written',
                state._replace(owner=owner._replace(pending=value)),
            )
            for value in range(lowest, HIGH_LIMIT + 1)
            if value != owner.stored
        ]
    transitions = []
    if state.ceiling != owner.pending:
        transitions.append(
            ('the write takes effect', state._replace(ceiling=owner.pending))
        )
    else:
        confirmed = owner._replace(stored=owner.pending, pending=None)
        transitions.append(
            ('the write is confirmed', state._replace(owner=confirmed))
        )
    return transitions


def list_transitions(state: State, rules: Rules) -> list[Transition]:
    """Returns every transition that is possible in the state."""
    transitions = _list_ceiling_transitions(state, rules)
    for number in WORKERS:
        transitions += _list_worker_transitions(state, rules, number)
    owner = state.owner
    if owner.inherited is not None and all(owner.claimed):
        settled = owner._replace(inherited=None, found=0)
        transitions.append(('all is found', state._replace(owner=settled)))
    if state.limit == HIGH_LIMIT:
        transitions.append(
            ('the limit is lowered', state._replace(limit=LOW_LIMIT))
        )
    if state.epoch < MAX_EPOCH:
        inherited = state.ceiling
        if rules.mistake == 'takes the limit for the ceiling':
            inherited = state.limit
        successor = Owner((False, False), (0, 0), inherited, 0, state.ceiling)
        after = state._replace(epoch=state.epoch + 1, owner=successor)
        transitions.append(('another owner takes over', after))
    return transitions


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model with the given configuration."""
    first = Owner((True, True), (0, 0), None, 0, 0)
    return model_builder.make_model(
        name='customer limits',
        initial=State(1, HIGH_LIMIT, 0, (Worker(), Worker()), first),
        list_transitions=lambda state: list_transitions(state, rules),
        invariants={
            'no start past the limit': lambda s: not s['is_exceeded'],
        },
    )
