"""Adapter to the platform's workers and to its advice service."""

from collections.abc import Callable
import logging
from typing import Any

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import life_connections
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import runners
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.platform import http_client
from nutmegknot._internal.utils import json_fields

logger = logging.getLogger(__name__)

_OK = 200
_CONFLICT = 409
_MISDIRECTED_REQUEST = 421
# Largest number of ends in one answer of a worker; it lists the others once
# these are acknowledged.
_MAX_LISTED_ENDS = 500
_MAX_PERCENT = 100
_UNHEALTHY_STATUSES = frozenset((429, 503))
_REFUSALS = {
    'fence': runners.Refusal.FENCED,
    'old': runners.Refusal.STALE_RUN,
    'late': runners.Refusal.EXPIRED,
    'room': runners.Refusal.NO_ROOM,
    'ticket': runners.Refusal.NO_TICKET,
}
_END_KINDS = {
    'done': jobs.EndKind.DONE,
    'failed': jobs.EndKind.FAILED,
    'stopped': jobs.EndKind.STOPPED,
    'lapsed': jobs.EndKind.LEASE_EXPIRED,
    'broken': jobs.EndKind.GANG_BROKEN,
    'alone': jobs.EndKind.GANG_INCOMPLETE,
}


# Takes an address and the headers of each call.
OpenPool = Callable[[str, dict[str, str]], life_connections.Pool]


def connect_runners(open_pool: OpenPool) -> runners.Runners:
    """Returns access to the platform's workers.

    Args:
      open_pool: Returns connections to an address, for calls with some headers.
    """
    connections = life_connections.Connections(
        lambda worker: open_pool(
            worker.address, {'Expect-Instance': worker.id}
        ),
        lambda reply: _read_time(reply.fields, 'born'),
    )

    async def disconnect(worker_id: str) -> None:
        await life_connections.disconnect(connections, worker_id)

    return runners.Runners(
        _make_poll(connections),
        _make_start(connections),
        _make_stop(connections),
        _make_throttle(connections),
        disconnect,
    )


def _make_probe(token: int) -> platform_calls.Call:
    """Returns a call that acknowledges nothing and renews no lease."""
    body = {'fencingToken': token, 'lastSeen': 0}
    return platform_calls.Call('POST', '/api/hold', body=body)


async def _send_command(
    connections: life_connections.Connections,
    worker: workers.Worker,
    path: str,
    body: dict[str, Any],
    timeout_ms: int,
) -> runners.CommandResult:
    reply = await life_connections.send_call(
        connections,
        worker,
        platform_calls.Call('POST', path, body=body),
        _make_probe(body['fencingToken']),
        timeout_ms,
    )
    if isinstance(reply, life_connections.OtherLife):
        return runners.Refused(runners.Refusal.OTHER_LIFE)
    return _decode_command_result(reply)


