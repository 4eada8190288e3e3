"""Acquires and releases partitions by conditional writes of owner rows."""

import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import observed_members
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import partitions
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import hashing
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

MAX_EXPIRY_CHECK_WAIT_MS = 1_000


def list_partitions(settings: settings_pb2.Settings) -> list[str]:
    """Returns the names of all partitions of the cell."""
    cell = settings.cell
    names = [f'ledger-{n}' for n in range(cell.ledger_partitions)]
    for text in cell.domains:
        domain = text.rpartition('/')[2]
        names += [f'fleet-{domain}-{n}' for n in range(cell.domain_partitions)]
    return names


def list_eligible_members(context: leases.Context) -> list[str]:
    """Returns the members that may become owners of partitions."""
    view = context.view
    now_ms = context.clock.now_ms()
    membership = context.settings.membership
    eligible = [
        id
        for id, observed in view.members.items()
        if id != view.me.id
        and not observed.member.leaving
        and not observed_members.has_expired(view, id, now_ms, membership)
    ]
    return eligible if view.me.leaving else [*eligible, view.me.id]


def list_acquirable(context: leases.Context) -> list[str]:
    """Returns the partitions that this instance should acquire now.

    These are partitions without an owner, or whose owner has certainly stopped
    acting, for which this instance is the preferred owner among the members
    that may take them over.
    """
    view = context.view
    eligible = list_eligible_members(context)
    names = list_partitions(context.settings)
    preferred = hashing.assign_owners(names, eligible)
    acquirable = []
    for name in names:
        owner = view.owners.get(name)
        if owner is None or not owner.owner:
            chosen = preferred.get(name)
        elif owner.owner in eligible or not _may_take_over(
            context, owner.owner
        ):
            continue
        else:
            known = _get_known_members(view, owner.owner)
            chosen = preferred.get(name)
            if known and chosen not in known:
                candidates = [id for id in eligible if id in known]
                chosen = hashing.choose_owner(name, candidates or eligible)
        if chosen == view.me.id:
            acquirable.append(name)
    return acquirable


def _may_take_over(context: leases.Context, owner: str) -> bool:
    return authority_period.may_take_over(
        context.view,
        owner,
        context.clock.now_ms(),
        context.settings.membership,
    )


def _get_known_members(view: views.View, owner: str) -> frozenset[str]:
    observed = view.members.get(owner)
    return frozenset() if observed is None else observed.known_members


def compute_wait_ms(context: leases.Context) -> int:
    """Returns the time in ms until the lease of another member may expire."""
    now_ms = context.clock.now_ms()
    expiry_delay_ms = observed_members.get_expiry_delay_ms(
        context.settings.membership
    )
    waits = [
        observed.unchanged_since_ms + expiry_delay_ms + 1 - now_ms
        for id, observed in context.view.members.items()
        if id != context.view.me.id
    ]
    due = [wait_ms for wait_ms in waits if wait_ms > 0]
    return min([MAX_EXPIRY_CHECK_WAIT_MS, *due])


def find_partition_to_release(
    context: leases.Context, served: list[str]
) -> str:
    """Returns a served partition that should be handed over now, or ''.

    Partitions move one at a time, only while each partition of the cell has an
    owner. A member takes over partitions from others only after it has kept its
    lease for some time, so that one that fails soon again moves none.
    """
    view = context.view
    names = list_partitions(context.settings)
    if not all(_has_owner(view, name) for name in names):
        return ''
    joined_before_ms = (
        context.clock.now_ms() - context.settings.membership.lease_ms
    )
    stable_members = [
        id
        for id in list_eligible_members(context)
        if id == view.me.id or view.members[id].joined_ms <= joined_before_ms
    ]
    preferred = hashing.assign_owners(names, stable_members)
    for name in served:
        if preferred[name] != view.me.id:
            return name
    return ''


def _has_owner(view: views.View, name: str) -> bool:
    owner = view.owners.get(name)
    return owner is not None and owner.owner in view.members


def list_unserved(context: leases.Context, served: list[str]) -> list[str]:
    """Returns the owned partitions that are not among the served ones."""
    view = context.view
    return [
        name
        for name in sorted(view.owners)
        if views.owns(view, name) and name not in served
    ]


