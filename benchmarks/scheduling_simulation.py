"""Simulates schedulers of a cell with a manually advanced clock.

Covers arrivals, ends and preemptions of requests, and the exchange of loads.
"""

from collections.abc import Callable
import dataclasses
import heapq
import random

from benchmarks import baseline_policies
from nutmegknot._internal.decisions import routing
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import clock as clock_lib

STEP_MS = 100
LOAD_EXCHANGE_INTERVAL_MS = 1_000
# Time from a stop command to the end of the task.
TASK_STOP_MS = 500
# Run time of a task on a worker on which all tasks fail.
FAILING_WORKER_RUN_MS = 300


@dataclasses.dataclass(slots=True)
class RequestWait:
    """Time that a request waited until its start or until the end.

    Attributes:
      req: The request.
      wait_ms: The time in ms.
      started: Whether it was started.
    """

    req: requests.Request
    wait_ms: int
    started: bool


@dataclasses.dataclass(slots=True)
class WorkTotals:
    """Sums of work, in millicores times ms.

    Attributes:
      done: Work of tasks that succeeded or still run. Services count while
        they run.
      lost: Work of tasks that were stopped or failed. A service loses only the
        time of a restart.
      possible: Work that the workers of open domains could have done.
    """

    done: float = 0.0
    lost: float = 0.0
    possible: float = 0.0


@dataclasses.dataclass(slots=True)
class Simulation:
    """State of a simulated cell.

    Attributes:
      scheds: The schedulers, one for each domain.
      decide: Scheduling policy.
      rng: Seeded source of random numbers.
      time: Simulated time, which is advanced by hand.
      clock: Clock that reads the simulated time.
      submitted_requests: Submitted requests by key.
      attempt_counts: Number of assigned attempts by request key.
      true_run_ms: Actual run time in ms by request key; 0 for services.
      submitted_ms: Submission time in ms by request key.
      pending_ends: Heap of future ends, each as the time in ms, the number of
        the scheduler, the request key and the attempt.
      timed_loads: Loads as last exchanged.
      recent_assignments: Assignments since the last exchange of loads.
      waits: Waiting times of requests.
      totals: Sums of work.
      starts: Number of starts.
      task_failure_rate: Fraction of runs that fail before their end.
      failing_workers: Workers on which all tasks fail.
      failing_requests: Keys of requests whose current run will fail.
    """

    scheds: list[scheduling.Scheduler]
    decide: baseline_policies.DecideFunction
    rng: random.Random
    time: clock_lib.ManualTime
    clock: clock_lib.Clock
    submitted_requests: dict[str, requests.Request] = dataclasses.field(
        default_factory=dict
    )
    attempt_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    true_run_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    submitted_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    pending_ends: list[tuple[int, int, str, int]] = dataclasses.field(
        default_factory=list
    )
    timed_loads: list[loads.TimedLoad] = dataclasses.field(default_factory=list)
    recent_assignments: routing.RecentAssignments = dataclasses.field(
        default_factory=routing.RecentAssignments
    )
    waits: list[RequestWait] = dataclasses.field(default_factory=list)
    totals: WorkTotals = dataclasses.field(default_factory=WorkTotals)
    starts: int = 0
    task_failure_rate: float = 0.0
    failing_workers: frozenset[str] = frozenset()
    failing_requests: set[str] = dataclasses.field(default_factory=set)


def make_simulation(
    scheds: list[scheduling.Scheduler],
    decide: baseline_policies.DecideFunction,
    seed: int,
) -> Simulation:
    """Returns a simulation that starts at time 1 s."""
    time = clock_lib.ManualTime(1_000)
    clock = clock_lib.make_manual_clock(time)
    simulation = Simulation(scheds, decide, random.Random(seed), time, clock)
    exchange_loads(simulation)
    return simulation


