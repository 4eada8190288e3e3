"""Tests of leases, partition ownership and authority of instances."""

import asyncio
import dataclasses

from lib import fakes
from lib import members
import pytest

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import configurations
from nutmegknot._internal.membership import authority_period
from nutmegknot._internal.membership import leases
from nutmegknot._internal.membership import partition_ownership
from nutmegknot._internal.membership import rows
from nutmegknot._internal.membership import views
from nutmegknot._internal.models import cells
from nutmegknot._internal.schema import table_pb2
from nutmegknot._internal.utils import clock

PARTITION = 'ledger-0'


def make_cell(
    count: int,
) -> tuple[fakes.FakeTable, clock.ManualTime, list[members.Node]]:
    fake, manual = fakes.FakeTable(), clock.ManualTime()
    nodes = [members.make_node(f'n{n}', fake, manual) for n in range(count)]
    return fake, manual, nodes


def put_configuration(fake: fakes.FakeTable, revision: int) -> None:
    config = cells.Configuration(revision=revision)
    message = configurations.encode_configuration(config)
    row = table_pb2.RevisionRow(revision=revision)
    for key, value in (
        (rows.CONFIGURATION_KEY, message.SerializeToString()),
        (rows.REVISION_KEY, row.SerializeToString()),
    ):
        fake.last_version += 1
        fake.rows[key] = tables.Row(key, value, fake.last_version)


def list_acting(node: members.Node) -> list[str]:
    names = partition_ownership.list_partitions(node.context.settings)
    return [name for name in names if members.acts_for(node, name)]


@pytest.mark.parametrize('faults', [['lost'], ['late'], ['down']])
async def test_next_renewal_succeeds_after_lost_answer(
    faults: list[str],
) -> None:
    fake, manual, (node,) = make_cell(1)
    await leases.renew(node.context)
    fake.faults = faults
    assert not await leases.renew(node.context)
    fakes.apply_late(fake)
    manual.at_ms = 500
    assert await leases.renew(node.context)
    assert node.context.view.confirmed_ms == 500


async def test_slow_answer_confirms_from_time_of_call() -> None:
    fake, manual, (node,) = make_cell(1)

    def spend() -> None:
        manual.at_ms += 2201

    fake.before_slow_answer, fake.faults = spend, ['slow']
    await leases.renew(node.context)
    assert not authority_period.may_act(node.context.view, manual.at_ms)


async def test_lease_row_removed_ends_authority_until_owners_are_read() -> None:
    fake, manual, nodes = make_cell(2)
    await members.run_steps(nodes, manual, 4, 700)
    paused, other = nodes
    assert list_acting(paused)
    await members.run_steps([other], manual, 8, 700)
    assert list_acting(paused) == []
    fake.faults = ['', 'down']
    assert not await leases.renew(paused.context)
    assert list_acting(paused) == []
    await leases.renew(paused.context)
    assert list_acting(paused) == []
    assert len(list_acting(other)) == 3


@pytest.mark.parametrize('fault', ['lost', 'late'])
async def test_acquisition_with_lost_answer_takes_effect_once_read(
    fault: str,
) -> None:
    fake, manual, (node,) = make_cell(1)
    await leases.renew(node.context)
    fake.faults = [fault, 'down'] * 3
    await members.move_partitions(node)
    assert list_acting(node) == []
    fakes.apply_late(fake)
    await members.run_steps([node], manual, 2, 100)
    assert len(list_acting(node)) == 3


async def test_epoch_is_not_served_twice() -> None:
    fake, manual, (node,) = make_cell(1)
    await members.run_steps([node], manual, 2, 100)
    del node.served[PARTITION]
    await members.run_steps([node], manual, 2, 100)
    assert node.served[PARTITION] == 2


@pytest.mark.parametrize('renews', [True, False])
async def test_owner_renewed_before_takeover_keeps_partition(
    renews: bool,
) -> None:
    _, manual, nodes = make_cell(2)
    await members.run_steps(nodes, manual, 4, 700)
    owner, other = nodes
    mine = sorted(owner.served)[0]
    for _ in range(8):
        manual.at_ms += 700
        await leases.renew(other.context)
    assert mine in partition_ownership.list_acquirable(other.context)
    if renews:
        assert await leases.renew(owner.context)
    taken = await partition_ownership.acquire(other.context, mine)
    assert taken is not renews
    assert await leases.renew(owner.context)
    assert views.owns(owner.context.view, mine) is renews


async def test_owner_whose_lease_was_not_read_keeps_partition() -> None:
    fake, manual, nodes = make_cell(2)
    await members.run_steps(nodes, manual, 4, 700)
    owner, other = nodes
    mine = sorted(owner.served)[0]
    for _ in range(8):
        manual.at_ms += 700
        await leases.renew(other.context)
    other.context.view.members.pop('n0')
    assert mine in partition_ownership.list_acquirable(other.context)
    assert not await partition_ownership.acquire(other.context, mine)
    fake.rows.pop(rows.get_member_key('n0'))
    assert await partition_ownership.acquire(other.context, mine)


