"""Model of the ownership of one partition: lease, take-over, store outages.

An owner renews its lease, which is a row in the table of the store. A write may
take effect late, and its answer may be lost. Up to two other members read the
row and may take the partition over. The owner may know each of them from the
beginning, or a member may join later. Every attempt to reach the store may
fail, so the model includes every outage. A paused process makes no transition
while time passes.

During an outage the owner may extend its authority beyond the lease if the
other members answer that they cannot reach the store either. The lease row
lists the members that the owner knows: only these may take over, or any member
if the row lists none.

Durations are in ticks; the durations of the product are in the same order.
"""

import dataclasses
from typing import NamedTuple

import minicheck

from specification import model_builder

# How long the owner may act after it began a renewal that was confirmed.
AUTHORITY_TICKS = 2
# Others regard the lease as expired after this time without a change of the
# row. The lease must not expire while earlier answers are still valid, so this
# is not shorter than ANSWER_VALIDITY_TICKS.
LEASE_EXPIRY_TICKS = 2
# How long an answer is valid. One tick would be too short for the owner to
# extend its authority in any outage.
ANSWER_VALIDITY_TICKS = 2
# How long a member must have reached the store before it may take over.
TAKEOVER_WAIT_TICKS = 2

# Stands for an age or a bit set that does not exist.
ABSENT = -1