def _make_poll(
    connections: life_connections.Connections,
) -> runners.PollWorker:
    async def poll(
        worker: workers.Worker,
        token: int,
        acknowledged_end: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> runners.PollResult:
        body: dict[str, Any] = {
            'fencingToken': token,
            'lastSeen': acknowledged_end,
        }
        if until_ms is not None:
            body['untilMs'] = until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        call = platform_calls.Call('POST', '/api/hold', body=body)
        probe = _make_probe(token)
        reply: (
            platform_calls.Reply
            | platform_calls.NoAnswer
            | life_connections.OtherLife
        )
        if call == probe:
            reply = await life_connections.send_probe(
                connections, worker, probe, timeout_ms
            )
        else:
            reply = await life_connections.send_call(
                connections, worker, call, probe, timeout_ms
            )
        if isinstance(reply, life_connections.OtherLife):
            reply = reply.reply
        if isinstance(reply, platform_calls.Reply) and reply.status == _OK:
            return _decode_inventory(reply.fields)
        result = _decode_command_result(reply)
        if isinstance(result, runners.Taken):
            return runners.Unanswered('the reply has no inventory')
        return result

    return poll


def _make_start(
    connections: life_connections.Connections,
) -> runners.StartRun:
    async def start(
        worker: workers.Worker, command: runners.StartCommand, timeout_ms: int
    ) -> runners.CommandResult:
        body = {
            'task': jobs.format_task(command.name),
            'run': command.run,
            'spec': command.payload,
            'untilMs': command.until_ms,
            'fencingToken': command.token,
        }
        if command.checkpoint:
            body['checkpoint'] = command.checkpoint
        if command.ticket:
            body['ticket'] = command.ticket
        return await _send_command(
            connections, worker, '/api/run-start', body, timeout_ms
        )

    return start


def _make_stop(
    connections: life_connections.Connections,
) -> runners.StopRun:
    async def stop(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        body = {
            'task': jobs.format_task(name),
            'run': run,
            'fencingToken': token,
        }
        return await _send_command(
            connections, worker, '/api/run-stop', body, timeout_ms
        )

    return stop


def _make_throttle(
    connections: life_connections.Connections,
) -> runners.ThrottleRun:
    async def throttle(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        body = {
            'task': jobs.format_task(name),
            'run': run,
            'percent': percent,
            'fencingToken': token,
        }
        return await _send_command(
            connections, worker, '/api/pace', body, timeout_ms
        )

    return throttle


def _decode_command_result(
    reply: platform_calls.Reply | platform_calls.NoAnswer,
) -> runners.CommandResult:
    if isinstance(reply, platform_calls.NoAnswer):
        if reply.was_sent:
            return runners.Unanswered(reply.detail)
        return runners.Unreached(reply.detail)
    clock_ms = _read_time(reply.fields, 'clockMs')
    if reply.status == _OK:
        return runners.Taken(clock_ms, _read_time(reply.fields, 'born') or 0)
    if reply.status == _MISDIRECTED_REQUEST:
        return runners.Refused(runners.Refusal.OTHER_LIFE, clock_ms)
    if reply.status in _UNHEALTHY_STATUSES:
        return runners.Refused(runners.Refusal.UNHEALTHY, clock_ms)
    if reply.status == _CONFLICT:
        reason = str(reply.fields.get('reason'))
        return runners.Refused(
            _REFUSALS.get(reason, runners.Refusal.INVALID_COMMAND),
            clock_ms,
            reason,
        )
    detail = f'status {reply.status}'
    return runners.Refused(runners.Refusal.INVALID_COMMAND, clock_ms, detail)


def _read_time(fields: dict[str, Any], name: str) -> int | None:
    """Returns a time in ms, or None if there is none that can be read."""
    value = fields.get(name)
    if isinstance(value, int) and 0 <= value <= json_fields.MAX_INTEGER:
        return value
    return None


def _decode_inventory(
    fields: dict[str, Any],
) -> runners.Inventory | runners.Unanswered:
    try:
        runs, unreadable_runs = [], 0
        for row in json_fields.check_list(fields.get('running')):
            run = _decode_run(row)
            if run is None:
                unreadable_runs += 1
            else:
                runs.append(run)
        ends = [
            _decode_end(row)
            for row in json_fields.check_list(fields.get('ended'))
        ]
        return runners.Inventory(
            json_fields.check_integer(
                fields['clockMs'], json_fields.MAX_INTEGER
            ),
            json_fields.check_integer(
                fields.get('born'), json_fields.MAX_INTEGER
            ),
            runs,
            ends,
            unreadable_runs,
            has_more_ends=len(ends) >= _MAX_LISTED_ENDS,
        )
    except json_fields.ERRORS as error:
        return runners.Unanswered(f'malformed inventory: {error!r}')


def _decode_run(row: list[Any]) -> runners.ReportedRun | None:
    """Decodes a run; returns None if it is malformed."""
    try:
        name = jobs.parse_task(row[0])
        if name is None:
            return None
        return runners.ReportedRun(
            name,
            json_fields.check_integer(row[1]),
            json_fields.check_text(row[2]),
            _read_percent(row[3]) if len(row) > 3 else None,
            json_fields.check_number(row[4]) if len(row) > 4 else 0.0,
        )
    except json_fields.ERRORS as error:
        logger.warning('run_unreadable', extra={'why': repr(error)})
        return None


def _read_percent(value: object) -> int | None:
    """Returns a percentage, or None if there is none that can be read."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return int(value) if 0 <= value <= _MAX_PERCENT else None


def _decode_end(row: list[Any]) -> runners.ReportedEnd:
    return runners.ReportedEnd(
        json_fields.check_integer(row[0]),
        jobs.parse_task(row[1]),
        json_fields.check_integer(row[2]),
        _END_KINDS[row[3]],
        json_fields.check_text(row[4]),
    )


def connect_adviser(
    client: http_client.Client, address: str
) -> advisers.Advise:
    """Returns access to the advice service at an address."""

    async def advise(
        stage: str, worker_ids: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        reply = await http_client.send_call(
            client,
            address,
            platform_calls.Call(
                'POST',
                '/api/advise',
                body={'step': stage, 'workers': worker_ids},
            ),
            timeout_ms,
        )
        if isinstance(reply, platform_calls.NoAnswer):
            return advisers.Unadvised(reply.detail)
        if reply.status != _OK:
            return advisers.Unadvised(f'status {reply.status}')
        try:
            tickets = {
                json_fields.check_text(id): json_fields.check_text(ticket)
                for id, ticket in reply.fields['good']
            }
            valid_ms = json_fields.check_integer(reply.fields['validMs'])
        except json_fields.ERRORS as error:
            return advisers.Unadvised(f'malformed reply: {error!r}')
        return advisers.Advised(tickets, valid_ms)

    return advise
