"""Tests of ledger/beginning.py."""

import dataclasses

from lib import makers
from lib import partitions

from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import beginning
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.models import outcomes

KEY = 't/job'
ASKED = beginning.Beginning(KEY, 0, partitions.FLEET, 1)


async def accept(cell: partitions.Cell) -> partitions.Owner:
    """Returns an owner that has accepted a non-repeatable request."""
    owner = await partitions.take_over(cell)
    req = makers.make_request('job', repeatable=False)
    outcome = await accepting.submit(owner.ledger, owner.context, req, 1_000)
    assert outcome == outcomes.Accepted(KEY)
    return owner


def begin(owner: partitions.Owner, asked: beginning.Beginning) -> bool:
    return beginning.begin(owner.ledger, owner.context, asked)


def get_entry(owner: partitions.Owner) -> ledgers.Entry:
    return owner.ledger.entries[KEY]


async def test_begin_is_granted_again_under_same_epoch() -> None:
    owner = await accept(partitions.Cell())
    assert begin(owner, ASKED)
    assert begin(owner, ASKED)
    assert not beginning.must_move(owner.context, get_entry(owner), 2)
    await partitions.stop(owner)


async def test_begin_is_denied_for_another_attempt_or_epoch() -> None:
    cell = partitions.Cell()
    owner = await accept(cell)
    for wrong in (
        dataclasses.replace(ASKED, attempt=1),
        dataclasses.replace(ASKED, fleet='fleet-e-0'),
        dataclasses.replace(ASKED, fleet_epoch=2),
        dataclasses.replace(ASKED, request_key='t/other'),
    ):
        assert not begin(owner, wrong)
    owner.ledger.fleet_epochs[partitions.FLEET] = 2
    assert not begin(owner, ASKED)
    owner.ledger.fleet_epochs.clear()
    cell.may_act = False
    assert not begin(owner, ASKED)
    await partitions.stop(owner)


async def test_begin_is_denied_once_cancelled() -> None:
    owner = await accept(partitions.Cell())
    await accepting.cancel(owner.ledger, owner.context, KEY, 1_000)
    assert not begin(owner, ASKED)
    await partitions.stop(owner)


async def test_move_denies_late_begin() -> None:
    """What never began moves to the new epoch, and only there it starts."""
    cell = partitions.Cell(fleet_epoch=1)
    owner = await accept(cell)
    cell.fleet_epoch = 2
    entry = get_entry(owner)
    assert beginning.must_move(owner.context, entry, 2)
    beginning.move(owner.ledger, owner.context, entry)
    assert not begin(owner, ASKED)
    assert entry.ending is not None
    await entry.ending.written
    assert (entry.attempt, entry.fleet_epoch) == (1, 2)
    assert not begin(owner, ASKED)
    assert KEY in owner.ledger.unsent[partitions.FLEET]
    assert begin(owner, beginning.Beginning(KEY, 1, partitions.FLEET, 2))
    await partitions.stop(owner)


async def test_move_ends_what_is_cancelled() -> None:
    owner = await accept(partitions.Cell())
    await accepting.cancel(owner.ledger, owner.context, KEY, 1_000)
    entry = get_entry(owner)
    beginning.move(owner.ledger, owner.context, entry)
    assert entry.ending is not None
    await entry.ending.written
    assert entry.outcome == outcomes.Cancelled(started=False)
    await partitions.stop(owner)


async def test_new_ledger_owner_can_not_rule_out_a_begin() -> None:
    cell = partitions.Cell()
    before = await accept(cell)
    owner = await partitions.take_over(cell)
    assert not beginning.must_move(owner.context, get_entry(owner), 2)
    assert begin(owner, ASKED)
    await partitions.stop(before)
    await partitions.stop(owner)
