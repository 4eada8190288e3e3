"""Tests of the HTTP adapters to the platform, also when the platform fails."""

import dataclasses
import itertools
import json

import aiohttp
from aiohttp import test_utils
from aiohttp import web
from lib import standins
import pytest

from nutmegknot._internal.backing import http_object_store
from nutmegknot._internal.backing import http_tables
from nutmegknot._internal.backing import http_worker_clients
from nutmegknot._internal.backing import object_store
from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot_standins import control_pb2
from nutmegknot_standins import control_routes
from nutmegknot_standins import faults
from nutmegknot_standins import machines
from nutmegknot_standins import run_history
from nutmegknot_standins import servers

TIMEOUT_MS = 5_000
WRITE = tables.Transaction(writes=(tables.Write('a', b'1'),))
READ = tables.Transaction(reads=('a',))

fault_kinds = control_pb2.FaultKind


def make_fault(
    kind: control_pb2.FaultKind, **fields: object
) -> faults.ActiveFault:
    message = control_pb2.Fault(kind=kind, **fields)  # type: ignore[arg-type]
    return faults.ActiveFault(message)


@pytest.mark.parametrize(
    ('kind', 'expected', 'is_written'),
    [
        (fault_kinds.FAULT_KIND_DOWN, tables.Unavailable, False),
        (fault_kinds.FAULT_KIND_CUT, tables.Uncertain, False),
        (fault_kinds.FAULT_KIND_LOST, tables.Uncertain, True),
        (fault_kinds.FAULT_KIND_GARBAGE, tables.Uncertain, False),
    ],
)
async def test_result_of_failed_write_tells_whether_it_may_have_taken_effect(
    kind: control_pb2.FaultKind, expected: type, is_written: bool
) -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(make_fault(kind, part='table'))
        table = http_tables.connect(session, platform.url)
        result = await table.transact(WRITE, TIMEOUT_MS)
        assert isinstance(result, expected)
        assert ('a' in platform.table.rows) is is_written
        read = await table.transact(READ, TIMEOUT_MS)
        assert isinstance(read, tables.Unavailable)


async def test_unchanged_list_is_not_transferred_again() -> None:
    async with standins.serve() as (platform, session):
        directory = http_worker_clients.connect(
            session, platform.url, TIMEOUT_MS
        )
        first = await directory.list_workers(TIMEOUT_MS)
        assert await directory.list_workers(TIMEOUT_MS) is first
        assert isinstance(first, list)
        machine = platform.machines[first[0].id]
        machine.worker = dataclasses.replace(
            machine.worker, state=workers.TargetState.LEAVING
        )
        changed = await directory.list_workers(TIMEOUT_MS)
        assert isinstance(changed, list)
        assert changed[0].state is workers.TargetState.LEAVING


async def test_list_without_lag_is_never_older_than_the_call() -> None:
    """A list shows a change made before the call, on whatever ms it begins."""
    readings = itertools.count(1)
    advancing = clock_lib.Clock(
        now_ms=lambda: next(readings), wall_ms=lambda: next(readings)
    )
    async with standins.serve(clock=advancing) as (platform, session):
        directory = http_worker_clients.connect(
            session, platform.url, TIMEOUT_MS
        )
        first = await directory.list_workers(TIMEOUT_MS)
        assert isinstance(first, list)
        machine = platform.machines[first[0].id]
        machine.worker = dataclasses.replace(
            machine.worker, state=workers.TargetState.LEAVING
        )
        changed = await directory.list_workers(TIMEOUT_MS)
        assert isinstance(changed, list)
        assert changed[0].state is workers.TargetState.LEAVING


async def test_refused_connection_means_no_effect() -> None:
    async with standins.serve() as (platform, session):
        url = platform.url
        table = http_tables.connect(session, 'http://127.0.0.1:1')
        result = await table.transact(WRITE, TIMEOUT_MS)
        assert isinstance(result, tables.Unavailable), url


