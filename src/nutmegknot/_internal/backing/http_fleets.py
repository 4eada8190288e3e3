"""Adapter to workers over HTTP; docs/STANDINS.md has their calls."""

import asyncio
import base64
import dataclasses
import functools
from typing import Any

import aiohttp

from nutmegknot._internal.backing import fleets
from nutmegknot._internal.backing import http_calls
from nutmegknot._internal.backing import tables
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib

# Connections of one instance to one worker. A worker takes 64, and six
# instances and their successors may hold some at the same time.
MAX_CONNECTIONS = 4


def connect(
    session: aiohttp.ClientSession, url: str, timeout_ms: int
) -> fleets.Fleet:
    """Returns access to the list of workers at url.

    Args:
      session: Carries the calls.
      url: Where the list is.
      timeout_ms: Time limit of each call to a worker in ms, beyond the time
        that a poll may wait.
    """

    listing = _Listing()

    async def list_workers(
        list_timeout_ms: int,
    ) -> list[workers.Worker] | tables.Unavailable:
        return await _list_workers(session, url, list_timeout_ms, listing)

    def connect_target(worker: workers.Worker) -> fleets.Target:
        return _make_target(session, worker.address, timeout_ms)

    return fleets.Fleet(list_workers, connect_target)


@dataclasses.dataclass(slots=True)
class _Listing:
    """The list as last read; it is transferred again only once it changes.

    Attributes:
      tag: Its entity tag, or ''.
      listed: The workers; the same object as long as nothing changes.
    """

    tag: str = ''
    listed: list[workers.Worker] = dataclasses.field(default_factory=list)


async def _list_workers(
    session: aiohttp.ClientSession,
    url: str,
    timeout_ms: int,
    listing: _Listing,
) -> list[workers.Worker] | tables.Unavailable:
    result = await http_calls.fetch(
        session, f'{url}/fleet/workers', timeout_ms, listing.tag
    )
    match result:
        case http_calls.Unchanged():
            return listing.listed
        case http_calls.Fetched():
            listed = http_calls.decode(_read_workers, result.answer)
            if isinstance(listed, tables.Uncertain):
                return http_calls.weaken(listed)
            listing.tag, listing.listed = result.tag, listed
            return listed
        case _:
            return http_calls.weaken(result)


@dataclasses.dataclass(slots=True, frozen=True)
class _Link:
    """Where the calls to one worker go.

    Attributes:
      session: Carries the calls.
      address: URL of the worker.
      timeout_ms: Time limit of each call in ms.
      places: Bounds the connections of this instance to the worker.
      clock: Tells workers when a call that renews leases was sent.
    """

    session: aiohttp.ClientSession
    address: str
    timeout_ms: int
    places: asyncio.Semaphore
    clock: clock_lib.Clock


def _make_target(
    session: aiohttp.ClientSession, address: str, timeout_ms: int
) -> fleets.Target:
    places = asyncio.Semaphore(MAX_CONNECTIONS)
    clock = clock_lib.make_system_clock()
    link = _Link(session, address, timeout_ms, places, clock)
    return fleets.Target(
        claim=functools.partial(_claim, link),
        poll=functools.partial(_poll, link),
        start=functools.partial(_start, link),
        stop=functools.partial(_stop, link),
        throttle=functools.partial(_throttle, link),
    )


async def _call(
    link: _Link, name: str, body: dict[str, Any], extra_ms: int = 0
) -> http_calls.JsonResult | fleets.StaleToken:
    async with link.places:
        answer = await http_calls.call_json(
            link.session,
            'POST',
            f'{link.address}/{name}',
            link.timeout_ms + extra_ms,
            body,
        )
    if not isinstance(answer, dict):
        return answer
    if 'stale' in answer:
        return http_calls.decode(_read_stale, answer)
    if 'unclaimed' in answer:
        return tables.Unavailable(f'{link.address}: the worker is unclaimed')
    return answer


async def _claim(
    link: _Link, token: int, partition: str, lease_ms: int
) -> fleets.ClaimResult:
    body = {
        'token': token,
        'partition': partition,
        'lease_ms': lease_ms,
        'sent_ms': link.clock.wall_ms(),
    }
    answer = await _call(link, 'claim', body)
    result: fleets.ClaimResult | tables.Uncertain
    if isinstance(answer, dict):
        result = http_calls.decode(_read_claimed, answer)
    else:
        result = answer
    if isinstance(result, tables.Uncertain):
        return http_calls.weaken(result)
    return result


