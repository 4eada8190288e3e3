"""Graceful stops of instances under load, in one local cell."""

import asyncio
import json

from nutmegknot._internal.commands import demonstration
from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot_standins import local_cells

RUN_MS = 3_000
REQUEST_COUNT = 60


async def start_cell(instances: int) -> local_cells.LocalCell:
    cell = await local_cells.start(instances=instances, workers=6)
    assert isinstance(cell, local_cells.LocalCell)
    return cell


async def wait_while_pending(
    clients_left: list[clients.Client], call: caller_pb2.SubmitCall
) -> common_pb2.Outcome:
    """Waits for an outcome as a caller does.

    After a pending outcome it waits again, at the first instance that is left.
    """
    wait = caller_pb2.RequestCall(
        key=call.key,
        queue=call.request.queue,
        request_id=call.request.id,
        wait_ms=20_000,
    )
    while True:
        client = clients_left[0]
        outcome = await client.caller.Wait(wait, timeout=25.0)
        if not outcome.HasField('pending'):
            return outcome


async def test_held_wait_ends_when_a_stop_begins() -> None:
    cell = await start_cell(2)
    first = clients.connect(cell.addresses[0])
    second = clients.connect(cell.addresses[1])
    call = demonstration.make_submit_call('held')
    payload = {'run_ms': RUN_MS, 'answer': 'done held'}
    call.request.payload = json.dumps(payload).encode()
    try:
        await demonstration.wait_until_ready(first)
        await demonstration.wait_until_ready(second)
        accepted = await first.caller.Submit(call, timeout=20.0)
        assert accepted.HasField('accepted')
        wait = caller_pb2.RequestCall(
            key=call.key, queue='batch', request_id='held', wait_ms=20_000
        )
        held = asyncio.create_task(first.caller.Wait(wait, timeout=25.0))
        await second.caller.Describe(wait, timeout=20.0)
        cell.stop_events[0].set()
        assert (await held).HasField('pending')
        outcome = await wait_while_pending([second], call)
        await cell.instance_tasks[0]
    finally:
        clients.close(first)
        clients.close(second)
        await local_cells.stop(cell)
    assert outcome.finished.answers == [b'done held']


async def test_stops_one_after_the_other_cut_off_nothing() -> None:
    cell = await start_cell(3)
    opened = [clients.connect(address) for address in cell.addresses]
    # Callers use only instances that are ready, as behind a load balancer.
    ready = list(opened)
    try:
        for client in opened:
            await demonstration.wait_until_ready(client)
        calls = [
            demonstration.make_submit_call(f'load-{n}')
            for n in range(REQUEST_COUNT)
        ]
        outcomes = [
            asyncio.create_task(_run_call(ready, call)) for call in calls
        ]
        for number in range(2):
            client = ready.pop(0)
            await client.caller.Submit(calls[number], timeout=20.0)
            cell.stop_events[number].set()
            await cell.instance_tasks[number]
        answers = [(await one).finished.answers for one in outcomes]
    finally:
        for client in opened:
            clients.close(client)
        await local_cells.stop(cell)
    assert answers == [
        [f'done load-{n}'.encode()] for n in range(REQUEST_COUNT)
    ]
    assert cell.platform.history.violations == []


async def _run_call(
    ready: list[clients.Client], call: caller_pb2.SubmitCall
) -> common_pb2.Outcome:
    outcome = await ready[0].caller.Submit(call, timeout=20.0)
    assert outcome.HasField('accepted'), outcome
    return await wait_while_pending(ready, call)