async def test_fault_with_a_prefix_hits_only_its_keys_and_caller() -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(
            make_fault(
                fault_kinds.FAULT_KIND_DOWN,
                part='table',
                prefix='b',
                caller='one',
            )
        )
        first_caller = http_tables.connect(session, f'{platform.url}/from/one')
        second_caller = http_tables.connect(session, f'{platform.url}/from/two')
        blocked_write = tables.Transaction(writes=(tables.Write('b', b''),))
        assert isinstance(
            await first_caller.transact(WRITE, TIMEOUT_MS), tables.Committed
        )
        assert isinstance(
            await first_caller.transact(blocked_write, TIMEOUT_MS),
            tables.Unavailable,
        )
        assert isinstance(
            await second_caller.transact(blocked_write, TIMEOUT_MS),
            tables.Committed,
        )


@pytest.mark.parametrize(
    ('kind', 'expected', 'is_written'),
    [
        (fault_kinds.FAULT_KIND_DOWN, tables.Unavailable, False),
        (fault_kinds.FAULT_KIND_LOST, tables.Uncertain, True),
    ],
)
async def test_result_of_failed_put_tells_whether_it_may_have_taken_effect(
    kind: control_pb2.FaultKind, expected: type, is_written: bool
) -> None:
    async with standins.serve() as (platform, session):
        platform.faults.active.append(make_fault(kind, part='objects'))
        store = http_object_store.connect(session, platform.url)
        result = await store.put('n', b'x', TIMEOUT_MS)
        assert isinstance(result, expected)
        assert ('n' in platform.objects.objects) is is_written


async def test_deleting_a_missing_object_succeeds() -> None:
    async with standins.serve() as (platform, session):
        store = http_object_store.connect(session, platform.url)
        assert await store.delete('n', TIMEOUT_MS) == object_store.Stored()
        assert await store.get('n', TIMEOUT_MS) == object_store.Missing()


async def connect_worker(
    platform: servers.Platform, session: aiohttp.ClientSession
) -> worker_clients.WorkerClient:
    directory = http_worker_clients.connect(session, platform.url, TIMEOUT_MS)
    listed = await directory.list_workers(TIMEOUT_MS)
    assert isinstance(listed, list)
    return directory.connect(listed[0])


def make_start(name: str) -> worker_clients.TaskStart:
    size = resources.Resources(1000, 100, 0, 1)
    return worker_clients.TaskStart(
        workers.TaskId(f't/{name}'), 't', size, 9_999_999_999_999, b'{}'
    )


async def test_garbage_from_a_worker_gives_a_failed_result() -> None:
    async with standins.serve() as (platform, session):
        worker_client = await connect_worker(platform, session)
        platform.faults.active.append(
            make_fault(fault_kinds.FAULT_KIND_GARBAGE, part='worker')
        )
        claimed = await worker_client.claim(1, 'fleet-a-0', 1000)
        polled = await worker_client.poll(1, worker_clients.Poll(1000, 10))
        started = await worker_client.start(1, [make_start('a')])
        assert isinstance(claimed, tables.Unavailable)
        assert isinstance(polled, tables.Unavailable)
        assert isinstance(started, tables.Uncertain)


async def test_task_whose_start_had_no_answer_is_in_the_next_inventory() -> (
    None
):
    async with standins.serve() as (platform, session):
        worker_client = await connect_worker(platform, session)
        await worker_client.claim(1, 'fleet-a-0', 10_000)
        lost = make_fault(fault_kinds.FAULT_KIND_LOST, part='worker', count=1)
        platform.faults.active.append(lost)
        started = await worker_client.start(1, [make_start('a')])
        assert isinstance(started, tables.Uncertain)
        claimed = await worker_client.claim(2, 'fleet-a-0', 10_000)
        assert isinstance(claimed, worker_clients.Claimed)
        assert [e.task.request_key for e in claimed.inventory] == ['t/a']
        assert await worker_client.start(
            1, [make_start('b')]
        ) == worker_clients.StaleToken(2)


