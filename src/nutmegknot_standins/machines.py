"""Stand-in workers: they run tasks under leases and record violations.

A task's payload is JSON: run_ms (how long it runs; absent means until it is
stopped), answer (text), fail (whether it fails), extra keys are ignored.
"""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json
import uuid

from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that a worker runs or remembers.

    Attributes:
      entry: What the inventory shows.
      lease_until_ms: Monotonic instant in ms at which it is stopped.
      event: Number of the event of its end, 0 while it runs.
      timer: Ends the run.
    """

    entry: workers.InventoryEntry
    lease_until_ms: int
    event: int = 0
    timer: asyncio.TimerHandle | None = None


@dataclasses.dataclass(slots=True)
class RunRecord:
    """One start or end, for tests.

    Attributes:
      at_ms: Wall clock instant in ms.
      worker: The worker.
      task: Text form of the task id.
      event: 'start', 'finished', 'failed' or 'stopped'.
    """

    at_ms: int
    worker: str
    task: str
    event: str


@dataclasses.dataclass(slots=True)
class Machine:
    """A stand-in worker.

    Attributes:
      worker: What the platform lists.
      clock: Source of time.
      boot: Identifier of the present run.
      event: Number of the newest event.
      token: Highest fencing token seen.
      lease_ms: Length of the leases of new tasks in ms.
      tasks: Running and not yet acknowledged tasks by text id.
      refused: Text ids that were told to stop before they were started.
      changed: Set when there is news for a poll.
      records: Starts and ends, shared by all machines.
      violations: Orders that would have broken a promise, shared by all.
    """

    worker: workers.Worker
    clock: clock_lib.Clock
    records: list[RunRecord]
    violations: list[str]
    boot: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    event: int = 0
    token: int = 0
    lease_ms: int = 10_000
    tasks: dict[str, RunningTask] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def compute_used(machine: Machine) -> resources.Resources:
    """Returns the resources held by running tasks."""
    used = resources.NOTHING
    for task in machine.tasks.values():
        if task.entry.state is workers.TaskState.RUNNING:
            used = resources.add(used, task.entry.size)
    return used


async def claim(machine: Machine, call: dict) -> dict:
    """Takes a token and shows the inventory."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    machine.lease_ms = call['lease_ms']
    _renew(machine)
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
        machine.lease_ms = call['lease_ms']
        _renew(machine)
    for text in call['acknowledged']:
        task = machine.tasks.get(text)
        if task and task.entry.state is not workers.TaskState.RUNNING:
            del machine.tasks[text]
    machine.changed.clear()
    if machine.event <= call['after']:
        await _wait_changed(machine, call['wait_ms'])
    if machine.token > call['token']:
        return {'stale': machine.token}
    return {
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
    """Stops tasks, after their grace time."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    for text in call['tasks']:
        task = machine.tasks.get(text)
        if task is None:
            machine.refused.add(text)
        elif task.entry.state is workers.TaskState.RUNNING:
            _end(machine, text, workers.TaskState.STOPPED, detail='stopped')
    return {}


async def throttle(machine: Machine, call: dict) -> dict:
    """Takes note of a throttle; the stand-in runs on unchanged."""
    return _check_token(machine, call['token'])


def _check_token(machine: Machine, token: int) -> dict:
    if token < machine.token:
        return {'stale': machine.token}
    machine.token = token
    return {}


def _renew(machine: Machine) -> None:
    until_ms = machine.clock.now_ms() + machine.lease_ms
    for task in machine.tasks.values():
        task.lease_until_ms = until_ms


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
    size = resources.Resources(*order['size'])
    spec = _read_payload(order['payload'])
    entry = workers.InventoryEntry(
        workers.parse_task(text), order['team'], size, workers.TaskState.RUNNING
    )
    until_ms = machine.clock.now_ms() + machine.lease_ms
    task = RunningTask(entry, until_ms)
    machine.tasks[text] = task
    _record(machine, text, 'start')
    loop = asyncio.get_running_loop()
    if 'run_ms' in spec:
        seconds = clock_lib.to_seconds(spec['run_ms'])
        task.timer = loop.call_later(seconds, _finish, machine, text, spec)
    return ''


def _find_refusal(machine: Machine, order: dict) -> str:
    if order['task'] in machine.refused:
        return 'stopped'
    if machine.clock.wall_ms() > order['not_after_ms']:
        return 'late'
    if machine.worker.state is not workers.TargetState.LIVE:
        machine.violations.append(f'start on leaving {machine.worker.id}')
        return 'leaving'
    size = resources.Resources(*order['size'])
    used = resources.add(compute_used(machine), size)
    if not resources.fits(used, machine.worker.capacity):
        machine.violations.append(f'over capacity on {machine.worker.id}')
        return 'capacity'
    return ''


def _read_payload(text: str) -> dict:
    try:
        spec = json.loads(base64.b64decode(text) or b'{}')
    except ValueError:
        spec = {}
    return spec if isinstance(spec, dict) else {}


def _finish(machine: Machine, text: str, spec: dict) -> None:
    if spec.get('fail'):
        state, detail = workers.TaskState.FAILED, 'told to fail'
    else:
        state, detail = workers.TaskState.FINISHED, ''
    answer = str(spec.get('answer', '')).encode()
    _end(machine, text, state, answer=answer, detail=detail)


def _end(
    machine: Machine,
    text: str,
    state: workers.TaskState,
    answer: bytes = b'',
    detail: str = '',
) -> None:
    task = machine.tasks[text]
    if task.timer is not None:
        task.timer.cancel()
    machine.event += 1
    task.event = machine.event
    task.entry.state = state
    task.entry.answer = answer
    task.entry.detail = detail
    _record(machine, text, state.value)
    machine.changed.set()


def _record(machine: Machine, text: str, event: str) -> None:
    at_ms = machine.clock.wall_ms()
    machine.records.append(RunRecord(at_ms, machine.worker.id, text, event))


def _list_ended(machine: Machine, after: int) -> list[workers.InventoryEntry]:
    return [task.entry for task in machine.tasks.values() if task.event > after]


def _list_usage(machine: Machine) -> list[list]:
    return [
        [text, list(dataclasses.astuple(task.entry.size)), 1000]
        for text, task in machine.tasks.items()
        if task.entry.state is workers.TaskState.RUNNING
    ]


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
    for text, task in list(machine.tasks.items()):
        if task.entry.state is not workers.TaskState.RUNNING:
            continue
        if task.lease_until_ms <= now_ms:
            _end(machine, text, workers.TaskState.STOPPED, detail='lapsed')
        else:
            next_ms = min(next_ms, task.lease_until_ms)
    return max(1, next_ms - now_ms)


async def watch_leases(machine: Machine) -> None:
    """Stops tasks as their leases lapse, until cancelled."""
    while True:
        await asyncio.sleep(clock_lib.to_seconds(stop_lapsed(machine)))


CALLS: dict[str, Callable] = {
    'claim': claim,
    'poll': poll,
    'start': start,
    'stop': stop,
    'throttle': throttle,
}
