"""Measures the decisions at the size they are designed for.

Prints one line for each figure, with its target if it has one. Exits with 1
if a target is missed.
"""

import concurrent.futures
import sys
import time

from benchmarks import decisions_examples
from benchmarks import decisions_placement
from benchmarks import decisions_policies
from benchmarks import lines

SEED = 20_261


# Measurements in manual time, which others beside them do not disturb.
MEASURES = (
    decisions_policies.measure_domains,
    decisions_policies.measure_shares,
    decisions_policies.measure_waiting,
    decisions_policies.measure_starvation,
    decisions_placement.measure_packing,
    decisions_examples.measure_examples,
)
PROCESSES = 3


def main() -> int:
    """Runs every measurement; those of processor time run alone."""
    begin_s = time.monotonic()
    print(f'bench name=seed value={SEED} unit=count target=- ok=yes')
    figures = decisions_placement.measure_cost(SEED)
    lines.show(figures)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for done in [pool.submit(one, SEED) for one in MEASURES]:
            lines.show(done.result())
            figures += done.result()
    took = lines.Figure('bench_time', time.monotonic() - begin_s, 's')
    lines.show([took])
    return int(not all(lines.is_met(one) for one in figures))


if __name__ == '__main__':
    sys.exit(main())
