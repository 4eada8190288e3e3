"""Sending assignments of an owned ledger partition to one fleet partition."""

import asyncio
import dataclasses
import itertools
import logging

from nutmegknot._internal.codec import values
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import fleet_calls
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.instance import routing
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_grpc
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

CALL_MS = 5_000
MAX_BATCH = 500


@dataclasses.dataclass(slots=True)
class Link:
    """The way from a ledger partition to a fleet partition.

    Attributes:
      fleet: Name of the fleet partition.
      numbers: Numbers of the calls.
      listed_epoch: Epoch of the fleet partition that has a complete list.
    """

    fleet: str
    numbers: itertools.count
    listed_epoch: int = 0


async def keep_assigning(
    inst: instances.Instance, ledger: ledgers.Ledger, fleet: str
) -> None:
    """Sends assignments and withdrawals until cancelled.

    The first call to each new owner lists all open assignments.
    """
    link = Link(fleet, itertools.count(1))
    backoff = retries.Backoff(inst.rng)
    view = inst.membership.view
    while True:
        ledger_count = ledger.changed.count
        view_count = view.changed.count
        owner = view.owners.get(fleet)
        if owner is None or not owner.owner:
            await signals.wait_beyond(view.changed, view_count)
            continue
        if not _has_news(ledger, link, owner):
            await _wait_either(
                ledger.changed, ledger_count, view.changed, view_count
            )
            continue
        if authority.may_act_for(
            inst, ledger.name, ledger.epoch
        ) and await _send_news(inst, ledger, link, owner):
            retries.reset(backoff)
            continue
        wait_ms = retries.take_wait(backoff)
        await asyncio.sleep(clock_lib.to_seconds(wait_ms))


def _has_news(
    ledger: ledgers.Ledger, link: Link, owner: partitions.Ownership
) -> bool:
    return bool(
        link.listed_epoch != owner.epoch
        or ledger.unsent.get(link.fleet)
        or ledger.withdrawals.get(link.fleet)
    )


async def _wait_either(
    left: signals.Signal,
    left_count: int,
    right: signals.Signal,
    right_count: int,
) -> None:
    waits = [
        asyncio.ensure_future(signals.wait_beyond(left, left_count)),
        asyncio.ensure_future(signals.wait_beyond(right, right_count)),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for one in waits:
            one.cancel()


async def _send_news(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    link: Link,
    owner: partitions.Ownership,
) -> bool:
    """Sends one call of each kind that is due; tells whether all arrived."""
    complete = link.listed_epoch != owner.epoch
    known_epoch = ledger.fleet_epochs.get(link.fleet, 0)
    ledger.fleet_epochs[link.fleet] = max(known_epoch, owner.epoch)
    if complete:
        due = ledgers.list_open(ledger, link.fleet)
    else:
        due = _list_unsent(ledger, link)
    sent = _keep_sendable(inst, ledger, due, owner.epoch)
    if complete or sent:
        call = _make_call(ledger, link, owner, complete, sent)
        if not await _assign(inst, owner, call):
            return False
        _mark_sent(ledger, link, call)
        link.listed_epoch = owner.epoch
    return await _send_withdrawals(inst, ledger, link, owner)


def _list_unsent(ledger: ledgers.Ledger, link: Link) -> list[ledgers.Entry]:
    """Returns some entries to be sent, and drops the keys of ended ones."""
    unsent = ledger.unsent.setdefault(link.fleet, set())
    keys = list(itertools.islice(unsent, MAX_BATCH))
    due = []
    for key in keys:
        entry = ledger.entries.get(key)
        if entry is None or entry.outcome or entry.fleet != link.fleet:
            unsent.discard(key)
        else:
            due.append(entry)
    return due


def _keep_sendable(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    due: list[ledgers.Entry],
    epoch: int,
) -> list[ledgers.Entry]:
    """Returns the entries without those that get an assignment of the epoch.

    Those are sent once the new assignment is durable.
    """
    context = ledger_calls.make_context(inst, ledger)
    sendable = []
    for entry in due:
        if beginning.must_move(context, entry, epoch):
            beginning.move(ledger, context, entry)
            unsent = ledger.unsent.setdefault(entry.fleet, set())
            unsent.discard(ledgers.get_key(entry))
        else:
            sendable.append(entry)
    return sendable


def _make_call(
    ledger: ledgers.Ledger,
    link: Link,
    owner: partitions.Ownership,
    complete: bool,
    sent: list[ledgers.Entry],
) -> peer_pb2.AssignCall:
    return peer_pb2.AssignCall(
        partition=link.fleet,
        epoch=owner.epoch,
        ledger=ledger.name,
        ledger_epoch=ledger.epoch,
        number=next(link.numbers),
        complete=complete,
        assignments=[
            values.encode_assignment(ledgers.make_assignment(ledger, entry))
            for entry in sent
        ],
    )


def _mark_sent(
    ledger: ledgers.Ledger, link: Link, call: peer_pb2.AssignCall
) -> None:
    """Drops the keys of sent entries, unless they were assigned again."""
    unsent = ledger.unsent.setdefault(link.fleet, set())
    for given in call.assignments:
        key = f'{given.request.team}/{given.request.id}'
        entry = ledger.entries.get(key)
        if entry is None or entry.attempt == given.attempt:
            unsent.discard(key)


async def _assign(
    inst: instances.Instance,
    owner: partitions.Ownership,
    call: peer_pb2.AssignCall,
) -> bool:
    if owner.owner == inst.membership.view.me.id:
        reply = await fleet_calls.assign(inst, call, CALL_MS)
        return reply.HasField('assigned')
    stub = peer_grpc.FleetStub(channels.get(inst.channels, owner.address))
    try:
        reply = await stub.Assign(call, timeout=clock_lib.to_seconds(CALL_MS))
    except routing.CALL_ERRORS as error:
        logger.info('assign_failed', extra={'why': repr(error)})
        return False
    return reply.HasField('assigned')


async def _send_withdrawals(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    link: Link,
    owner: partitions.Ownership,
) -> bool:
    waiting = ledger.withdrawals.get(link.fleet)
    if not waiting:
        return True
    keys = list(itertools.islice(waiting, MAX_BATCH))
    call = peer_pb2.WithdrawCall(
        partition=link.fleet,
        request_keys=keys,
        ledger=ledger.name,
        ledger_epoch=ledger.epoch,
    )
    if owner.owner == inst.membership.view.me.id:
        reply = await fleet_calls.withdraw(inst, call, CALL_MS)
    else:
        stub = peer_grpc.FleetStub(channels.get(inst.channels, owner.address))
        try:
            reply = await stub.Withdraw(
                call, timeout=clock_lib.to_seconds(CALL_MS)
            )
        except routing.CALL_ERRORS as error:
            logger.info('withdraw_failed', extra={'why': repr(error)})
            return False
    if not reply.HasField('withdrawn'):
        return False
    waiting.difference_update(keys)
    return True
