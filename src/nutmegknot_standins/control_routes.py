"""HTTP control interface with which tests drive the simulated platform.

It adds and clears faults, changes workers and failure domains, and returns the
history of task runs.
"""

from collections.abc import Callable
import dataclasses
import uuid

from aiohttp import web
from google.protobuf import json_format
from google.protobuf import message as message_lib

from nutmegknot._internal.models import workers
from nutmegknot_standins import control_pb2
from nutmegknot_standins import faults
from nutmegknot_standins import machines
from nutmegknot_standins import run_history
from nutmegknot_standins import servers

_BAD_REQUEST = 400
_NOT_FOUND = 404


def add_routes(app: web.Application, platform: servers.Platform) -> None:
    """Adds the routes of the control interface below /control."""

    async def add_fault(req: web.Request) -> web.Response:
        return await _handle_command(
            req,
            control_pb2.Fault(),
            lambda fault: faults.add(platform.faults, fault),
        )

    async def clear_faults(_: web.Request) -> web.Response:
        faults.clear(platform.faults)
        return web.json_response({})

    async def change_domain(req: web.Request) -> web.Response:
        return await _handle_command(
            req,
            control_pb2.DomainChange(),
            lambda change: run_history.change_domain(platform.history, change),
        )

    async def change(req: web.Request) -> web.Response:
        return await _handle_command(
            req,
            control_pb2.WorkerChange(),
            lambda command: change_worker(platform, command),
        )

    async def show(req: web.Request) -> web.Response:
        after = int(req.query.get('after', '0'))
        content = show_state(platform, after).SerializeToString()
        return web.Response(body=content)

    app.router.add_post('/control/faults', add_fault)
    app.router.add_delete('/control/faults', clear_faults)
    app.router.add_post('/control/domain', change_domain)
    app.router.add_post('/control/worker', change)
    app.router.add_get('/control/state', show)


async def _handle_command(
    req: web.Request,
    command: message_lib.Message,
    apply_command: Callable,
) -> web.Response:
    try:
        json_format.Parse(await req.text(), command)
    except json_format.ParseError as error:
        return web.Response(status=_BAD_REQUEST, text=str(error))
    try:
        apply_command(command)
    except KeyError as error:
        return web.Response(status=_NOT_FOUND, text=f'no worker {error}')
    return web.json_response({})


def show_state(platform: servers.Platform, after: int) -> control_pb2.State:
    """Returns counts, violations, and all but the first `after` records."""
    running = sum(platform.history.running.values())
    return control_pb2.State(
        records=platform.history.records[after:],
        violations=platform.history.violations,
        table=platform.table.counts,
        objects=platform.objects.counts,
        calls_by_caller=platform.calls_by_caller,
        running=running,
    )


def change_worker(
    platform: servers.Platform, change: control_pb2.WorkerChange
) -> None:
    """Changes the state of a worker.

    Raises:
      KeyError: If there is no such worker.
    """
    machine = platform.machines[change.worker]
    servers.record_list(platform)
    match change.action:
        case control_pb2.WORKER_ACTION_LEAVE:
            machine.leaving_ms = machine.clock.wall_ms()
            _set_state(machine, workers.TargetState.LEAVING)
            machine.changed.set()
        case control_pb2.WORKER_ACTION_REMOVE:
            _drop_tasks(machine)
            machine.is_down = True
            _set_state(machine, workers.TargetState.GONE)
        case control_pb2.WORKER_ACTION_KILL:
            _drop_tasks(machine)
            machine.is_down = True
        case control_pb2.WORKER_ACTION_REBOOT:
            _reboot(machine)
        case control_pb2.WORKER_ACTION_FAIL_ALL:
            machine.fails_all = True
        case control_pb2.WORKER_ACTION_RESTORE:
            machine.fails_all = False
            _set_state(machine, workers.TargetState.LIVE)
    servers.record_list(platform)


def _set_state(machine: machines.Machine, state: workers.TargetState) -> None:
    machine.worker = dataclasses.replace(machine.worker, state=state)


def _drop_tasks(machine: machines.Machine) -> None:
    """Drops all tasks, so that the worker never reports their ends."""
    for task in machines.list_running(machine).values():
        if task.timer is not None:
            task.timer.cancel()
        run_history.add_end(machine.history, machine.worker, task.entry)
    machine.tasks.clear()


def _reboot(machine: machines.Machine) -> None:
    _drop_tasks(machine)
    machine.stopped_before_start.clear()
    machine.boot = uuid.uuid4().hex
    machine.is_down = False
    machine.must_claim = True
    machine.changed.set()
