"""HTTP clients for workers and for their list.

docs/STANDINS.md describes the calls.
"""

import asyncio
import base64
import dataclasses
import functools
import logging
from typing import Any

import aiohttp

from nutmegknot._internal.backing import http_calls
from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib

# Most connections of one instance to one worker. A worker accepts 64, and six
# instances and the processes that replace them may be connected to it at the
# same time.
MAX_CONNECTIONS_PER_WORKER = 4
# Largest amount of a resource that a worker may say to have.
MAX_AMOUNT = 2**31 - 1

logger = logging.getLogger(__name__)


def connect(
    session: aiohttp.ClientSession, url: str, timeout_ms: int
) -> worker_clients.WorkerDirectory:
    """Returns access to the workers that the service at a URL lists.

    Args:
      session: HTTP session for all calls.
      url: URL of the service that lists the workers.
      timeout_ms: Time-out of each call to a worker in ms; for a poll, the time
        that it may wait for events is added.
    """

    cache = _CachedWorkerList()

    async def list_workers(
        list_timeout_ms: int,
    ) -> list[workers.Worker] | tables.Unavailable:
        return await _list_workers(session, url, list_timeout_ms, cache)

    def connect_worker(worker: workers.Worker) -> worker_clients.WorkerClient:
        return _make_worker_client(session, worker.address, timeout_ms)

    return worker_clients.WorkerDirectory(list_workers, connect_worker)


@dataclasses.dataclass(slots=True)
class _CachedWorkerList:
    """The list of workers as last read; it is transferred only when it changed.

    Attributes:
      entity_tag: Entity tag of the list; '' if it has none.
      worker_list: The workers; the same list object while nothing changes.
    """

    entity_tag: str = ''
    worker_list: list[workers.Worker] = dataclasses.field(default_factory=list)


async def _list_workers(
    session: aiohttp.ClientSession,
    url: str,
    timeout_ms: int,
    cache: _CachedWorkerList,
) -> list[workers.Worker] | tables.Unavailable:
    result = await http_calls.get_json_if_changed(
        session, f'{url}/fleet/workers', timeout_ms, cache.entity_tag
    )
    match result:
        case http_calls.NotModified():
            return cache.worker_list
        case http_calls.TaggedObject():
            worker_list = http_calls.decode(_decode_workers, result.fields)
            if isinstance(worker_list, tables.Uncertain):
                return http_calls.to_unavailable(worker_list)
            cache.entity_tag, cache.worker_list = result.entity_tag, worker_list
            return worker_list
        case _:
            return http_calls.to_unavailable(result)


@dataclasses.dataclass(slots=True, frozen=True)
class _Endpoint:
    """How the calls to one worker are made.

    Attributes:
      session: HTTP session for the calls.
      address: URL of the worker.
      timeout_ms: Time-out of each call in ms.
      connection_slots: Limits the connections of this instance to the worker.
      clock: Source of the time at which a call that renews leases is sent.
    """

    session: aiohttp.ClientSession
    address: str
    timeout_ms: int
    connection_slots: asyncio.Semaphore
    clock: clock_lib.Clock


def _make_worker_client(
    session: aiohttp.ClientSession, address: str, timeout_ms: int
) -> worker_clients.WorkerClient:
    connection_slots = asyncio.Semaphore(MAX_CONNECTIONS_PER_WORKER)
    clock = clock_lib.make_system_clock()
    endpoint = _Endpoint(session, address, timeout_ms, connection_slots, clock)
    return worker_clients.WorkerClient(
        claim=functools.partial(_claim, endpoint),
        poll=functools.partial(_poll, endpoint),
        start=functools.partial(_start, endpoint),
        stop=functools.partial(_stop, endpoint),
        throttle=functools.partial(_throttle, endpoint),
    )


async def _call(
    endpoint: _Endpoint, name: str, body: dict[str, Any], extra_ms: int = 0
) -> http_calls.JsonResult | worker_clients.StaleToken:
    async with endpoint.connection_slots:
        reply = await http_calls.call_json(
            endpoint.session,
            'POST',
            f'{endpoint.address}/{name}',
            endpoint.timeout_ms + extra_ms,
            body,
        )
    if not isinstance(reply, dict):
        return reply
    if 'stale' in reply:
        return http_calls.decode(_decode_stale_token, reply)
    if 'unclaimed' in reply:
        return tables.Unavailable(
            f'{endpoint.address}: the worker has not been claimed'
        )
    return reply


async def _claim(
    endpoint: _Endpoint, token: int, partition: str, lease_ms: int
) -> worker_clients.ClaimResult:
    body = {
        'token': token,
        'partition': partition,
        'lease_ms': lease_ms,
        'sent_ms': endpoint.clock.wall_ms(),
    }
    reply = await _call(endpoint, 'claim', body)
    result: worker_clients.ClaimResult | tables.Uncertain
    if isinstance(reply, dict):
        result = http_calls.decode(_decode_claimed, reply)
    else:
        result = reply
    if isinstance(result, tables.Uncertain):
        return http_calls.to_unavailable(result)
    return result


