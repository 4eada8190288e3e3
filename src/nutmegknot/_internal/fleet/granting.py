"""Keeping the grants of a fleet partition in the table."""

import asyncio
import dataclasses
import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import grants as grant_codec
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.membership import owning
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

PREFIX = 'grant/'
STEP_MS = 100
CHECK_MS = 1_000
# Longest interval at which a partition asks again for what it can't get, or
# looks whether others need what it does not use.
FIRST_WAIT_MS = 250
LAST_WAIT_MS = 8_000


@dataclasses.dataclass(slots=True)
class TeamGrant:
    """A team's grant row as last known.

    Attributes:
      version: Version of the row, ABSENT if there is none.
      present: Standings by fleet partition.
      doubtful: The lower bound of this partition's amount while the answer to
        a write is lost, or None.
      next_ms: Monotonic instant in ms before which the row is left alone.
      backoff: Intervals of looking at the row without a change.
      lacks: Whether the partition wanted more than its grant when last asked.
    """

    version: int
    present: grant_codec.Standings
    backoff: retries.Backoff
    doubtful: resources.Resources | None = None
    next_ms: int = 0
    lacks: bool = False


@dataclasses.dataclass(slots=True)
class Granting:
    """State of the task.

    Attributes:
      teams: Grant rows by team.
    """

    teams: dict[str, TeamGrant] = dataclasses.field(default_factory=dict)


async def keep_grants(fleet: fleets.Fleet, context: contexts.Context) -> None:
    """Moves grants as demand and limits change, until cancelled or fenced.

    Nothing may start before the rows have been read.
    """
    scheduling.set_grants(fleet.scheduler, {})
    state = Granting()
    backoff = retries.Backoff(context.rng)
    while not await _read_rows(fleet, context, state):
        wait_ms = retries.take_wait(backoff)
        await asyncio.sleep(clock_lib.to_seconds(wait_ms))
    while not fleet.fenced.is_set():
        count = fleet.changed.count
        put_in_force(fleet, state)
        await _move_grants(fleet, context, state)
        put_in_force(fleet, state)
        await asyncio.sleep(clock_lib.to_seconds(STEP_MS))
        await signals.wait_at_most(fleet.changed, count, CHECK_MS)


async def _read_rows(
    fleet: fleets.Fleet, context: contexts.Context, state: Granting
) -> bool:
    rows = await context.table.scan(
        PREFIX, context.settings.platform.timeout_ms
    )
    if isinstance(rows, tables.Unavailable):
        return False
    for row in rows:
        team = row.key.removeprefix(PREFIX)
        state.teams[team] = _make_grant(context, row)
    return True


def _make_grant(context: contexts.Context, row: tables.Row | None) -> TeamGrant:
    backoff = retries.Backoff(context.rng, FIRST_WAIT_MS, LAST_WAIT_MS)
    grant = TeamGrant(tables.ABSENT, {}, backoff)
    _take_row(grant, row)
    return grant


def _take_row(grant: TeamGrant, row: tables.Row | None) -> None:
    grant.doubtful = None
    if row is None:
        grant.version, grant.present = tables.ABSENT, {}
        return
    grant.version = row.version
    message = table_pb2.GrantRow.FromString(row.value)
    grant.present = grant_codec.decode_standings(message)


def put_in_force(fleet: fleets.Fleet, state: Granting) -> None:
    """Tells the decisions how much each team may hold here."""
    bounds: dict[str, resources.Resources] = {}
    for name, team in fleet.scheduler.configuration.teams.items():
        grant = state.teams.get(name)
        if grant is None:
            continue
        bound = grants.choose_bound(team.limit, grant.present, fleet.name)
        if grant.doubtful is not None:
            bound = resources.take_least(bound, grant.doubtful)
        bounds[name] = bound
    if bounds != fleet.scheduler.grants:
        scheduling.set_grants(fleet.scheduler, bounds)
        signals.notify(fleet.changed)


async def _move_grants(
    fleet: fleets.Fleet, context: contexts.Context, state: Granting
) -> None:
    """Writes each team's grant that is due, as one transaction each."""
    usage = scheduling.compute_usage(fleet.scheduler)
    demand = scheduling.compute_demand(fleet.scheduler)
    units = scheduling.compute_units(fleet.scheduler)
    for name in sorted(fleet.scheduler.configuration.teams):
        standing = grants.Standing(
            held=usage.get(name, resources.NOTHING),
            demand=demand.get(name, resources.NOTHING),
            unit=units.get(name, resources.NOTHING),
        )
        await ask(fleet, context, state, name, standing)


