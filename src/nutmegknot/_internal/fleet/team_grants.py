"""Obtains and releases a fleet partition's share of each team's limit.

One table row per team divides the team's limit among the fleet partitions
(escrow). Each partition starts requests only within its own grant, so all
partitions together keep to the limit without calls between them.
"""

import asyncio
import dataclasses
import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import grants as grant_codec
from nutmegknot._internal.decisions import grants
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.fleet import contexts
from nutmegknot._internal.fleet import fleets
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

GRANT_PREFIX = 'grant/'
UPDATE_PAUSE_MS = 100
MAX_CHANGE_WAIT_MS = 1_000
FIRST_REREAD_WAIT_MS = 250
# Longest wait until a partition reads a row again, because it is granted less
# than it needs, or because others may need what it does not use.
MAX_REREAD_WAIT_MS = 8_000


@dataclasses.dataclass(slots=True)
class TeamGrant:
    """A team's grant row as last read or written.

    Attributes:
      version: Version of the row, ABSENT if there is none.
      partition_grants: The team's grant, usage and demand in each fleet
        partition, by name of the partition.
      backoff: Waits between reads of the row while this partition writes none.
      uncertain_grant: While it is unknown whether a write took effect: the
        minimum of this partition's grants with and without it. Otherwise None.
      next_access_ms: Monotonic time in ms before which the row is neither read
        nor written.
      is_short: Whether usage and demand exceeded the grant at the last update.
    """

    version: int
    partition_grants: grant_codec.PartitionGrants
    backoff: retries.Backoff
    uncertain_grant: resources.Resources | None = None
    next_access_ms: int = 0
    is_short: bool = False


@dataclasses.dataclass(slots=True)
class GrantState:
    """The grants as one fleet partition knows them.

    Attributes:
      teams: Grant rows by team.
    """

    teams: dict[str, TeamGrant] = dataclasses.field(default_factory=dict)


async def run_grant_loop(
    fleet: fleets.Fleet, context: contexts.Context
) -> None:
    """Updates grants as demand and limits change, until cancelled or fenced.

    The grants are empty, so that nothing starts, until the rows have been read
    and all requests are known that earlier owners may have started.
    """
    scheduling.set_grants(fleet.scheduler, {})
    state = GrantState()
    backoff = retries.Backoff(context.rng)
    while not await _read_rows(fleet, context, state):
        wait_ms = retries.advance_backoff(backoff)
        await asyncio.sleep(clock.to_seconds(wait_ms))
    await wait_for_assignments(fleet, context.settings.cell.ledger_partitions)
    while not fleet.fenced.is_set():
        count = fleet.scheduling_needed.count
        apply_grants(fleet, state)
        await _update_grants(fleet, context, state)
        apply_grants(fleet, state)
        await asyncio.sleep(clock.to_seconds(UPDATE_PAUSE_MS))
        await signals.wait_with_timeout(
            fleet.scheduling_needed, count, MAX_CHANGE_WAIT_MS
        )


async def wait_for_assignments(fleet: fleets.Fleet, ledgers: int) -> None:
    """Waits until all ledger partitions have sent their open assignments."""
    while len(fleet.complete_ledgers) < ledgers and not fleet.fenced.is_set():
        await signals.wait_with_timeout(
            fleet.scheduling_needed,
            fleet.scheduling_needed.count,
            MAX_CHANGE_WAIT_MS,
        )


def compute_unlocated(fleet: fleets.Fleet) -> dict[str, resources.Resources]:
    """Returns the resources of tasks that may run unknown to this owner.

    These are the tasks of inherited requests that are in no worker's inventory,
    by team.
    """
    unlocated: dict[str, resources.Resources] = {}
    for key in fleet.inherited_requests:
        request = fleet.requests[key]
        count = sum(
            task not in fleet.task_workers
            for task in fleets.list_task_ids(request)
        )
        size = scheduling.choose_largest_size(
            fleet.scheduler, request.assignment
        )
        team = request.assignment.req.team
        unlocated[team] = resources.add(
            unlocated.get(team, resources.ZERO),
            resources.multiply(size, count),
        )
    return unlocated


