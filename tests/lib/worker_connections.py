"""In-process calls to a simulated worker over a connection with faults."""

import base64
import dataclasses
import functools
from typing import Any

from nutmegknot._internal.backing import tables
from nutmegknot._internal.backing import worker_clients
from nutmegknot._internal.models import workers
from nutmegknot_standins import machines


@dataclasses.dataclass(slots=True)
class FaultyConnection:
    """The connection to one worker.

    Attributes:
      machine: The worker.
      fault: 'cut' (calls do not arrive), 'deaf' (calls are executed and their
        answers are lost) or '' (no fault).
    """

    machine: machines.Machine
    fault: str = ''


Answer = (
    dict[str, Any]
    | tables.Unavailable
    | tables.Uncertain
    | worker_clients.StaleToken
)


def connect(connection: FaultyConnection) -> worker_clients.WorkerClient:
    """Returns a client that calls a worker over a connection."""
    return worker_clients.WorkerClient(
        claim=functools.partial(_claim, connection),
        poll=functools.partial(_poll, connection),
        start=functools.partial(_start, connection),
        stop=functools.partial(_stop, connection),
        throttle=_throttle,
    )


async def _claim(
    connection: FaultyConnection, token: int, partition: str, lease_ms: int
) -> worker_clients.ClaimResult:
    answer = await _call(connection, 'claim', token, lease_ms=lease_ms)
    if not isinstance(answer, dict):
        return _make_unavailable(answer)
    machine = connection.machine
    inventory = _copy_entries(machine, -1)
    return worker_clients.Claimed(machine.boot, inventory, answer['event'])


async def _poll(
    connection: FaultyConnection, token: int, request: worker_clients.Poll
) -> worker_clients.PollResult:
    answer = await _call(
        connection,
        'poll',
        token,
        lease_ms=request.lease_ms,
        wait_ms=0,
        after=request.after_event,
        acknowledged=[workers.format_task(t) for t in request.acknowledged],
    )
    if not isinstance(answer, dict):
        return _make_unavailable(answer)
    ended = _copy_entries(connection.machine, request.after_event)
    return worker_clients.Polled(ended, [], False, answer['event'])


def _copy_entries(
    machine: machines.Machine, after: int
) -> list[workers.InventoryEntry]:
    return [
        dataclasses.replace(task.entry)
        for task in machine.tasks.values()
        if task.event > after
    ]


async def _start(
    connection: FaultyConnection,
    token: int,
    starts: list[worker_clients.TaskStart],
) -> worker_clients.StartResult:
    shown = [_show_start(start) for start in starts]
    answer = await _call(connection, 'start', token, tasks=shown)
    if not isinstance(answer, dict):
        return answer
    return [
        worker_clients.StartRefused(reason)
        if reason
        else worker_clients.Started()
        for reason in answer['results']
    ]


async def _stop(
    connection: FaultyConnection,
    token: int,
    tasks: list[workers.TaskId],
    grace_ms: int,
) -> worker_clients.StopResult:
    task_ids = [workers.format_task(task) for task in tasks]
    answer = await _call(
        connection, 'stop', token, tasks=task_ids, grace_ms=grace_ms
    )
    return None if isinstance(answer, dict) else answer


async def _throttle(
    token: int, task: workers.TaskId, millicores: int
) -> worker_clients.StopResult:
    return None


async def _call(
    connection: FaultyConnection, name: str, token: int, **body: object
) -> Answer:
    if connection.fault == 'cut':
        return tables.Unavailable('cut')
    sent_ms = connection.machine.clock.wall_ms()
    body |= {'token': token, 'sent_ms': sent_ms}
    answer = await machines.CALLS[name](connection.machine, body)
    if connection.fault == 'deaf':
        return tables.Uncertain('deaf')
    if 'stale' in answer:
        return worker_clients.StaleToken(answer['stale'])
    if 'unclaimed' in answer:
        return tables.Unavailable('unclaimed')
    return answer


def _make_unavailable(
    answer: tables.Unavailable | tables.Uncertain | worker_clients.StaleToken,
) -> tables.Unavailable | worker_clients.StaleToken:
    if isinstance(answer, tables.Uncertain):
        return tables.Unavailable(answer.detail)
    return answer


def _show_start(start: worker_clients.TaskStart) -> dict[str, Any]:
    return {
        'task': workers.format_task(start.task),
        'team': start.team,
        'size': list(dataclasses.astuple(start.size)),
        'not_after_ms': start.not_after_ms,
        'payload': base64.b64encode(start.payload).decode(),
        'checkpoint': start.checkpoint,
    }
