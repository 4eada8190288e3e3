"""Model of a team's resource limit, divided between two fleet partitions.

A grant is the share of the limit that a partition may use. Each partition
changes its own grant by a conditional write, whose result it learns by reading
the table. It starts tasks only within the grant that it knows to be confirmed.
"""

import dataclasses
from typing import NamedTuple

import minicheck

from specification import model_builder

TEAM_LIMIT_TASKS = 2
PARTITIONS = (0, 1)

MISTAKES = (
    'uses a raised grant before it is confirmed',
    'lowers a grant that is in use',
    'reads back while a reduction is pending',
    'writes without the version that it read',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """Configuration of the model.

    Attributes:
      mistake: The fault that is put into the protocol: one of MISTAKES, or ''.
    """

    mistake: str = ''


class Partition(NamedTuple):
    """A fleet partition.

    Attributes:
      confirmed_grant: Number of tasks that it may run now.
      running_tasks: Number of tasks that it runs.
      pending_grants: Grants of both partitions that its unfinished write would
        set; None if no write is unfinished.
    """

    confirmed_grant: int = 0
    running_tasks: int = 0
    pending_grants: tuple[int, int] | None = None


class State(NamedTuple):
    """State of the model.

    Attributes:
      grants: Grants of both partitions in the table.
      parts: Both partitions.
    """

    grants: tuple[int, int]
    parts: tuple[Partition, Partition]


# Label and resulting state.
Transition = tuple[str, State]


def _replace_partition(
    state: State, number: int, partition: Partition
) -> State:
    parts = list(state.parts)
    parts[number] = partition
    return state._replace(parts=(parts[0], parts[1]))


def _change_grant(state: State, number: int, amount: int) -> tuple[int, int]:
    grants = list(state.grants)
    grants[number] += amount
    return grants[0], grants[1]


def _apply_write(state: State, number: int, rules: Rules) -> State:
    """Applies a write; the other partition's write then fails.

    That write is conditional on the version that was replaced.
    """
    partition = state.parts[number]
    assert partition.pending_grants is not None
    after = state._replace(grants=partition.pending_grants)
    for other in PARTITIONS:
        is_unconditional = (
            rules.mistake == 'writes without the version that it read'
        )
        if other != number and not is_unconditional:
            failed = after.parts[other]._replace(pending_grants=None)
            after = _replace_partition(after, other, failed)
    return _replace_partition(
        after, number, partition._replace(pending_grants=None)
    )


def _list_grant_transitions(
    state: State, rules: Rules, number: int
) -> list[Transition]:
    partition = state.parts[number]
    transitions: list[Transition] = []
    if partition.pending_grants is not None:
        transitions.append(
            (
                f'write of {number} takes effect',
                _apply_write(state, number, rules),
            )
        )
    else:
        confirmed_grant = state.grants[number]
        read = _replace_partition(
            state, number, partition._replace(confirmed_grant=confirmed_grant)
        )
        transitions.append((f'{number} reads', read))
    if partition.pending_grants is not None:
        if rules.mistake == 'reads back while a reduction is pending':
            misread = partition._replace(confirmed_grant=state.grants[number])
            transitions.append(
                (f'{number} reads', _replace_partition(state, number, misread))
            )
        return transitions
    if sum(state.grants) < TEAM_LIMIT_TASKS:
        writing = partition._replace(
            pending_grants=_change_grant(state, number, 1)
        )
        if rules.mistake == 'uses a raised grant before it is confirmed':
            writing = writing._replace(
                confirmed_grant=partition.confirmed_grant + 1
            )
        transitions.append(
            (f'{number} raises', _replace_partition(state, number, writing))
        )
    is_free = partition.running_tasks < partition.confirmed_grant
    if rules.mistake == 'lowers a grant that is in use':
        is_free = partition.confirmed_grant > 0
    if is_free and partition.confirmed_grant == state.grants[number]:
        writing = partition._replace(
            confirmed_grant=partition.confirmed_grant - 1,
            pending_grants=_change_grant(state, number, -1),
        )
        transitions.append(
            (f'{number} lowers', _replace_partition(state, number, writing))
        )
    return transitions


def list_transitions(state: State, rules: Rules) -> list[Transition]:
    """Returns every transition that is possible in the state."""
    transitions: list[Transition] = []
    for number in PARTITIONS:
        transitions += _list_grant_transitions(state, rules, number)
        partition = state.parts[number]
        if partition.running_tasks < partition.confirmed_grant:
            with_started_task = partition._replace(
                running_tasks=partition.running_tasks + 1
            )
            transitions.append(
                (
                    f'{number} starts',
                    _replace_partition(state, number, with_started_task),
                )
            )
        if partition.running_tasks:
            with_ended_task = partition._replace(
                running_tasks=partition.running_tasks - 1
            )
            transitions.append(
                (
                    f'{number} ends',
                    _replace_partition(state, number, with_ended_task),
                )
            )
    return transitions


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model with the given configuration."""
    return model_builder.make_model(
        name='limits',
        initial=State((0, 0), (Partition(), Partition())),
        list_transitions=lambda state: list_transitions(state, rules),
        invariants={
            'never past the limit': lambda s: (
                sum(partition.running_tasks for partition in s['parts'])
                <= TEAM_LIMIT_TASKS
            ),
        },
    )