async def test_rebooted_worker_rejects_calls_until_it_is_claimed() -> None:
    async with standins.serve() as (platform, session):
        worker_client = await connect_worker(platform, session)
        await worker_client.claim(3, 'fleet-a-0', 10_000)
        await worker_client.start(3, [make_start('a')])
        change = control_pb2.WorkerChange(
            worker='worker-0', action=control_pb2.WORKER_ACTION_REBOOT
        )
        control_routes.change_worker(platform, change)
        started = await worker_client.start(3, [make_start('b')])
        polled = await worker_client.poll(3, worker_clients.Poll(1000, 10))
        claimed = await worker_client.claim(3, 'fleet-a-0', 10_000)
        assert isinstance(started, tables.Unavailable)
        assert isinstance(polled, tables.Unavailable)
        assert isinstance(claimed, worker_clients.Claimed)
        assert claimed.inventory == []


async def test_lease_starts_when_its_renewal_was_sent() -> None:
    manual_time = clock_lib.ManualTime(1_000)
    clock = clock_lib.make_manual_clock(manual_time)
    worker = servers.make_workers('here', ['a'], 1, standins.CAPACITY)[0]
    machine = machines.Machine(worker, clock, run_history.RunHistory(clock))
    claim = {'token': 1, 'partition': 'a', 'lease_ms': 500, 'sent_ms': 1_000}
    await machines.claim(machine, claim)
    task = {
        'task': 't/a#0#0',
        'team': 't',
        'size': [1, 1, 0, 1],
        'payload': '',
        'not_after_ms': 9_000,
    }
    await machines.start(machine, {'token': 1, 'tasks': [task]})
    manual_time.at_ms = 1_450
    await machines.claim(machine, claim)
    manual_time.at_ms = 1_500
    machines.stop_expired_tasks(machine)
    assert machines.list_running(machine) == {}


WORKER_ENTRY = {
    'id': 'w1',
    'region': 'r',
    'domain': 'a',
    'rack': 'r1',
    'capacity': [1_000, 1_000, 0, 4],
    'address': 'http://127.0.0.1:1',
    'state': 'live',
}


async def list_from(text: str) -> list[workers.Worker] | tables.Unavailable:
    """Returns the list of workers from a service that answers with a text."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(text=text, content_type='application/json')

    app = web.Application()
    app.router.add_get('/fleet/workers', answer)
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        url = str(server.make_url('')).rstrip('/')
        directory = http_worker_clients.connect(session, url, TIMEOUT_MS)
        return await directory.list_workers(TIMEOUT_MS)


async def test_an_odd_entry_of_the_list_leaves_the_other_workers() -> None:
    """Guards against a list that is not followed for one odd entry."""
    odd: list[object] = [
        None,
        [],
        {},
        {**WORKER_ENTRY, 'id': 7},
        {**WORKER_ENTRY, 'id': '\ud800'},
        {**WORKER_ENTRY, 'state': 'resting'},
        {**WORKER_ENTRY, 'capacity': 5},
        {**WORKER_ENTRY, 'capacity': [10**30, 1, 0, 4]},
        {**WORKER_ENTRY, 'capacity': [-1, 1, 0, 4]},
        {**WORKER_ENTRY, 'capacity': ['1', 1, 0, 4]},
        {**WORKER_ENTRY, 'capacity': [1, 1, 0, 4, 5]},
    ]
    listed = await list_from(json.dumps({'workers': [*odd, WORKER_ENTRY]}))
    assert isinstance(listed, list)
    assert [worker.id for worker in listed] == ['w1']


async def test_a_list_that_is_nested_too_deeply_is_unavailable() -> None:
    deep = '[' * 50_000 + ']' * 50_000
    listed = await list_from(f'{{"workers":[{deep}]}}')
    assert isinstance(listed, tables.Unavailable)
