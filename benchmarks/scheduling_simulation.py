"""Drives schedulers on a manual clock: arrivals, ends, preemptions, loads."""

from collections.abc import Callable
import dataclasses
import heapq
import random

from benchmarks import naive
from nutmegknot._internal.decisions import routing
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import loads
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import clock as clock_lib

STEP_MS = 100
DIGEST_MS = 1_000
# Time from a stop order to the end of the task.
STOP_MS = 500
# How long a worker that fails everything takes to fail a task.
BAD_WORKER_MS = 300


@dataclasses.dataclass(slots=True)
class Wait:
    """How long a request waited, or has been waiting at the end."""

    req: requests.Request
    wait_ms: int
    started: bool


@dataclasses.dataclass(slots=True)
class Totals:
    """Work in millicores times ms.

    Attributes:
      done: Work of tasks that ended well or still run.
      lost: Work of tasks that were stopped or failed.
      possible: What the open workers could have done.
    """

    done: float = 0.0
    lost: float = 0.0
    possible: float = 0.0


@dataclasses.dataclass(slots=True)
class Driver:
    """State of a driven cell.

    Attributes:
      scheds: The schedulers, one for each domain.
      decide: The decider.
      rng: Seeded source of random numbers.
      time: The manual time.
      clock: Reads it.
      known: Submitted requests by key.
      attempts: Attempts assigned of each request.
      true_run_ms: True run time of each request in ms; 0 for services.
      submitted_ms: Instant in ms of each submission.
      ends: Heap of the ends to come.
      seen: Loads as last exchanged.
      assigned: What was assigned since.
      waits: How long requests waited.
      totals: Sums of work.
      starts: Requests started.
      failing: Part of the tasks that fail before their end.
      bad_workers: Workers that fail everything.
      fail_keys: Requests whose present run will fail.
    """

    scheds: list[scheduling.Scheduler]
    decide: naive.Decide
    rng: random.Random
    time: clock_lib.ManualTime
    clock: clock_lib.Clock
    known: dict[str, requests.Request] = dataclasses.field(default_factory=dict)
    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    true_run_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    submitted_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[tuple[int, int, str, int]] = dataclasses.field(
        default_factory=list
    )
    seen: list[loads.SeenLoad] = dataclasses.field(default_factory=list)
    assigned: routing.Assigned = dataclasses.field(
        default_factory=routing.Assigned
    )
    waits: list[Wait] = dataclasses.field(default_factory=list)
    totals: Totals = dataclasses.field(default_factory=Totals)
    starts: int = 0
    failing: float = 0.0
    bad_workers: frozenset[str] = frozenset()
    fail_keys: set[str] = dataclasses.field(default_factory=set)


def make_driver(
    scheds: list[scheduling.Scheduler], decide: naive.Decide, seed: int
) -> Driver:
    """Returns a driver at instant 1 s."""
    time = clock_lib.ManualTime(1_000)
    clock = clock_lib.make_manual_clock(time)
    driver = Driver(scheds, decide, random.Random(seed), time, clock)
    exchange_loads(driver)
    return driver


def submit(driver: Driver, req: requests.Request, run_ms: int) -> None:
    """Submits a request that will run for run_ms; 0 means without end."""
    key = requests.get_key(req)
    driver.known[key] = req
    driver.true_run_ms[key] = run_ms
    driver.submitted_ms[key] = driver.clock.now_ms()
    _assign(driver, key)


def _assign(driver: Driver, key: str) -> None:
    req = driver.known[key]
    attempt = driver.attempts.get(key, 0)
    driver.attempts[key] = attempt + 1
    now_ms = driver.clock.now_ms()
    choice = routing.choose_partition(
        req, driver.seen, driver.rng, now_ms, driver.assigned
    )
    assert isinstance(choice, routing.Chosen), choice
    number = int(choice.name)
    given = partitions.Assignment(
        req, 'ledger-0', choice.name, 1, attempt, now_ms
    )
    scheduling.add_waiting(driver.scheds[number], given)


def exchange_loads(driver: Driver) -> None:
    """Exchanges what the partitions tell each other once a second."""
    driver.seen = [
        loads.SeenLoad(_compute_load(sched, number), driver.clock.now_ms())
        for number, sched in enumerate(driver.scheds)
    ]
    fleet = loads.add_up([one.load for one in driver.seen if one.load.is_open])
    for sched in driver.scheds:
        scheduling.set_fleet_usage(sched, fleet.usage, fleet.capacity)


def is_open(sched: scheduling.Scheduler) -> bool:
    """Tells whether the domain of a scheduler is open."""
    return sched.configuration.domains[sched.domain].state.value == 'open'