@pytest.mark.parametrize('is_renewal_first', [True, False])
async def test_a_renewal_does_not_defeat_an_acquisition(
    is_renewal_first: bool,
) -> None:
    """Guards against partitions that stay without an owner for half a minute.

    Each acquisition failed for a renewal at the same time, and asked for the
    next renewal by failing.
    """
    _, _, (node,) = make_cell(1)
    transact = node.context.table.transact

    async def transact_slowly(
        transaction: tables.Transaction, timeout_ms: int
    ) -> tables.TransactionResult:
        await asyncio.sleep(0.001)
        result = await transact(transaction, timeout_ms)
        await asyncio.sleep(0.001)
        return result

    node.context = dataclasses.replace(
        node.context,
        table=dataclasses.replace(node.context.table, transact=transact_slowly),
    )
    assert await leases.renew(node.context)
    calls = [
        leases.renew(node.context),
        partition_ownership.acquire(node.context, PARTITION),
    ]
    if not is_renewal_first:
        calls.reverse()
    assert await asyncio.gather(*calls) == [True, True]
    assert node.context.lease.renewal_needed.count == 0


@pytest.mark.parametrize('is_listed_before', [True, False])
async def test_a_partition_is_not_taken_from_an_owner_that_is_alive(
    is_listed_before: bool,
) -> None:
    """Guards against two instances that own a partition in one epoch.

    Another instance acquired the partition after this one had found it without
    an owner; this one then read that in a renewal, and took the partition over
    with the version that it had read.
    """
    _, _, (node, other) = make_cell(2)
    for each in (node, other):
        assert await leases.renew(each.context)
    assert await leases.renew(node.context)
    mine = partition_ownership.list_acquirable(node.context)[0]
    for each in (node, other):
        each.context.view.members.pop('n0' if each is other else 'n1')
    assert await partition_ownership.acquire(other.context, mine)
    if is_listed_before:
        assert mine in partition_ownership.list_acquirable(node.context)
        assert await leases.renew(node.context)
        assert not await partition_ownership.acquire(node.context, mine)
    else:
        renewed, acquired = await asyncio.gather(
            leases.renew(node.context),
            partition_ownership.acquire(node.context, mine),
        )
        assert renewed
        assert not acquired
    assert node.context.view.owners[mine].owner == 'n1'
    assert await leases.renew(other.context)
    assert other.context.view.owners[mine].owner == 'n1'


async def test_configuration_is_never_older_or_invalid() -> None:
    fake, manual, (node,) = make_cell(1)
    put_configuration(fake, 5)
    assert await leases.renew(node.context)
    put_configuration(fake, 4)
    await leases.renew(node.context)
    await leases.read_configuration(node.context)
    assert node.context.view.configuration.revision == 5
    put_configuration(fake, 6)
    value = b'\xff not a message'
    fake.rows[rows.CONFIGURATION_KEY] = tables.Row('configuration', value, 99)
    assert not await leases.renew(node.context)
    assert node.context.view.configuration.revision == 5


async def test_authority_is_not_extended_with_older_revision() -> None:
    fake, manual, nodes = make_cell(2)
    await members.run_steps(nodes, manual, 8, 700)
    fake.is_down = True
    nodes[0].context.view.known_revision = 1
    for _ in range(10):
        for node in nodes:
            await leases.renew(node.context)
        members.exchange_store_status(nodes[0], nodes[1])
        members.exchange_store_status(nodes[1], nodes[0])
        manual.at_ms += 400
    assert list_acting(nodes[0]) == []
    assert list_acting(nodes[1]) != []


async def test_outage_is_bridged_until_one_member_reaches_the_table() -> None:
    fake, manual, nodes = make_cell(2)
    await members.run_steps(nodes, manual, 4, 700)
    fake.is_down = True
    for _ in range(30):
        for node in nodes:
            await leases.renew(node.context)
        members.exchange_store_status(nodes[0], nodes[1])
        members.exchange_store_status(nodes[1], nodes[0])
        assert list_acting(nodes[0])
        manual.at_ms += 400
    fake.is_down = False
    await leases.renew(nodes[1].context)
    members.exchange_store_status(nodes[0], nodes[1])
    manual.at_ms += 1000
    assert list_acting(nodes[0]) == []


async def test_member_that_owner_has_not_read_takes_over_late() -> None:
    fake, manual, nodes = make_cell(3)
    old, newcomer = nodes[:2], nodes[2]
    await members.run_steps(old, manual, 4, 700)
    await members.run_steps([newcomer], manual, 10, 700)
    assert newcomer.served == {}
    bridge_ms = newcomer.context.settings.membership.bridge_ms
    manual.at_ms += bridge_ms - 8_000
    await members.run_steps([newcomer], manual, 3, 700)
    assert newcomer.served == {}
    assert views.get_epoch(newcomer.context.view, PARTITION) == 1
    await members.run_steps([newcomer], manual, 10, 700)
    assert len(newcomer.served) == 3


async def test_idle_renewal_reads_and_writes_few_rows() -> None:
    fake, manual, nodes = make_cell(6)
    await members.run_steps(nodes, manual, 8, 700)
    read, written = fake.rows_read, fake.rows_written
    await members.run_steps(nodes, manual, 10, 700)
    assert fake.rows_read - read <= 10 * 6 * 7
    assert fake.rows_written - written == 10 * 6
