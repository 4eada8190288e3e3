"""Failures of the platform as the adapters show them."""

import dataclasses

import aiohttp
from lib import standins
import pytest

from nutmegknot._internal.backing import fleets
from nutmegknot._internal.backing import http_fleets
from nutmegknot._internal.backing import http_objects
from nutmegknot._internal.backing import http_tables
from nutmegknot._internal.backing import objects
from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import books
from nutmegknot_standins import control_pb2
from nutmegknot_standins import controls
from nutmegknot_standins import faults
from nutmegknot_standins import machines
from nutmegknot_standins import servers

TIMEOUT_MS = 5_000
WRITE = tables.Transaction(writes=(tables.Write('a', b'1'),))
READ = tables.Transaction(reads=('a',))

kinds = control_pb2.FaultKind


def order_fault(kind: control_pb2.FaultKind, **fields: object) -> faults.Active:
    message = control_pb2.Fault(kind=kind, **fields)  # type: ignore[arg-type]
    return faults.Active(message)


@pytest.mark.parametrize(
    ('kind', 'expected', 'is_written'),
    [
        (kinds.FAULT_KIND_DOWN, tables.Unavailable, False),
        (kinds.FAULT_KIND_CUT, tables.Uncertain, False),
        (kinds.FAULT_KIND_LOST, tables.Uncertain, True),
        (kinds.FAULT_KIND_GARBAGE, tables.Uncertain, False),
    ],
)
async def test_failed_write_says_whether_it_may_have_taken_effect(
    kind: control_pb2.FaultKind, expected: type, is_written: bool
) -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(order_fault(kind, part='table'))
        table = http_tables.connect(session, platform.url)
        result = await table.transact(WRITE, TIMEOUT_MS)
        assert isinstance(result, expected)
        assert ('a' in platform.table.rows) is is_written
        read = await table.transact(READ, TIMEOUT_MS)
        assert isinstance(read, tables.Unavailable)


async def test_unchanged_list_is_not_transferred_again() -> None:
    async with standins.serve() as (platform, session):
        fleet = http_fleets.connect(session, platform.url, TIMEOUT_MS)
        first = await fleet.list_workers(TIMEOUT_MS)
        assert await fleet.list_workers(TIMEOUT_MS) is first
        assert isinstance(first, list)
        machine = platform.machines[first[0].id]
        machine.worker = dataclasses.replace(
            machine.worker, state=workers.TargetState.LEAVING
        )
        changed = await fleet.list_workers(TIMEOUT_MS)
        assert isinstance(changed, list)
        assert changed[0].state is workers.TargetState.LEAVING


async def test_refused_connection_means_no_effect() -> None:
    async with standins.serve() as (platform, session):
        url = platform.url
        table = http_tables.connect(session, 'http://127.0.0.1:1')
        result = await table.transact(WRITE, TIMEOUT_MS)
        assert isinstance(result, tables.Unavailable), url


async def test_fault_of_a_prefix_spares_other_keys_and_callers() -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(
            order_fault(
                kinds.FAULT_KIND_DOWN, part='table', prefix='b', caller='one'
            )
        )
        one = http_tables.connect(session, f'{platform.url}/from/one')
        two = http_tables.connect(session, f'{platform.url}/from/two')
        other = tables.Transaction(writes=(tables.Write('b', b''),))
        assert isinstance(
            await one.transact(WRITE, TIMEOUT_MS), tables.Committed
        )
        assert isinstance(
            await one.transact(other, TIMEOUT_MS), tables.Unavailable
        )
        assert isinstance(
            await two.transact(other, TIMEOUT_MS), tables.Committed
        )


@pytest.mark.parametrize(
    ('kind', 'expected', 'is_written'),
    [
        (kinds.FAULT_KIND_DOWN, tables.Unavailable, False),
        (kinds.FAULT_KIND_LOST, tables.Uncertain, True),
    ],
)
async def test_failed_put_says_whether_it_may_have_taken_effect(
    kind: control_pb2.FaultKind, expected: type, is_written: bool
) -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(order_fault(kind, part='objects'))
        store = http_objects.connect(session, platform.url)
        result = await store.put('n', b'x', TIMEOUT_MS)
        assert isinstance(result, expected)
        assert ('n' in platform.objects.objects) is is_written


