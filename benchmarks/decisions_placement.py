"""Cost of a placement, and how full the fleet gets."""

import random
import time

from benchmarks import lines
from benchmarks import naive
from benchmarks import workloads
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

FULL = 0.9
ROUNDS = 300
# Requests that are replaced in each round.
BATCH = 10
# What the queue asks for, in parts of the fleet, when packing is measured.
DEPTH = 1.4
_NS_PER_MS = 1_000_000


def assign(req: requests.Request, now_ms: int) -> partitions.Assignment:
    """Returns an assignment of a request."""
    return partitions.Assignment(req, 'ledger-0', 'fleet-d0-0', 1, 0, now_ms)


def make_source(seed: int) -> workloads.Source:
    """Returns a source of single tasks."""
    return workloads.Source(random.Random(seed), gangs=0.0, large=0.0)


def fill(
    sched: scheduling.Scheduler, source: workloads.Source, part: float
) -> None:
    """Fills a part of the processors; a fifth of the tasks are services."""
    goal = part * sched.capacity.millicores
    number = 0
    while sched.used.millicores < goal:
        for _ in range(50):
            number += 1
            if number % 5 == 0:
                req = workloads.make_replica(source)
            else:
                req = workloads.make_batch(source, workloads.draw_run(source))
            scheduling.add_waiting(sched, assign(req, 0))
        scheduling.decide(sched, 1)
    for key in list(sched.waiting):
        scheduling.remove_waiting(sched, key)


def time_placements(count: int, seed: int) -> tuple[list[float], float, int]:
    """Replaces tasks on a fleet that is nearly full.

    Args:
      count: Number of workers.
      seed: Seed of the random numbers.

    Returns:
      Time of each placement in ms, whole time in ms with the accounts of
      arrivals and ends, and how many tasks ran.
    """
    configuration = workloads.make_configuration(1, [1.0] * workloads.TEAMS)
    (sched,) = workloads.make_schedulers(
        1, count, configuration, policies.Policy()
    )
    source = make_source(seed)
    fill(sched, source, FULL)
    running = len(sched.held)
    rng = random.Random(seed)
    rounds = min(ROUNDS, running // BATCH)
    tasks = rng.sample(sorted(sched.held, key=str), rounds * BATCH)
    times: list[float] = []
    spent_ns = 0
    for number in range(rounds):
        ended = tasks[number * BATCH : number * BATCH + BATCH]
        waiting = [
            assign(workloads.make_batch(source, 60_000), 2)
            for _ in range(BATCH)
        ]
        begin_ns = time.perf_counter_ns()
        for task in ended:
            scheduling.release(sched, task)
        for given in waiting:
            scheduling.add_waiting(sched, given)
        middle_ns = time.perf_counter_ns()
        placed = len(scheduling.decide(sched, 2))
        end_ns = time.perf_counter_ns()
        spent_ns += end_ns - begin_ns
        each_ms = (end_ns - middle_ns) / _NS_PER_MS / max(1, placed)
        times += [each_ms] * placed
    return times, spent_ns / _NS_PER_MS, running


def time_single(count: int, seed: int) -> list[float]:
    """Returns the time in ms of passes that place one request each."""
    configuration = workloads.make_configuration(1, [1.0] * workloads.TEAMS)
    (sched,) = workloads.make_schedulers(
        1, count, configuration, policies.Policy()
    )
    source = make_source(seed)
    fill(sched, source, FULL)
    rng = random.Random(seed)
    times = []
    for task in rng.sample(sorted(sched.held, key=str), 2_000):
        scheduling.release(sched, task)
        req = workloads.make_batch(source, 60_000)
        scheduling.add_waiting(sched, assign(req, 2))
        begin_ns = time.perf_counter_ns()
        scheduling.decide(sched, 2)
        times.append((time.perf_counter_ns() - begin_ns) / _NS_PER_MS)
    return times


def measure_cost(seed: int) -> list[lines.Figure]:
    """Measures rate, percentile and growth of placements."""
    # The first run warms the interpreter up and is not measured.
    time_placements(94, seed)
    small, _, _ = time_placements(94, seed)
    large, spent_ms, running = time_placements(workloads.WORKERS, seed)
    growth = (sum(large) / len(large)) / (sum(small) / len(small))
    single = time_single(workloads.WORKERS, seed)
    return [
        lines.Figure('placement_running', running, 'count'),
        lines.Figure(
            'placement_rate', len(large) / spent_ms * 1_000, '1/s', '>=3000'
        ),
        lines.Figure(
            'placement_p99',
            lines.compute_percentile(single, 0.99),
            'ms',
            '<=5',
        ),
        lines.Figure('placement_growth', growth, 'ratio', '<=2'),
    ]


def _make_queue(
    source: workloads.Source, capacity: resources.Resources
) -> list[requests.Request]:
    """Returns a mixed queue that asks for more than there is."""
    queue = []
    demand = resources.NOTHING
    goal = int(DEPTH * capacity.millicores)
    while demand.millicores < goal:
        req = workloads.make_batch(source, workloads.MEAN_RUN_MS)
        whole = resources.multiply(req.size, req.members)
        demand = resources.add(demand, whole)
        queue.append(req)
    return queue


def compute_value(
    amount: resources.Resources, capacity: resources.Resources
) -> float:
    """Returns the mean part of processors, memory and accelerators.

    With the least of demand and capacity in place of amount, this bounds what
    any placement reaches, as if all requests could be divided.
    """
    return (
        amount.millicores / capacity.millicores
        + amount.memory_mib / capacity.memory_mib
        + amount.accelerators / capacity.accelerators
    ) / 3


def pack(seed: int, decide: naive.Decide) -> float:
    """Returns what a decider packs, in parts of the divisible bound."""
    configuration = workloads.make_configuration(
        workloads.DOMAINS, [1.0] * workloads.TEAMS
    )
    source = workloads.Source(
        random.Random(seed), large=0.01, gangs=0.01, cards=0.15
    )
    scheds = workloads.make_schedulers(
        workloads.DOMAINS, workloads.WORKERS, configuration, policies.Policy()
    )
    value = bound = 0.0
    for sched in scheds:
        queue = _make_queue(source, sched.capacity)
        demand = resources.NOTHING
        for number, req in enumerate(queue):
            whole = resources.multiply(req.size, req.members)
            demand = resources.add(demand, whole)
            scheduling.add_waiting(sched, assign(req, number))
        # What all-at-once jobs hold back is decided anew after their pause.
        for now_ms in (100_000, 100_500):
            decide(sched, now_ms)
        least = resources.take_least(demand, sched.capacity)
        value += compute_value(sched.used, sched.capacity)
        bound += compute_value(least, sched.capacity)
    return value / bound


def measure_packing(seed: int) -> list[lines.Figure]:
    """Measures packing beside first fit and random fit of the same queue."""
    mine = pack(seed, scheduling.decide)
    first = pack(seed, naive.make_fifo(naive.choose_first, stops=False))
    choose = naive.make_random_choice(random.Random(seed))
    drawn = pack(seed, naive.make_fifo(choose, stops=False))
    best = max(first, drawn)
    return [
        lines.Figure('packing', mine, 'parts', '>=0.95'),
        lines.Figure('packing_first_fit', first, 'parts'),
        lines.Figure('packing_random_fit', drawn, 'parts'),
        lines.Figure('packing_gain', mine - best, 'parts', '>=0'),
    ]
