"""Sends the assignments of an owned ledger partition to one fleet partition."""

import asyncio
import dataclasses
import itertools
import logging

from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import fleet_calls
from nutmegknot._internal.instance import fleet_selection
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import ledger_calls
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import partitions
from nutmegknot._internal.network import channels
from nutmegknot._internal.schema import peer_grpc
from nutmegknot._internal.schema import peer_pb2
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 5_000
MAX_CHANGES_PER_CALL = 500


@dataclasses.dataclass(slots=True)
class AssignmentSender:
    """What a ledger partition has sent to one fleet partition.

    Attributes:
      fleet: Name of the fleet partition.
      call_numbers: Source of the numbers of Assign calls; the receiver rejects
        a call whose number is not higher than the last one.
      listed_epoch: Epoch of the fleet partition whose owner has received the
        list of all open assignments; 0 if none has.
    """

    fleet: str
    call_numbers: itertools.count
    listed_epoch: int = 0


async def run_assignment_loop(
    inst: instances.Instance, ledger: ledgers.Ledger, fleet: str
) -> None:
    """Sends assignments and withdrawals until cancelled.

    The first call to each new owner of the fleet partition lists all open
    assignments, as the new owner does not know what the former one received.
    """
    sender = AssignmentSender(fleet, itertools.count(1))
    backoff = retries.Backoff(inst.rng)
    view = inst.membership.view
    while True:
        ledger_count = ledger.send_needed.count
        view_count = view.changed.count
        owner = view.owners.get(fleet)
        if owner is None or not owner.owner:
            await signals.wait_for_notification(view.changed, view_count)
            continue
        if not _has_unsent(ledger, sender, owner):
            await _wait_for_either(
                ledger.send_needed, ledger_count, view.changed, view_count
            )
            continue
        if authority.may_act_for(
            inst, ledger.name, ledger.epoch
        ) and await _send_changes(inst, ledger, sender, owner):
            retries.reset_backoff(backoff)
            continue
        wait_ms = retries.advance_backoff(backoff)
        await asyncio.sleep(clock.to_seconds(wait_ms))


def _has_unsent(
    ledger: ledgers.Ledger,
    sender: AssignmentSender,
    owner: partitions.Ownership,
) -> bool:
    return bool(
        sender.listed_epoch != owner.epoch
        or ledger.unsent_assignments.get(sender.fleet)
        or ledger.unsent_withdrawals.get(sender.fleet)
    )


