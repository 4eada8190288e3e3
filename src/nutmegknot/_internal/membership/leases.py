"""The instance's lease and its reading of the cell's state."""

import asyncio
import dataclasses
import logging

from nutmegknot._internal.codec import configurations
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.platform import tables
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

MEMBER_PREFIX = 'member/'
OWNER_PREFIX = 'owner/'
REVISION_KEY = 'revision'
CONFIGURATION_KEY = 'configuration'


@dataclasses.dataclass(slots=True)
class Lease:
    """The instance's own lease row.

    Attributes:
      version: Version of the row as last known; ABSENT before it is written.
      renewal: Number of the last renewal sent.
    """

    version: int = tables.ABSENT
    renewal: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """What the membership tasks work with.

    Attributes:
      view: What the instance knows.
      lease: Its own lease row.
      table: The table service.
      clock: Source of time.
      settings: All settings.
    """

    view: views.View
    lease: Lease
    table: tables.Table
    clock: clock_lib.Clock
    settings: settings_pb2.Settings


def get_member_key(instance: str) -> str:
    """Returns the key of an instance's lease row."""
    return f'{MEMBER_PREFIX}{instance}'


def get_owner_key(partition: str) -> str:
    """Returns the key of a partition's owner row."""
    return f'{OWNER_PREFIX}{partition}'


def encode_member(member: partitions.Member, renewal: int) -> bytes:
    """Returns the value of a lease row."""
    row = table_pb2.MemberRow(
        id=member.id,
        address=member.address,
        region=member.region,
        domain=member.domain,
        leaving=member.leaving,
        renewal=renewal,
    )
    return row.SerializeToString()


async def keep_lease(context: Context) -> None:
    """Renews the lease and reads the cell's state until cancelled."""
    renew_ms = context.settings.membership.renew_ms
    while True:
        await renew(context)
        await asyncio.sleep(clock_lib.to_seconds(renew_ms))


async def renew(context: Context) -> bool:
    """Renews the lease once and reads what has changed.

    Returns:
      Whether lease and revision were confirmed.
    """
    view, lease = context.view, context.lease
    began_ms = context.clock.now_ms()
    lease.renewal += 1
    key = get_member_key(view.me.id)
    result = await context.table.transact(
        tables.Transaction(
            conditions=(tables.Condition(key, lease.version),),
            writes=(tables.Write(key, encode_member(view.me, lease.renewal)),),
            reads=(REVISION_KEY,),
        ),
        context.settings.platform.timeout_ms,
    )
    match result:
        case tables.Committed():
            lease.version = result.versions[key]
            confirmed = await _read_revision(context, result)
            confirmed = await read_cell(context) and confirmed
            if confirmed:
                view.confirmed_ms = began_ms
            signals.notify(view.changed)
            return confirmed
        case tables.ConditionFailed():
            _adopt_row(context, result.row)
        case _:
            logger.warning('lease_unconfirmed', extra={'why': result.detail})
    return False


def _adopt_row(context: Context, row: tables.Row | None) -> None:
    """Takes over the version of a renewal whose answer was lost.

    A missing row means that another instance ended the lease; the next renewal
    writes a new one, and the owner rows tell what is still owned.
    """
    context.lease.version = tables.ABSENT if row is None else row.version
    logger.warning('lease_row_changed', extra={'lost': row is None})


async def _read_revision(context: Context, read: tables.Committed) -> bool:
    row = read.rows.get(REVISION_KEY)
    if row is None:
        return True
    revision = table_pb2.RevisionRow.FromString(row.value).revision
    if revision <= context.view.configuration.revision:
        return True
    return await read_configuration(context)


async def read_configuration(context: Context) -> bool:
    """Puts the newest whole configuration in force; never an older one."""
    result = await context.table.transact(
        tables.Transaction(reads=(CONFIGURATION_KEY,)),
        context.settings.platform.timeout_ms,
    )
    if not isinstance(result, tables.Committed):
        return False
    row = result.rows.get(CONFIGURATION_KEY)
    if row is None:
        return False
    message = operator_pb2.Configuration.FromString(row.value)
    config = configurations.decode_configuration(message)
    if config.revision > context.view.configuration.revision:
        context.view.configuration = config
        logger.info('configuration_in_force', extra={'rev': config.revision})
    return True


async def read_cell(context: Context) -> bool:
    """Reads all lease and owner rows."""
    timeout_ms = context.settings.platform.timeout_ms
    members = await context.table.scan(MEMBER_PREFIX, timeout_ms)
    owners = await context.table.scan(OWNER_PREFIX, timeout_ms)
    if isinstance(members, tables.Unavailable):
        return False
    if isinstance(owners, tables.Unavailable):
        return False
    _update_members(context.view, members, context.clock.now_ms())
    for row in owners:
        take_owner_row(context.view, row)
    return True


def _update_members(
    view: views.View, rows: list[tables.Row], now_ms: int
) -> None:
    seen = {}
    for row in rows:
        message = table_pb2.MemberRow.FromString(row.value)
        known = view.members.get(message.id)
        is_same = known is not None and known.version == row.version
        since_ms = known.since_ms if known and is_same else now_ms
        member = partitions.Member(
            message.id,
            message.address,
            message.region,
            message.domain,
            message.leaving,
        )
        seen[message.id] = views.Sighting(member, row.version, since_ms)
    view.members = seen


def take_owner_row(view: views.View, row: tables.Row) -> None:
    """Puts an owner row into the view."""
    message = table_pb2.OwnerRow.FromString(row.value)
    view.owners[message.partition] = partitions.Ownership(
        message.partition, message.epoch, message.owner, message.address
    )
    view.owner_versions[message.partition] = row.version


def has_lapsed(context: Context, instance: str) -> bool:
    """Tells whether an instance's lease has surely lapsed.

    Its row's version has not changed for the length of a lease and the
    possible drift, or its row is gone.
    """
    sighting = context.view.members.get(instance)
    if sighting is None:
        return True
    membership = context.settings.membership
    age_ms = context.clock.now_ms() - sighting.since_ms
    return age_ms > membership.lease_ms + membership.drift_ms


async def drop(context: Context) -> None:
    """Removes the lease row at the end of a graceful stop, if it can."""
    key = get_member_key(context.view.me.id)
    await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, context.lease.version),),
            (tables.Write(key, None),),
        ),
        context.settings.platform.timeout_ms,
    )
