"""Stand-in workers: they run tasks under leases and record violations.

A task's payload is JSON, read by payloads.py.
"""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import uuid

from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot_standins import books
from nutmegknot_standins import control_pb2
from nutmegknot_standins import payloads

MAX_CONNECTIONS = 64


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that a worker runs or remembers.

    Attributes:
      entry: What the inventory shows.
      payload: What it does.
      lease_until_ms: Monotonic instant in ms at which it is stopped.
      began_ms: Monotonic instant in ms of its start.
      event: Number of the event of its end, 0 while it runs.
      timer: Ends the run.
      throttle_millicores: Most that it may use, or 0.
    """

    entry: workers.InventoryEntry
    payload: payloads.Payload
    lease_until_ms: int
    began_ms: int
    event: int = 0
    timer: asyncio.TimerHandle | None = None
    throttle_millicores: int = 0


@dataclasses.dataclass(slots=True)
class Machine:
    """A stand-in worker.

    Attributes:
      worker: What the platform lists.
      clock: Source of time.
      book: Records of all machines.
      boot: Identifier of the present run.
      event: Number of the newest event.
      token: Highest fencing token seen.
      lease_ms: Length of the leases of new tasks in ms.
      usage_lag_ms: Age of its usage reports in ms.
      tasks: Running and not yet acknowledged tasks by text id.
      refused: Text ids that were told to stop before they were started.
      changed: Set when there is news for a poll.
      connections: Calls in progress.
      leaving_ms: Wall clock instant in ms since when it leaves, or 0.
      is_down: Whether it answers no call.
      fails_all: Whether it fails every task.
      started: Notified when a task starts, as its lease may lapse first.
      must_claim: Whether it has begun a new run and awaits a claim.
    """

    worker: workers.Worker
    clock: clock_lib.Clock
    book: books.Book
    boot: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    event: int = 0
    token: int = 0
    lease_ms: int = 10_000
    usage_lag_ms: int = 1_000
    tasks: dict[str, RunningTask] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    connections: int = 0
    leaving_ms: int = 0
    is_down: bool = False
    fails_all: bool = False
    must_claim: bool = False
    started: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def list_running(machine: Machine) -> dict[str, RunningTask]:
    """Returns the tasks that run, by text id."""
    return {
        text: task
        for text, task in machine.tasks.items()
        if task.entry.state is workers.TaskState.RUNNING
    }


def compute_used(machine: Machine) -> resources.Resources:
    """Returns the resources held by running tasks."""
    used = resources.NOTHING
    for task in list_running(machine).values():
        used = resources.add(used, task.entry.size)
    return used


async def claim(machine: Machine, call: dict) -> dict:
    """Takes a token and shows the inventory."""
    machine.must_claim = machine.must_claim and call['token'] < machine.token
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    _renew(machine, call)
    machine.changed.set()
    inventory = [show_entry(t.entry) for t in machine.tasks.values()]
    return {
        'boot': machine.boot,
        'inventory': inventory,
        'event': machine.event,
    }


async def poll(machine: Machine, call: dict) -> dict:
    """Renews leases, forgets acknowledged tasks and waits for news."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    if call['lease_ms']:
        _renew(machine, call)
    for text in call['acknowledged']:
        task = machine.tasks.get(text)
        if task and task.entry.state is not workers.TaskState.RUNNING:
            del machine.tasks[text]
    machine.changed.clear()
    if machine.event <= call['after']:
        await _wait_changed(machine, call['wait_ms'])
    if machine.token > call['token'] or machine.must_claim:
        return _check_token(machine, call['token'])
    return {
        'boot': machine.boot,
        'ended': [
            show_entry(entry) for entry in _list_ended(machine, call['after'])
        ],
        'usage': _list_usage(machine),
        'leaving': machine.worker.state is not workers.TargetState.LIVE,
        'event': machine.event,
    }


