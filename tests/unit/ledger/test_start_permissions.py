"""Tests of the permission to start attempts."""

import dataclasses

from lib import ledger_partitions
from lib import makers

from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import start_permissions
from nutmegknot._internal.models import outcomes

KEY = 't/job'
START_REQUEST = start_permissions.StartRequest(
    KEY, 0, ledger_partitions.FLEET_PARTITION, 1
)


async def accept(
    environment: ledger_partitions.Environment,
) -> ledger_partitions.PartitionOwner:
    """Returns an owner that has accepted a non-repeatable request."""
    owner = await ledger_partitions.take_over(environment)
    req = makers.make_request('job', repeatable=False)
    outcome = await request_operations.submit(
        owner.ledger, owner.context, req, 1_000
    )
    assert outcome == outcomes.Accepted(KEY)
    return owner


def permit_start(
    owner: ledger_partitions.PartitionOwner,
    start_request: start_permissions.StartRequest,
) -> bool:
    return start_permissions.permit_start(
        owner.ledger, owner.context, start_request
    )


def get_entry(owner: ledger_partitions.PartitionOwner) -> ledgers.Entry:
    return owner.ledger.entries[KEY]


async def test_start_is_permitted_again_under_same_epoch() -> None:
    owner = await accept(ledger_partitions.Environment())
    assert permit_start(owner, START_REQUEST)
    assert permit_start(owner, START_REQUEST)
    assert not start_permissions.must_reassign(
        owner.context, get_entry(owner), 2
    )
    await ledger_partitions.stop(owner)


async def test_start_is_denied_for_another_attempt_or_epoch() -> None:
    environment = ledger_partitions.Environment()
    owner = await accept(environment)
    for other_request in (
        dataclasses.replace(START_REQUEST, attempt=1),
        dataclasses.replace(START_REQUEST, fleet='fleet-e-0'),
        dataclasses.replace(START_REQUEST, fleet_epoch=2),
        dataclasses.replace(START_REQUEST, request_key='t/other'),
    ):
        assert not permit_start(owner, other_request)
    owner.ledger.fleet_epochs[ledger_partitions.FLEET_PARTITION] = 2
    assert not permit_start(owner, START_REQUEST)
    owner.ledger.fleet_epochs.clear()
    environment.may_act = False
    assert not permit_start(owner, START_REQUEST)
    await ledger_partitions.stop(owner)


async def test_start_is_denied_once_cancelled() -> None:
    owner = await accept(ledger_partitions.Environment())
    await request_operations.cancel(owner.ledger, owner.context, KEY, 1_000)
    assert not permit_start(owner, START_REQUEST)
    await ledger_partitions.stop(owner)


async def test_reassignment_denies_earlier_attempt() -> None:
    """A request that was not started is assigned again to a new fleet owner.

    The attempt under the earlier epoch must not start any more; the new one
    may.
    """
    environment = ledger_partitions.Environment(fleet_epoch=1)
    owner = await accept(environment)
    environment.fleet_epoch = 2
    entry = get_entry(owner)
    assert start_permissions.must_reassign(owner.context, entry, 2)
    start_permissions.reassign(owner.ledger, owner.context, entry)
    assert not permit_start(owner, START_REQUEST)
    assert entry.ending is not None
    await entry.ending.completion
    assert (entry.attempt, entry.fleet_epoch) == (1, 2)
    assert not permit_start(owner, START_REQUEST)
    assert (
        KEY
        in owner.ledger.unsent_assignments[ledger_partitions.FLEET_PARTITION]
    )
    assert permit_start(
        owner,
        start_permissions.StartRequest(
            KEY, 1, ledger_partitions.FLEET_PARTITION, 2
        ),
    )
    await ledger_partitions.stop(owner)


async def test_reassignment_ends_cancelled_request() -> None:
    owner = await accept(ledger_partitions.Environment())
    await request_operations.cancel(owner.ledger, owner.context, KEY, 1_000)
    entry = get_entry(owner)
    start_permissions.reassign(owner.ledger, owner.context, entry)
    assert entry.ending is not None
    await entry.ending.completion
    assert entry.outcome == outcomes.Cancelled(started=False)
    await ledger_partitions.stop(owner)


async def test_new_ledger_owner_assumes_earlier_permission() -> None:
    """Permissions are kept in memory only; the attempt may run already."""
    environment = ledger_partitions.Environment()
    old_owner = await accept(environment)
    owner = await ledger_partitions.take_over(environment)
    assert not start_permissions.must_reassign(
        owner.context, get_entry(owner), 2
    )
    assert permit_start(owner, START_REQUEST)
    await ledger_partitions.stop(old_owner)
    await ledger_partitions.stop(owner)