async def _read_rows(
    fleet: fleets.Fleet, context: contexts.Context, state: GrantState
) -> bool:
    rows = await context.table.scan(
        GRANT_PREFIX, context.settings.platform.timeout_ms
    )
    if isinstance(rows, tables.Unavailable):
        return False
    for row in rows:
        team = row.key.removeprefix(GRANT_PREFIX)
        state.teams[team] = _make_grant(context, row)
    return True


def _make_grant(context: contexts.Context, row: tables.Row | None) -> TeamGrant:
    backoff = retries.Backoff(
        context.rng, FIRST_REREAD_WAIT_MS, MAX_REREAD_WAIT_MS
    )
    grant = TeamGrant(tables.ABSENT, {}, backoff)
    _set_row(grant, row)
    return grant


def _set_row(grant: TeamGrant, row: tables.Row | None) -> None:
    grant.uncertain_grant = None
    if row is None:
        grant.version, grant.partition_grants = tables.ABSENT, {}
        return
    grant.version = row.version
    message = table_pb2.GrantRow.FromString(row.value)
    grant.partition_grants = grant_codec.decode_partition_grants(message)


def apply_grants(fleet: fleets.Fleet, state: GrantState) -> None:
    """Sets up to which amount the scheduler may start requests of each team."""
    start_limits: dict[str, resources.Resources] = {}
    unlocated = compute_unlocated(fleet)
    for name, team in fleet.scheduler.configuration.teams.items():
        grant = state.teams.get(name)
        if grant is None:
            continue
        start_limit = grants.compute_start_limit(
            team.limit, grant.partition_grants, fleet.name
        )
        if grant.uncertain_grant is not None:
            start_limit = resources.compute_minimum(
                start_limit, grant.uncertain_grant
            )
        start_limits[name] = resources.compute_maximum(
            resources.ZERO,
            resources.subtract(
                start_limit, unlocated.get(name, resources.ZERO)
            ),
        )
    if start_limits != fleet.scheduler.grants:
        scheduling.set_grants(fleet.scheduler, start_limits)
        signals.notify(fleet.scheduling_needed)


async def _update_grants(
    fleet: fleets.Fleet, context: contexts.Context, state: GrantState
) -> None:
    """Updates the grant of each team, each in a transaction of its own."""
    usage = scheduling.compute_usage(fleet.scheduler)
    for team, amount in compute_unlocated(fleet).items():
        usage[team] = resources.add(usage.get(team, resources.ZERO), amount)
    demand = scheduling.compute_demand(fleet.scheduler)
    units = scheduling.compute_units(fleet.scheduler)
    for name in sorted(fleet.scheduler.configuration.teams):
        partition_grant = grants.PartitionGrant(
            held=usage.get(name, resources.ZERO),
            demand=demand.get(name, resources.ZERO),
            unit=units.get(name, resources.ZERO),
        )
        await update_team_grant(fleet, context, state, name, partition_grant)


async def update_team_grant(
    fleet: fleets.Fleet,
    context: contexts.Context,
    state: GrantState,
    team: str,
    partition_grant: grants.PartitionGrant,
) -> None:
    """Writes or reads a team's grant row if that is due.

    Args:
      fleet: The fleet partition.
      context: Dependencies of the partition's asyncio tasks.
      state: Grant rows as last read or written.
      team: The team.
      partition_grant: The team's usage and demand in this partition; its grant
        is ignored.
    """
    grant = state.teams.get(team)
    if grant is None:
        if partition_grant == grants.PartitionGrant():
            return
        grant = _make_grant(context, None)
        state.teams[team] = grant
    _end_wait_if_short(fleet, grant, partition_grant)
    if context.clock.now_ms() >= grant.next_access_ms and context.may_act():
        await _write_grant(fleet, context, team, grant, partition_grant)


