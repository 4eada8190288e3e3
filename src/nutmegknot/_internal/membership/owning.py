"""Acquiring and releasing partitions by conditional writes of owner rows."""

import logging

from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.platform import tables
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)


def list_partitions(settings: settings_pb2.Settings) -> list[str]:
    """Returns the names of all partitions of the cell."""
    cell = settings.cell
    names = [f'ledger-{n}' for n in range(cell.ledger_partitions)]
    for text in cell.domains:
        domain = text.rpartition('/')[2]
        names += [f'fleet-{domain}-{n}' for n in range(cell.domain_partitions)]
    return names


def list_preferred(context: leases.Context) -> set[str]:
    """Returns the partitions that this instance should own now."""
    view = context.view
    live = [
        id
        for id, sighting in view.members.items()
        if not sighting.member.leaving and not leases.has_lapsed(context, id)
    ]
    return {
        name
        for name in list_partitions(context.settings)
        if hashing.choose_owner(name, live) == view.me.id
    }


def list_free(context: leases.Context) -> list[str]:
    """Returns the preferred partitions that nobody can be acting for."""
    view = context.view
    free = []
    for name in sorted(list_preferred(context)):
        owner = view.owners.get(name)
        if (
            owner is None
            or not owner.owner
            or owner.owner != view.me.id
            and leases.has_lapsed(context, owner.owner)
        ):
            free.append(name)
    return free


async def acquire(context: leases.Context, partition: str) -> bool:
    """Makes this instance the owner under the next epoch.

    The transaction also demands this instance's own lease and removes the lease
    row of a lapsed owner in the state in which it was seen to lapse.
    """
    view = context.view
    before = view.owners.get(partition)
    epoch = (before.epoch if before else 0) + 1
    key = leases.get_owner_key(partition)
    conditions = [
        tables.Condition(key, view.owner_versions.get(partition, 0)),
        tables.Condition(
            leases.get_member_key(view.me.id), context.lease.version
        ),
    ]
    row = table_pb2.OwnerRow(
        partition=partition,
        epoch=epoch,
        owner=view.me.id,
        address=view.me.address,
    )
    writes = [tables.Write(key, row.SerializeToString())]
    if before is not None and before.owner in view.members:
        member_key = leases.get_member_key(before.owner)
        version = view.members[before.owner].version
        conditions.append(tables.Condition(member_key, version))
        writes.append(tables.Write(member_key, None))
    result = await context.table.transact(
        tables.Transaction(tuple(conditions), tuple(writes)),
        context.settings.platform.timeout_ms,
    )
    if not isinstance(result, tables.Committed):
        return False
    view.owners[partition] = partitions.Ownership(
        partition, epoch, view.me.id, view.me.address
    )
    view.owner_versions[partition] = result.versions[key]
    if before is not None and before.owner in view.members:
        del view.members[before.owner]
    signals.notify(view.changed)
    logger.info('acquired', extra={'partition': partition, 'epoch': epoch})
    return True


async def release(context: leases.Context, partition: str) -> bool:
    """Gives a partition up, once nothing acts for it any more."""
    view = context.view
    epoch = views.get_epoch(view, partition)
    key = leases.get_owner_key(partition)
    row = table_pb2.OwnerRow(partition=partition, epoch=epoch)
    result = await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, view.owner_versions.get(partition, 0)),),
            (tables.Write(key, row.SerializeToString()),),
        ),
        context.settings.platform.timeout_ms,
    )
    if not isinstance(result, tables.Committed):
        return False
    view.owners[partition] = partitions.Ownership(partition, epoch, '', '')
    view.owner_versions[partition] = result.versions[key]
    signals.notify(view.changed)
    logger.info('released', extra={'partition': partition, 'epoch': epoch})
    return True