def submit(simulation: Simulation, req: requests.Request, run_ms: int) -> None:
    """Submits a request that runs for run_ms, or without end if that is 0."""
    key = requests.get_key(req)
    simulation.submitted_requests[key] = req
    simulation.true_run_ms[key] = run_ms
    simulation.submitted_ms[key] = simulation.clock.now_ms()
    _assign(simulation, key)


def _assign(simulation: Simulation, key: str) -> None:
    req = simulation.submitted_requests[key]
    attempt = simulation.attempt_counts.get(key, 0)
    simulation.attempt_counts[key] = attempt + 1
    now_ms = simulation.clock.now_ms()
    choice = routing.choose_partition(
        req,
        simulation.timed_loads,
        simulation.rng,
        now_ms,
        simulation.recent_assignments,
    )
    assert isinstance(choice, routing.Chosen), choice
    number = int(choice.name)
    assignment = partitions.Assignment(
        req, 'ledger-0', choice.name, 1, attempt, now_ms
    )
    scheduling.add_waiting(simulation.scheds[number], assignment)


def exchange_loads(simulation: Simulation) -> None:
    """Exchanges the loads of the fleet partitions."""
    simulation.timed_loads = [
        loads.TimedLoad(_compute_load(sched, number), simulation.clock.now_ms())
        for number, sched in enumerate(simulation.scheds)
    ]
    fleet = loads.sum_usage(
        [one.load for one in simulation.timed_loads if one.load.is_open]
    )
    for sched in simulation.scheds:
        scheduling.set_fleet_usage(sched, fleet.usage, fleet.capacity)


def is_open(sched: scheduling.Scheduler) -> bool:
    """Returns whether the domain of a scheduler is open."""
    return sched.configuration.domains[sched.domain].state.value == 'open'


def _compute_load(sched: scheduling.Scheduler, number: int) -> loads.Load:
    free = [sched.free[worker_id] for worker_id in sched.schedulable_workers]
    largest = max(free, key=lambda one: (one.accelerators, one.millicores))
    queued: dict[requests.PriorityClass, resources.Resources] = {}
    for demand in sched.queue.demand.values():
        before = queued.get(requests.PriorityClass.NORMAL, resources.ZERO)
        queued[requests.PriorityClass.NORMAL] = resources.add(before, demand)
    shapes = {worker.capacity for worker in sched.schedulable_workers.values()}
    return loads.Load(
        partition=str(number),
        domain=sched.domain,
        region='region',
        epoch=1,
        is_open=is_open(sched),
        is_inventory_complete=True,
        capacity=sched.capacity,
        free=resources.subtract(sched.capacity, sched.used),
        largest_free=largest,
        capacity_groups=tuple(loads.CapacityGroup(one, 99) for one in shapes),
        queued=queued,
        usage=scheduling.compute_usage(sched),
        services={
            service: sum(counts.values())
            for service, counts in sched.replicas.items()
        },
    )


def run(
    simulation: Simulation,
    duration_ms: int,
    arrive: Callable[[Simulation], None] | None = None,
) -> None:
    """Advances the simulated time by duration_ms in steps of STEP_MS."""
    until_ms = simulation.clock.now_ms() + duration_ms
    while simulation.clock.now_ms() < until_ms:
        simulation.time.at_ms += STEP_MS
        now_ms = simulation.clock.now_ms()
        if now_ms % LOAD_EXCHANGE_INTERVAL_MS == 0:
            exchange_loads(simulation)
        if arrive is not None:
            arrive(simulation)
        _end_due_requests(simulation)
        for number in range(len(simulation.scheds)):
            _decide(simulation, number)
        open_cores = sum(
            sched.capacity.millicores
            for sched in simulation.scheds
            if is_open(sched)
        )
        simulation.totals.possible += open_cores * STEP_MS


