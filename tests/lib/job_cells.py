"""A deployment in memory for tests of jobs, in virtual time.

A cell is one deployment: the store, workers, settings and an adviser, which are
fakes here, and instances that own the jobs.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from lib import fakes
from lib import virtual_time

from nutmegknot._internal.backing import advisers
from nutmegknot._internal.backing import listings
from nutmegknot._internal.backing import platform_calls
from nutmegknot._internal.backing import runners
from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.jobs import takeover
from nutmegknot._internal.jobs import time_limits
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import tasks

POLL_STEP_MS = 5
STOP_DURATION_MS = 50
# Longest lease that a worker grants.
MAX_LEASE_MS = 10_000
# Most ends in one answer of a worker.
MAX_LISTED_ENDS = 500
# How long after the start of a run its worker crashes, if it crashes.
CRASH_DELAY_MS = 10
# How long after a crash a worker is back.
RESTART_MS = 3_000
# How long after new settings were stored a start may still follow older ones.
SETTINGS_APPLY_MS = 2_000


@dataclasses.dataclass(slots=True)
class FakeRun:
    """A run on a fake worker.

    Attributes:
      run: Number of the run.
      end_ms: When it ends by itself, by the worker's clock.
      checkpoint: Checkpoint that it started from.
      began_ms: When it began, by the worker's clock.
      duration_ms: How long it takes in all; its progress follows from it.
      hung_percent: Progress from which on it makes none; None if it hangs
        nowhere.
      pace: Percent of its work that it may do.
      is_stopping: Whether it was told to stop.
    """

    run: int
    end_ms: int
    checkpoint: str = ''
    began_ms: int = 0
    duration_ms: int = 0
    hung_percent: int | None = None
    pace: int = 100
    is_stopping: bool = False


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """A fake worker that follows the rules for leases and fencing tokens.

    Attributes:
      worker: The worker as it is listed.
      clock_slowness: Part by which its clock is slow.
      began_ms: When its clock showed 0, by the clock of the tests.
      token: Highest fencing token seen.
      until_ms: End of the lease by its own clock.
      runs: Runs by task.
      barred: Highest number of a stopped or ended run, by task; only later runs
        may start.
      ends: Ended runs that the owner has not acknowledged.
      last_end: Number of the newest end of a run; ends are counted from 1.
      is_silent: Whether calls reach it and get no answer.
      is_cut: Whether calls don't reach it.
      is_down: Whether its process has ended and connections are refused.
      is_replaced: Whether another worker answers at its address.
      lost_answers: How many of the next commands are carried out but not
        answered.
      refusals: Reasons with which the next starts are refused, in order.
      tail_ms: Tail latency that it reports for all runs.
      unreadable_runs: Number of listed runs whose task name can't be parsed.
    """

    worker: workers.Worker
    clock_slowness: float = 0.0
    began_ms: int = 0
    token: int = 0
    until_ms: int = 0
    runs: dict[jobs.TaskName, FakeRun] = dataclasses.field(default_factory=dict)
    barred: dict[jobs.TaskName, int] = dataclasses.field(default_factory=dict)
    ends: list[runners.ReportedEnd] = dataclasses.field(default_factory=list)
    last_end: int = 0
    is_silent: bool = False
    is_cut: bool = False
    is_down: bool = False
    is_replaced: bool = False
    lost_answers: int = 0
    refusals: list[runners.Refusal] = dataclasses.field(default_factory=list)
    tail_ms: float = 0.0
    unreadable_runs: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StartedRun:
    """A run that a worker has started.

    Attributes:
      at_ms: When it started, by the clock of the tests.
      worker: Id of the worker.
      life: Number of the worker's life.
      name: The task.
      run: Number of the run.
      checkpoint: Checkpoint that it started from.
    """

    at_ms: int
    worker: str
    life: int
    name: jobs.TaskName
    run: int
    checkpoint: str


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """A crash of a worker.

    Attributes:
      at_ms: When it crashed, by the clock of the tests.
      worker: Id of the worker.
      names: The tasks that it ran.
    """

    at_ms: int
    worker: str
    names: frozenset[jobs.TaskName]


@dataclasses.dataclass(slots=True)
class Cell:
    """Everything that the owner of the jobs depends on.

    Attributes:
      clock: Virtual time.
      table: The store.
      targets: Workers by id.
      settings: Operators' settings.
      unlisted: Ids of workers that the list of workers leaves out.
      starts: All runs that workers have started, in order.
      acknowledged: Tasks that have ended as done, where that end has been
        acknowledged.
      violations: Violations: tasks run twice, run numbers used again, and the
        like.
      run_ms: Returns how long a task runs in ms.
      outcome: Returns how a run ends by itself.
      find_job: Returns the accepted job with an id, or None.
      sizes: Resources that tasks have reserved, by task that has started.
      usage: Customer and resources of each task that has started.
      past_settings: Earlier settings, each with the time until which a start
        may still rely on it.
      suited: Workers that the adviser allows; None for all.
      asked: Ids of the workers in each call for advice.
      requires_tickets: Whether workers refuse starts without a ticket.
      is_list_down: Whether the list of workers can't be read.
      crashes_worker: Tells whether a task crashes each worker that starts it.
      crash_delay_ms: Returns how long after its start a task does so.
      keeps_id: Whether a crashed worker comes back under its id, in a new life;
        otherwise another worker comes at its address.
      crashes: All crashes of workers, in order.
      binds_calls: Whether calls have no effect in another life of a worker than
        the one that they are meant for; otherwise the next life carries them
        out, as it may do with late ones.
    """

    clock: clock_lib.Clock
    table: fakes.FakeTable
    targets: dict[str, FakeTarget]
    settings: job_settings.JobSettings
    unlisted: set[str] = dataclasses.field(default_factory=set)
    starts: list[StartedRun] = dataclasses.field(default_factory=list)
    acknowledged: set[jobs.TaskName] = dataclasses.field(default_factory=set)
    violations: list[str] = dataclasses.field(default_factory=list)
    run_ms: Callable[[jobs.TaskName], int] = lambda name: 500
    outcome: Callable[[jobs.TaskName, int], jobs.EndKind] = lambda name, run: (
        jobs.EndKind.DONE
    )
    find_job: Callable[[str], jobs.Job | None] = lambda id: None
    sizes: dict[jobs.TaskName, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[jobs.TaskName, tuple[str, resources.Resources]] = (
        dataclasses.field(default_factory=dict)
    )
    past_settings: list[tuple[job_settings.JobSettings, int]] = (
        dataclasses.field(default_factory=list)
    )
    suited: set[str] | None = None
    asked: list[list[str]] = dataclasses.field(default_factory=list)
    requires_tickets: bool = False
    is_list_down: bool = False
    crashes_worker: Callable[[jobs.TaskName], bool] = lambda name: False
    crash_delay_ms: Callable[[jobs.TaskName], int] = lambda name: CRASH_DELAY_MS
    keeps_id: bool = False
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    binds_calls: bool = False


def make_worker(id: str, **changes: object) -> workers.Worker:
    """Returns a listed worker of the pool 'pool'."""
    worker = workers.Worker(
        id,
        'region',
        'a',
        'r1',
        resources.Resources(4_000, 16_000),
        address=id,
        pool='pool',
        kind='plain',
        labels=frozenset(('plain', 'r1')),
        life=1,
    )
    return dataclasses.replace(worker, **changes)  # type: ignore[arg-type]


def make_queue(name: str = 'queue', **changes: object) -> job_settings.JobQueue:
    """Returns a queue of the pool 'pool'."""
    queue = job_settings.JobQueue(
        name,
        'host',
        f'/{name}/',
        'pool',
        max_failed_runs=3,
        objective_factor=2.0,
    )
    return dataclasses.replace(queue, **changes)  # type: ignore[arg-type]


def make_settings(
    *queues: job_settings.JobQueue,
    customers: tuple[job_settings.Customer, ...] = (),
) -> job_settings.JobSettings:
    """Returns settings with some queues and customers."""
    return job_settings.JobSettings(
        revision=1,
        queues={queue.name: queue for queue in queues or (make_queue(),)},
        customers={customer.name: customer for customer in customers},
    )


def make_step(
    count: int = 1, millicores: int = 1_000, **changes: object
) -> jobs.Step:
    """Returns a step of equal tasks."""
    step = jobs.Step(
        count, resources.Resources(millicores, 100), estimate_ms=500
    )
    return dataclasses.replace(step, **changes)  # type: ignore[arg-type]


def make_job_spec(
    id: str, *steps: jobs.Step, queue: str = 'queue', customer: str = ''
) -> jobs.JobSpec:
    """Returns a job as a caller submits it."""
    return jobs.JobSpec(id, queue, customer, f'payload of {id}', steps)


def make_cell(
    loop: asyncio.AbstractEventLoop,
    *listed: workers.Worker,
    settings: job_settings.JobSettings | None = None,
) -> Cell:
    """Returns a cell whose clock is that of an event loop in virtual time."""

    def read_ms() -> int:
        return int(loop.time() * clock_lib.MS_PER_S) + 1_000_000

    return Cell(
        clock_lib.Clock(read_ms, read_ms),
        fakes.FakeTable(),
        {worker.id: FakeTarget(worker) for worker in listed},
        settings or make_settings(),
    )


def get_target_clock(cell: Cell, target: FakeTarget) -> int:
    """Returns the worker's own clock in ms."""
    age_ms = cell.clock.now_ms() - target.began_ms
    return int(age_ms * (1 - target.clock_slowness))


