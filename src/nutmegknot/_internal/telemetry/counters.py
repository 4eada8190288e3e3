"""Counters, histograms and gauges as plain data.

Counting is an addition in a dictionary; what shows the totals reads them when
it is asked to.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

# Upper bounds of the waiting-time buckets in ms.
WAIT_BOUNDS_MS = (
    50,
    100,
    250,
    500,
    1_000,
    2_500,
    6_400,
    15_000,
    60_000,
    300_000,
    3_600_000,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Counter:
    """Totals by the values of the labels.

    Attributes:
      name: Name of the metric.
      help: One line on what is counted.
      labels: Names of the labels.
      totals: Totals by the labels' values, in the order of their names.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    totals: dict[tuple[str, ...], int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Histogram:
    """Values in buckets, by the values of the labels.

    Attributes:
      name: Name of the metric.
      help: One line on what is measured.
      labels: Names of the labels.
      bounds: Upper bounds of the buckets; one more has no bound.
      buckets: Values in each bucket, by the labels' values.
      sums: Sum of the values.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    bounds: tuple[int, ...]
    buckets: dict[tuple[str, ...], list[int]]
    sums: Counter


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """One value of a gauge.

    Attributes:
      labels: Values of the labels by name.
      value: The value.
    """

    labels: dict[str, str]
    value: float


@dataclasses.dataclass(slots=True, frozen=True)
class Gauge:
    """A value that is read when metrics are asked for.

    Attributes:
      name: Name of the metric.
      help: One line on what it shows.
      unit: Its unit.
      read: Returns the present values.
    """

    name: str
    help: str
    unit: str
    read: Callable[[], Iterable[Reading]]


def make_histogram(
    name: str, help: str, labels: tuple[str, ...], bounds: tuple[int, ...]
) -> Histogram:
    """Returns a histogram that has counted nothing."""
    sums = Counter(f'{name}_sum', f'Sum: {help}', labels)
    return Histogram(name, help, labels, bounds, {}, sums)


def count(counter: Counter, *labels: str, amount: int = 1) -> None:
    """Adds an amount to the total of the labels' values."""
    counter.totals[labels] = counter.totals.get(labels, 0) + amount


def record(histogram: Histogram, value: int, *labels: str) -> None:
    """Counts one value."""
    count(histogram.sums, *labels, amount=value)
    buckets = histogram.buckets.get(labels)
    if buckets is None:
        buckets = [0] * (len(histogram.bounds) + 1)
        histogram.buckets[labels] = buckets
    buckets[bisect.bisect_left(histogram.bounds, value)] += 1