async def test_deleting_a_missing_object_succeeds() -> None:
    async with standins.serve() as (platform, session):
        store = http_objects.connect(session, platform.url)
        assert await store.delete('n', TIMEOUT_MS) == objects.Stored()
        assert await store.get('n', TIMEOUT_MS) == objects.Missing()


async def connect_worker(
    platform: servers.Platform, session: aiohttp.ClientSession
) -> fleets.Target:
    fleet = http_fleets.connect(session, platform.url, TIMEOUT_MS)
    listed = await fleet.list_workers(TIMEOUT_MS)
    assert isinstance(listed, list)
    return fleet.connect(listed[0])


def make_start(name: str) -> fleets.Start:
    size = resources.Resources(1000, 100, 0, 1)
    return fleets.Start(
        workers.TaskId(f't/{name}'), 't', size, 9_999_999_999_999, b'{}'
    )


async def test_garbage_from_a_worker_is_a_value() -> None:
    async with standins.serve() as (platform, session):
        target = await connect_worker(platform, session)
        platform.faults.active.append(
            order_fault(kinds.FAULT_KIND_GARBAGE, part='worker')
        )
        claimed = await target.claim(1, 'fleet-a-0', 1000)
        polled = await target.poll(1, fleets.Poll(1000, 10))
        started = await target.start(1, [make_start('a')])
        assert isinstance(claimed, tables.Unavailable)
        assert isinstance(polled, tables.Unavailable)
        assert isinstance(started, tables.Uncertain)


async def test_answer_lost_after_start_shows_the_task_at_the_next_claim() -> (
    None
):
    async with standins.serve() as (platform, session):
        target = await connect_worker(platform, session)
        await target.claim(1, 'fleet-a-0', 10_000)
        lost = order_fault(kinds.FAULT_KIND_LOST, part='worker', count=1)
        platform.faults.active.append(lost)
        started = await target.start(1, [make_start('a')])
        assert isinstance(started, tables.Uncertain)
        claimed = await target.claim(2, 'fleet-a-0', 10_000)
        assert isinstance(claimed, fleets.Claimed)
        assert [e.task.request_key for e in claimed.inventory] == ['t/a']
        assert await target.start(1, [make_start('b')]) == fleets.StaleToken(2)


async def test_worker_of_a_new_run_obeys_nothing_until_it_is_claimed() -> None:
    async with standins.serve() as (platform, session):
        target = await connect_worker(platform, session)
        await target.claim(3, 'fleet-a-0', 10_000)
        await target.start(3, [make_start('a')])
        change = control_pb2.WorkerChange(
            worker='worker-0', action=control_pb2.WORKER_ACTION_REBOOT
        )
        controls.change_worker(platform, change)
        started = await target.start(3, [make_start('b')])
        polled = await target.poll(3, fleets.Poll(1000, 10))
        claimed = await target.claim(3, 'fleet-a-0', 10_000)
        assert isinstance(started, tables.Unavailable)
        assert isinstance(polled, tables.Unavailable)
        assert isinstance(claimed, fleets.Claimed)
        assert claimed.inventory == []


async def test_lease_counts_from_the_sending_of_its_renewal() -> None:
    manual = clock_lib.ManualTime(1_000)
    clock = clock_lib.make_manual_clock(manual)
    worker = servers.make_workers('here', ['a'], 1, standins.CAPACITY)[0]
    machine = machines.Machine(worker, clock, books.Book(clock))
    claim = {'token': 1, 'partition': 'a', 'lease_ms': 500, 'sent_ms': 1_000}
    await machines.claim(machine, claim)
    order = {
        'task': 't/a#0#0',
        'team': 't',
        'size': [1, 1, 0, 1],
        'payload': '',
        'not_after_ms': 9_000,
    }
    await machines.start(machine, {'token': 1, 'tasks': [order]})
    manual.at_ms = 1_450
    await machines.claim(machine, claim)
    manual.at_ms = 1_500
    machines.stop_lapsed(machine)
    assert machines.list_running(machine) == {}