def process_due_events(cell: Cell, target: FakeTarget) -> None:
    """Ends the runs on a worker that are over or whose lease has expired."""
    now_ms = get_target_clock(cell, target)
    if target.runs and now_ms > target.until_ms:
        for name in list(target.runs):
            end_run(target, name, jobs.EndKind.LEASE_EXPIRED)
    for name, run in list(target.runs.items()):
        if now_ms >= run.end_ms:
            kind = jobs.EndKind.STOPPED
            if not run.is_stopping:
                kind = cell.outcome(name, run.run)
            end_run(target, name, kind)


def end_run(
    target: FakeTarget, name: jobs.TaskName, kind: jobs.EndKind
) -> None:
    """Ends a run and adds it to the ended runs that the worker lists."""
    run = target.runs.pop(name)
    target.last_end += 1
    target.barred[name] = max(target.barred.get(name, 0), run.run)
    target.ends.append(
        runners.ReportedEnd(
            target.last_end, name, run.run, kind, run.checkpoint
        )
    )


def restart(cell: Cell, target: FakeTarget, **changes: object) -> None:
    """Restarts a worker, which keeps no state; its life number rises.

    Its clock starts anew.

    Args:
      cell: The cell.
      target: The worker.
      changes: Fields of the worker that differ in its new life.
    """
    target.began_ms = cell.clock.now_ms()
    target.worker = dataclasses.replace(
        target.worker,
        life=target.worker.life + 1,
        **changes,  # type: ignore[arg-type]
    )
    target.token = target.until_ms = target.last_end = 0
    target.runs.clear()
    target.barred.clear()
    target.ends.clear()


