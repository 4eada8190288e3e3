"""Model of one request from its acceptance to its end, with two workers.

The fleet partition that schedules the request changes owner once, at any time;
the former owner may still decide and send start commands. Commands and writes
may be delayed or lost, and workers may restart.
"""

import dataclasses
from typing import NamedTuple

import minicheck

from specification import model_builder

WORKERS = (0, 1)
OWNERS = (1, 2)
MAX_PLACEMENTS = 2

MISTAKES = (
    'no fencing token',
    'places before all workers are claimed',
    'restarts a non-repeatable request after a take-over',
    'places again before the start command is settled',
    'refuses while the write is pending',
    'places before the acceptance is durable',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """Configuration of the model.

    Attributes:
      repeatable: Whether the request may run again where it is unknown whether
        it has run before.
      mistake: The fault that is put into the protocol: one of MISTAKES, or ''.
    """

    repeatable: bool
    mistake: str = ''


class Worker(NamedTuple):
    """A worker.

    Attributes:
      token: Newest fencing token that it knows; the token is the epoch of the
        owner that claimed it.
      is_running: Whether it runs the request.
      has_ended: Whether it reports that the request has ended.
    """

    token: int = 1
    is_running: bool = False
    has_ended: bool = False


class State(NamedTuple):
    """State of the model.

    Attributes:
      acceptance: State of the acceptance: 'new', 'writing', 'durable' or
        'withdrawn'.
      told: Outcome that was sent to the caller, or ''.
      epoch: Epoch of the current owner.
      placements: For each owner, how often it has placed the request.
      is_unsettled: For each owner, whether the result of its last start
        command is still unknown.
      claimed: Workers that the second owner has claimed, as a bit set.
      was_reported: Whether a worker reported the request when it was claimed.
      start_commands: Start commands that have not arrived, each as the number
        of the worker and the fencing token.
      workers: Both workers.
      runs: How often the request was started, counted up to 2.
      is_final: Whether the request must never start again.
    """

    acceptance: str
    told: str
    epoch: int
    placements: tuple[int, int]
    is_unsettled: tuple[bool, bool]
    claimed: int
    was_reported: bool
    start_commands: frozenset[tuple[int, int]]
    workers: tuple[Worker, Worker]
    runs: int
    is_final: bool


# Label and resulting state.
Transition = tuple[str, State]


def _replace_item(pair: tuple, index: int, value: object) -> tuple:
    items = list(pair)
    items[index] = value
    return tuple(items)


def _list_acceptance_transitions(
    state: State, rules: Rules
) -> list[Transition]:
    transitions: list[Transition] = []
    if state.acceptance == 'new':
        transitions.append(('write', state._replace(acceptance='writing')))
        refused = state._replace(acceptance='withdrawn', told='refused')
        transitions.append(('withdraw', refused))
    if state.acceptance == 'writing':
        transitions.append(
            ('write takes effect', state._replace(acceptance='durable'))
        )
        if not state.told:
            has_mistake = rules.mistake == 'refuses while the write is pending'
            told = 'refused' if has_mistake else 'unknown'
            transitions.append(('caller gives up', state._replace(told=told)))
    if state.acceptance == 'durable' and not state.told:
        transitions.append(('tell', state._replace(told='accepted')))
    return transitions


def _may_place(state: State, rules: Rules, owner: int) -> bool:
    has_mistake = rules.mistake == 'places before the acceptance is durable'
    if state.acceptance != 'durable' and not (
        has_mistake and state.acceptance == 'new'
    ):
        return False
    index = owner - 1
    if state.is_final or state.placements[index] >= MAX_PLACEMENTS:
        return False
    if state.placements[index] and not rules.repeatable:
        return False
    has_mistake = (
        rules.mistake == 'places again before the start command is settled'
    )
    if state.is_unsettled[index] and not has_mistake:
        return False
    if owner == 1:
        return True
    if state.epoch != 2 or state.was_reported:
        return False
    has_mistake = rules.mistake == 'places before all workers are claimed'
    if state.claimed != 3 and not (has_mistake and state.claimed):
        return False
    return (
        rules.repeatable
        or rules.mistake
        == 'restarts a non-repeatable request after a take-over'
    )


def _list_placement_transitions(
    state: State, rules: Rules, owner: int
) -> list[Transition]:
    index = owner - 1
    transitions: list[Transition] = []
    if _may_place(state, rules, owner):
        for number in WORKERS:
            after = state._replace(
                placements=_replace_item(
                    state.placements, index, state.placements[index] + 1
                ),
                is_unsettled=_replace_item(state.is_unsettled, index, True),
                start_commands=state.start_commands | {(number, owner)},
            )
            transitions.append((f'owner {owner} places on {number}', after))
    has_no_command = not any(
        token == owner for _, token in state.start_commands
    )
    is_on_no_worker = not any(
        w.is_running or w.has_ended for w in state.workers
    )
    if state.is_unsettled[index] and has_no_command and is_on_no_worker:
        settled = state._replace(
            is_unsettled=_replace_item(state.is_unsettled, index, False)
        )
        transitions.append((f'owner {owner} finds it lost', settled))
    return transitions


def _list_takeover_transitions(state: State, rules: Rules) -> list[Transition]:
    transitions: list[Transition] = []
    if state.epoch == 1:
        return [('take over', state._replace(epoch=2))]
    for number in WORKERS:
        if state.claimed >> number & 1:
            continue
        worker = state.workers[number]
        after = state._replace(
            claimed=state.claimed | 1 << number,
            was_reported=state.was_reported
            or worker.is_running
            or worker.has_ended,
            workers=_replace_item(
                state.workers, number, worker._replace(token=2)
            ),
        )
        transitions.append((f'claim {number}', after))
    may_have_run = state.claimed == 3 and not state.was_reported
    has_mistake = (
        rules.mistake == 'restarts a non-repeatable request after a take-over'
    )
    if may_have_run and not (rules.repeatable or state.is_final or has_mistake):
        transitions.append(('may have run', state._replace(is_final=True)))
    return transitions


def _list_worker_transitions(state: State, rules: Rules) -> list[Transition]:
    transitions: list[Transition] = []
    for command in state.start_commands:
        number, token = command
        without_command = state._replace(
            start_commands=state.start_commands - {command}
        )
        transitions.append(
            (f'start command to {number} expires', without_command)
        )
        worker = state.workers[number]
        is_fenced = token < worker.token and rules.mistake != 'no fencing token'
        if is_fenced or worker.is_running or worker.has_ended:
            continue
        started = without_command._replace(
            workers=_replace_item(
                state.workers, number, worker._replace(is_running=True)
            ),
            runs=min(2, state.runs + 1),
        )
        transitions.append((f'{number} starts', started))
    for number in WORKERS:
        worker = state.workers[number]
        if worker.is_running:
            ended = worker._replace(is_running=False, has_ended=True)
            after = state._replace(
                workers=_replace_item(state.workers, number, ended)
            )
            transitions.append((f'{number} ends', after))
        if worker.is_running or worker.has_ended:
            lost = worker._replace(is_running=False, has_ended=False)
            after = state._replace(
                workers=_replace_item(state.workers, number, lost)
            )
            transitions.append((f'{number} restarts', after))
    return transitions


def list_transitions(state: State, rules: Rules) -> list[Transition]:
    """Returns every transition that is possible in the state."""
    transitions = _list_acceptance_transitions(state, rules)
    for owner in OWNERS:
        transitions += _list_placement_transitions(state, rules, owner)
    transitions += _list_takeover_transitions(state, rules)
    return transitions + _list_worker_transitions(state, rules)


INITIAL = State(
    acceptance='new',
    told='',
    epoch=1,
    placements=(0, 0),
    is_unsettled=(False, False),
    claimed=0,
    was_reported=False,
    start_commands=frozenset(),
    workers=(Worker(), Worker()),
    runs=0,
    is_final=False,
)


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model with the given configuration."""
    return model_builder.make_model(
        name='running',
        initial=INITIAL,
        list_transitions=lambda state: list_transitions(state, rules),
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
