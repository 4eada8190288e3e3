"""A team's upper limit, divided into grants of two fleet partitions.

Each partition moves its own grant by a conditional write whose answer may be
lost, and starts tasks only within the grant that it is sure of.
"""

import dataclasses
from typing import NamedTuple

import minicheck

LIMIT = 2
PARTITIONS = (0, 1)

MISTAKES = (
    'uses a raised grant before it is confirmed',
    'lowers a grant that is in use',
    'reads back while a lowering is under way',
    'writes without the version that it read',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """What is checked; mistake is one of MISTAKES, or ''."""

    mistake: str = ''


class Partition(NamedTuple):
    """A fleet partition.

    Attributes:
      sure: The grant within which it starts tasks.
      held: Tasks that run.
      sent: The grants of both that its write under way would set, or None.
    """

    sure: int = 0
    held: int = 0
    sent: tuple[int, int] | None = None


class State(NamedTuple):
    """State of the whole.

    Attributes:
      grants: Grants in the table.
      parts: The partitions.
    """

    grants: tuple[int, int]
    parts: tuple[Partition, Partition]


Step = tuple[str, State]


def _set_part(state: State, number: int, part: Partition) -> State:
    parts = list(state.parts)
    parts[number] = part
    return state._replace(parts=(parts[0], parts[1]))


def _propose(state: State, number: int, amount: int) -> tuple[int, int]:
    grants = list(state.grants)
    grants[number] += amount
    return grants[0], grants[1]


def _land(state: State, number: int, rules: Rules) -> State:
    """Lets a write take effect; others that demand the old version fail."""
    part = state.parts[number]
    assert part.sent is not None
    after = state._replace(grants=part.sent)
    for other in PARTITIONS:
        is_kept = rules.mistake == 'writes without the version that it read'
        if other != number and not is_kept:
            loser = after.parts[other]._replace(sent=None)
            after = _set_part(after, other, loser)
    return _set_part(after, number, part._replace(sent=None))


def _list_moves(state: State, rules: Rules, number: int) -> list[Step]:
    part = state.parts[number]
    steps: list[Step] = []
    if part.sent is not None:
        steps.append((f'write of {number} lands', _land(state, number, rules)))
    else:
        sure = state.grants[number]
        read = _set_part(state, number, part._replace(sure=sure))
        steps.append((f'{number} reads', read))
    if part.sent is not None:
        if rules.mistake == 'reads back while a lowering is under way':
            wrong = part._replace(sure=state.grants[number])
            steps.append((f'{number} reads', _set_part(state, number, wrong)))
        return steps
    if sum(state.grants) < LIMIT:
        sent = part._replace(sent=_propose(state, number, 1))
        if rules.mistake == 'uses a raised grant before it is confirmed':
            sent = sent._replace(sure=part.sure + 1)
        steps.append((f'{number} raises', _set_part(state, number, sent)))
    is_free = part.held < part.sure
    if rules.mistake == 'lowers a grant that is in use':
        is_free = part.sure > 0
    if is_free and part.sure == state.grants[number]:
        sent = part._replace(
            sure=part.sure - 1, sent=_propose(state, number, -1)
        )
        steps.append((f'{number} lowers', _set_part(state, number, sent)))
    return steps


def list_steps(state: State, rules: Rules) -> list[Step]:
    """Returns every step that may come next."""
    steps: list[Step] = []
    for number in PARTITIONS:
        steps += _list_moves(state, rules, number)
        part = state.parts[number]
        if part.held < part.sure:
            more = part._replace(held=part.held + 1)
            steps.append((f'{number} starts', _set_part(state, number, more)))
        if part.held:
            less = part._replace(held=part.held - 1)
            steps.append((f'{number} ends', _set_part(state, number, less)))
    return steps


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model under the given rules."""

    def list_next(state: tuple) -> list[tuple[str, tuple]]:
        return [
            (label, tuple(after))
            for label, after in list_steps(State(*state), rules)
        ]

    return minicheck.Protocol(
        name='limits',
        candidate=False,
        fields=State._fields,
        initial=tuple(State((0, 0), (Partition(), Partition()))),
        transitions=list_next,
        invariants={
            'never past the limit': lambda s: (
                sum(part.held for part in s['parts']) <= LIMIT
            ),
        },
    )