def crash_worker(cell: Cell, target: FakeTarget) -> None:
    """Ends a worker without notice; after RESTART_MS its process is back."""
    if target.is_down or target.is_replaced:
        return
    cell.crashes.append(
        Crash(cell.clock.now_ms(), target.worker.id, frozenset(target.runs))
    )
    target.runs.clear()
    target.ends.clear()
    target.is_down = True
    asyncio.get_running_loop().call_later(
        RESTART_MS / 1000, lambda: _bring_back(cell, target)
    )


def _crash_with_run(
    cell: Cell, target: FakeTarget, command: runners.StartCommand
) -> None:
    """Ends a worker unless the run that crashes it has ended before."""
    run = target.runs.get(command.name)
    if run is not None and run.run == command.run:
        crash_worker(cell, target)


def _bring_back(cell: Cell, target: FakeTarget) -> None:
    target.is_down = False
    if cell.keeps_id:
        restart(cell, target)
        return
    target.is_replaced = True
    worker = dataclasses.replace(target.worker, id=f'{target.worker.id}+')
    cell.targets[worker.id] = FakeTarget(worker)


def _record_start(
    cell: Cell, target: FakeTarget, command: runners.StartCommand
) -> None:
    for other in cell.targets.values():
        process_due_events(cell, other)
        if command.name in other.runs:
            cell.violations.append(f'{command.name} runs twice')
        is_lease_over = get_target_clock(cell, other) > other.until_ms
        if not is_lease_over and any(
            end.name == command.name and end.kind is jobs.EndKind.DONE
            for end in other.ends
        ):
            cell.violations.append(f'{command.name} starts after its end')
    if command.name in cell.acknowledged and not _is_long_running(
        cell, command.name
    ):
        cell.violations.append(f'{command.name} starts after its end was read')
    # A worker that has restarted takes a repeated command once more: it has
    # forgotten the run, which ended with the process.
    earlier = [
        start.run
        for start in cell.starts
        if start.name == command.name
        and not (
            start.run == command.run
            and start.worker == target.worker.id
            and start.life < target.worker.life
        )
    ]
    if earlier and command.run <= max(earlier):
        cell.violations.append(
            f'run {command.run} of {command.name} is not new'
        )
    _record_size(cell, command.name)
    used = cell.sizes[command.name]
    for name in target.runs:
        used = resources.add(used, cell.sizes[name])
    if not resources.fits(used, target.worker.capacity):
        cell.violations.append(f'{target.worker.id} is over its capacity')
    _check_label(cell, target, command.name)
    _check_limit(cell, command.name)
    cell.starts.append(
        StartedRun(
            cell.clock.now_ms(),
            target.worker.id,
            target.worker.life,
            command.name,
            command.run,
            command.checkpoint,
        )
    )