MISTAKES = (
    'lease expiry too short',
    'authority counted from the answer',
    'no wait after reaching the store',
    'unlisted member takes over',
    'asks only members of the last read',
    'expired authority extended',
    'missing answer counts',
    'expired answer counts',
    'authority extended although the row may list nobody',
    'take-over without the row version that was read',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """Configuration of the model.

    Attributes:
      known: Members that the owner's row lists at the beginning, as a bit set.
      read: Members that the owner has read since the row was written, as a bit
        set; these are registered at the beginning.
      mistake: The fault that is put into the protocol: one of MISTAKES, or ''.
      others: Number of other members.
      may_drop: Whether the lease row of the last other member may be removed
        and written again.
      keeps_answers: Whether answers stay valid for more than one tick.
    """

    known: int
    read: int
    mistake: str = ''
    others: int = 2
    may_drop: bool = False
    keeps_answers: bool = False


SCENARIOS = (
    Rules(known=0b01, read=0b01),
    Rules(known=0b11, read=0b11),
    Rules(known=0b11, read=0b01),
    Rules(known=0b00, read=0b01),
    Rules(known=0b1, read=0b1, others=1, may_drop=True, keeps_answers=True),
)
# Each takes about a minute to check.
LARGE_SCENARIOS = (
    Rules(known=0b11, read=0b11, may_drop=True),
    Rules(known=0b00, read=0b00),
)


class Renewal(NamedTuple):
    """A lease renewal whose answer the owner waits for.

    Attributes:
      age: Ticks since it began, at most AUTHORITY_TICKS.
      known: Members that the written row lists, as a bit set.
      read: Members that it read, as a bit set; ABSENT until the write has
        taken effect.
    """

    age: int
    known: int
    read: int


class OtherMember(NamedTuple):
    """Another member.

    Attributes:
      registered: Whether its own lease row is in the table.
      unchanged_ticks: Ticks since it first read the owner's row in its current
        version, at most LEASE_EXPIRY_TICKS; ABSENT if it has not read it.
      reachable_ticks: Ticks for which it has reached the store, at most
        TAKEOVER_WAIT_TICKS; ABSENT if it does not reach it.
      acquiring: Whether its write that takes the partition over has been sent
        and has not taken effect.
      sent_answer_age: Age of its answer to the owner that it cannot reach the
        store, until the answer arrives, or ABSENT.
      received_answer_age: Age of the last such answer that has arrived, or
        ABSENT.
    """

    registered: bool
    unchanged_ticks: int = ABSENT
    reachable_ticks: int = ABSENT
    acquiring: bool = False
    sent_answer_age: int = ABSENT
    received_answer_age: int = ABSENT


class State(NamedTuple):
    """State of the model; sets of members are bit sets.

    Attributes:
      hold: Ticks for which the owner may still act.
      taken: Whether another member has become the owner.
      row_members: Members that the owner's row lists.
      possible_members: Members that the row may list, as far as the owner
        knows.
      may_be_empty: Whether the row may list no member, as far as the owner
        knows.
      read: Members that the owner found in its last read of the table.
      renewal: The renewal whose answer the owner waits for, or None.
      delayed_write: Members that the row will list once the write of an
        abandoned renewal takes effect, or ABSENT.
      others: The other members.
    """

    hold: int
    taken: bool
    row_members: int
    possible_members: int
    may_be_empty: bool
    read: int
    renewal: Renewal | None
    delayed_write: int
    others: tuple[OtherMember, ...]


# Label and resulting state.
Transition = tuple[str, State]
UNREGISTERED = OtherMember(registered=False)


def _set_other(state: State, number: int, other: OtherMember) -> State:
    others = list(state.others)
    others[number] = other
    return state._replace(others=tuple(others))


def _drop_unapplied(renewal: Renewal | None) -> Renewal | None:
    """Removes a renewal that has not taken effect.

    Its write fails, as the version of the row has changed.
    """
    return None if renewal is not None and renewal.read == ABSENT else renewal


def _write_row(state: State, known: int) -> State:
    """Changes the owner's row; writes that require its old version fail."""
    return state._replace(
        row_members=known,
        delayed_write=ABSENT,
        renewal=_drop_unapplied(state.renewal),
        others=tuple(
            o._replace(unchanged_ticks=ABSENT, acquiring=False)
            for o in state.others
        ),
    )


def _take_over(state: State) -> State:
    """Makes another member the owner.

    The state of the other members is reset, as it has no effect any more.
    """
    return state._replace(
        taken=True,
        row_members=0,
        possible_members=0,
        may_be_empty=False,
        read=0,
        delayed_write=ABSENT,
        renewal=_drop_unapplied(state.renewal),
        others=(UNREGISTERED,) * len(state.others),
    )


def _list_renewal_transitions(state: State, rules: Rules) -> list[Transition]:
    """Returns the transitions of the owner's lease."""
    transitions: list[Transition] = []
    renewal = state.renewal
    if state.delayed_write != ABSENT:
        transitions.append(
            (
                'delayed write takes effect',
                _write_row(state, state.delayed_write),
            )
        )
    if renewal is None:
        sent = state._replace(
            renewal=Renewal(0, state.read, ABSENT),
            possible_members=state.possible_members | state.read,
            may_be_empty=state.may_be_empty or not state.read,
        )
        return [*transitions, ('renew', sent)]
    if renewal.read == ABSENT:
        after_write = _write_row(state, renewal.known)
        read = sum(1 << n for n, o in enumerate(state.others) if o.registered)
        done = after_write._replace(renewal=renewal._replace(read=read))
        given_up = state._replace(renewal=None, delayed_write=renewal.known)
        return [
            *transitions,
            ('renewal takes effect', done),
            ('given up', given_up),
        ]
    has_mistake = rules.mistake == 'authority counted from the answer'
    age = 0 if has_mistake else renewal.age
    confirmed = state._replace(
        renewal=None,
        hold=max(state.hold, AUTHORITY_TICKS - age),
        possible_members=renewal.known,
        may_be_empty=not renewal.known,
        read=renewal.read,
    )
    lost = state._replace(renewal=None)
    return [*transitions, ('confirmed', confirmed), ('answer lost', lost)]


def _extend_authority(state: State, rules: Rules) -> State:
    """Extends the owner's authority if no member asked reaches the store."""
    if state.hold == 0 and rules.mistake != 'expired authority extended':
        return state
    has_mistake = (
        rules.mistake == 'authority extended although the row may list nobody'
    )
    if state.may_be_empty and not has_mistake:
        return state
    asked = state.read
    if rules.mistake != 'asks only members of the last read':
        asked |= state.possible_members
    answers = [
        o.received_answer_age
        for n, o in enumerate(state.others)
        if asked >> n & 1
    ]
    if rules.mistake == 'missing answer counts':
        answers = [age for age in answers if age != ABSENT]
    if ABSENT in answers:
        return state
    hold = ANSWER_VALIDITY_TICKS - max(answers, default=ANSWER_VALIDITY_TICKS)
    return state._replace(hold=max(state.hold, hold))


def _list_answer_transitions(
    state: State, rules: Rules, number: int
) -> list[Transition]:
    """Returns the transitions of a member's answer to the owner."""
    other = state.others[number]
    transitions: list[Transition] = []
    if other.reachable_ticks == ABSENT and other.sent_answer_age == ABSENT:
        sent = _set_other(state, number, other._replace(sent_answer_age=0))
        transitions.append((f'{number} answers', sent))
    if other.sent_answer_age != ABSENT:
        received = other._replace(
            sent_answer_age=ABSENT, received_answer_age=other.sent_answer_age
        )
        after = _extend_authority(_set_other(state, number, received), rules)
        transitions.append((f'answer of {number} arrives', after))
    return transitions


def _may_take_over(state: State, rules: Rules, number: int) -> bool:
    other = state.others[number]
    expiry_ticks = (
        LEASE_EXPIRY_TICKS - 1
        if rules.mistake == 'lease expiry too short'
        else LEASE_EXPIRY_TICKS
    )
    wait_ticks = (
        0
        if rules.mistake == 'no wait after reaching the store'
        else TAKEOVER_WAIT_TICKS
    )
    if (
        other.unchanged_ticks < expiry_ticks
        or other.reachable_ticks < wait_ticks
    ):
        return False
    is_known = not state.row_members or bool(state.row_members >> number & 1)
    return is_known or rules.mistake == 'unlisted member takes over'


def _list_member_transitions(
    state: State, rules: Rules, number: int
) -> list[Transition]:
    """Returns the transitions of another member's use of the table."""
    other = state.others[number]
    transitions: list[Transition] = []
    if other.reachable_ticks != ABSENT:
        failed = other._replace(reachable_ticks=ABSENT)
        transitions.append(
            (f'{number} fails', _set_other(state, number, failed))
        )
    if not other.registered:
        joined = other._replace(registered=True)
        return [
            *transitions,
            (f'{number} joins', _set_other(state, number, joined)),
        ]
    if rules.may_drop and number == rules.others - 1:
        dropped = other._replace(registered=False, acquiring=False)
        transitions.append(
            (f'{number} dropped', _set_other(state, number, dropped))
        )
    reads = other._replace(
        unchanged_ticks=max(0, other.unchanged_ticks),
        reachable_ticks=max(0, other.reachable_ticks),
    )
    if reads != other:
        transitions.append(
            (f'{number} reads', _set_other(state, number, reads))
        )
    if _may_take_over(state, rules, number):
        transitions.append((f'{number} takes over', _take_over(state)))
        sent = other._replace(acquiring=True, reachable_ticks=ABSENT)
        transitions.append(
            (f'{number} acquires', _set_other(state, number, sent))
        )
    if other.acquiring:
        transitions.append(
            (f'acquisition of {number} takes effect', _take_over(state))
        )
    return transitions


def _age_answer(age: int, max_age: int) -> int:
    return ABSENT if age == ABSENT or age >= max_age else age + 1


def _age_other(other: OtherMember, rules: Rules) -> OtherMember:
    unchanged, reachable, answer_age = (
        other.unchanged_ticks,
        other.reachable_ticks,
        other.sent_answer_age,
    )
    max_age = ANSWER_VALIDITY_TICKS - 1 if rules.keeps_answers else 0
    if rules.mistake != 'expired answer counts':
        answer_age = _age_answer(answer_age, max_age)
    return other._replace(
        unchanged_ticks=unchanged
        if unchanged == ABSENT
        else min(LEASE_EXPIRY_TICKS, unchanged + 1),
        reachable_ticks=reachable
        if reachable == ABSENT
        else min(TAKEOVER_WAIT_TICKS, reachable + 1),
        sent_answer_age=answer_age,
        received_answer_age=_age_answer(other.received_answer_age, max_age),
    )


def _advance_time(state: State, rules: Rules) -> State:
    renewal = state.renewal
    if renewal is not None:
        renewal = renewal._replace(age=min(AUTHORITY_TICKS, renewal.age + 1))
    return state._replace(
        hold=max(0, state.hold - 1),
        renewal=renewal,
        others=tuple(_age_other(other, rules) for other in state.others),
    )


def list_transitions(state: State, rules: Rules) -> list[Transition]:
    """Returns every transition that is possible in the state."""
    transitions = [('time passes', _advance_time(state, rules))]
    if state.taken:
        # Only the answer of a renewal that took effect before may arrive.
        if state.renewal is not None:
            transitions += _list_renewal_transitions(state, rules)
        return transitions
    transitions += _list_renewal_transitions(state, rules)
    for number in range(rules.others):
        transitions += _list_answer_transitions(state, rules, number)
        transitions += _list_member_transitions(state, rules, number)
    if rules.mistake == 'take-over without the row version that was read':
        # The lease had expired when it was read, but may be renewed since.
        transitions.append(('takes over blindly', _take_over(state)))
    return transitions


def make_initial(rules: Rules) -> State:
    """Returns the state right after the owner's lease was confirmed."""
    return State(
        hold=AUTHORITY_TICKS,
        taken=False,
        row_members=rules.known,
        possible_members=rules.known | rules.read,
        may_be_empty=not rules.known,
        read=rules.read,
        renewal=None,
        delayed_write=ABSENT,
        others=tuple(
            OtherMember(bool(rules.read >> n & 1)) for n in range(rules.others)
        ),
    )


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model with the given configuration."""
    return model_builder.make_model(
        name='ownership',
        initial=make_initial(rules),
        list_transitions=lambda state: list_transitions(state, rules),
        invariants={
            'no two owners acting': lambda s: not (s['taken'] and s['hold']),
        },
    )
