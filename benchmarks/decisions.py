"""Measures the decisions at the size they are designed for.

Prints one line for each figure, with its target if it has one. Exits with 1
if a target is missed.
"""

import sys
import time

from benchmarks import decisions_examples
from benchmarks import decisions_placement
from benchmarks import decisions_policies
from benchmarks import lines

SEED = 20_261


def main() -> int:
    """Runs every measurement."""
    begin_s = time.monotonic()
    print(f'bench name=seed value={SEED} unit=count target=- ok=yes')
    missed = False
    for measure in (
        decisions_placement.measure_cost,
        decisions_placement.measure_packing,
        decisions_policies.measure_waiting,
        decisions_policies.measure_starvation,
        decisions_policies.measure_shares,
        decisions_policies.measure_domains,
        decisions_examples.measure_examples,
    ):
        figures = measure(SEED)
        lines.show(figures)
        missed = missed or not all(lines.is_met(one) for one in figures)
    took = lines.Figure('bench_time', time.monotonic() - begin_s, 's')
    lines.show([took])
    return int(missed)


if __name__ == '__main__':
    sys.exit(main())