async def _poll(
    link: _Link, token: int, news: fleets.Poll
) -> fleets.PollResult:
    body = {
        'token': token,
        'lease_ms': news.lease_ms,
        'sent_ms': link.clock.wall_ms(),
        'wait_ms': news.wait_ms,
        'after': news.after,
        'acknowledged': [
            workers.format_task(task) for task in news.acknowledged
        ],
    }
    answer = await _call(link, 'poll', body, news.wait_ms)
    result: fleets.PollResult | tables.Uncertain
    if isinstance(answer, dict):
        result = http_calls.decode(_read_polled, answer)
    else:
        result = answer
    if isinstance(result, tables.Uncertain):
        return http_calls.weaken(result)
    return result


async def _start(
    link: _Link, token: int, orders: list[fleets.Start]
) -> fleets.StartResult:
    body = {'token': token, 'tasks': [_show_start(one) for one in orders]}
    answer = await _call(link, 'start', body)
    if not isinstance(answer, dict):
        return answer
    results = http_calls.decode(_read_started, answer)
    if isinstance(results, list) and len(results) != len(orders):
        return tables.Uncertain(f'{len(results)} results for {len(orders)}')
    return results


async def _stop(
    link: _Link, token: int, tasks: list[workers.TaskId], grace_ms: int
) -> fleets.StopResult:
    texts = [workers.format_task(task) for task in tasks]
    body = {'token': token, 'tasks': texts, 'grace_ms': grace_ms}
    answer = await _call(link, 'stop', body)
    return None if isinstance(answer, dict) else answer


async def _throttle(
    link: _Link, token: int, task: workers.TaskId, millicores: int
) -> fleets.StopResult:
    body = {
        'token': token,
        'task': workers.format_task(task),
        'millicores': millicores,
    }
    answer = await _call(link, 'throttle', body)
    return None if isinstance(answer, dict) else answer


def _show_start(order: fleets.Start) -> dict[str, Any]:
    return {
        'task': workers.format_task(order.task),
        'team': order.team,
        'size': list(dataclasses.astuple(order.size)),
        'not_after_ms': order.not_after_ms,
        'payload': base64.b64encode(order.payload).decode(),
        'checkpoint': order.checkpoint,
    }


def _read_stale(answer: dict[str, Any]) -> fleets.StaleToken:
    return fleets.StaleToken(int(answer['stale']))


def _read_claimed(answer: dict[str, Any]) -> fleets.Claimed:
    inventory = [_read_entry(item) for item in answer['inventory']]
    return fleets.Claimed(answer['boot'], inventory, int(answer['event']))


def _read_started(
    answer: dict[str, Any],
) -> list[fleets.Started | fleets.StartRefused]:
    return [
        fleets.StartRefused(str(reason)) if reason else fleets.Started()
        for reason in answer['results']
    ]


def _read_workers(answer: dict[str, Any]) -> list[workers.Worker]:
    return [_read_worker(item) for item in answer['workers']]


def _read_worker(item: dict[str, Any]) -> workers.Worker:
    return workers.Worker(
        id=item['id'],
        region=item['region'],
        domain=item['domain'],
        rack=item['rack'],
        capacity=resources.Resources(*item['capacity']),
        address=item['address'],
        state=workers.TargetState(item['state']),
    )


def _read_entry(item: dict[str, Any]) -> workers.InventoryEntry:
    return workers.InventoryEntry(
        task=workers.parse_task(item['task']),
        team=item['team'],
        size=resources.Resources(*item['size']),
        state=workers.TaskState(item['state']),
        answer=base64.b64decode(item['answer']),
        detail=item['detail'],
    )


def _read_polled(answer: dict[str, Any]) -> fleets.Polled:
    return fleets.Polled(
        ended=[_read_entry(item) for item in answer['ended']],
        usage=[
            fleets.Usage(
                workers.parse_task(task), resources.Resources(*used), age_ms
            )
            for task, used, age_ms in answer['usage']
        ],
        leaving=bool(answer['leaving']),
        event=int(answer['event']),
    )