def _is_long_running(cell: Cell, name: jobs.TaskName) -> bool:
    job = cell.find_job(name.job)
    return job is not None and job.spec.steps[name.step].is_long_running


def _record_size(cell: Cell, name: jobs.TaskName) -> None:
    """Records the customer and the resources of a task that starts."""
    job = cell.find_job(name.job)
    if job is None or name.step >= len(job.spec.steps):
        cell.sizes[name] = resources.ZERO
        return
    step = job.spec.steps[name.step]
    cell.sizes[name] = jobs.get_reserved(step)
    cell.usage[name] = (job.spec.customer, step.size)


def _check_label(cell: Cell, target: FakeTarget, name: jobs.TaskName) -> None:
    """Records a violation if a worker lacks the label that a task requires."""
    job = cell.find_job(name.job)
    if job is None:
        return
    label = job.spec.steps[name.step].required_label
    if label and label not in target.worker.labels:
        cell.violations.append(f'{target.worker.id} lacks {label} for {name}')


def _check_limit(cell: Cell, name: jobs.TaskName) -> None:
    """Records a violation if a start brings its customer over its limit."""
    if name not in cell.usage:
        return
    customer, used = cell.usage[name]
    for target in cell.targets.values():
        for other in target.runs:
            owner, size = cell.usage.get(other, ('', resources.ZERO))
            if owner == customer:
                used = resources.add(used, size)
    now_ms = cell.clock.now_ms()
    valid = [cell.settings] + [
        settings
        for settings, until_ms in cell.past_settings
        if now_ms <= until_ms
    ]
    limited = [s.customers.get(customer) for s in valid]
    if not any(
        found is None or job_settings.is_within(used, found.limit)
        for found in limited
    ):
        cell.violations.append(f'{customer} is over its limit with {used}')


def replace_customers(cell: Cell, *customers: job_settings.Customer) -> None:
    """Puts other customers in force, in place of the present ones."""
    cell.past_settings.append(
        (cell.settings, cell.clock.now_ms() + SETTINGS_APPLY_MS)
    )
    cell.settings = dataclasses.replace(
        cell.settings,
        revision=cell.settings.revision + 1,
        customers={customer.name: customer for customer in customers},
    )