def _decide(simulation: Simulation, number: int) -> None:
    sched = simulation.scheds[number]
    now_ms = simulation.clock.now_ms()
    for decision in simulation.decide(sched, now_ms):
        key = decision.request_key
        match decision:
            case scheduling.Place(_, places):
                _start_request(simulation, number, key, places)
            case scheduling.Preempt():
                end_ms = now_ms + TASK_STOP_MS
                attempt = sched.running[key].assignment.attempt
                simulation.failing_requests.add(key)
                heapq.heappush(
                    simulation.pending_ends, (end_ms, number, key, attempt)
                )
            case scheduling.GiveBack(_, _, _):
                _assign(simulation, key)


def _start_request(
    simulation: Simulation, number: int, key: str, places: tuple[str, ...]
) -> None:
    sched = simulation.scheds[number]
    now_ms = simulation.clock.now_ms()
    assignment = sched.running[key].assignment
    simulation.starts += 1
    if assignment.attempt == 0:
        wait_ms = now_ms - simulation.submitted_ms[key]
        simulation.waits.append(
            RequestWait(assignment.req, wait_ms, started=True)
        )
    run_ms = simulation.true_run_ms[key]
    simulation.failing_requests.discard(key)
    if simulation.failing_workers.intersection(places):
        run_ms = FAILING_WORKER_RUN_MS
        simulation.failing_requests.add(key)
    elif run_ms and simulation.rng.random() < simulation.task_failure_rate:
        run_ms = int(run_ms * simulation.rng.random())
        simulation.failing_requests.add(key)
    if run_ms:
        entry = (now_ms + run_ms, number, key, assignment.attempt)
        heapq.heappush(simulation.pending_ends, entry)


def _end_due_requests(simulation: Simulation) -> None:
    now_ms = simulation.clock.now_ms()
    while simulation.pending_ends and simulation.pending_ends[0][0] <= now_ms:
        end_ms, number, key, attempt = heapq.heappop(simulation.pending_ends)
        running = simulation.scheds[number].running.get(key)
        if running is not None and running.assignment.attempt == attempt:
            _end_request(simulation, number, key, end_ms)


def _end_request(
    simulation: Simulation, number: int, key: str, end_ms: int
) -> None:
    sched = simulation.scheds[number]
    running = sched.running[key]
    req = running.assignment.req
    failed = key in simulation.failing_requests
    work = req.size.millicores * req.members * (end_ms - running.started_ms)
    if failed:
        # A service does useful work while it runs; only its restart is lost.
        lost = req.size.millicores * TASK_STOP_MS if req.service else work
        simulation.totals.lost += lost
        simulation.totals.done += work - lost if req.service else 0.0
    else:
        simulation.totals.done += work
    for task in sorted(running.members, key=lambda one: one.member):
        worker_id = sched.allocations[task].worker_id
        if not failed:
            scheduling.record_success(sched, worker_id, end_ms, key)
        elif not running.stop_reason:
            scheduling.record_failure(sched, worker_id, key, end_ms)
        scheduling.release(sched, task)
    simulation.failing_requests.discard(key)
    if failed:
        _assign(simulation, key)


def add_unfinished(simulation: Simulation) -> None:
    """Adds running and waiting requests to the results at the end."""
    now_ms = simulation.clock.now_ms()
    for sched in simulation.scheds:
        for running in sched.running.values():
            req = running.assignment.req
            ran_ms = now_ms - running.started_ms
            simulation.totals.done += req.size.millicores * req.members * ran_ms
        for key, assignment in sched.waiting.items():
            if assignment.attempt == 0:
                wait_ms = now_ms - simulation.submitted_ms[key]
                simulation.waits.append(
                    RequestWait(assignment.req, wait_ms, started=False)
                )


def reset_measurements(simulation: Simulation) -> None:
    """Resets the results, so that earlier work does not count."""
    now_ms = simulation.clock.now_ms()
    simulation.waits.clear()
    simulation.starts = 0
    simulation.totals = WorkTotals()
    for sched in simulation.scheds:
        for running in sched.running.values():
            req = running.assignment.req
            ran_ms = now_ms - running.started_ms
            simulation.totals.done -= req.size.millicores * req.members * ran_ms
