"""One request from its acceptance to its end on two workers.

The fleet partition changes owner once, at any time; the former owner may go on
sending what it decided. Orders and writes arrive late or not at all, workers
restart.
"""

import dataclasses
from typing import NamedTuple

import minicheck

WORKERS = (0, 1)
OWNERS = (1, 2)
MAX_PLACED = 2

MISTAKES = (
    'no fencing token',
    'places before all workers are claimed',
    'starts under another epoch',
    'places again while an order is under way',
    'refuses while the write is under way',
    'places before the acceptance is durable',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """What is checked.

    Attributes:
      repeatable: Whether the request may be run again after an unclear end.
      mistake: One of MISTAKES, or ''.
    """

    repeatable: bool
    mistake: str = ''


class Worker(NamedTuple):
    """A worker: its token, and what it shows of the request."""

    token: int = 1
    is_running: bool = False
    has_ended: bool = False


class State(NamedTuple):
    """State of the whole.

    Attributes:
      accept: 'new', 'writing', 'durable' or 'withdrawn'.
      told: What the caller was told, or ''.
      epoch: Epoch of the present owner.
      placed: How often each owner has placed the request.
      is_open: Whether each owner's last order is not settled yet.
      claimed: Workers that the second owner has claimed, as bits.
      shown: Whether one of these showed the request.
      orders: Orders under way, each a worker and a token.
      workers: The workers.
      runs: How often it was started, up to 2.
      final: Whether it never starts again.
    """

    accept: str
    told: str
    epoch: int
    placed: tuple[int, int]
    is_open: tuple[bool, bool]
    claimed: int
    shown: bool
    orders: frozenset[tuple[int, int]]
    workers: tuple[Worker, Worker]
    runs: int
    final: bool


Step = tuple[str, State]


def _put(pair: tuple, index: int, value: object) -> tuple:
    items = list(pair)
    items[index] = value
    return tuple(items)


def _list_accepting(state: State, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    if state.accept == 'new':
        steps.append(('write', state._replace(accept='writing')))
        refused = state._replace(accept='withdrawn', told='refused')
        steps.append(('withdraw', refused))
    if state.accept == 'writing':
        steps.append(('write lands', state._replace(accept='durable')))
        if not state.told:
            is_wrong = rules.mistake == 'refuses while the write is under way'
            told = 'refused' if is_wrong else 'unknown'
            steps.append(('caller gives up', state._replace(told=told)))
    if state.accept == 'durable' and not state.told:
        steps.append(('tell', state._replace(told='accepted')))
    return steps


def _may_place(state: State, rules: Rules, owner: int) -> bool:
    is_early = rules.mistake == 'places before the acceptance is durable'
    if state.accept != 'durable' and not (is_early and state.accept == 'new'):
        return False
    index = owner - 1
    if state.final or state.placed[index] >= MAX_PLACED:
        return False
    if state.placed[index] and not rules.repeatable:
        return False
    may_hurry = rules.mistake == 'places again while an order is under way'
    if state.is_open[index] and not may_hurry:
        return False
    if owner == 1:
        return True
    if state.epoch != 2 or state.shown:
        return False
    may_hurry = rules.mistake == 'places before all workers are claimed'
    if state.claimed != 3 and not (may_hurry and state.claimed):
        return False
    return rules.repeatable or rules.mistake == 'starts under another epoch'


def _list_placing(state: State, rules: Rules, owner: int) -> list[Step]:
    index = owner - 1
    steps: list[Step] = []
    if _may_place(state, rules, owner):
        for number in WORKERS:
            after = state._replace(
                placed=_put(state.placed, index, state.placed[index] + 1),
                is_open=_put(state.is_open, index, True),
                orders=state.orders | {(number, owner)},
            )
            steps.append((f'owner {owner} places on {number}', after))
    is_quiet = not any(token == owner for _, token in state.orders)
    is_gone = not any(w.is_running or w.has_ended for w in state.workers)
    if state.is_open[index] and is_quiet and is_gone:
        settled = state._replace(is_open=_put(state.is_open, index, False))
        steps.append((f'owner {owner} finds it lost', settled))
    return steps


def _list_taking_over(state: State, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    if state.epoch == 1:
        return [('take over', state._replace(epoch=2))]
    for number in WORKERS:
        if state.claimed >> number & 1:
            continue
        worker = state.workers[number]
        after = state._replace(
            claimed=state.claimed | 1 << number,
            shown=state.shown or worker.is_running or worker.has_ended,
            workers=_put(state.workers, number, worker._replace(token=2)),
        )
        steps.append((f'claim {number}', after))
    is_unclear = state.claimed == 3 and not state.shown
    is_careless = rules.mistake == 'starts under another epoch'
    if is_unclear and not (rules.repeatable or state.final or is_careless):
        steps.append(('may have run', state._replace(final=True)))
    return steps


def _list_working(state: State, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    for order in state.orders:
        number, token = order
        left = state._replace(orders=state.orders - {order})
        steps.append((f'order to {number} expires', left))
        worker = state.workers[number]
        is_fenced = token < worker.token and rules.mistake != 'no fencing token'
        if is_fenced or worker.is_running or worker.has_ended:
            continue
        started = left._replace(
            workers=_put(
                state.workers, number, worker._replace(is_running=True)
            ),
            runs=min(2, state.runs + 1),
        )
        steps.append((f'{number} starts', started))
    for number in WORKERS:
        worker = state.workers[number]
        if worker.is_running:
            ended = worker._replace(is_running=False, has_ended=True)
            after = state._replace(workers=_put(state.workers, number, ended))
            steps.append((f'{number} ends', after))
        if worker.is_running or worker.has_ended:
            lost = worker._replace(is_running=False, has_ended=False)
            after = state._replace(workers=_put(state.workers, number, lost))
            steps.append((f'{number} restarts', after))
    return steps


def list_steps(state: State, rules: Rules) -> list[Step]:
    """Returns every step that may come next."""
    steps = _list_accepting(state, rules)
    for owner in OWNERS:
        steps += _list_placing(state, rules, owner)
    steps += _list_taking_over(state, rules)
    return steps + _list_working(state, rules)


INITIAL = State(
    accept='new',
    told='',
    epoch=1,
    placed=(0, 0),
    is_open=(False, False),
    claimed=0,
    shown=False,
    orders=frozenset(),
    workers=(Worker(), Worker()),
    runs=0,
    final=False,
)


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model under the given rules."""

    def list_next(state: tuple) -> list[tuple[str, tuple]]:
        return [
            (label, tuple(after))
            for label, after in list_steps(State(*state), rules)
        ]

    return minicheck.Protocol(
        name='running',
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=list_next,
        invariants={
            'never two places': lambda s: (
                sum(worker.is_running for worker in s['workers']) <= 1
            ),
            'at most once': lambda s: rules.repeatable or s['runs'] <= 1,
            'not run is true': lambda s: (
                s['told'] != 'refused' or s['runs'] == 0
            ),
        },
    )
