"""The demonstration of command local: runs and checks each kind of work."""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from nutmegknot._internal.network import clients
from nutmegknot._internal.schema import caller_pb2
from nutmegknot._internal.schema import common_pb2
from nutmegknot_standins import local_cells

# Time limit of a call, and of waiting until the cell or the service is running.
CALL_TIMEOUT_S = 30.0
# Time after which an instance answers that a request has no outcome yet.
MAX_WAIT_MS = 20_000
BATCH_SIZE = 5
TASK_RUN_MS = 100
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Result of one kind of work; one line of the printed table.

    Attributes:
      work: What was submitted or configured.
      outcome: The outcome, as a short text.
      is_as_promised: Whether the outcome is the one that the product promises
        for this work.
    """

    work: str
    outcome: str
    is_as_promised: bool


def make_submit_call(
    request_id: str, key: str = local_cells.KEY_TEXT, **fields: object
) -> caller_pb2.SubmitCall:
    """Returns the call that submits a request for a short task.

    Args:
      request_id: Identifier of the request.
      key: Key of the team.
      **fields: Fields of the request that differ from the defaults.
    """
    payload = json.dumps(
        {'run_ms': TASK_RUN_MS, 'answer': f'done {request_id}'}
    )
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
    """Submits a request and waits for its final outcome.

    Returns:
      The final outcome, the outcome of the submission if the request was not
      accepted, or Pending if there is none after MAX_WAIT_MS.
    """
    outcome = await client.caller.Submit(call, timeout=CALL_TIMEOUT_S)
    if not outcome.HasField('accepted'):
        return outcome
    wait = caller_pb2.RequestCall(
        key=call.key,
        queue=call.request.queue,
        request_id=call.request.id,
        wait_ms=MAX_WAIT_MS,
    )
    return await client.caller.Wait(wait, timeout=CALL_TIMEOUT_S)


def describe_outcome(outcome: common_pb2.Outcome) -> str:
    """Returns a short text of an outcome."""
    kind = outcome.WhichOneof('kind') or 'nothing'
    if kind == 'refused':
        return f'refused, not run: {outcome.refused.reason}'
    return kind


async def run(addresses: list[str]) -> list[Result]:
    """Waits until the cell is ready, then runs each kind of work once.

    Args:
      addresses: Addresses of three instances of the cell.

    Returns:
      The results, in the order of the printed table.
    """
    all_clients = [clients.connect(address) for address in addresses]
    try:
        for client in all_clients:
            await wait_until_ready(client)
        results = [await _run_batch(all_clients)]
        results += await _run_once(all_clients)
        results.append(
            await _run_one(
                all_clients[1],
                make_submit_call('gang', members=3),
                'all-at-once job of 3',
                lambda outcome: len(outcome.finished.answers) == 3,
            )
        )
        results.append(
            await _run_one(
                all_clients[2],
                make_submit_call('refused', key='demo-key.wrong'),
                'request with a wrong key',
                lambda outcome: outcome.refused.reason == 'key_rejected',
            )
        )
        results.append(await _wait_service(all_clients[0]))
    finally:
        for client in all_clients:
            clients.close(client)
    return results


async def wait_until_ready(client: clients.Client) -> None:
    """Waits until the cell finishes a first request.

    Raises:
      TimeoutError: If it does not within CALL_TIMEOUT_S.
    """
    async with asyncio.timeout(CALL_TIMEOUT_S):
        while True:
            outcome = await submit_and_wait(client, make_submit_call('ready'))
            if outcome.HasField('finished'):
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def _run_one(
    client: clients.Client,
    call: caller_pb2.SubmitCall,
    work: str,
    check: Callable[[common_pb2.Outcome], bool],
) -> Result:
    outcome = await submit_and_wait(client, call)
    return Result(work, describe_outcome(outcome), check(outcome))


async def _run_batch(all_clients: list[clients.Client]) -> Result:
    calls = [
        submit_and_wait(
            all_clients[n % len(all_clients)], make_submit_call(f'batch-{n}')
        )
        for n in range(BATCH_SIZE)
    ]
    outcomes = await asyncio.gather(*calls)
    correct = sum(
        outcome.finished.answers == [f'done batch-{n}'.encode()]
        for n, outcome in enumerate(outcomes)
    )
    text = f'{correct} of {BATCH_SIZE} finished with their own answer'
    return Result(f'batch of {BATCH_SIZE}', text, correct == BATCH_SIZE)


async def _run_once(all_clients: list[clients.Client]) -> list[Result]:
    call = make_submit_call('once', repeatable=False)
    first = await submit_and_wait(all_clients[0], call)
    repeated = await submit_and_wait(all_clients[1], call)
    changed_call = make_submit_call('once', repeatable=False, members=2)
    conflicting = await all_clients[2].caller.Submit(
        changed_call, timeout=CALL_TIMEOUT_S
    )
    return [
        Result(
            'non-repeatable request',
            describe_outcome(first),
            first.HasField('finished'),
        ),
        Result(
            'the same again elsewhere',
            'first outcome'
            if repeated == first
            else describe_outcome(repeated),
            repeated == first,
        ),
        Result(
            'same id, other content',
            describe_outcome(conflicting),
            conflicting.HasField('conflict'),
        ),
    ]


async def _wait_service(client: clients.Client) -> Result:
    running = 0
    for _ in range(int(CALL_TIMEOUT_S / POLL_INTERVAL_S)):
        states = [await _describe_replica(client, n) for n in range(2)]
        running = states.count('running')
        if running == 2:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return Result('service of 2 replicas', f'{running} running', running == 2)


async def _describe_replica(client: clients.Client, number: int) -> str:
    call = caller_pb2.RequestCall(
        key=local_cells.KEY_TEXT,
        queue='batch',
        request_id=f'service/site/{number}@0',
    )
    outcome = await client.caller.Describe(call, timeout=CALL_TIMEOUT_S)
    return outcome.pending.state


def format_table(results: list[Result]) -> str:
    """Returns the results as a table with aligned columns."""
    work_width = max(len(result.work) for result in results)
    outcome_width = max(len(result.outcome) for result in results)
    lines = [
        f'{result.work:<{work_width}}  {result.outcome:<{outcome_width}}  '
        f'{"as promised" if result.is_as_promised else "NOT AS PROMISED"}'
        for result in results
    ]
    return '\n'.join(lines)
