"""Simulated workers that hold tasks under leases and record violations.

The payload of a task is JSON that describes its simulated behaviour; see
payloads.py.
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
from nutmegknot_standins import control_pb2
from nutmegknot_standins import payloads
from nutmegknot_standins import run_history

MAX_CONNECTIONS = 64


@dataclasses.dataclass(slots=True)
class WorkerTask:
    """A task that runs, or whose end has not been acknowledged yet.

    Attributes:
      entry: Its entry in the worker's inventory.
      payload: Its simulated behaviour.
      lease_until_ms: Monotonic time in ms at which its lease expires and it is
        stopped.
      started_ms: Monotonic time in ms at which it started.
      event: Number of the event that reports its end, or 0 while it runs.
      timer: Timer that ends the run; None if it runs until it is stopped.
      throttle_millicores: CPU limit in thousandths of a core, or 0 for none.
    """

    entry: workers.InventoryEntry
    payload: payloads.Payload
    lease_until_ms: int
    started_ms: int
    event: int = 0
    timer: asyncio.TimerHandle | None = None
    throttle_millicores: int = 0


@dataclasses.dataclass(slots=True)
class Machine:
    """A simulated worker.

    Attributes:
      worker: Its description in the platform's list of workers.
      clock: Source of time.
      history: History of task runs on all simulated workers.
      boot: Random identifier that changes at every reboot.
      event: Number of the newest event; an event is the end of a task.
      token: Highest fencing token received; calls with a lower one are
        rejected as stale.
      lease_ms: Lease length in ms of new tasks, as in the newest call that
        renewed leases.
      usage_lag_ms: Age in ms of the usage that it reports; younger tasks are
        left out.
      tasks: Tasks that run or whose end is not acknowledged, by task id in
        text form.
      stopped_before_start: Task ids in text form whose stop arrived before
        their start; the start is refused.
      changed: Set to let a waiting poll answer at once.
      connections: Number of calls in progress.
      leaving_ms: Wall clock time in ms at which it began to leave, or 0.
      is_down: Whether it drops every call without an answer.
      fails_all: Whether every new task fails at once.
      task_started: Notified when a task starts, because its lease may be the
        first to expire.
      must_claim: Whether it was rebooted and rejects all calls until it is
        claimed.
    """

    worker: workers.Worker
    clock: clock_lib.Clock
    history: run_history.RunHistory
    boot: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    event: int = 0
    token: int = 0
    lease_ms: int = 10_000
    usage_lag_ms: int = 1_000
    tasks: dict[str, WorkerTask] = dataclasses.field(default_factory=dict)
    stopped_before_start: set[str] = dataclasses.field(default_factory=set)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    connections: int = 0
    leaving_ms: int = 0
    is_down: bool = False
    fails_all: bool = False
    must_claim: bool = False
    task_started: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )


def list_running(machine: Machine) -> dict[str, WorkerTask]:
    """Returns the running tasks by task id in text form."""
    return {
        task_id: task
        for task_id, task in machine.tasks.items()
        if task.entry.state is workers.TaskState.RUNNING
    }


def compute_used(machine: Machine) -> resources.Resources:
    """Returns the resources held by running tasks."""
    used = resources.ZERO
    for task in list_running(machine).values():
        used = resources.add(used, task.entry.size)
    return used


async def claim(machine: Machine, call: dict) -> dict:
    """Accepts a new fencing token and returns the inventory."""
    machine.must_claim = machine.must_claim and call['token'] < machine.token
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    _renew_leases(machine, call)
    machine.changed.set()
    inventory = [show_entry(t.entry) for t in machine.tasks.values()]
    return {
        'boot': machine.boot,
        'inventory': inventory,
        'event': machine.event,
    }


async def poll(machine: Machine, call: dict) -> dict:
    """Renews leases, drops acknowledged tasks and waits for ended tasks.

    A call without a lease length renews no lease.
    """
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    if call['lease_ms']:
        _renew_leases(machine, call)
    for task_id in call['acknowledged']:
        task = machine.tasks.get(task_id)
        if task and task.entry.state is not workers.TaskState.RUNNING:
            del machine.tasks[task_id]
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
    """Starts tasks; each result is '' or the reason of a refusal."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    return {'results': [_start_one(machine, one) for one in call['tasks']]}


async def stop(machine: Machine, call: dict) -> dict:
    """Stops tasks; each may save a checkpoint or finish in its grace time."""
    stale = _check_token(machine, call['token'])
    if stale:
        return stale
    for task_id in call['tasks']:
        task = machine.tasks.get(task_id)
        if task is None:
            machine.stopped_before_start.add(task_id)
        elif task.entry.state is workers.TaskState.RUNNING:
            _stop_one(machine, task_id, task, call['grace_ms'])
    return {}


async def throttle(machine: Machine, call: dict) -> dict:
    """Limits the CPU that a task may use from now on."""
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


