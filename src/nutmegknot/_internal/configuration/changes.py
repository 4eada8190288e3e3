"""Changes of the configuration by compare-and-set."""

import dataclasses

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.membership import leases
from nutmegknot._internal.models import cells
from nutmegknot._internal.platform import tables
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import table_pb2


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """The new configuration, with its revision."""

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class Overtaken:
    """Another change came first; this is the present configuration."""

    configuration: cells.Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """The configuration can't be used; detail is one line."""

    detail: str


Applying = Applied | Overtaken | Invalid | tables.Unavailable | tables.Uncertain


def find_fault(config: cells.Configuration) -> str:
    """Returns what is wrong with a configuration, or ''."""
    for team in config.teams.values():
        if team.share <= 0:
            return f'team {team.name}: share must be above 0'
    for key in config.keys.values():
        if key.team not in config.teams:
            return f'key {key.id}: no team {key.team!r}'
    for queue in config.queues.values():
        if queue.open_team and queue.open_team not in config.teams:
            return f'queue {queue.name}: no team {queue.open_team!r}'
    for service in config.services.values():
        if service.team not in config.teams:
            return f'service {service.name}: no team {service.team!r}'
        if '/' in service.name:
            return f"service {service.name}: name must not contain '/'"
    return ''


async def read(
    table: tables.Table, timeout_ms: int
) -> cells.Configuration | tables.Unavailable:
    """Reads the present configuration from the table."""
    result = await table.transact(
        tables.Transaction(reads=(leases.CONFIGURATION_KEY,)), timeout_ms
    )
    if not isinstance(result, tables.Committed):
        detail = getattr(result, 'detail', 'the read failed')
        return tables.Unavailable(detail)
    row = result.rows.get(leases.CONFIGURATION_KEY)
    if row is None:
        return cells.Configuration()
    return configurations.decode_configuration(
        operator_pb2.Configuration.FromString(row.value)
    )


async def apply(
    table: tables.Table, changed: cells.Configuration, timeout_ms: int
) -> Applying:
    """Replaces the configuration if it is still at the revision of changed.

    Args:
      table: The table service.
      changed: The new whole; its revision names the one it was made from.
      timeout_ms: Time limit of each call in ms.
    """
    fault = find_fault(changed)
    if fault:
        return Invalid(fault)
    read_result = await table.transact(
        tables.Transaction(
            reads=(leases.REVISION_KEY, leases.CONFIGURATION_KEY)
        ),
        timeout_ms,
    )
    if not isinstance(read_result, tables.Committed):
        return tables.Unavailable('the table service did not answer')
    row = read_result.rows.get(leases.REVISION_KEY)
    present = table_pb2.RevisionRow.FromString(row.value if row else b'')
    if present.revision != changed.revision:
        return await _show_present(table, timeout_ms)
    new = dataclasses.replace(changed, revision=changed.revision + 1)
    version = row.version if row else tables.ABSENT
    result = await table.transact(_make_change(new, version), timeout_ms)
    match result:
        case tables.Committed():
            return Applied(new)
        case tables.ConditionFailed():
            return await _show_present(table, timeout_ms)
        case _:
            return result


def _make_change(new: cells.Configuration, version: int) -> tables.Transaction:
    revision = table_pb2.RevisionRow(revision=new.revision)
    content = configurations.encode_configuration(new)
    return tables.Transaction(
        conditions=(tables.Condition(leases.REVISION_KEY, version),),
        writes=(
            tables.Write(leases.REVISION_KEY, revision.SerializeToString()),
            tables.Write(leases.CONFIGURATION_KEY, content.SerializeToString()),
        ),
    )


async def _show_present(
    table: tables.Table, timeout_ms: int
) -> Overtaken | tables.Unavailable:
    present = await read(table, timeout_ms)
    if isinstance(present, tables.Unavailable):
        return present
    return Overtaken(present)
