"""Speed of the processor, measured as the time that a fixed calculation takes.

Load pattern: a machine slows down, so that all code on it takes several times
as long. Timers that fire late do not show that: they are also late on a machine
at full speed that has more work than it can do.
"""

import collections
import dataclasses
import time

from nutmegknot._internal.utils import clock as clock_lib

SAMPLE_INTERVAL_MS = 100
# Iterations of the calculation: about 0.1 ms on one core at full speed.
ITERATIONS = 2_000
# Number of samples from which the shortest is taken, since a sample in which
# the process was interrupted says nothing about the speed.
SAMPLE_COUNT = 5
_NS_PER_US = 1_000


@dataclasses.dataclass(slots=True)
class ProcessorSpeed:
    """Recent measurements of the processor's speed.

    Attributes:
      samples_us: Times that the calculation took, in microseconds, oldest
        first.
    """

    samples_us: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLE_COUNT)
    )


def record_sample(speed: ProcessorSpeed, sample_us: int) -> None:
    """Adds the time that one calculation took, in microseconds."""
    speed.samples_us.append(max(1, sample_us))


def get_calculation_time(speed: ProcessorSpeed) -> int:
    """Returns the time of the calculation in microseconds; 0 if not known."""
    return min(speed.samples_us, default=0)


def measure_calculation() -> int:
    """Makes the calculation once and returns how long it took, in us."""
    began_ns = time.monotonic_ns()
    total = 0
    for number in range(ITERATIONS):
        total += number
    return (time.monotonic_ns() - began_ns) // _NS_PER_US


async def run_sampling_loop(speed: ProcessorSpeed) -> None:
    """Takes samples at a fixed interval until cancelled."""
    while True:
        record_sample(speed, measure_calculation())
        await clock_lib.sleep(SAMPLE_INTERVAL_MS)
