"""Ownership of one partition: lease, take-over and store outages.

An owner renews its lease row, whose answers get lost or whose writes land late.
Two other members read the row and may take the partition over; each of them may
have been known to the owner from the beginning or join later. Every attempt to
reach the store may fail, which covers every outage. A process that is paused
takes no step while time passes.
"""

import dataclasses
from typing import NamedTuple

import minicheck

# Ticks; the product's lengths keep the same order. An answer has to count for
# more than one tick, or no outage would ever be bridged; a lease must not lapse
# before the answers heard earlier have ceased to count.
AUTHORITY = 2
LAPSE = 2
ANSWER = 2
WAIT = 2

NO = -1

MISTAKES = (
    'lapse too short',
    'hold counted from the answer',
    'no wait after reaching the store',
    'unknown member takes over',
    'asks only members of the last read',
    'broken hold extended',
    'missing answer counts',
    'old answer counts',
    'bridges although a row may know nobody',
    'take-over without the row as seen',
)


@dataclasses.dataclass(slots=True, frozen=True)
class Rules:
    """What is checked.

    Attributes:
      known: Members that the owner's row knows at the beginning, as bits.
      read: Members that it has read since, and that are registered then.
      mistake: One of MISTAKES, or ''.
      others: Number of other members.
      may_drop: Whether the last lease row may be removed, to be written
        anew.
      keeps_answers: Whether answers may be older than one tick.
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
# A minute each.
LARGE_SCENARIOS = (
    Rules(known=0b11, read=0b11, may_drop=True),
    Rules(known=0b00, read=0b00),
)


class Renewal(NamedTuple):
    """A renewal that the owner waits for.

    Attributes:
      age: Ticks since it began, up to AUTHORITY.
      known: Members that the row it writes knows, as bits.
      read: Members that it read, as bits; NO until it has landed.
    """

    age: int
    known: int
    read: int


class Other(NamedTuple):
    """Another member.

    Attributes:
      registered: Whether its lease row is in the table.
      seen: Ticks for which it has known the owner's row as it is, or NO.
      reached: Ticks for which it has reached the store, or NO.
      acquiring: Whether an acquisition of its is under way.
      message: Age of its answer, under way, that it can't reach the store.
      answer: Age of that answer as the owner has it.
    """

    registered: bool
    seen: int = NO
    reached: int = NO
    acquiring: bool = False
    message: int = NO
    answer: int = NO


class State(NamedTuple):
    """State of the whole; sets of members are bits.

    Attributes:
      hold: Ticks for which the owner may still act.
      taken: Whether another member has become the owner.
      row: Members that the owner's row knows.
      written: Members that any row of the owner's in the table may know.
      may_be_empty: Whether such a row may know nobody.
      read: Members that the owner has read last.
      renewal: The renewal that the owner waits for.
      late: What a renewal that it has given up would write, or NO.
      others: The other members.
    """

    hold: int
    taken: bool
    row: int
    written: int
    may_be_empty: bool
    read: int
    renewal: Renewal | None
    late: int
    others: tuple[Other, ...]


Step = tuple[str, State]
GONE = Other(registered=False)


def _set_other(state: State, number: int, other: Other) -> State:
    others = list(state.others)
    others[number] = other
    return state._replace(others=tuple(others))


def _drop_open(renewal: Renewal | None) -> Renewal | None:
    """Fails a renewal that has not landed, as the row's version changed."""
    return None if renewal is not None and renewal.read == NO else renewal


def _write_row(state: State, known: int) -> State:
    """Changes the owner's row; all that demands its old version now fails."""
    return state._replace(
        row=known,
        late=NO,
        renewal=_drop_open(state.renewal),
        others=tuple(
            o._replace(seen=NO, acquiring=False) for o in state.others
        ),
    )


def _take(state: State) -> State:
    """Makes another member the owner; nothing of the others matters then."""
    return state._replace(
        taken=True,
        row=0,
        written=0,
        may_be_empty=False,
        read=0,
        late=NO,
        renewal=_drop_open(state.renewal),
        others=(GONE,) * len(state.others),
    )


def _list_renewals(state: State, rules: Rules) -> list[Step]:
    """Steps of the owner's lease."""
    steps: list[Step] = []
    renewal = state.renewal
    if state.late != NO:
        steps.append(('late lands', _write_row(state, state.late)))
    if renewal is None:
        sent = state._replace(
            renewal=Renewal(0, state.read, NO),
            written=state.written | state.read,
            may_be_empty=state.may_be_empty or not state.read,
        )
        return [*steps, ('renew', sent)]
    if renewal.read == NO:
        landed = _write_row(state, renewal.known)
        read = sum(1 << n for n, o in enumerate(state.others) if o.registered)
        done = landed._replace(renewal=renewal._replace(read=read))
        given_up = state._replace(renewal=None, late=renewal.known)
        return [*steps, ('lands', done), ('given up', given_up)]
    is_wrong = rules.mistake == 'hold counted from the answer'
    age = 0 if is_wrong else renewal.age
    confirmed = state._replace(
        renewal=None,
        hold=max(state.hold, AUTHORITY - age),
        written=renewal.known,
        may_be_empty=not renewal.known,
        read=renewal.read,
    )
    lost = state._replace(renewal=None)
    return [*steps, ('confirmed', confirmed), ('answer lost', lost)]