async def ask(
    fleet: fleets.Fleet,
    context: contexts.Context,
    state: Granting,
    team: str,
    standing: grants.Standing,
) -> None:
    """Moves a team's grant if that is due.

    Args:
      fleet: The fleet partition.
      context: What its tasks work with.
      state: Grant rows as last known.
      team: The team.
      standing: What it holds and wants here; the granted part is not used.
    """
    grant = state.teams.get(team)
    if grant is None:
        if standing == grants.Standing():
            return
        grant = _make_grant(context, None)
        state.teams[team] = grant
    _note_lack(fleet, grant, standing)
    if context.clock.now_ms() >= grant.next_ms and context.may_act():
        await _move(fleet, context, team, grant, standing)


def _note_lack(
    fleet: fleets.Fleet, grant: TeamGrant, standing: grants.Standing
) -> None:
    """Ends the wait before the next look once the partition lacks something.

    While it lacked nothing, the row was looked at seldom, so that it may have
    changed a lot since.
    """
    present = grant.present.get(fleet.name, grants.Standing())
    wanted = resources.add(standing.held, standing.demand)
    lacks = not resources.fits(wanted, present.granted)
    if lacks and not grant.lacks:
        grant.next_ms = 0
        retries.reset(grant.backoff)
    grant.lacks = lacks


def _list_standings(
    context: contexts.Context, grant: TeamGrant
) -> grant_codec.Standings:
    """Returns the standing of every partition, empty where it has none.

    So what nobody wants is divided among all, and the first to ask does not
    take what others will need in a moment.
    """
    names = owning.list_partitions(context.settings)
    every = {n: grants.Standing() for n in names if n.startswith('fleet-')}
    return every | grant.present


async def _move(
    fleet: fleets.Fleet,
    context: contexts.Context,
    team: str,
    grant: TeamGrant,
    standing: grants.Standing,
) -> None:
    limit = fleet.scheduler.configuration.teams[team].limit
    present = _list_standings(context, grant)
    chosen = grants.choose_standing(limit, present, fleet.name, standing)
    is_due = grants.is_due(limit, grant.present, fleet.name, chosen)
    if grant.doubtful is not None or not is_due:
        await _look_again(fleet, context, team, grant, standing)
        return
    changed = grant.present | {fleet.name: chosen}
    key = f'{PREFIX}{team}'
    content = grant_codec.encode_standings(team, changed).SerializeToString()
    result = await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, grant.version), context.get_fence()),
            (tables.Write(key, content),),
        ),
        context.settings.platform.timeout_ms,
    )
    _take_result(fleet, grant, key, changed, result)
    if isinstance(result, tables.Committed):
        retries.reset(grant.backoff)
        logger.debug('grant_moved', extra={'team': team, 'fleet': fleet.name})
    elif not isinstance(result, tables.ConditionFailed):
        _postpone(context, grant)


def _take_result(
    fleet: fleets.Fleet,
    grant: TeamGrant,
    key: str,
    changed: grant_codec.Standings,
    result: tables.Result,
) -> None:
    match result:
        case tables.Committed(versions):
            grant.version = versions[key]
            grant.present = changed
            grant.doubtful = None
        case tables.ConditionFailed(failed_key, row):
            if failed_key == key:
                _take_row(grant, row)
        case tables.Uncertain():
            present = grant.present.get(fleet.name)
            before = resources.NOTHING if present is None else present.granted
            grant.doubtful = resources.take_least(
                before, changed[fleet.name].granted
            )


async def _look_again(
    fleet: fleets.Fleet,
    context: contexts.Context,
    team: str,
    grant: TeamGrant,
    standing: grants.Standing,
) -> None:
    """Reads the row of a team that lacks something or has something to spare.

    Others write into it what they lack, or take what is given back.
    """
    present = grant.present.get(fleet.name, grants.Standing())
    wanted = resources.add(standing.held, standing.demand)
    if grant.doubtful is None and present.granted == wanted:
        return
    key = f'{PREFIX}{team}'
    result = await context.table.transact(
        tables.Transaction(reads=(key,)), context.settings.platform.timeout_ms
    )
    if isinstance(result, tables.Committed):
        _take_row(grant, result.rows.get(key))
    _postpone(context, grant)


def _postpone(context: contexts.Context, grant: TeamGrant) -> None:
    wait_ms = retries.take_wait(grant.backoff)
    grant.next_ms = context.clock.now_ms() + wait_ms
