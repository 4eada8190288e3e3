"""Measures the processor time of placements and the quality of packing."""

import random
import time

from benchmarks import baseline_policies
from benchmarks import measurements
from benchmarks import workloads
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources

# Fraction of the processors that is in use when placements are timed.
FILL_FRACTION = 0.9
ROUNDS = 300
# Number of tasks that are replaced in each round.
TASKS_PER_ROUND = 10
# Processors that the queue requests, relative to those of the fleet, when
# packing is measured.
QUEUE_DEMAND_RATIO = 1.4
_NS_PER_MS = 1_000_000


def make_assignment(
    req: requests.Request, now_ms: int
) -> partitions.Assignment:
    """Returns an assignment of a request."""
    return partitions.Assignment(req, 'ledger-0', 'fleet-d0-0', 1, 0, now_ms)


def make_source(seed: int) -> workloads.RequestSource:
    """Returns a source of single tasks."""
    return workloads.RequestSource(random.Random(seed), gangs=0.0, large=0.0)


def fill_workers(
    sched: scheduling.Scheduler,
    source: workloads.RequestSource,
    fraction: float,
) -> None:
    """Fills a fraction of the processors; a fifth of the tasks are services."""
    goal = fraction * sched.capacity.millicores
    number = 0
    while sched.used.millicores < goal:
        for _ in range(50):
            number += 1
            if number % 5 == 0:
                req = workloads.make_replica(source)
            else:
                req = workloads.make_batch(
                    source, workloads.draw_run_ms(source)
                )
            scheduling.add_waiting(sched, make_assignment(req, 0))
        scheduling.decide(sched, 1)
    for key in list(sched.waiting):
        scheduling.remove_waiting(sched, key)