def connect_runners(cell: Cell) -> runners.Runners:
    """Returns access to the fake workers."""
    return runners.Runners(
        _make_poll(cell),
        _make_start(cell),
        _make_stop(cell),
        _make_throttle(cell),
        _disconnect,
    )


async def _disconnect(worker_id: str) -> None:
    """Does nothing: fake workers have no connections."""


async def _connect(cell: Cell, worker: workers.Worker) -> FakeTarget | None:
    await asyncio.sleep(0.001)
    target = cell.targets.get(worker.id)
    if target is None or target.is_cut:
        return None
    if not target.is_down:
        process_due_events(cell, target)
    return target


def _find_obstacle(
    cell: Cell, worker: workers.Worker, target: FakeTarget
) -> runners.Unreached | runners.Refused | None:
    if target.is_down:
        return runners.Unreached('refused')
    if target.is_replaced or _is_for_other_life(cell, worker, target):
        return runners.Refused(runners.Refusal.OTHER_LIFE)
    return None


def _is_for_other_life(
    cell: Cell, worker: workers.Worker, target: FakeTarget
) -> bool:
    return cell.binds_calls and worker.life != target.worker.life


async def _reply(
    target: FakeTarget, result: runners.CommandResult, timeout_ms: int
) -> runners.CommandResult:
    if target.is_silent or target.lost_answers > 0:
        target.lost_answers = max(0, target.lost_answers - 1)
        await asyncio.sleep(timeout_ms / 1000)
        return runners.Unanswered('lost')
    return result


def _extend_lease(cell: Cell, target: FakeTarget, until_ms: int) -> None:
    """Extends the lease of a worker, by at most MAX_LEASE_MS from now."""
    latest_ms = get_target_clock(cell, target) + MAX_LEASE_MS
    target.until_ms = max(target.until_ms, min(until_ms, latest_ms))


def _acknowledge(cell: Cell, target: FakeTarget, last_seen: int) -> None:
    """Forgets the ends up to a number."""
    cell.acknowledged |= {
        end.name
        for end in target.ends
        if end.number <= last_seen
        and end.kind is jobs.EndKind.DONE
        and end.name is not None
    }
    target.ends = [end for end in target.ends if end.number > last_seen]