async def _wait_for_either(
    first: signals.Signal,
    first_count: int,
    second: signals.Signal,
    second_count: int,
) -> None:
    waits = [
        asyncio.ensure_future(
            signals.wait_for_notification(first, first_count)
        ),
        asyncio.ensure_future(
            signals.wait_for_notification(second, second_count)
        ),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


async def _send_changes(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    sender: AssignmentSender,
    owner: partitions.Ownership,
) -> bool:
    """Sends the assignments and withdrawals that are due.

    Returns:
      Whether the owner of the fleet partition confirmed each call.
    """
    is_complete = sender.listed_epoch != owner.epoch
    known_epoch = ledger.fleet_epochs.get(sender.fleet, 0)
    ledger.fleet_epochs[sender.fleet] = max(known_epoch, owner.epoch)
    if is_complete:
        due = ledgers.list_open_entries(ledger, sender.fleet)
    else:
        due = _list_unsent_entries(ledger, sender)
    sendable = _select_sendable(inst, ledger, due, owner.epoch)
    if is_complete or sendable:
        call = _make_assign_call(ledger, sender, owner, is_complete, sendable)
        if not await _send_assign_call(inst, owner, call):
            return False
        _mark_sent(ledger, sender, call)
        sender.listed_epoch = owner.epoch
    return await _send_withdrawals(inst, ledger, sender, owner)


def _list_unsent_entries(
    ledger: ledgers.Ledger, sender: AssignmentSender
) -> list[ledgers.Entry]:
    """Returns at most MAX_CHANGES_PER_CALL unsent entries.

    Keys of entries that have ended, or that were assigned to another fleet
    partition since, are removed from the unsent ones.
    """
    unsent = ledger.unsent_assignments.setdefault(sender.fleet, set())
    keys = list(itertools.islice(unsent, MAX_CHANGES_PER_CALL))
    due = []
    for key in keys:
        entry = ledger.entries.get(key)
        if entry is None or entry.outcome or entry.fleet != sender.fleet:
            unsent.discard(key)
        else:
            due.append(entry)
    return due


def _select_sendable(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    due: list[ledgers.Entry],
    epoch: int,
) -> list[ledgers.Entry]:
    """Returns the entries that may be sent under an epoch.

    The others must be reassigned under this epoch first: their reassignment is
    queued here, and they are sent once it is durable.
    """
    context = ledger_calls.make_context(inst, ledger)
    sendable = []
    for entry in due:
        if start_permissions.must_reassign(context, entry, epoch):
            start_permissions.reassign(ledger, context, entry)
            unsent = ledger.unsent_assignments.setdefault(entry.fleet, set())
            unsent.discard(ledgers.get_key(entry))
        else:
            sendable.append(entry)
    return sendable


def _make_assign_call(
    ledger: ledgers.Ledger,
    sender: AssignmentSender,
    owner: partitions.Ownership,
    is_complete: bool,
    entries: list[ledgers.Entry],
) -> peer_pb2.AssignCall:
    return peer_pb2.AssignCall(
        partition=sender.fleet,
        epoch=owner.epoch,
        ledger=ledger.name,
        ledger_epoch=ledger.epoch,
        number=next(sender.call_numbers),
        complete=is_complete,
        assignments=[
            common_messages.encode_assignment(
                ledgers.make_assignment(ledger, entry)
            )
            for entry in entries
        ],
    )


def _mark_sent(
    ledger: ledgers.Ledger, sender: AssignmentSender, call: peer_pb2.AssignCall
) -> None:
    """Removes sent entries from the unsent ones.

    An entry that got a new attempt during the call stays unsent.
    """
    unsent = ledger.unsent_assignments.setdefault(sender.fleet, set())
    for assignment in call.assignments:
        key = f'{assignment.request.team}/{assignment.request.id}'
        entry = ledger.entries.get(key)
        if entry is None or entry.attempt == assignment.attempt:
            unsent.discard(key)


async def _send_assign_call(
    inst: instances.Instance,
    owner: partitions.Ownership,
    call: peer_pb2.AssignCall,
) -> bool:
    if owner.owner == inst.membership.view.me.id:
        reply = await fleet_calls.assign(inst, call, CALL_TIMEOUT_MS)
        return reply.HasField('assigned')
    stub = peer_grpc.FleetStub(
        channels.get_channel(inst.channels, owner.address)
    )
    try:
        reply = await stub.Assign(
            call, timeout=clock.to_seconds(CALL_TIMEOUT_MS)
        )
    except fleet_selection.CALL_ERRORS as error:
        logger.info('assign_failed', extra={'why': repr(error)})
        return False
    return reply.HasField('assigned')


async def _send_withdrawals(
    inst: instances.Instance,
    ledger: ledgers.Ledger,
    sender: AssignmentSender,
    owner: partitions.Ownership,
) -> bool:
    unsent = ledger.unsent_withdrawals.get(sender.fleet)
    if not unsent:
        return True
    keys = list(itertools.islice(unsent, MAX_CHANGES_PER_CALL))
    call = peer_pb2.WithdrawCall(
        partition=sender.fleet,
        request_keys=keys,
        ledger=ledger.name,
        ledger_epoch=ledger.epoch,
    )
    if owner.owner == inst.membership.view.me.id:
        reply = await fleet_calls.withdraw(inst, call, CALL_TIMEOUT_MS)
    else:
        stub = peer_grpc.FleetStub(
            channels.get_channel(inst.channels, owner.address)
        )
        try:
            reply = await stub.Withdraw(
                call, timeout=clock.to_seconds(CALL_TIMEOUT_MS)
            )
        except fleet_selection.CALL_ERRORS as error:
            logger.info('withdraw_failed', extra={'why': repr(error)})
            return False
    if not reply.HasField('withdrawn'):
        return False
    unsent.difference_update(keys)
    return True
