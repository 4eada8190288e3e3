"""Renews the instance's lease and reads changes of the cell's state.

One transaction with the table service does both. The cell's state consists of
the rows with members, owners of partitions and the configuration.
"""

import asyncio
import dataclasses
import logging

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import observed_members
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import cells
from nutmegknot._internal.schema import operator_pb2
from nutmegknot._internal.schema import settings_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

REVISION_KEY = rows.REVISION_KEY
CONFIGURATION_KEY = rows.CONFIGURATION_KEY
get_member_key = rows.get_member_key
get_owner_key = rows.get_owner_key


@dataclasses.dataclass(slots=True)
class Lease:
    """The instance's own lease row.

    Attributes:
      version: Version of the row as last known; ABSENT before it is written.
      renewal: Number of the last renewal sent.
      confirmed_known: Members listed as known in the last confirmed write of
        the row.
      unconfirmed_known: Members listed as known in each write sent since then;
        any of these writes may have taken effect.
      is_announced: Whether the change row, whose new version makes the other
        instances read all lease and owner rows, was written since the lease
        was created or the instance began to leave.
      lock: Held during a renewal and each other transaction that is conditional
        on the row's version.
      renewal_needed: Notified when the next renewal should be sent at once.
    """

    version: int = tables.ABSENT
    renewal: int = 0
    confirmed_known: frozenset[str] = frozenset()
    unconfirmed_known: list[frozenset[str]] = dataclasses.field(
        default_factory=list
    )
    is_announced: bool = False
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    renewal_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """Dependencies of the asyncio tasks for membership.

    Attributes:
      view: What the instance knows of the cell.
      lease: The instance's own lease row.
      table: The table service.
      clock: Source of time.
      settings: All settings.
    """

    view: views.View
    lease: Lease
    table: tables.Table
    clock: clock_lib.Clock
    settings: settings_pb2.Settings


def list_required_members(context: Context) -> set[str]:
    """Returns the members that must answer for authority to be extended.

    These are the members that were read last, and those listed as known by any
    version of this instance's lease row that may be in the table.
    """
    lease = context.lease
    asked = set(lease.confirmed_known).union(*lease.unconfirmed_known)
    asked.update(context.view.members)
    asked.discard(context.view.me.id)
    return asked


def may_bridge_outage(context: Context) -> bool:
    """Returns whether the lease row lets the instance act in an outage.

    If the row lists no known member, any instance may take over as soon as the
    lease has expired, because the only instance of a cell may have failed. So
    an instance with such a row must not act in an outage.
    """
    lease = context.lease
    return bool(lease.confirmed_known) and all(lease.unconfirmed_known)


def compute_renewal_timeout(context: Context) -> int:
    """Returns the time limit of a renewal in ms.

    It leaves time for a second attempt before authority ends.
    """
    settings = context.settings
    return min(settings.platform.timeout_ms, settings.membership.renew_ms)


async def run_renewal_loop(context: Context) -> None:
    """Renews the lease and reads the cell's state until cancelled."""
    renew_ms = context.settings.membership.renew_ms
    while True:
        count = context.lease.renewal_needed.count
        began_ms = context.clock.now_ms()
        await renew(context)
        spent_ms = context.clock.now_ms() - began_ms
        # In an outage slow calls delay later ones, but make none more frequent.
        wait_ms = max(retries.DEFAULT_INITIAL_WAIT_MS, renew_ms - spent_ms)
        await signals.wait_with_timeout(
            context.lease.renewal_needed, count, wait_ms
        )


async def renew(context: Context) -> bool:
    """Renews the lease once and reads what has changed.

    Returns:
      Whether lease and revision were confirmed.
    """
    async with context.lease.lock:
        for _ in range(2):
            result = await _try_renewal(context)
            if result is not None:
                return result
    return False