def _end_wait_if_short(
    fleet: fleets.Fleet,
    grant: TeamGrant,
    partition_grant: grants.PartitionGrant,
) -> None:
    """Makes the next access due once the partition needs more than its grant.

    Until then the row was read rarely, so it may have changed considerably.
    """
    present = grant.partition_grants.get(fleet.name, grants.PartitionGrant())
    wanted = resources.add(partition_grant.held, partition_grant.demand)
    is_short = not resources.fits(wanted, present.granted)
    if is_short and not grant.is_short:
        grant.next_access_ms = 0
        retries.reset_backoff(grant.backoff)
    grant.is_short = is_short


def _list_partition_grants(
    context: contexts.Context, grant: TeamGrant
) -> grant_codec.PartitionGrants:
    """Returns the entry of every fleet partition, empty where the row has none.

    With all partitions listed, the part of the limit for which there is no
    demand is divided among all of them. The first partition with demand thus
    leaves room for others whose demand comes a moment later.
    """
    names = partition_ownership.list_partitions(context.settings)
    every = {
        n: grants.PartitionGrant() for n in names if n.startswith('fleet-')
    }
    return every | grant.partition_grants


async def _write_grant(
    fleet: fleets.Fleet,
    context: contexts.Context,
    team: str,
    grant: TeamGrant,
    partition_grant: grants.PartitionGrant,
) -> None:
    limit = fleet.scheduler.configuration.teams[team].limit
    present = _list_partition_grants(context, grant)
    chosen = grants.choose_grant(limit, present, fleet.name, partition_grant)
    is_due = grants.is_write_due(
        limit, grant.partition_grants, fleet.name, chosen
    )
    if grant.uncertain_grant is not None or not is_due:
        await _reread_row(fleet, context, team, grant, partition_grant)
        return
    changed = grant.partition_grants | {fleet.name: chosen}
    key = f'{GRANT_PREFIX}{team}'
    content = grant_codec.encode_partition_grants(
        team, changed
    ).SerializeToString()
    result = await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, grant.version), context.get_fence()),
            (tables.Write(key, content),),
        ),
        context.settings.platform.timeout_ms,
    )
    _process_result(fleet, grant, key, changed, result)
    if isinstance(result, tables.Committed):
        retries.reset_backoff(grant.backoff)
        logger.debug('grant_moved', extra={'team': team, 'fleet': fleet.name})
    elif not isinstance(result, tables.ConditionFailed):
        _delay_next_access(context, grant)


def _process_result(
    fleet: fleets.Fleet,
    grant: TeamGrant,
    key: str,
    changed: grant_codec.PartitionGrants,
    result: tables.TransactionResult,
) -> None:
    match result:
        case tables.Committed(versions):
            grant.version = versions[key]
            grant.partition_grants = changed
            grant.uncertain_grant = None
        case tables.ConditionFailed(failed_key, row):
            if failed_key == key:
                _set_row(grant, row)
        case tables.Uncertain():
            present = grant.partition_grants.get(fleet.name)
            before = resources.ZERO if present is None else present.granted
            grant.uncertain_grant = resources.compute_minimum(
                before, changed[fleet.name].granted
            )


async def _reread_row(
    fleet: fleets.Fleet,
    context: contexts.Context,
    team: str,
    grant: TeamGrant,
    partition_grant: grants.PartitionGrant,
) -> None:
    """Reads a row unless the grant equals what the partition needs.

    Other partitions write their demand into the row, so that this one can
    release some of its grant for them, or lower their grants, so that this one
    can raise its own.
    """
    present = grant.partition_grants.get(fleet.name, grants.PartitionGrant())
    wanted = resources.add(partition_grant.held, partition_grant.demand)
    if grant.uncertain_grant is None and present.granted == wanted:
        return
    key = f'{GRANT_PREFIX}{team}'
    result = await context.table.transact(
        tables.Transaction(reads=(key,)), context.settings.platform.timeout_ms
    )
    if isinstance(result, tables.Committed):
        _set_row(grant, result.rows.get(key))
    _delay_next_access(context, grant)


def _delay_next_access(context: contexts.Context, grant: TeamGrant) -> None:
    wait_ms = retries.advance_backoff(grant.backoff)
    grant.next_access_ms = context.clock.now_ms() + wait_ms
