"""The platform's workers, and its service for advice."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import fetches
from nutmegknot._internal.backing import runners
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import client as client_lib

logger = logging.getLogger(__name__)

_OK = 200
_CONFLICT = 409
_MISDIRECTED = 421
_UNHEALTHY = frozenset((429, 503))
_REASONS = {
    'fence': runners.Refusal.FENCED,
    'old': runners.Refusal.OLD,
    'late': runners.Refusal.LATE,
    'room': runners.Refusal.NO_ROOM,
    'ticket': runners.Refusal.NO_TICKET,
}
_KINDS = {
    'done': jobs.EndKind.DONE,
    'failed': jobs.EndKind.FAILED,
    'stopped': jobs.EndKind.STOPPED,
    'lapsed': jobs.EndKind.LAPSED,
    'broken': jobs.EndKind.BROKEN,
    'alone': jobs.EndKind.ALONE,
}


# Worker, path, body, time limit in ms.
_Send = Callable[
    [workers.Worker, str, dict[str, Any], int],
    Awaitable[fetches.Reply | fetches.NoAnswer],
]


def connect(client: client_lib.Client) -> runners.Runners:
    """Returns access to the workers."""

    async def send(
        worker: workers.Worker, path: str, body: dict[str, Any], timeout_ms: int
    ) -> fetches.Reply | fetches.NoAnswer:
        return await client_lib.call(
            client,
            worker.address,
            fetches.Call('POST', path, body=body),
            timeout_ms,
            {'Expect-Instance': worker.id},
        )

    return runners.Runners(
        _make_hold(send), _make_start(send), _make_stop(send), _make_pace(send)
    )


def _make_hold(send: _Send) -> runners.Hold:
    async def hold(
        worker: workers.Worker,
        token: int,
        seen: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> runners.HoldResult:
        body: dict[str, Any] = {'fencingToken': token, 'lastSeen': seen}
        if until_ms is not None:
            body['untilMs'] = until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        reply = await send(worker, '/api/hold', body, timeout_ms)
        if isinstance(reply, fetches.Reply) and reply.status == _OK:
            return _decode_inventory(reply.fields)
        result = _decode_result(reply)
        if isinstance(result, runners.Taken):
            return runners.Unanswered('an answer without an inventory')
        return result

    return hold


def _make_start(send: _Send) -> runners.StartRun:
    async def start(
        worker: workers.Worker, order: runners.Start, timeout_ms: int
    ) -> runners.StartResult:
        body = {
            'task': jobs.format_task(order.name),
            'run': order.run,
            'spec': order.payload,
            'untilMs': order.until_ms,
            'fencingToken': order.token,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        reply = await send(worker, '/api/run-start', body, timeout_ms)
        return _decode_result(reply)

    return start


def _make_stop(send: _Send) -> runners.StopRun:
    async def stop(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        token: int,
        timeout_ms: int,
    ) -> runners.StartResult:
        body = {
            'task': jobs.format_task(name),
            'run': run,
            'fencingToken': token,
        }
        reply = await send(worker, '/api/run-stop', body, timeout_ms)
        return _decode_result(reply)

    return stop


def _make_pace(send: _Send) -> runners.PaceRun:
    async def pace(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> runners.StartResult:
        body = {
            'task': jobs.format_task(name),
            'run': run,
            'percent': percent,
            'fencingToken': token,
        }
        reply = await send(worker, '/api/pace', body, timeout_ms)
        return _decode_result(reply)

    return pace


def _decode_result(
    reply: fetches.Reply | fetches.NoAnswer,
) -> runners.StartResult:
    if isinstance(reply, fetches.NoAnswer):
        if reply.was_sent:
            return runners.Unanswered(reply.detail)
        return runners.Unreached(reply.detail)
    clock = reply.fields.get('clockMs')
    clock_ms = clock if isinstance(clock, int) else None
    if reply.status == _OK:
        return runners.Taken(clock_ms, int(reply.fields.get('born') or 0))
    if reply.status == _MISDIRECTED:
        return runners.Refused(runners.Refusal.OTHER_LIFE, clock_ms)
    if reply.status in _UNHEALTHY:
        return runners.Refused(runners.Refusal.UNHEALTHY, clock_ms)
    if reply.status == _CONFLICT:
        reason = str(reply.fields.get('reason'))
        return runners.Refused(
            _REASONS.get(reason, runners.Refusal.BAD_ORDER), clock_ms, reason
        )
    detail = f'status {reply.status}'
    return runners.Refused(runners.Refusal.BAD_ORDER, clock_ms, detail)


def _decode_inventory(
    fields: dict[str, Any],
) -> runners.Inventory | runners.Unanswered:
    try:
        runs, foreign = [], 0
        for row in fields.get('running') or ():
            name = jobs.parse_task(row[0])
            if name is None:
                foreign += 1
                continue
            load = float(row[4]) if len(row) > 4 and row[4] else 0.0
            runs.append(
                runners.RunRow(name, row[1], row[2] or '', row[3], load)
            )
        ends = [
            runners.EndRow(
                row[0],
                jobs.parse_task(row[1]),
                row[2],
                _KINDS[row[3]],
                row[4] or '',
            )
            for row in fields.get('ended') or ()
        ]
        life = int(fields.get('born') or 0)
        clock_ms = int(fields['clockMs'])
    except (KeyError, IndexError, TypeError, ValueError) as error:
        return runners.Unanswered(f'unreadable inventory: {error!r}')
    return runners.Inventory(clock_ms, life, runs, ends, foreign)


def connect_adviser(client: client_lib.Client, address: str) -> advisers.Advise:
    """Returns access to the service for advice."""

    async def advise(
        stage: str, ids: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        reply = await client_lib.call(
            client,
            address,
            fetches.Call(
                'POST', '/api/advise', body={'step': stage, 'workers': ids}
            ),
            timeout_ms,
        )
        if isinstance(reply, fetches.NoAnswer):
            return advisers.Unadvised(reply.detail)
        if reply.status != _OK:
            return advisers.Unadvised(f'status {reply.status}')
        try:
            tickets = dict(reply.fields['good'])
            valid_ms = int(reply.fields['validMs'])
        except (KeyError, TypeError, ValueError) as error:
            return advisers.Unadvised(f'unreadable: {error!r}')
        return advisers.Advised(tickets, valid_ms)

    return advise
