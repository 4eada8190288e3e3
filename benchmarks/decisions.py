"""Benchmarks the scheduling decisions at the size they are designed for.

Prints one line for each result, with its target if it has one. Exits with 1
if a target is missed.
"""

import concurrent.futures
import sys
import time

from benchmarks import decisions_examples
from benchmarks import decisions_placement
from benchmarks import decisions_policies
from benchmarks import measurements
from benchmarks import overload_patterns
from benchmarks import scheduling_passes

RANDOM_SEED = 20_261


# These use simulated time, so they may run in parallel.
MEASUREMENT_FUNCTIONS = (
    decisions_policies.measure_domains,
    decisions_policies.measure_shares,
    decisions_policies.measure_waiting,
    decisions_policies.measure_starvation,
    decisions_placement.measure_packing,
    decisions_examples.measure_examples,
    overload_patterns.measure_overload,
)
PROCESSES = 3


def main() -> int:
    """Runs all measurements.

    Those of processor time run first and alone. Returns the exit code.
    """
    started_s = time.monotonic()
    print(f'bench name=seed value={RANDOM_SEED} unit=count target=- ok=yes')
    results = decisions_placement.measure_cost(RANDOM_SEED)
    results += scheduling_passes.measure_passes(RANDOM_SEED)
    measurements.print_measurements(results)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for future in [
            pool.submit(one, RANDOM_SEED) for one in MEASUREMENT_FUNCTIONS
        ]:
            measurements.print_measurements(future.result())
            results += future.result()
    total_time = measurements.Measurement(
        'bench_time', time.monotonic() - started_s, 's'
    )
    measurements.print_measurements([total_time])
    return int(not all(measurements.meets_target(one) for one in results))


if __name__ == '__main__':
    sys.exit(main())