async def _try_renewal(context: Context) -> bool | None:
    """Renews the lease once.

    Returns:
      Whether lease and revision were confirmed. None if the row had another
      version than expected. The caller should then try again, as the version is
      known now.
    """
    view, lease = context.view, context.lease
    began_ms = context.clock.now_ms()
    transaction = _make_renewal(context)
    result = await context.table.transact(
        transaction, compute_renewal_timeout(context)
    )
    match result:
        case tables.Committed():
            _record_renewal(context, result)
            is_read = await _read_changes(context, result)
            _record_reachability(context, is_read)
            if is_read:
                view.confirmed_ms = began_ms
                until_ms = began_ms + context.settings.membership.authority_ms
                view.may_act_until_ms = max(view.may_act_until_ms, until_ms)
            signals.notify(view.changed)
            return is_read
        case tables.ConditionFailed():
            _process_conflict(context, result.row)
            return None
        case tables.Unavailable():
            lease.unconfirmed_known.pop()
        case tables.Uncertain():
            pass
    logger.warning('lease_unconfirmed', extra={'why': result.detail})
    _record_reachability(context, False)
    return False


def _make_renewal(context: Context) -> tables.Transaction:
    view, lease = context.view, context.lease
    lease.renewal += 1
    known = frozenset(view.members) - {view.me.id}
    lease.unconfirmed_known.append(known)
    writes = [rows.make_member_write(view.me, lease.renewal, known)]
    if not lease.is_announced:
        writes.append(rows.make_change_write(view.me.id))
    key = rows.get_member_key(view.me.id)
    reads = [rows.REVISION_KEY, rows.CHANGE_KEY]
    reads += [rows.get_member_key(id) for id in sorted(known)]
    return tables.Transaction(
        (tables.Condition(key, lease.version),), tuple(writes), tuple(reads)
    )


def _record_renewal(context: Context, result: tables.Committed) -> None:
    """Records the lease row that is in the table now."""
    view, lease = context.view, context.lease
    lease.version = result.versions[rows.get_member_key(view.me.id)]
    lease.confirmed_known = lease.unconfirmed_known[-1]
    # Earlier renewals are conditional on an earlier version of the row, and
    # cannot take effect any more.
    lease.unconfirmed_known.clear()
    if not lease.is_announced:
        lease.is_announced = True
        signals.notify(view.digest_needed)


def _process_conflict(context: Context, row: tables.Row | None) -> None:
    """Handles a lease row with another version than expected.

    The row has the version of an earlier renewal whose answer was lost. If the
    row is missing, another instance has ended the lease: this one has no
    authority until it has a new lease and has read the owner rows again.
    """
    view, lease = context.view, context.lease
    logger.warning('lease_row_changed', extra={'lost': row is None})
    lease.unconfirmed_known.pop()
    if row is None:
        lease.version = tables.ABSENT
        lease.is_announced = False
        view.change_version = -1
        view.may_act_until_ms = views.NEVER_MS
    else:
        lease.version = row.version


def _record_reachability(context: Context, reaches: bool) -> None:
    """Records whether the table service answers, and tells other instances."""
    view = context.view
    before = view.store_reached_since_ms
    if not reaches:
        view.store_reached_since_ms = None
    elif before is None:
        view.store_reached_since_ms = context.clock.now_ms()
    if (before is None) != (view.store_reached_since_ms is None):
        signals.notify(view.digest_needed)
    extend_authority(context)


def extend_authority(context: Context) -> None:
    """Extends authority in an outage, if every answer allows it."""
    view = context.view
    if view.store_reached_since_ms is not None or not may_bridge_outage(
        context
    ):
        return
    authority_period.extend_authority(
        view,
        context.clock.now_ms(),
        context.settings.membership,
        list_required_members(context),
    )


def record_store_status(
    context: Context, instance: str, status: views.StoreStatus
) -> None:
    """Records whether another instance reaches the table service."""
    view = context.view
    before = view.store_statuses.get(instance)
    view.store_statuses[instance] = status
    extend_authority(context)
    if before is None or before.reaches_store != status.reaches_store:
        # The service has failed or recovered for one instance, so this one
        # checks at once.
        signals.notify(context.lease.renewal_needed)


