"""Tests of fleet/team_grants.py: the sum of grants never exceeds the limit."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
from lib import fakes
from lib import makers

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import grants as grant_codec
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import assigned_requests
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.fleet import team_grants
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

LIMIT = resources.Resources(100, 100, 10, 10)
NAMES = ['fleet-a-0', 'fleet-b-0', 'fleet-c-0']

UNIT = resources.Resources(10, 10, 1, 1)

amounts = strategies.builds(
    resources.Resources,
    strategies.integers(0, 150),
    strategies.integers(0, 150),
    strategies.integers(0, 15),
    strategies.integers(0, 15),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(NAMES), amounts), max_size=30
    )
)
def test_chosen_grants_never_exceed_the_limit(
    steps: list[tuple[str, resources.Resources]],
) -> None:
    partition_grants: dict[str, grants.PartitionGrant] = {}
    for name, wanted in steps:
        before = partition_grants.get(name, grants.PartitionGrant()).granted
        held = resources.compute_minimum(before, wanted)
        demand = resources.subtract(wanted, held)
        partition_grant = grants.PartitionGrant(
            held=held, demand=demand, unit=UNIT
        )
        chosen = grants.choose_grant(
            LIMIT, partition_grants, name, partition_grant
        )
        partition_grants[name] = chosen
        total = resources.ZERO
        for one in partition_grants.values():
            total = resources.add(total, one.granted)
        assert resources.fits(total, LIMIT)
        assert resources.fits(held, chosen.granted)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(NAMES), amounts)
)
def test_start_limits_keep_to_a_lowered_limit(
    held: dict[str, resources.Resources],
) -> None:
    partition_grants = {
        n: grants.PartitionGrant(amount, amount) for n, amount in held.items()
    }
    total = resources.ZERO
    for name in partition_grants:
        start_limit = grants.compute_start_limit(LIMIT, partition_grants, name)
        total = resources.add(total, start_limit)
    assert resources.fits(total, LIMIT)


def test_last_waiting_request_gets_its_grant() -> None:
    """A partition without demand leaves its grant to one with little demand."""
    partition_grants = {
        'fleet-a-0': grants.PartitionGrant(
            granted=LIMIT, demand=LIMIT, unit=UNIT
        )
    }
    one = grants.PartitionGrant(demand=UNIT, unit=UNIT)
    for _ in range(20):
        for name, partition_grant in (
            ('fleet-a-0', grants.PartitionGrant()),
            ('fleet-b-0', one),
        ):
            chosen = grants.choose_grant(
                LIMIT, partition_grants, name, partition_grant
            )
            if grants.is_write_due(LIMIT, partition_grants, name, chosen):
                partition_grants[name] = chosen
    assert resources.fits(UNIT, partition_grants['fleet-b-0'].granted)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            amounts,
            strategies.sampled_from(['', '', 'lost', 'down']),
        ),
        max_size=25,
    )
)
def test_partitions_share_a_row_under_faults(
    steps: list[tuple[int, resources.Resources, str]],
) -> None:
    asyncio.run(check_sharing(steps))


async def check_sharing(
    steps: list[tuple[int, resources.Resources, str]],
) -> None:
    fake = fakes.FakeTable(
        rows={n: tables.Row(n, b'', 1) for n in NAMES}, last_version=1
    )
    manual = clock.ManualTime()
    fleet_partitions = [make_fleet(name) for name in NAMES]
    states = [team_grants.GrantState() for _ in NAMES]
    for number, wanted, fault in steps:
        fleet, state = fleet_partitions[number], states[number]
        fake.faults = [fault]
        manual.at_ms += 10_000
        context = make_context(fake, manual, fleet.name)
        partition_grant = grants.PartitionGrant(demand=wanted, unit=UNIT)
        await team_grants.update_team_grant(
            fleet, context, state, 't', partition_grant
        )
        team_grants.apply_grants(fleet, state)
        row = fake.rows.get('grant/t')
        if row is None:
            continue
        written = grant_codec.decode_partition_grants(
            table_pb2.GrantRow.FromString(row.value)
        )
        total = resources.ZERO
        for partition_grant in written.values():
            total = resources.add(total, partition_grant.granted)
        assert resources.fits(total, LIMIT)
        total = resources.ZERO
        for partition in fleet_partitions:
            start_limits = partition.scheduler.grants or {}
            total = resources.add(total, start_limits.get('t', resources.ZERO))
        assert resources.fits(total, LIMIT)


def make_fleet(name: str) -> fleets.Fleet:
    team = cells.Team('t', 1.0, LIMIT)
    config = cells.Configuration(revision=1, teams={'t': team})
    sched = scheduling.Scheduler('d', config)
    scheduling.set_grants(sched, {})
    return fleets.Fleet(name, 1, 'd', 0, sched)


def make_context(
    fake: fakes.FakeTable, manual: clock.ManualTime, name: str
) -> contexts.Context:
    async def accept(*_: object) -> bool:
        return True

    settings = settings_pb2.Settings()
    settings.cell.domains.extend(['r/a', 'r/b', 'r/c'])
    settings.cell.domain_partitions = 1
    return contexts.Context(
        clock=clock.make_manual_clock(manual),
        rng=random.Random(1),
        settings=settings,
        platform=None,  # type: ignore[arg-type]
        table=fakes.connect_table(fake),
        tasks=tasks.TaskSet(),
        get_fence=lambda: tables.Condition(name, 1),
        may_act=lambda: True,
        request_starts=accept,  # type: ignore[arg-type]
        send_reports=accept,
    )


async def test_first_partition_leaves_room_for_others() -> None:
    fake = fakes.FakeTable(rows={n: tables.Row(n, b'', 1) for n in NAMES})
    manual = clock.ManualTime()
    one = grants.PartitionGrant(demand=UNIT, unit=UNIT)
    for name in NAMES:
        fleet, state = make_fleet(name), team_grants.GrantState()
        context = make_context(fake, manual, name)
        for _ in range(3):
            await team_grants.update_team_grant(fleet, context, state, 't', one)
            team_grants.apply_grants(fleet, state)
        assert fleet.scheduler.grants is not None
        assert resources.fits(UNIT, fleet.scheduler.grants['t'])


def make_new_owner(name: str) -> tuple[fleets.Fleet, team_grants.GrantState]:
    """Returns an owner with room, and a grant for one task of team 't'.

    Of its two workers, only one has sent its inventory, which is empty.
    """
    fleet = make_fleet(name)
    fleet.epoch, fleet.listed = 2, True
    for id in ('w0', 'w1'):
        fleet.sessions[id] = fleets.Session(
            makers.make_worker(id),
            makers.make_silent_target(),
            renewed_ms=0,
            last_answer_ms=0,
        )
    fleet.sessions['w1'].claimed = True
    scheduling.add_worker(fleet.scheduler, makers.make_worker('w1'))
    state = team_grants.GrantState()
    granted = grants.PartitionGrant(granted=makers.SIZE)
    state.teams['t'] = team_grants.TeamGrant(
        1, {name: granted}, retries.Backoff(random.Random(1), 1, 1)
    )
    team = cells.Team('t', 1.0, makers.SIZE)
    fleet.scheduler.configuration.teams['t'] = team
    return fleet, state


def list_placed(fleet: fleets.Fleet, state: team_grants.GrantState) -> set[str]:
    team_grants.apply_grants(fleet, state)
    assigned_requests.resolve_inherited_requests(fleet)
    return {
        decision.request_key
        for decision in scheduling.decide(fleet.scheduler, 1_000)
        if isinstance(decision, scheduling.Place)
    }


def test_team_over_its_limit_while_its_requests_are_not_located() -> None:
    """An inherited request may run on the worker that is not claimed yet."""
    fleet, state = make_new_owner('fleet-d-0')
    fleet.complete_ledgers = {'ledger-0'}
    inherited = makers.make_assignment('before', epoch=1)
    assigned_requests.add_assignment(fleet, inherited)
    assigned_requests.add_assignment(
        fleet, makers.make_assignment('new', epoch=2)
    )
    assert list_placed(fleet, state) == set()
    fleet.sessions['w0'].claimed = True
    assigned_requests.resolve_inherited_requests(fleet)
    assert len(list_placed(fleet, state)) == 1


async def test_team_over_its_limit_while_ledgers_have_not_told_all() -> None:
    """What a ledger partition has not sent again yet may be running."""
    fleet, _ = make_new_owner('fleet-d-0')
    row = grant_codec.encode_partition_grants(
        't', {'fleet-d-0': grants.PartitionGrant(granted=makers.SIZE)}
    )
    fake = fakes.FakeTable(
        rows={
            'grant/t': tables.Row('grant/t', row.SerializeToString(), 1),
            'fleet-d-0': tables.Row('fleet-d-0', b'', 1),
        },
        last_version=1,
    )
    context = make_context(fake, clock.ManualTime(), 'fleet-d-0')
    context.settings.cell.ledger_partitions = 2
    fleet.complete_ledgers.add('ledger-0')
    updating = asyncio.create_task(team_grants.run_grant_loop(fleet, context))
    for _ in range(20):
        await asyncio.sleep(0)
    assert fleet.scheduler.grants == {}
    waiting = asyncio.create_task(team_grants.wait_for_assignments(fleet, 2))
    fleet.complete_ledgers.add('ledger-1')
    signals.notify(fleet.scheduling_needed)
    await asyncio.wait_for(waiting, 10)
    updating.cancel()