async def start(machine: Machine, call: dict) -> dict:
    """Starts tasks; each order gets '' or the reason of its refusal."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    return {'results': [_start_one(machine, one) for one in call['tasks']]}


async def stop(machine: Machine, call: dict) -> dict:
    """Stops tasks; each has its grace time to checkpoint or to finish."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    for text in call['tasks']:
        task = machine.tasks.get(text)
        if task is None:
            machine.refused.add(text)
        elif task.entry.state is workers.TaskState.RUNNING:
            _stop_one(machine, text, task, call['grace_ms'])
    return {}


async def throttle(machine: Machine, call: dict) -> dict:
    """Bounds what a task uses from now on."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    task = machine.tasks.get(call['task'])
    if task is not None:
        task.throttle_millicores = call['millicores']
    return {}


def _check_token(machine: Machine, token: int) -> dict:
    if token < machine.token:
        return {'stale': machine.token}
    if machine.must_claim:
        return {'unclaimed': machine.boot}
    machine.token = token
    return {}


def _renew(machine: Machine, call: dict) -> None:
    """Renews all leases as of the sending of the call.

    A call that was held up on its way renews only what is left of its lease:
    its sender counts from the sending, and may have given the tasks up.
    """
    machine.lease_ms = call['lease_ms']
    now_ms = machine.clock.wall_ms()
    age_ms = max(0, now_ms - call.get('sent_ms', now_ms))
    until_ms = machine.clock.now_ms() + machine.lease_ms - age_ms
    for task in machine.tasks.values():
        task.lease_until_ms = max(task.lease_until_ms, until_ms)


async def _wait_changed(machine: Machine, wait_ms: int) -> None:
    try:
        async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
            await machine.changed.wait()
    except TimeoutError:
        pass


def _start_one(machine: Machine, order: dict) -> str:
    text = order['task']
    if text in machine.tasks:
        return ''
    reason = _find_refusal(machine, order)
    if reason:
        return reason
    payload = payloads.read(base64.b64decode(order['payload']))
    entry = workers.InventoryEntry(
        workers.parse_task(text),
        order['team'],
        resources.Resources(*order['size']),
        workers.TaskState.RUNNING,
    )
    now_ms = machine.clock.now_ms()
    task = RunningTask(entry, payload, now_ms + machine.lease_ms, now_ms)
    machine.tasks[text] = task
    books.add_start(machine.book, machine.worker, entry, payload.once)
    signals.notify(machine.started)
    if payload.run_ms is not None or machine.fails_all:
        done_ms = machine.book.checkpoints.get(order.get('checkpoint', ''), 0)
        left_ms = max(0, (payload.run_ms or 0) - done_ms)
        _end_later(machine, text, 0 if machine.fails_all else left_ms)
    return ''


def _find_refusal(machine: Machine, order: dict) -> str:
    if order['task'] in machine.refused:
        return 'stopped'
    if machine.clock.wall_ms() > order['not_after_ms']:
        return 'late'
    if machine.worker.state is not workers.TargetState.LIVE:
        _judge_leaving(machine, order['task'])
        return 'leaving'
    size = resources.Resources(*order['size'])
    used = resources.add(compute_used(machine), size)
    if not resources.fits(used, machine.worker.capacity):
        kind = control_pb2.VIOLATION_KIND_OVER_CAPACITY
        task = workers.parse_task(order['task'])
        books.add_violation(machine.book, kind, machine.worker, task)
        return 'capacity'
    return ''


def _judge_leaving(machine: Machine, text: str) -> None:
    if machine.clock.wall_ms() > machine.leaving_ms + books.GRACE_MS:
        kind = control_pb2.VIOLATION_KIND_LEAVING
        task = workers.parse_task(text)
        books.add_violation(machine.book, kind, machine.worker, task)


def _end_later(machine: Machine, text: str, wait_ms: int) -> None:
    loop = asyncio.get_running_loop()
    seconds = clock_lib.to_seconds(wait_ms)
    machine.tasks[text].timer = loop.call_later(seconds, _finish, machine, text)


def _finish(machine: Machine, text: str) -> None:
    payload = machine.tasks[text].payload
    if payload.fail or machine.fails_all:
        state, detail = workers.TaskState.FAILED, 'told to fail'
    else:
        state, detail = workers.TaskState.FINISHED, ''
    end(machine, text, state, answer=payload.answer.encode(), detail=detail)


def _stop_one(
    machine: Machine, text: str, task: RunningTask, grace_ms: int
) -> None:
    """Stops a task after the time it needs, at most the grace time."""
    loop = asyncio.get_running_loop()
    wait_ms = min(grace_ms, task.payload.stop_ms)
    seconds = clock_lib.to_seconds(wait_ms)
    loop.call_later(seconds, _finish_stop, machine, text, task)


def _finish_stop(machine: Machine, text: str, task: RunningTask) -> None:
    is_same = machine.tasks.get(text) is task
    if not is_same or task.entry.state is not workers.TaskState.RUNNING:
        return
    if task.payload.checkpoint:
        done_ms = machine.clock.now_ms() - task.began_ms
        machine.book.checkpoints[text] = done_ms
    end(machine, text, workers.TaskState.STOPPED, detail='stopped')


def end(
    machine: Machine,
    text: str,
    state: workers.TaskState,
    answer: bytes = b'',
    detail: str = '',
) -> None:
    """Ends the run of a task."""
    task = machine.tasks[text]
    if task.timer is not None:
        task.timer.cancel()
    machine.event += 1
    task.event = machine.event
    task.entry.state = state
    task.entry.answer = answer
    task.entry.detail = detail
    books.add_end(machine.book, machine.worker, task.entry)
    machine.changed.set()


def _list_ended(machine: Machine, after: int) -> list[workers.InventoryEntry]:
    return [task.entry for task in machine.tasks.values() if task.event > after]


def _list_usage(machine: Machine) -> list[list]:
    seen_ms = machine.clock.now_ms() - machine.usage_lag_ms
    return [
        [
            text,
            list(dataclasses.astuple(_get_usage(task))),
            machine.usage_lag_ms,
        ]
        for text, task in list_running(machine).items()
        if task.began_ms <= seen_ms
    ]


def _get_usage(task: RunningTask) -> resources.Resources:
    used = payloads.compute_usage(task.payload, task.entry.size)
    bound = task.throttle_millicores
    if not bound:
        return used
    return dataclasses.replace(used, millicores=min(used.millicores, bound))


def show_entry(entry: workers.InventoryEntry) -> dict:
    """Returns an inventory entry as JSON data."""
    return {
        'task': workers.format_task(entry.task),
        'team': entry.team,
        'size': list(dataclasses.astuple(entry.size)),
        'state': entry.state.value,
        'answer': base64.b64encode(entry.answer).decode(),
        'detail': entry.detail,
    }


def stop_lapsed(machine: Machine) -> int:
    """Stops tasks whose lease has lapsed; returns ms until the next lapse."""
    now_ms = machine.clock.now_ms()
    next_ms = now_ms + machine.lease_ms
    for text, task in list_running(machine).items():
        if task.lease_until_ms <= now_ms:
            end(machine, text, workers.TaskState.STOPPED, detail='lapsed')
        else:
            next_ms = min(next_ms, task.lease_until_ms)
    return max(1, next_ms - now_ms)


async def watch_leases(machine: Machine) -> None:
    """Stops tasks as their leases lapse, until cancelled."""
    while True:
        count = machine.started.count
        wait_ms = stop_lapsed(machine)
        await signals.wait_at_most(machine.started, count, wait_ms)


CALLS: dict[str, Callable] = {
    'claim': claim,
    'poll': poll,
    'start': start,
    'stop': stop,
    'throttle': throttle,
}