def _renew_leases(machine: Machine, call: dict) -> None:
    """Renews all leases from the time at which the call was sent.

    The owner computes the end of a lease from the time of sending. A delayed
    call must not extend the lease beyond that end, after which the owner may
    have started the tasks on another worker.
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


def _start_one(machine: Machine, command: dict) -> str:
    task_id = command['task']
    if task_id in machine.tasks:
        return ''
    reason = _find_refusal(machine, command)
    if reason:
        return reason
    payload = payloads.parse_payload(base64.b64decode(command['payload']))
    entry = workers.InventoryEntry(
        workers.parse_task(task_id),
        command['team'],
        resources.Resources(*command['size']),
        workers.TaskState.RUNNING,
    )
    now_ms = machine.clock.now_ms()
    task = WorkerTask(entry, payload, now_ms + machine.lease_ms, now_ms)
    machine.tasks[task_id] = task
    run_history.add_start(machine.history, machine.worker, entry, payload.once)
    signals.notify(machine.task_started)
    if payload.run_ms is not None or machine.fails_all:
        done_ms = machine.history.checkpoints.get(
            command.get('checkpoint', ''), 0
        )
        left_ms = max(0, (payload.run_ms or 0) - done_ms)
        _end_later(machine, task_id, 0 if machine.fails_all else left_ms)
    return ''


def _find_refusal(machine: Machine, command: dict) -> str:
    if command['task'] in machine.stopped_before_start:
        return 'stopped'
    if machine.clock.wall_ms() > command['not_after_ms']:
        return 'late'
    if machine.worker.state is not workers.TargetState.LIVE:
        _check_leaving(machine, command['task'])
        return 'leaving'
    size = resources.Resources(*command['size'])
    used = resources.add(compute_used(machine), size)
    if not resources.fits(used, machine.worker.capacity):
        kind = control_pb2.VIOLATION_KIND_OVER_CAPACITY
        task = workers.parse_task(command['task'])
        run_history.add_violation(machine.history, kind, machine.worker, task)
        return 'capacity'
    return ''


def _check_leaving(machine: Machine, task_id: str) -> None:
    if (
        machine.clock.wall_ms()
        > machine.leaving_ms + run_history.CHANGE_GRACE_MS
    ):
        kind = control_pb2.VIOLATION_KIND_LEAVING
        task = workers.parse_task(task_id)
        run_history.add_violation(machine.history, kind, machine.worker, task)


def _end_later(machine: Machine, task_id: str, wait_ms: int) -> None:
    loop = asyncio.get_running_loop()
    seconds = clock_lib.to_seconds(wait_ms)
    machine.tasks[task_id].timer = loop.call_later(
        seconds, _finish_run, machine, task_id
    )


def _finish_run(machine: Machine, task_id: str) -> None:
    payload = machine.tasks[task_id].payload
    if payload.fail or machine.fails_all:
        state, detail = workers.TaskState.FAILED, 'told to fail'
    else:
        state, detail = workers.TaskState.FINISHED, ''
    end_task(
        machine, task_id, state, answer=payload.answer.encode(), detail=detail
    )


def _stop_one(
    machine: Machine, task_id: str, task: WorkerTask, grace_ms: int
) -> None:
    """Stops a task after its stop time, or after the grace time if shorter."""
    loop = asyncio.get_running_loop()
    wait_ms = min(grace_ms, task.payload.stop_ms)
    seconds = clock_lib.to_seconds(wait_ms)
    loop.call_later(seconds, _finish_stop, machine, task_id, task)


def _finish_stop(machine: Machine, task_id: str, task: WorkerTask) -> None:
    is_same = machine.tasks.get(task_id) is task
    if not is_same or task.entry.state is not workers.TaskState.RUNNING:
        return
    if task.payload.checkpoint:
        done_ms = machine.clock.now_ms() - task.started_ms
        machine.history.checkpoints[task_id] = done_ms
    end_task(machine, task_id, workers.TaskState.STOPPED, detail='stopped')


def end_task(
    machine: Machine,
    task_id: str,
    state: workers.TaskState,
    answer: bytes = b'',
    detail: str = '',
) -> None:
    """Ends a task, records its end and lets a waiting poll report it."""
    task = machine.tasks[task_id]
    if task.timer is not None:
        task.timer.cancel()
    machine.event += 1
    task.event = machine.event
    task.entry.state = state
    task.entry.answer = answer
    task.entry.detail = detail
    run_history.add_end(machine.history, machine.worker, task.entry)
    machine.changed.set()


def _list_ended(machine: Machine, after: int) -> list[workers.InventoryEntry]:
    return [task.entry for task in machine.tasks.values() if task.event > after]


def _list_usage(machine: Machine) -> list[list]:
    seen_ms = machine.clock.now_ms() - machine.usage_lag_ms
    return [
        [
            task_id,
            list(dataclasses.astuple(_get_usage(task))),
            machine.usage_lag_ms,
        ]
        for task_id, task in list_running(machine).items()
        if task.started_ms <= seen_ms
    ]


def _get_usage(task: WorkerTask) -> resources.Resources:
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


def stop_expired_tasks(machine: Machine) -> int:
    """Stops tasks whose lease has expired.

    Returns:
      Time in ms until the next lease expires, at least 1.
    """
    now_ms = machine.clock.now_ms()
    next_ms = now_ms + machine.lease_ms
    for task_id, task in list_running(machine).items():
        if task.lease_until_ms <= now_ms:
            end_task(
                machine, task_id, workers.TaskState.STOPPED, detail='lapsed'
            )
        else:
            next_ms = min(next_ms, task.lease_until_ms)
    return max(1, next_ms - now_ms)


async def watch_leases(machine: Machine) -> None:
    """Stops tasks as their leases expire, until cancelled."""
    while True:
        count = machine.task_started.count
        wait_ms = stop_expired_tasks(machine)
        await signals.wait_with_timeout(machine.task_started, count, wait_ms)


CALLS: dict[str, Callable] = {
    'claim': claim,
    'poll': poll,
    'start': start,
    'stop': stop,
    'throttle': throttle,
}