async def acquire(context: leases.Context, partition: str) -> bool:
    """Makes this instance the owner under the next epoch, if it still should.

    The transaction is conditional on this instance's own lease and on the
    version of the former owner's lease row whose expiry was observed. It
    deletes that lease row.

    Returns:
      Whether the instance is certainly the owner. If the answer was lost, a
      later read of the owner row shows whether it names this instance.
    """
    view = context.view
    key = rows.get_owner_key(partition)
    # A renewal at the same time would change the version of the lease row. As
    # a failed acquisition asks for a renewal, each could defeat the next.
    async with context.lease.lock:
        # The renewal before may have read that another instance owns it.
        if partition not in list_acquirable(context):
            return False
        before = view.owners.get(partition)
        owner = partitions.Ownership(
            partition,
            (before.epoch if before else 0) + 1,
            view.me.id,
            view.me.address,
        )
        result = await context.table.transact(
            _make_acquisition(context, owner, before),
            leases.compute_renewal_timeout(context),
        )
    if isinstance(result, tables.Uncertain):
        return await _read_back(context, owner)
    if isinstance(result, tables.ConditionFailed):
        signals.notify(context.lease.renewal_needed)
    if not isinstance(result, tables.Committed):
        logger.warning(
            'not_acquired',
            extra={'partition': partition, 'why': _describe_failure(result)},
        )
        return False
    leases.record_owner_row(view, result.rows[key])
    _notify_change(context)
    logger.info(
        'acquired', extra={'partition': partition, 'epoch': owner.epoch}
    )
    return True


def _make_acquisition(
    context: leases.Context,
    owner: partitions.Ownership,
    before: partitions.Ownership | None,
) -> tables.Transaction:
    """Returns the transaction that makes this instance the owner.

    Args:
      context: The membership of this instance.
      owner: The partition with its next epoch.
      before: The last known owner; None if there was none.
    """
    view = context.view
    key = rows.get_owner_key(owner.partition)
    conditions = [
        tables.Condition(key, view.owner_versions.get(owner.partition, 0)),
        tables.Condition(
            rows.get_member_key(view.me.id), context.lease.version
        ),
    ]
    writes = [rows.make_owner_write(owner), rows.make_change_write(view.me.id)]
    if before is not None and before.owner:
        condition, write = _make_lease_end(view, before.owner)
        conditions.append(condition)
        writes += write
    return tables.Transaction(tuple(conditions), tuple(writes), (key,))


def _describe_failure(
    result: tables.ConditionFailed | tables.Unavailable,
) -> str:
    if isinstance(result, tables.ConditionFailed):
        return f'changed: {result.key}'
    return result.detail


def _make_lease_end(
    view: views.View, instance: str
) -> tuple[tables.Condition, list[tables.Write]]:
    """Returns the condition and the writes that end an expired lease."""
    key = rows.get_member_key(instance)
    observed = view.members.get(instance)
    if observed is None:
        return tables.Condition(key, tables.ABSENT), []
    return tables.Condition(key, observed.version), [tables.Write(key, None)]


async def _read_back(
    context: leases.Context, wanted: partitions.Ownership
) -> bool:
    """Checks whether an acquisition whose answer was lost took effect.

    It may still take effect after this read. The next read of all owner rows
    then finds the row that names this instance.
    """
    key = rows.get_owner_key(wanted.partition)
    result = await context.table.transact(
        tables.Transaction(reads=(key,)),
        leases.compute_renewal_timeout(context),
    )
    if not isinstance(result, tables.Committed) or key not in result.rows:
        return False
    leases.record_owner_row(context.view, result.rows[key])
    is_mine = context.view.owners[wanted.partition] == wanted
    logger.info('acquisition_read_back', extra={'is_mine': is_mine})
    _notify_change(context)
    return is_mine


async def release(context: leases.Context, partition: str) -> bool:
    """Releases a partition, for which all work must have been stopped."""
    view = context.view
    epoch = views.get_epoch(view, partition)
    key = rows.get_owner_key(partition)
    released = partitions.Ownership(partition, epoch, '', '')
    result = await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, view.owner_versions.get(partition, 0)),),
            (
                rows.make_owner_write(released),
                rows.make_change_write(view.me.id),
            ),
            (key,),
        ),
        leases.compute_renewal_timeout(context),
    )
    if not isinstance(result, tables.Committed):
        return False
    leases.record_owner_row(view, result.rows[key])
    _notify_change(context)
    logger.info('released', extra={'partition': partition, 'epoch': epoch})
    return True


def _notify_change(context: leases.Context) -> None:
    signals.notify(context.view.changed)
    signals.notify(context.view.digest_needed)


async def remove_expired_members(context: leases.Context) -> None:
    """Ends the expired leases of members that own no partition."""
    view = context.view
    owners = {owner.owner for owner in view.owners.values()}
    for id in sorted(set(view.members) - owners - {view.me.id}):
        if _may_take_over(context, id):
            condition, writes = _make_lease_end(view, id)
            writes.append(rows.make_change_write(view.me.id))
            await context.table.transact(
                tables.Transaction((condition,), tuple(writes)),
                leases.compute_renewal_timeout(context),
            )
            view.members.pop(id, None)