async def _poll(
    endpoint: _Endpoint, token: int, poll: worker_clients.Poll
) -> worker_clients.PollResult:
    body = {
        'token': token,
        'lease_ms': poll.lease_ms,
        'sent_ms': endpoint.clock.wall_ms(),
        'wait_ms': poll.wait_ms,
        'after': poll.after_event,
        'acknowledged': [
            workers.format_task(task) for task in poll.acknowledged
        ],
    }
    reply = await _call(endpoint, 'poll', body, poll.wait_ms)
    result: worker_clients.PollResult | tables.Uncertain
    if isinstance(reply, dict):
        result = http_calls.decode(_decode_polled, reply)
    else:
        result = reply
    if isinstance(result, tables.Uncertain):
        return http_calls.to_unavailable(result)
    return result


async def _start(
    endpoint: _Endpoint, token: int, starts: list[worker_clients.TaskStart]
) -> worker_clients.StartResult:
    body = {'token': token, 'tasks': [_encode_start(start) for start in starts]}
    reply = await _call(endpoint, 'start', body)
    if not isinstance(reply, dict):
        return reply
    results = http_calls.decode(_decode_start_results, reply)
    if isinstance(results, list) and len(results) != len(starts):
        return tables.Uncertain(
            f'{len(results)} results, tasks in the call: {len(starts)}'
        )
    return results


async def _stop(
    endpoint: _Endpoint, token: int, tasks: list[workers.TaskId], grace_ms: int
) -> worker_clients.StopResult:
    task_names = [workers.format_task(task) for task in tasks]
    body = {'token': token, 'tasks': task_names, 'grace_ms': grace_ms}
    reply = await _call(endpoint, 'stop', body)
    return None if isinstance(reply, dict) else reply


async def _throttle(
    endpoint: _Endpoint, token: int, task: workers.TaskId, millicores: int
) -> worker_clients.StopResult:
    body = {
        'token': token,
        'task': workers.format_task(task),
        'millicores': millicores,
    }
    reply = await _call(endpoint, 'throttle', body)
    return None if isinstance(reply, dict) else reply


def _encode_start(start: worker_clients.TaskStart) -> dict[str, Any]:
    return {
        'task': workers.format_task(start.task),
        'team': start.team,
        'size': list(dataclasses.astuple(start.size)),
        'not_after_ms': start.not_after_ms,
        'payload': base64.b64encode(start.payload).decode(),
        'checkpoint': start.checkpoint,
    }


def _decode_stale_token(fields: dict[str, Any]) -> worker_clients.StaleToken:
    return worker_clients.StaleToken(int(fields['stale']))


def _decode_claimed(fields: dict[str, Any]) -> worker_clients.Claimed:
    inventory = [_decode_inventory_entry(item) for item in fields['inventory']]
    return worker_clients.Claimed(
        fields['boot'], inventory, int(fields['event'])
    )


def _decode_start_results(
    fields: dict[str, Any],
) -> list[worker_clients.Started | worker_clients.StartRefused]:
    return [
        worker_clients.StartRefused(str(reason))
        if reason
        else worker_clients.Started()
        for reason in fields['results']
    ]


def _decode_workers(fields: dict[str, Any]) -> list[workers.Worker]:
    """Decodes the list of workers; leaves out malformed entries."""
    found = []
    for item in fields['workers']:
        try:
            found.append(_decode_worker(item))
        except http_calls.DECODE_ERRORS as error:
            logger.warning('worker_entry_unusable', extra={'why': repr(error)})
    return found


def _decode_worker(item: dict[str, Any]) -> workers.Worker:
    names = ('id', 'region', 'domain', 'rack', 'address')
    texts = {name: item[name] for name in names}
    if not all(isinstance(text, str) for text in texts.values()):
        raise TypeError('a name is no text')
    for text in texts.values():
        text.encode()
    capacity = item['capacity']
    if not all(
        isinstance(amount, int) and 0 <= amount <= MAX_AMOUNT
        for amount in capacity
    ):
        raise ValueError('capacity out of range')
    return workers.Worker(
        **texts,
        capacity=resources.Resources(*capacity),
        state=workers.TargetState(item['state']),
    )


def _decode_inventory_entry(item: dict[str, Any]) -> workers.InventoryEntry:
    return workers.InventoryEntry(
        task=workers.parse_task(item['task']),
        team=item['team'],
        size=resources.Resources(*item['size']),
        state=workers.TaskState(item['state']),
        answer=base64.b64decode(item['answer']),
        detail=item['detail'],
    )


def _decode_polled(fields: dict[str, Any]) -> worker_clients.Polled:
    return worker_clients.Polled(
        ended=[_decode_inventory_entry(item) for item in fields['ended']],
        usage=[
            worker_clients.Usage(
                workers.parse_task(task), resources.Resources(*used), age_ms
            )
            for task, used, age_ms in fields['usage']
        ],
        leaving=bool(fields['leaving']),
        last_event=int(fields['event']),
    )
