"""Tests of the permission to start attempts."""

import dataclasses

from lib import makers
from lib import partitions

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes

KEY = 't/job'
START_REQUEST = beginning.Beginning(KEY, 0, partitions.FLEET, 1)


async def accept(cell: partitions.Cell) -> partitions.Owner:
    """Returns an owner that has accepted a non-repeatable request."""
    owner = await partitions.take_over(cell)
    req = makers.make_request('job', repeatable=False)
    outcome = await accepting.submit(owner.ledger, owner.context, req, 1_000)
    assert outcome == outcomes.Accepted(KEY)
    return owner


def permit_start(
    owner: partitions.Owner, start_request: beginning.Beginning
) -> bool:
    return beginning.begin(owner.ledger, owner.context, start_request)


def get_entry(owner: partitions.Owner) -> ledgers.Entry:
    return owner.ledger.entries[KEY]


async def test_start_is_permitted_again_under_same_epoch() -> None:
    owner = await accept(partitions.Cell())
    assert permit_start(owner, START_REQUEST)
    assert permit_start(owner, START_REQUEST)
    assert not beginning.must_move(owner.context, get_entry(owner), 2)
    await partitions.stop(owner)


async def test_start_is_denied_for_another_attempt_or_epoch() -> None:
    cell = partitions.Cell()
    owner = await accept(cell)
    for other_request in (
        dataclasses.replace(START_REQUEST, attempt=1),
        dataclasses.replace(START_REQUEST, fleet='fleet-e-0'),
        dataclasses.replace(START_REQUEST, fleet_epoch=2),
        dataclasses.replace(START_REQUEST, request_key='t/other'),
    ):
        assert not permit_start(owner, other_request)
    owner.ledger.fleet_epochs[partitions.FLEET] = 2
    assert not permit_start(owner, START_REQUEST)
    owner.ledger.fleet_epochs.clear()
    cell.may_act = False
    assert not permit_start(owner, START_REQUEST)
    await partitions.stop(owner)


async def test_start_is_denied_once_cancelled() -> None:
    owner = await accept(partitions.Cell())
    await accepting.cancel(owner.ledger, owner.context, KEY, 1_000)
    assert not permit_start(owner, START_REQUEST)
    await partitions.stop(owner)


async def test_reassignment_denies_earlier_attempt() -> None:
    """A request that was not started is assigned again to a new fleet owner.

    The attempt under the earlier epoch must not start any more; the new one
    may.
    """
    cell = partitions.Cell(fleet_epoch=1)
    owner = await accept(cell)
    cell.fleet_epoch = 2
    entry = get_entry(owner)
    assert beginning.must_move(owner.context, entry, 2)
    beginning.move(owner.ledger, owner.context, entry)
    assert not permit_start(owner, START_REQUEST)
    assert entry.ending is not None
    await entry.ending.completion
    assert (entry.attempt, entry.fleet_epoch) == (1, 2)
    assert not permit_start(owner, START_REQUEST)
    assert KEY in owner.ledger.unsent[partitions.FLEET]
    assert permit_start(owner, beginning.Beginning(KEY, 1, partitions.FLEET, 2))
    await partitions.stop(owner)


async def test_reassignment_ends_cancelled_request() -> None:
    owner = await accept(partitions.Cell())
    await accepting.cancel(owner.ledger, owner.context, KEY, 1_000)
    entry = get_entry(owner)
    beginning.move(owner.ledger, owner.context, entry)
    assert entry.ending is not None
    await entry.ending.completion
    assert entry.outcome == outcomes.Cancelled(started=False)
    await partitions.stop(owner)


async def test_new_ledger_owner_assumes_earlier_permission() -> None:
    """Permissions are kept in memory only; the attempt may run already."""
    cell = partitions.Cell()
    old_owner = await accept(cell)
    owner = await partitions.take_over(cell)
    assert not beginning.must_move(owner.context, get_entry(owner), 2)
    assert permit_start(owner, START_REQUEST)
    await partitions.stop(old_owner)
    await partitions.stop(owner)
