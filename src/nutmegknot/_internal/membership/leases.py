"""Renewal of the instance's lease, which also reads the cell's state."""

import asyncio
import dataclasses
import logging

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.membership import holding
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import sightings
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
      written: What the row that was last confirmed says of known members.
      unsettled: What the rows sent since then say of them; any of these may
        be in the table.
      is_told: Whether the change row was written since the lease began or the
        instance began to leave.
      lock: Held during a renewal.
      wanted: Notified when the next renewal should come at once.
    """

    version: int = tables.ABSENT
    renewal: int = 0
    written: frozenset[str] = frozenset()
    unsettled: list[frozenset[str]] = dataclasses.field(default_factory=list)
    is_told: bool = False
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    wanted: signals.Signal = dataclasses.field(default_factory=signals.Signal)


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


def list_asked(context: Context) -> set[str]:
    """Returns the members whose answers decide in a store outage.

    These are all that any version of the lease row that may be in the table
    says to be known, and those of the last good read.
    """
    lease = context.lease
    asked = set(lease.written).union(*lease.unsettled)
    asked.update(context.view.members)
    asked.discard(context.view.me.id)
    return asked


def may_bridge(context: Context) -> bool:
    """Tells whether the lease row lets the instance act in a store outage.

    A row that says no member is known lets anybody take over after the plain
    lease, as the last instance of a cell may have died alone.
    """
    lease = context.lease
    return bool(lease.written) and all(lease.unsettled)


def get_timeout(context: Context) -> int:
    """Returns the time limit of a renewal in ms.

    It leaves room for a second attempt within the authority.
    """
    settings = context.settings
    return min(settings.platform.timeout_ms, settings.membership.renew_ms)


async def keep_lease(context: Context) -> None:
    """Renews the lease and reads the cell's state until cancelled."""
    renew_ms = context.settings.membership.renew_ms
    while True:
        count = context.lease.wanted.count
        began_ms = context.clock.now_ms()
        await renew(context)
        spent_ms = context.clock.now_ms() - began_ms
        # The store is not asked more often in an outage, only less regularly.
        wait_ms = max(retries.DEFAULT_FIRST_MS, renew_ms - spent_ms)
        await signals.wait_at_most(context.lease.wanted, count, wait_ms)


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
      Whether lease and revision were confirmed, or None if the row's version
      was not the one known and an attempt with its new one is due.
    """
    view, lease = context.view, context.lease
    began_ms = context.clock.now_ms()
    transaction = _make_renewal(context)
    result = await context.table.transact(transaction, get_timeout(context))
    match result:
        case tables.Committed():
            _settle(context, result)
            is_read = await _read_news(context, result)
            _note_reach(context, is_read)
            if is_read:
                view.confirmed_ms = began_ms
                held_ms = began_ms + context.settings.membership.authority_ms
                view.held_until_ms = max(view.held_until_ms, held_ms)
            signals.notify(view.changed)
            return is_read
        case tables.ConditionFailed():
            _adopt_row(context, result.row)
            return None
        case tables.Unavailable():
            lease.unsettled.pop()
        case tables.Uncertain():
            pass
    logger.warning('lease_unconfirmed', extra={'why': result.detail})
    _note_reach(context, False)
    return False


def _make_renewal(context: Context) -> tables.Transaction:
    view, lease = context.view, context.lease
    lease.renewal += 1
    known = frozenset(view.members) - {view.me.id}
    lease.unsettled.append(known)
    writes = [rows.make_member_write(view.me, lease.renewal, known)]
    if not lease.is_told:
        writes.append(rows.make_change_write(view.me.id))
    key = rows.get_member_key(view.me.id)
    reads = [rows.REVISION_KEY, rows.CHANGE_KEY]
    reads += [rows.get_member_key(id) for id in sorted(known)]
    return tables.Transaction(
        (tables.Condition(key, lease.version),), tuple(writes), tuple(reads)
    )


def _settle(context: Context, result: tables.Committed) -> None:
    """Takes note of the lease row that is in the table now."""
    view, lease = context.view, context.lease
    lease.version = result.versions[rows.get_member_key(view.me.id)]
    lease.written = lease.unsettled[-1]
    # Earlier renewals demand an earlier version and can't take effect now.
    lease.unsettled.clear()
    if not lease.is_told:
        lease.is_told = True
        signals.notify(view.news)


def _adopt_row(context: Context, row: tables.Row | None) -> None:
    """Takes over the version of a renewal whose answer was lost.

    A missing row means that the lease was ended by another instance; nothing
    may be done until owner rows have been read again under a new lease.
    """
    view, lease = context.view, context.lease
    logger.warning('lease_row_changed', extra={'lost': row is None})
    lease.unsettled.pop()
    if row is None:
        lease.version = tables.ABSENT
        lease.is_told = False
        view.change = -1
        view.held_until_ms = views.NEVER_MS
    else:
        lease.version = row.version


def _note_reach(context: Context, reaches: bool) -> None:
    """Takes note of whether the table answers, and tells the others."""
    view = context.view
    before = view.reached_since_ms
    if not reaches:
        view.reached_since_ms = None
    elif before is None:
        view.reached_since_ms = context.clock.now_ms()
    if (before is None) != (view.reached_since_ms is None):
        signals.notify(view.news)
    extend_hold(context)


def extend_hold(context: Context) -> None:
    """Extends the time to act in a store outage, if every answer allows it."""
    view = context.view
    if view.reached_since_ms is not None or not may_bridge(context):
        return
    holding.extend(
        view,
        context.clock.now_ms(),
        context.settings.membership,
        list_asked(context),
    )


def take_answer(context: Context, instance: str, answer: views.Answer) -> None:
    """Takes note of whether another instance reaches the table."""
    view = context.view
    before = view.answers.get(instance)
    view.answers[instance] = answer
    extend_hold(context)
    if before is None or before.reaches != answer.reaches:
        # Where one sees the table fail or return, the others look at once.
        signals.notify(context.lease.wanted)


async def _read_news(context: Context, read: tables.Committed) -> bool:
    """Reads whatever the renewal found changed."""
    view = context.view
    sightings.update(
        view, read, context.clock.now_ms(), context.settings.membership
    )
    revision = rows.decode_revision(read.rows.get(rows.REVISION_KEY))
    view.known_revision = max(view.known_revision, revision)
    if revision > view.configuration.revision:
        await read_configuration(context)
    change = read.rows.get(rows.CHANGE_KEY)
    version = change.version if change else tables.ABSENT
    is_read = version == view.change or await _read_cell(context)
    if is_read:
        view.change = version
    return is_read and revision <= view.configuration.revision


async def _read_cell(context: Context) -> bool:
    """Reads all lease and owner rows."""
    timeout_ms = get_timeout(context)
    members = await context.table.scan(rows.MEMBER_PREFIX, timeout_ms)
    if isinstance(members, tables.Unavailable):
        return False
    owners = await context.table.scan(rows.OWNER_PREFIX, timeout_ms)
    if isinstance(owners, tables.Unavailable):
        return False
    sightings.replace(
        context.view,
        members,
        context.clock.now_ms(),
        context.settings.membership,
    )
    for row in owners:
        take_owner_row(context.view, row)
    return True


def take_owner_row(view: views.View, row: tables.Row) -> None:
    """Puts an owner row into the view, unless a newer one is known."""
    owner = rows.decode_owner(row)
    if row.version > view.owner_versions.get(owner.partition, 0):
        view.owners[owner.partition] = owner
        view.owner_versions[owner.partition] = row.version
        signals.notify(view.routes)


async def read_configuration(context: Context) -> bool:
    """Puts the newest whole configuration in force; never an older one."""
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
        signals.notify(view.news)
    return True


def _decode_configuration(row: tables.Row) -> cells.Configuration | None:
    """Returns the configuration of a row, or None if it can't be read.

    A later release may write what this one doesn't know; the instance then
    loses its authority, as it can't tell what is in force.
    """
    message = operator_pb2.Configuration()
    try:
        message.ParseFromString(row.value)
        return configurations.decode_configuration(message)
    except (ValueError, message_lib.DecodeError) as error:
        logger.error('configuration_unreadable', extra={'why': str(error)})
        return None


def take_news(context: Context, revision: int, change: int) -> None:
    """Takes note of what another instance has read; reads it at once if new."""
    view = context.view
    view.known_revision = max(view.known_revision, revision)
    if revision > view.configuration.revision or change > view.change:
        signals.notify(context.lease.wanted)


def begin_leaving(context: Context) -> None:
    """Has the next renewal say that the instance is stopping."""
    view = context.view
    view.me = dataclasses.replace(view.me, leaving=True)
    context.lease.is_told = False


async def drop(context: Context) -> None:
    """Removes the lease row at the end of a graceful stop, if it can."""
    me = context.view.me.id
    key = rows.get_member_key(me)
    await context.table.transact(
        tables.Transaction(
            (tables.Condition(key, context.lease.version),),
            (tables.Write(key, None), rows.make_change_write(me)),
        ),
        context.settings.platform.timeout_ms,
    )
