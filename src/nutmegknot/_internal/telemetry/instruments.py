"""Counters, histograms and gauges as plain data.

Counting only adds to a dictionary, which is cheap. The exporter reads the
totals when somebody requests the metrics.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

# Upper bounds of the buckets of waiting times.
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
    """A total for each combination of label values.

    Attributes:
      name: Name of the metric.
      help: One line on what is counted.
      labels: Names of the labels.
      totals: Totals by label values, which are in the order of labels.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    totals: dict[tuple[str, ...], int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Histogram:
    """Numbers of values by bucket, for each combination of label values.

    Attributes:
      name: Name of the metric.
      help: One line on what is measured.
      labels: Names of the labels.
      bounds: Inclusive upper bounds of the buckets, without the last bucket,
        which has no bound.
      buckets: Number of values in each bucket, by label values.
      sums: Sum of the values, by label values.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    bounds: tuple[int, ...]
    buckets: dict[tuple[str, ...], list[int]]
    sums: Counter


@dataclasses.dataclass(slots=True, frozen=True)
class GaugeReading:
    """One value that a gauge has at present.

    Attributes:
      labels: Label values by label name.
      value: The value, in the unit of the gauge.
    """

    labels: dict[str, str]
    value: float


@dataclasses.dataclass(slots=True, frozen=True)
class Gauge:
    """A value that is read when the metrics are requested.

    Attributes:
      name: Name of the metric.
      help: One line on what is measured.
      unit: Unit of the values.
      read: Returns the present values, one for each combination of label
        values.
    """

    name: str
    help: str
    unit: str
    read: Callable[[], Iterable[GaugeReading]]


def make_histogram(
    name: str, help: str, labels: tuple[str, ...], bounds: tuple[int, ...]
) -> Histogram:
    """Returns a histogram without values."""
    sums = Counter(f'{name}_sum', f'Sum: {help}', labels)
    return Histogram(name, help, labels, bounds, {}, sums)


def increment(counter: Counter, *labels: str, amount: int = 1) -> None:
    """Adds an amount to the total of a combination of label values."""
    counter.totals[labels] = counter.totals.get(labels, 0) + amount


def record(histogram: Histogram, value: int, *labels: str) -> None:
    """Adds one value to the histogram, under a combination of label values."""
    increment(histogram.sums, *labels, amount=value)
    buckets = histogram.buckets.get(labels)
    if buckets is None:
        buckets = [0] * (len(histogram.bounds) + 1)
        histogram.buckets[labels] = buckets
    buckets[bisect.bisect_left(histogram.bounds, value)] += 1