def time_placements(count: int, seed: int) -> tuple[list[float], float, int]:
    """Replaces tasks in a fleet that is nearly full.

    Args:
      count: Number of workers.
      seed: Seed of the random numbers.

    Returns:
      Time of each placement in ms, total time in ms including the processing of
      arrivals and ends, and number of running tasks.
    """
    configuration = workloads.make_configuration(1, [1.0] * workloads.TEAMS)
    (sched,) = workloads.make_schedulers(
        1, count, configuration, policies.Policy()
    )
    source = make_source(seed)
    fill_workers(sched, source, FILL_FRACTION)
    running = len(sched.allocations)
    rng = random.Random(seed)
    rounds = min(ROUNDS, running // TASKS_PER_ROUND)
    tasks = rng.sample(
        sorted(sched.allocations, key=str), rounds * TASKS_PER_ROUND
    )
    times_ms: list[float] = []
    elapsed_ns = 0
    for number in range(rounds):
        ended = tasks[
            number * TASKS_PER_ROUND : number * TASKS_PER_ROUND
            + TASKS_PER_ROUND
        ]
        waiting = [
            make_assignment(workloads.make_batch(source, 60_000), 2)
            for _ in range(TASKS_PER_ROUND)
        ]
        begin_ns = time.perf_counter_ns()
        for task in ended:
            scheduling.release(sched, task)
        for assignment in waiting:
            scheduling.add_waiting(sched, assignment)
        middle_ns = time.perf_counter_ns()
        placed = len(scheduling.decide(sched, 2))
        end_ns = time.perf_counter_ns()
        elapsed_ns += end_ns - begin_ns
        each_ms = (end_ns - middle_ns) / _NS_PER_MS / max(1, placed)
        times_ms += [each_ms] * placed
    return times_ms, elapsed_ns / _NS_PER_MS, running


def time_single(count: int, seed: int) -> list[float]:
    """Returns the times in ms of decisions that place one request each."""
    configuration = workloads.make_configuration(1, [1.0] * workloads.TEAMS)
    (sched,) = workloads.make_schedulers(
        1, count, configuration, policies.Policy()
    )
    source = make_source(seed)
    fill_workers(sched, source, FILL_FRACTION)
    rng = random.Random(seed)
    times_ms = []
    for task in rng.sample(sorted(sched.allocations, key=str), 2_000):
        scheduling.release(sched, task)
        req = workloads.make_batch(source, 60_000)
        scheduling.add_waiting(sched, make_assignment(req, 2))
        begin_ns = time.perf_counter_ns()
        scheduling.decide(sched, 2)
        times_ms.append((time.perf_counter_ns() - begin_ns) / _NS_PER_MS)
    return times_ms


def measure_cost(seed: int) -> list[measurements.Measurement]:
    """Measures rate and latency of placements, and growth with fleet size."""
    # The first run warms up the interpreter; its result is not used.
    time_placements(94, seed)
    small, _, _ = time_placements(94, seed)
    large, elapsed_ms, running = time_placements(workloads.WORKERS, seed)
    growth = (sum(large) / len(large)) / (sum(small) / len(small))
    single_times_ms = time_single(workloads.WORKERS, seed)
    return [
        measurements.Measurement('placement_running', running, 'count'),
        measurements.Measurement(
            'placement_rate', len(large) / elapsed_ms * 1_000, '1/s', '>=3000'
        ),
        measurements.Measurement(
            'placement_p99',
            measurements.compute_percentile(single_times_ms, 0.99),
            'ms',
            '<=5',
        ),
        measurements.Measurement('placement_growth', growth, 'ratio', '<=2'),
    ]


def _make_queue(
    source: workloads.RequestSource, capacity: resources.Resources
) -> list[requests.Request]:
    """Returns mixed requests that exceed the capacity."""
    queue = []
    demand = resources.ZERO
    goal = int(QUEUE_DEMAND_RATIO * capacity.millicores)
    while demand.millicores < goal:
        req = workloads.make_batch(source, workloads.MEAN_RUN_MS)
        total = resources.multiply(req.size, req.members)
        demand = resources.add(demand, total)
        queue.append(req)
    return queue


def compute_mean_utilization(
    amount: resources.Resources, capacity: resources.Resources
) -> float:
    """Returns the mean utilization of processors, memory and accelerators.

    For the minimum of demand and capacity, this is an upper bound for every
    placement, as requests cannot be divided.
    """
    return (
        amount.millicores / capacity.millicores
        + amount.memory_mib / capacity.memory_mib
        + amount.accelerators / capacity.accelerators
    ) / 3


def measure_packing_quality(
    seed: int, decide: baseline_policies.DecideFunction
) -> float:
    """Returns the utilization that a policy reaches, relative to the bound.

    The bound is the utilization if requests could be divided.
    """
    configuration = workloads.make_configuration(
        workloads.DOMAINS, [1.0] * workloads.TEAMS
    )
    source = workloads.RequestSource(
        random.Random(seed), large=0.01, gangs=0.01, accelerators=0.15
    )
    scheds = workloads.make_schedulers(
        workloads.DOMAINS, workloads.WORKERS, configuration, policies.Policy()
    )
    value = bound = 0.0
    for sched in scheds:
        queue = _make_queue(source, sched.capacity)
        demand = resources.ZERO
        for number, req in enumerate(queue):
            total = resources.multiply(req.size, req.members)
            demand = resources.add(demand, total)
            scheduling.add_waiting(sched, make_assignment(req, number))
        # Resources kept free for gangs are offered again after a pause, so a
        # second decision follows 500 ms later.
        for now_ms in (100_000, 100_500):
            decide(sched, now_ms)
        reachable = resources.compute_minimum(demand, sched.capacity)
        value += compute_mean_utilization(sched.used, sched.capacity)
        bound += compute_mean_utilization(reachable, sched.capacity)
    return value / bound


def measure_packing(seed: int) -> list[measurements.Measurement]:
    """Measures packing, and first fit and random fit for comparison."""
    own_quality = measure_packing_quality(seed, scheduling.decide)
    first_fit_quality = measure_packing_quality(
        seed,
        baseline_policies.make_fifo_policy(
            baseline_policies.choose_first_fit, strict_order=False
        ),
    )
    choose = baseline_policies.make_random_fit(random.Random(seed))
    random_fit_quality = measure_packing_quality(
        seed, baseline_policies.make_fifo_policy(choose, strict_order=False)
    )
    best_baseline = max(first_fit_quality, random_fit_quality)
    return [
        measurements.Measurement('packing', own_quality, 'parts', '>=0.95'),
        measurements.Measurement(
            'packing_first_fit', first_fit_quality, 'parts'
        ),
        measurements.Measurement(
            'packing_random_fit', random_fit_quality, 'parts'
        ),
        measurements.Measurement(
            'packing_gain', own_quality - best_baseline, 'parts', '>=0'
        ),
    ]