def _compute_load(sched: scheduling.Scheduler, number: int) -> loads.Load:
    free = [sched.free[worker_id] for worker_id in sched.machines]
    largest = max(free, key=lambda one: (one.accelerators, one.millicores))
    queued: dict[requests.PriorityClass, resources.Resources] = {}
    for demand in sched.queue.demand.values():
        before = queued.get(requests.PriorityClass.NORMAL, resources.NOTHING)
        queued[requests.PriorityClass.NORMAL] = resources.add(before, demand)
    shapes = {worker.capacity for worker in sched.machines.values()}
    return loads.Load(
        partition=str(number),
        domain=sched.domain,
        region='region',
        epoch=1,
        is_open=is_open(sched),
        is_whole=True,
        capacity=sched.capacity,
        free=resources.subtract(sched.capacity, sched.used),
        largest_hole=largest,
        shapes=tuple(loads.Shape(one, 99) for one in shapes),
        queued=queued,
        usage=scheduling.compute_usage(sched),
        services={
            service: sum(counts.values())
            for service, counts in sched.replicas.items()
        },
    )


def run(
    driver: Driver,
    duration_ms: int,
    arrive: Callable[[Driver], None] | None = None,
) -> None:
    """Moves the time on by duration_ms, step by step."""
    until_ms = driver.clock.now_ms() + duration_ms
    while driver.clock.now_ms() < until_ms:
        driver.time.at_ms += STEP_MS
        now_ms = driver.clock.now_ms()
        if now_ms % DIGEST_MS == 0:
            exchange_loads(driver)
        if arrive is not None:
            arrive(driver)
        _end_due(driver)
        for number in range(len(driver.scheds)):
            _decide(driver, number)
        open_cores = sum(
            sched.capacity.millicores
            for sched in driver.scheds
            if is_open(sched)
        )
        driver.totals.possible += open_cores * STEP_MS


def _decide(driver: Driver, number: int) -> None:
    sched = driver.scheds[number]
    now_ms = driver.clock.now_ms()
    for decision in driver.decide(sched, now_ms):
        key = decision.request_key
        match decision:
            case scheduling.Place(_, places):
                _start(driver, number, key, places)
            case scheduling.Preempt():
                end_ms = now_ms + STOP_MS
                attempt = sched.running[key].given.attempt
                driver.fail_keys.add(key)
                heapq.heappush(driver.ends, (end_ms, number, key, attempt))
            case scheduling.GiveBack(_, _, _):
                _assign(driver, key)


def _start(
    driver: Driver, number: int, key: str, places: tuple[str, ...]
) -> None:
    sched = driver.scheds[number]
    now_ms = driver.clock.now_ms()
    given = sched.running[key].given
    driver.starts += 1
    if given.attempt == 0:
        wait_ms = now_ms - driver.submitted_ms[key]
        driver.waits.append(Wait(given.req, wait_ms, started=True))
    run_ms = driver.true_run_ms[key]
    driver.fail_keys.discard(key)
    if driver.bad_workers.intersection(places):
        run_ms = BAD_WORKER_MS
        driver.fail_keys.add(key)
    elif run_ms and driver.rng.random() < driver.failing:
        run_ms = int(run_ms * driver.rng.random())
        driver.fail_keys.add(key)
    if run_ms:
        entry = (now_ms + run_ms, number, key, given.attempt)
        heapq.heappush(driver.ends, entry)


def _end_due(driver: Driver) -> None:
    now_ms = driver.clock.now_ms()
    while driver.ends and driver.ends[0][0] <= now_ms:
        end_ms, number, key, attempt = heapq.heappop(driver.ends)
        running = driver.scheds[number].running.get(key)
        if running is not None and running.given.attempt == attempt:
            _end(driver, number, key, end_ms)


def _end(driver: Driver, number: int, key: str, end_ms: int) -> None:
    sched = driver.scheds[number]
    running = sched.running[key]
    req = running.given.req
    failed = key in driver.fail_keys
    work = req.size.millicores * req.members * (end_ms - running.started_ms)
    if failed:
        # Services do their work while they run; what is lost is a restart.
        lost = req.size.millicores * STOP_MS if req.service else work
        driver.totals.lost += lost
        driver.totals.done += work - lost if req.service else 0.0
    else:
        driver.totals.done += work
    for task in sorted(running.members, key=lambda one: one.member):
        worker_id = sched.held[task].worker_id
        if not failed:
            scheduling.note_success(sched, worker_id, end_ms, key)
        elif not running.stopping:
            scheduling.note_failure(sched, worker_id, key, end_ms)
        scheduling.release(sched, task)
    driver.fail_keys.discard(key)
    if failed:
        _assign(driver, key)


def finish(driver: Driver) -> None:
    """Adds what runs and what waits at the end to the sums."""
    now_ms = driver.clock.now_ms()
    for sched in driver.scheds:
        for running in sched.running.values():
            req = running.given.req
            ran_ms = now_ms - running.started_ms
            driver.totals.done += req.size.millicores * req.members * ran_ms
        for key, given in sched.waiting.items():
            if given.attempt == 0:
                wait_ms = now_ms - driver.submitted_ms[key]
                driver.waits.append(Wait(given.req, wait_ms, started=False))


def clear_sums(driver: Driver) -> None:
    """Starts the measurement here: what ran before does not count."""
    now_ms = driver.clock.now_ms()
    driver.waits.clear()
    driver.starts = 0
    driver.totals = Totals()
    for sched in driver.scheds:
        for running in sched.running.values():
            req = running.given.req
            ran_ms = now_ms - running.started_ms
            driver.totals.done -= req.size.millicores * req.members * ran_ms