async def _read_changes(context: Context, read: tables.Committed) -> bool:
    """Reads what has changed according to a renewal."""
    view = context.view
    observed_members.update(
        view, read, context.clock.now_ms(), context.settings.membership
    )
    revision = rows.decode_revision(read.rows.get(rows.REVISION_KEY))
    view.known_revision = max(view.known_revision, revision)
    if revision > view.configuration.revision:
        await read_configuration(context)
    change = read.rows.get(rows.CHANGE_KEY)
    version = change.version if change else tables.ABSENT
    is_read = version == view.change_version or await _read_cell(context)
    if is_read:
        view.change_version = version
    return is_read and revision <= view.configuration.revision


async def _read_cell(context: Context) -> bool:
    """Reads all lease and owner rows."""
    timeout_ms = compute_renewal_timeout(context)
    members = await context.table.scan(rows.MEMBER_PREFIX, timeout_ms)
    if isinstance(members, tables.Unavailable):
        return False
    owners = await context.table.scan(rows.OWNER_PREFIX, timeout_ms)
    if isinstance(owners, tables.Unavailable):
        return False
    observed_members.replace(
        context.view,
        members,
        context.clock.now_ms(),
        context.settings.membership,
    )
    for row in owners:
        record_owner_row(context.view, row)
    return True


def record_owner_row(view: views.View, row: tables.Row) -> None:
    """Records an owner row in the view, unless a newer one is known."""
    owner = rows.decode_owner(row)
    if row.version > view.owner_versions.get(owner.partition, 0):
        view.owners[owner.partition] = owner
        view.owner_versions[owner.partition] = row.version
        signals.notify(view.routes_changed)


async def read_configuration(context: Context) -> bool:
    """Reads the configuration, and activates it if it is valid and newer.

    Returns:
      Whether a valid configuration was read.
    """
    view = context.view
    result = await context.table.transact(
        tables.Transaction(reads=(rows.CONFIGURATION_KEY,)),
        context.settings.platform.timeout_ms,
    )
    if not isinstance(result, tables.Committed):
        return False
    row = result.rows.get(rows.CONFIGURATION_KEY)
    config = None if row is None else _decode_configuration(row)
    if config is None:
        return False
    if config.revision > view.configuration.revision:
        view.configuration = config
        logger.info('configuration_in_force', extra={'rev': config.revision})
        signals.notify(view.changed)
        signals.notify(view.digest_needed)
    return True


def _decode_configuration(row: tables.Row) -> cells.Configuration | None:
    """Returns the configuration of a row, or None if it can't be read.

    A later release may write values that this one doesn't know. The instance
    then loses its authority, as it doesn't know the active configuration.
    """
    message = operator_pb2.Configuration()
    try:
        message.ParseFromString(row.value)
        return configurations.decode_configuration(message)
    except (ValueError, message_lib.DecodeError) as error:
        logger.error('configuration_unreadable', extra={'why': str(error)})
        return None


def record_peer_versions(context: Context, revision: int, change: int) -> None:
    """Records the versions that another instance has read; reads newer ones."""
    view = context.view
    view.known_revision = max(view.known_revision, revision)
    if revision > view.configuration.revision or change > view.change_version:
        signals.notify(context.lease.renewal_needed)


def begin_leaving(context: Context) -> None:
    """Makes the next renewal announce that the instance is stopping."""
    view = context.view
    view.me = dataclasses.replace(view.me, leaving=True)
    context.lease.is_announced = False


async def delete_lease_row(context: Context) -> None:
    """Deletes the lease row at the end of a graceful stop, without retries."""
    me = context.view.me.id
    key = rows.get_member_key(me)
    await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, context.lease.version),),
            (tables.Write(key, None), rows.make_change_write(me)),
        ),
        context.settings.platform.timeout_ms,
    )