def _extend(state: State, rules: Rules) -> State:
    """Extends the hold if every member asked says that it can't reach."""
    if state.hold == 0 and rules.mistake != 'broken hold extended':
        return state
    is_careless = rules.mistake == 'bridges although a row may know nobody'
    if state.may_be_empty and not is_careless:
        return state
    asked = state.read
    if rules.mistake != 'asks only members of the last read':
        asked |= state.written
    answers = [o.answer for n, o in enumerate(state.others) if asked >> n & 1]
    if rules.mistake == 'missing answer counts':
        answers = [age for age in answers if age != NO]
    if NO in answers:
        return state
    hold = ANSWER - max(answers, default=ANSWER)
    return state._replace(hold=max(state.hold, hold))


def _list_messages(state: State, rules: Rules, number: int) -> list[Step]:
    """Steps of the answer that the owner waits for."""
    other = state.others[number]
    steps: list[Step] = []
    if other.reached == NO and other.message == NO:
        sent = _set_other(state, number, other._replace(message=0))
        steps.append((f'{number} answers', sent))
    if other.message != NO:
        heard = other._replace(message=NO, answer=other.message)
        after = _extend(_set_other(state, number, heard), rules)
        steps.append((f'answer of {number} arrives', after))
    return steps


def _may_take_over(state: State, rules: Rules, number: int) -> bool:
    other = state.others[number]
    lapse = LAPSE - 1 if rules.mistake == 'lapse too short' else LAPSE
    wait = 0 if rules.mistake == 'no wait after reaching the store' else WAIT
    if other.seen < lapse or other.reached < wait:
        return False
    is_known = not state.row or bool(state.row >> number & 1)
    return is_known or rules.mistake == 'unknown member takes over'


def _list_others(state: State, rules: Rules, number: int) -> list[Step]:
    """Steps of another member towards the table."""
    other = state.others[number]
    steps: list[Step] = []
    if other.reached != NO:
        failed = other._replace(reached=NO)
        steps.append((f'{number} fails', _set_other(state, number, failed)))
    if not other.registered:
        joined = other._replace(registered=True)
        return [*steps, (f'{number} joins', _set_other(state, number, joined))]
    if rules.may_drop and number == rules.others - 1:
        dropped = other._replace(registered=False, acquiring=False)
        steps.append((f'{number} dropped', _set_other(state, number, dropped)))
    reads = other._replace(
        seen=max(0, other.seen), reached=max(0, other.reached)
    )
    if reads != other:
        steps.append((f'{number} reads', _set_other(state, number, reads)))
    if _may_take_over(state, rules, number):
        steps.append((f'{number} takes over', _take(state)))
        sent = other._replace(acquiring=True, reached=NO)
        steps.append((f'{number} acquires', _set_other(state, number, sent)))
    if other.acquiring:
        steps.append((f'acquisition of {number} lands', _take(state)))
    return steps


def _age_answer(age: int, last: int) -> int:
    return NO if age == NO or age >= last else age + 1


def _age_other(other: Other, rules: Rules) -> Other:
    seen, reached, message = other.seen, other.reached, other.message
    last = ANSWER - 1 if rules.keeps_answers else 0
    if rules.mistake != 'old answer counts':
        message = _age_answer(message, last)
    return other._replace(
        seen=seen if seen == NO else min(LAPSE, seen + 1),
        reached=reached if reached == NO else min(WAIT, reached + 1),
        message=message,
        answer=_age_answer(other.answer, last),
    )


def _pass_time(state: State, rules: Rules) -> State:
    renewal = state.renewal
    if renewal is not None:
        renewal = renewal._replace(age=min(AUTHORITY, renewal.age + 1))
    return state._replace(
        hold=max(0, state.hold - 1),
        renewal=renewal,
        others=tuple(_age_other(other, rules) for other in state.others),
    )


def list_steps(state: State, rules: Rules) -> list[Step]:
    """Returns every step that may come next."""
    steps = [('time passes', _pass_time(state, rules))]
    if state.taken:
        # Only the answer of a renewal that landed before may still come.
        if state.renewal is not None:
            steps += _list_renewals(state, rules)
        return steps
    steps += _list_renewals(state, rules)
    for number in range(rules.others):
        steps += _list_messages(state, rules, number)
        steps += _list_others(state, rules, number)
    if rules.mistake == 'take-over without the row as seen':
        # The row was seen to lapse before; it may have been renewed since.
        steps.append(('takes over blindly', _take(state)))
    return steps


def make_initial(rules: Rules) -> State:
    """Returns the state in which the owner has just confirmed its lease."""
    return State(
        hold=AUTHORITY,
        taken=False,
        row=rules.known,
        written=rules.known | rules.read,
        may_be_empty=not rules.known,
        read=rules.read,
        renewal=None,
        late=NO,
        others=tuple(
            Other(bool(rules.read >> n & 1)) for n in range(rules.others)
        ),
    )


def make_model(rules: Rules) -> minicheck.Protocol:
    """Returns the model under the given rules."""

    def list_next(state: tuple) -> list[tuple[str, tuple]]:
        return [
            (label, tuple(after))
            for label, after in list_steps(State(*state), rules)
        ]

    return minicheck.Protocol(
        name='ownership',
        candidate=False,
        fields=State._fields,
        initial=tuple(make_initial(rules)),
        transitions=list_next,
        invariants={
            'no two owners acting': lambda s: not (s['taken'] and s['hold']),
        },
    )
