"""The demonstration of command local."""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot_standins import cells

CALL_S = 30.0
WAIT_MS = 20_000
BATCH = 5
RUN_MS = 100
STEP_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One line of the table.

    Attributes:
      work: What was asked for.
      outcome: What came of it.
      is_as_promised: Whether it is as promised.
    """

    work: str
    outcome: str
    is_as_promised: bool


def make_call(
    request_id: str, key: str = cells.KEY_TEXT, **fields: object
) -> caller_pb2.SubmitCall:
    """Returns a submission of a short task."""
    payload = json.dumps({'run_ms': RUN_MS, 'answer': f'done {request_id}'})
    req = common_pb2.Request(
        id=request_id,
        queue='batch',
        size=common_pb2.Resources(millicores=500, memory_mib=256, slots=1),
        members=1,
        priority=common_pb2.PRIORITY_CLASS_NORMAL,
        repeatable=True,
        payload=payload.encode(),
    )
    req.MergeFrom(common_pb2.Request(**fields))  # type: ignore[arg-type]
    if 'repeatable' in fields:
        req.repeatable = bool(fields['repeatable'])
    return caller_pb2.SubmitCall(key=key, request=req)


async def submit_and_wait(
    client: clients.Client, call: caller_pb2.SubmitCall
) -> common_pb2.Outcome:
    """Submits a request and waits for its final outcome."""
    outcome = await client.caller.Submit(call, timeout=CALL_S)
    if not outcome.HasField('accepted'):
        return outcome
    wait = caller_pb2.RequestCall(
        key=call.key,
        queue=call.request.queue,
        request_id=call.request.id,
        wait_ms=WAIT_MS,
    )
    return await client.caller.Wait(wait, timeout=CALL_S)


def describe(outcome: common_pb2.Outcome) -> str:
    """Returns a short text of an outcome."""
    kind = outcome.WhichOneof('kind') or 'nothing'
    if kind == 'refused':
        return f'refused, not run: {outcome.refused.reason}'
    return kind


async def run(addresses: list[str]) -> list[Row]:
    """Runs each kind of work once, and waits until the cell is ready first."""
    all_clients = [clients.connect(address) for address in addresses]
    try:
        for client in all_clients:
            await wait_ready(client)
        rows = [await _run_batch(all_clients)]
        rows += await _run_once(all_clients)
        rows.append(
            await _run_one(
                all_clients[1],
                make_call('gang', members=3),
                'all-at-once job of 3',
                lambda o: len(o.finished.answers) == 3,
            )
        )
        rows.append(
            await _run_one(
                all_clients[2],
                make_call('refused', key='demo-key.wrong'),
                'request with a wrong key',
                lambda o: o.refused.reason == 'key_rejected',
            )
        )
        rows.append(await _wait_service(all_clients[0]))
    finally:
        for client in all_clients:
            clients.close(client)
    return rows


async def wait_ready(client: clients.Client) -> None:
    """Waits until the cell finishes a first request."""
    async with asyncio.timeout(CALL_S):
        while True:
            outcome = await submit_and_wait(client, make_call('ready'))
            if outcome.HasField('finished'):
                return
            await asyncio.sleep(STEP_S)


async def _run_one(
    client: clients.Client,
    call: caller_pb2.SubmitCall,
    work: str,
    check: Callable[[common_pb2.Outcome], bool],
) -> Row:
    outcome = await submit_and_wait(client, call)
    return Row(work, describe(outcome), check(outcome))


async def _run_batch(all_clients: list[clients.Client]) -> Row:
    calls = [
        submit_and_wait(
            all_clients[n % len(all_clients)], make_call(f'batch-{n}')
        )
        for n in range(BATCH)
    ]
    results = await asyncio.gather(*calls)
    whole = sum(
        r.finished.answers == [f'done batch-{n}'.encode()]
        for n, r in enumerate(results)
    )
    text = f'{whole} of {BATCH} finished with their own answer'
    return Row(f'batch of {BATCH}', text, whole == BATCH)


async def _run_once(all_clients: list[clients.Client]) -> list[Row]:
    call = make_call('once', repeatable=False)
    first = await submit_and_wait(all_clients[0], call)
    again = await submit_and_wait(all_clients[1], call)
    changed = make_call('once', repeatable=False, members=2)
    other = await all_clients[2].caller.Submit(changed, timeout=CALL_S)
    return [
        Row(
            'non-repeatable request',
            describe(first),
            first.HasField('finished'),
        ),
        Row(
            'the same again elsewhere',
            'first outcome' if again == first else describe(again),
            again == first,
        ),
        Row(
            'same id, other content',
            describe(other),
            other.HasField('conflict'),
        ),
    ]


async def _wait_service(client: clients.Client) -> Row:
    running = 0
    for _ in range(int(CALL_S / STEP_S)):
        states = [await _describe_replica(client, n) for n in range(2)]
        running = states.count('running')
        if running == 2:
            break
        await asyncio.sleep(STEP_S)
    return Row('service of 2 replicas', f'{running} running', running == 2)


async def _describe_replica(client: clients.Client, number: int) -> str:
    call = caller_pb2.RequestCall(
        key=cells.KEY_TEXT,
        queue='batch',
        request_id=f'service/site/{number}@0',
    )
    outcome = await client.caller.Describe(call, timeout=CALL_S)
    return outcome.pending.state


def format_table(rows: list[Row]) -> str:
    """Returns the rows as an aligned table."""
    width = max(len(row.work) for row in rows)
    inner = max(len(row.outcome) for row in rows)
    lines = [
        f'{row.work:<{width}}  {row.outcome:<{inner}}  '
        f'{"as promised" if row.is_as_promised else "NOT AS PROMISED"}'
        for row in rows
    ]
    return '\n'.join(lines)