def _make_poll(cell: Cell) -> runners.PollWorker:
    async def poll(
        worker: workers.Worker,
        token: int,
        processed_end: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> runners.PollResult:
        target = await _connect(cell, worker)
        if target is None:
            await asyncio.sleep(timeout_ms / 1000)
            return runners.Unanswered('cut')
        if _is_for_other_life(cell, worker, target):
            worker = target.worker
            processed_end, until_ms, wait_ms = 0, None, 0
        obstacle = _find_obstacle(cell, worker, target)
        if obstacle is not None:
            return obstacle
        if token < target.token:
            return runners.Refused(runners.Refusal.FENCED)
        target.token = token
        _acknowledge(cell, target, processed_end)
        if until_ms is not None:
            _extend_lease(cell, target, until_ms)
        waited_ms = 0
        life = target.worker.life
        while waited_ms < wait_ms and not target.ends:
            await asyncio.sleep(POLL_STEP_MS / 1000)
            waited_ms += POLL_STEP_MS
            if target.is_down or target.worker.life != life:
                return runners.Unanswered('connection broke')
            process_due_events(cell, target)
        if target.is_silent or target.is_cut:
            await asyncio.sleep(timeout_ms / 1000)
            return runners.Unanswered('silent')
        rows = [
            runners.ReportedRun(
                name,
                run.run,
                run.checkpoint,
                _compute_progress(run, get_target_clock(cell, target)),
                target.tail_ms,
            )
            for name, run in target.runs.items()
        ]
        return runners.Inventory(
            get_target_clock(cell, target),
            target.worker.life,
            rows,
            target.ends[:MAX_LISTED_ENDS],
            target.unreadable_runs,
            has_more_ends=len(target.ends) >= MAX_LISTED_ENDS,
        )

    return poll


def _compute_progress(run: FakeRun, now_ms: int) -> int:
    percent = min(100, 100 * (now_ms - run.began_ms) // max(1, run.duration_ms))
    if run.hung_percent is not None:
        percent = min(percent, run.hung_percent)
    return percent


def _make_start(cell: Cell) -> runners.StartRun:
    async def start(
        worker: workers.Worker, command: runners.StartCommand, timeout_ms: int
    ) -> runners.CommandResult:
        target = await _connect(cell, worker)
        if target is None:
            await asyncio.sleep(timeout_ms / 1000)
            return runners.Unanswered('cut')
        obstacle = _find_obstacle(cell, worker, target)
        if obstacle is not None:
            return obstacle
        refused = _refuse_start(cell, target, command)
        if refused is not None:
            return await _reply(target, runners.Refused(refused), timeout_ms)
        target.token = command.token
        now_ms = get_target_clock(cell, target)
        if command.name not in target.runs:
            _record_start(cell, target, command)
            duration_ms = cell.run_ms(command.name)
            target.runs[command.name] = FakeRun(
                command.run,
                now_ms + duration_ms,
                command.checkpoint,
                now_ms,
                duration_ms,
            )
            if cell.crashes_worker(command.name):
                asyncio.get_running_loop().call_later(
                    cell.crash_delay_ms(command.name) / 1000,
                    _crash_with_run,
                    cell,
                    target,
                    command,
                )
        _extend_lease(cell, target, command.until_ms)
        return await _reply(target, runners.Taken(now_ms), timeout_ms)

    return start


def _make_stop(cell: Cell) -> runners.StopRun:
    async def stop(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        target = await _connect(cell, worker)
        if target is None:
            await asyncio.sleep(timeout_ms / 1000)
            return runners.Unanswered('cut')
        obstacle = _find_obstacle(cell, worker, target)
        if obstacle is not None:
            return obstacle
        if token < target.token:
            return runners.Refused(runners.Refusal.FENCED)
        target.token = token
        now_ms = get_target_clock(cell, target)
        present = target.runs.get(name)
        target.barred[name] = max(target.barred.get(name, 0), run)
        if present is not None and present.run <= run:
            present.is_stopping = True
            present.end_ms = min(present.end_ms, now_ms + STOP_DURATION_MS)
        return await _reply(target, runners.Taken(now_ms), timeout_ms)

    return stop


def _make_throttle(cell: Cell) -> runners.ThrottleRun:
    async def throttle(
        worker: workers.Worker,
        name: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
        timeout_ms: int,
    ) -> runners.CommandResult:
        target = await _connect(cell, worker)
        if target is None or name not in target.runs:
            return runners.Refused(runners.Refusal.INVALID_COMMAND)
        target.runs[name].pace = percent
        return runners.Taken(get_target_clock(cell, target))

    return throttle


def _refuse_start(
    cell: Cell, target: FakeTarget, command: runners.StartCommand
) -> runners.Refusal | None:
    if target.refusals:
        return target.refusals.pop(0)
    if command.token < target.token:
        return runners.Refusal.FENCED
    if command.until_ms < get_target_clock(cell, target):
        return runners.Refusal.EXPIRED
    if cell.requires_tickets and not command.ticket:
        return runners.Refusal.NO_TICKET
    present = target.runs.get(command.name)
    if present is not None and present.run == command.run:
        return None
    if command.run <= target.barred.get(command.name, 0) or present is not None:
        return runners.Refusal.STALE_RUN
    return None


def connect_listings(cell: Cell) -> listings.Listings:
    """Returns access to the cell's settings and list of workers."""

    async def read(
        timeout_ms: int,
    ) -> listings.SettingsUpdate | tables.Unavailable:
        return listings.SettingsUpdate(cell.settings, cell.settings.revision)

    async def follow(
        wait_ms: int, timeout_ms: int
    ) -> listings.SettingsUpdate | listings.HistoryExpired | tables.Unavailable:
        await asyncio.sleep(wait_ms / 1000)
        return listings.SettingsUpdate(cell.settings, cell.settings.revision)

    async def list_workers(
        timeout_ms: int,
    ) -> listings.WorkerList | tables.Unavailable:
        if cell.is_list_down:
            return tables.Unavailable('down')
        return listings.WorkerList(
            {
                id: target.worker
                for id, target in cell.targets.items()
                if id not in cell.unlisted and not target.is_replaced
            }
        )

    return listings.Listings(read, follow, list_workers)


def connect_adviser(cell: Cell) -> advisers.Advise:
    """Returns access to the cell's adviser."""

    async def advise(
        stage: str, ids: list[str], timeout_ms: int
    ) -> advisers.Advised | advisers.Unadvised:
        cell.asked.append(ids)
        await asyncio.sleep(0.05)
        suited = [i for i in ids if cell.suited is None or i in cell.suited]
        return advisers.Advised({i: f'{stage}@{i}' for i in suited}, 2_000)

    return advise


def make_routes(cell: Cell) -> store_routes.StoreRoutes:
    """Returns a route to the store that always works."""

    async def fetch(
        call: platform_calls.Call, timeout_ms: int
    ) -> platform_calls.Reply | platform_calls.NoAnswer:
        return platform_calls.Reply(200, {})

    return store_routes.StoreRoutes(
        cell.clock, fetch, platform_calls.Call('GET', '/')
    )


def make_node(
    cell: Cell, id: str, limits: time_limits.TimeLimits | None = None
) -> nodes.Node:
    """Returns an instance of the cell that does not own the jobs yet."""
    return nodes.Node(
        id=id,
        address=f'{id}:1',
        domain='a',
        millicores=1_000,
        clock=cell.clock,
        rng=random.Random(id),
        limits=limits or time_limits.TimeLimits(),
        backends=nodes.Backends(
            fakes.connect_table(cell.table),
            connect_listings(cell),
            connect_runners(cell),
            connect_adviser(cell),
        ),
        tasks=tasks.TaskSet(),
        settings=cell.settings,
    )


def _make_find_job(node: nodes.Node) -> Callable[[str], jobs.Job | None]:
    """Returns a function that looks up the jobs that an instance owns."""

    def find_job(id: str) -> jobs.Job | None:
        if node.ownership is None:
            return None
        return node.ownership.cluster.jobs.get(id)

    return find_job


async def start_owner(cell: Cell, id: str) -> nodes.Node:
    """Returns an instance that has become the owner of the jobs."""
    node = make_node(cell, id)
    cell.find_job = _make_find_job(node)
    table = node.backends.table
    found = await takeover.read_owner(table, 100)
    assert found is not None
    sent_ms = cell.clock.now_ms()
    owner = await takeover.take_over(table, found, node.id, node.address, 100)
    assert owner is not None
    await owner_election.start_ownership(node, owner, sent_ms)
    return node


async def wait_until(
    cell: Cell, holds: Callable[[], bool], most_ms: int = 30_000
) -> bool:
    """Waits in virtual time; tells whether the condition came to hold."""
    until_ms = cell.clock.now_ms() + most_ms
    while not holds():
        if cell.clock.now_ms() >= until_ms:
            return False
        await asyncio.sleep(0.01)
    return True


def run(
    script: Callable[[asyncio.AbstractEventLoop], Awaitable[None]],
) -> None:
    """Runs a script on a loop of its own in virtual time."""
    loop = virtual_time.VirtualLoop()
    try:
        loop.run_until_complete(_run_script(script, loop))
    finally:
        loop.close()


async def _run_script(
    script: Callable[[asyncio.AbstractEventLoop], Awaitable[None]],
    loop: asyncio.AbstractEventLoop,
) -> None:
    try:
        await script(loop)
    finally:
        current = asyncio.current_task()
        others = [t for t in asyncio.all_tasks() if t is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
