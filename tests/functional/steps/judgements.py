"""Steps that check outcomes against the records of the workers."""

import asyncio

from lib import callers
from lib import processes
from lib import worlds
import pytest_bdd
from pytest_bdd import parsers

from nutmegknot._internal.models import resources
from nutmegknot_standins import control_pb2

VIOLATION_KINDS = {
    'over capacity': control_pb2.VIOLATION_KIND_OVER_CAPACITY,
    'in two places': control_pb2.VIOLATION_KIND_TWO_PLACES,
    'a second time': control_pb2.VIOLATION_KIND_RUN_TWICE,
    'in a closed domain': control_pb2.VIOLATION_KIND_CLOSED_DOMAIN,
    'on a leaving worker': control_pb2.VIOLATION_KIND_LEAVING,
}
SETTLE_S = 3.0


@pytest_bdd.then(parsers.parse('no task was started {how}'))
def check_starts(world: worlds.World, how: str) -> None:
    """Checks that workers recorded no violation of a kind."""
    kind = VIOLATION_KINDS[how]
    assert worlds.run(world, worlds.list_violations(world, kind)) == []


@pytest_bdd.then('every caller has the whole answer to its own request')
def check_answers(world: worlds.World) -> None:
    """Waits for all callers and checks each answer."""
    worlds.run(world, worlds.wait_answers(world))
    wrong = []
    for request_id, call in world.calls.items():
        answer = world.answers[request_id]
        expected = [f'answer of {request_id}'.encode()] * call.request.members
        if list(answer.outcome.finished.answers) != expected:
            wrong.append((request_id, str(answer.outcome)))
    assert wrong == []


@pytest_bdd.then('every caller has a final outcome')
def check_final(world: worlds.World) -> None:
    """Waits for all callers and checks that each has an outcome."""
    worlds.run(world, worlds.wait_answers(world))
    assert world.answers.keys() == world.calls.keys()


@pytest_bdd.then('each outcome agrees with what the workers recorded')
def check_truth(world: worlds.World) -> None:
    """Compares each outcome with the recorded starts and ends of its tasks."""
    records = worlds.run(world, worlds.list_records(world))
    events: dict[str, list[str]] = {}
    for record in records:
        request_id = record.request.removeprefix(f'{worlds.TEAM}/')
        events.setdefault(request_id, []).append(record.event)
    wrong = [
        (request_id, answer, events.get(request_id, []))
        for request_id, answer in world.answers.items()
        if not _agrees(answer, events.get(request_id, []))
    ]
    assert wrong == []


def _agrees(answer: callers.Answer, events: list[str]) -> bool:
    match answer.kind:
        case 'refused':
            return 'start' not in events
        case 'finished':
            return 'finished' in events
        case 'failed':
            return answer.outcome.failed.started or 'start' not in events
        case 'cancelled':
            return answer.outcome.cancelled.started or 'start' not in events
    return answer.kind == 'may_have_run'


@pytest_bdd.then('each request was started once')
def check_single_starts(world: worlds.World) -> None:
    """Checks that each request has exactly one recorded start."""
    starts = worlds.run(world, worlds.list_starts(world))
    counts: dict[str, int] = {}
    for record in starts:
        counts[record.request] = counts.get(record.request, 0) + 1
    expected = {f'{worlds.TEAM}/{request_id}': 1 for request_id in world.calls}
    assert counts == expected


@pytest_bdd.then('no request that was refused starts later')
def check_refusals(world: worlds.World) -> None:
    """Waits until the cell is idle, then checks that no refused request ran."""

    async def is_idle() -> bool:
        state = await processes.get_state(world.cluster, processes.NO_RECORDS)
        return state.running == 0

    worlds.run(world, worlds.wait_answers(world))
    worlds.run(world, asyncio.sleep(SETTLE_S))
    worlds.run(world, processes.wait_until(is_idle, 'nothing runs'))
    check_truth(world)


@pytest_bdd.then(parsers.parse('at least {count:d} requests were {kind}'))
def check_count(world: worlds.World, count: int, kind: str) -> None:
    """Checks that the scenario really had enough outcomes of a kind."""
    kinds = [answer.kind for answer in world.answers.values()]
    assert kinds.count(kind) >= count, kinds


@pytest_bdd.then('every instance rejects the key')
def check_rejection(world: worlds.World) -> None:
    """Submits through each instance and checks the refusals."""

    async def submit_everywhere() -> list[str]:
        reasons = []
        for number, address in enumerate(worlds.list_serving(world)):
            call = callers.make_submit(f'late-{number}', worlds.KEY)
            client = callers.connect(world.balancer, address)
            outcome = await client.caller.Submit(
                call, timeout=worlds.CALL_TIMEOUT_S
            )
            kind = outcome.WhichOneof('kind')
            reasons.append(outcome.refused.reason or kind)
        return reasons

    reasons = worlds.run(world, submit_everywhere())
    allowed = {'key_rejected', 'unknown'}
    assert reasons and set(reasons) <= allowed, reasons


@pytest_bdd.then('the cut off instance accepts nothing')
def check_cut_off(world: worlds.World) -> None:
    """Submits through the instance that cannot confirm its authority."""
    assert world.faulty_instance is not None
    client = callers.connect(world.balancer, world.faulty_instance.address)
    call = callers.make_submit('cut-off', worlds.KEY)
    outcome = worlds.run(
        world, client.caller.Submit(call, timeout=worlds.CALL_TIMEOUT_S)
    )
    assert outcome.HasField('unknown'), outcome


@pytest_bdd.then('no start was above the limits in force')
def check_limit(world: worlds.World) -> None:
    """Compares the team's use at each start with the limits in force."""
    held = resources.ZERO
    above = []
    for record in worlds.run(world, worlds.list_records(world)):
        size = resources.Resources(
            record.millicores,
            record.memory_mib,
            record.accelerators,
            record.slots,
        )
        if record.event != 'start':
            held = resources.subtract(held, size)
            continue
        held = resources.add(held, size)
        limits = list_limits(world, record.at_ms)
        if limits and not any(resources.fits(held, one) for one in limits):
            above.append(f'{record.task}: {held}')
    assert above == []


def list_limits(world: worlds.World, at_ms: int) -> list[resources.Resources]:
    """Returns the limits that an owner may apply at a wall clock time.

    A new limit must be in force after CHANGE_GRACE_MS; until then either it or
    the limit before may apply. The list is empty until the first limit must
    be in force.
    """
    found: list[resources.Resources] = []
    for stated_ms, limit in world.limits:
        if at_ms > stated_ms + worlds.CHANGE_GRACE_MS:
            found = [limit]
        elif found and at_ms >= stated_ms:
            found.append(limit)
    return found


@pytest_bdd.then('one change was applied and the other got a conflict')
def check_race(world: worlds.World) -> None:
    """Checks the replies to both operators."""
    replies = world.step_values['replies']
    kinds = sorted(reply.WhichOneof('kind') for reply in replies)
    assert kinds == ['applied', 'conflict']
    [applied] = [r.applied for r in replies if r.HasField('applied')]
    [conflict] = [r.conflict for r in replies if r.HasField('conflict')]
    assert conflict == applied


@pytest_bdd.then('the newest revision is in force in every instance')
def check_in_force(world: worlds.World) -> None:
    """Waits until all instances have the newest revision."""
    worlds.run(world, worlds.wait_in_force(world))


@pytest_bdd.then('no instance ever showed an older revision than before')
def check_revisions(world: worlds.World) -> None:
    """Checks that the observed revisions of each instance never decrease."""
    for name, seen in world.step_values['revisions'].items():
        assert seen == sorted(seen), name
