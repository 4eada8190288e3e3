"""Metrics of one instance, by the OpenTelemetry SDK.

Counting is an addition in a dictionary; the SDK reads the totals only when
metrics are asked for.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export

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
_PREFIX = 'nutmegknot'
_INFINITE = '+Inf'


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
class Waits:
    """Waiting times in buckets.

    The SDK's histogram costs 25 microseconds a value, so values are counted
    here and the SDK reads the counts.

    Attributes:
      buckets: Values in each bucket, the last one without a bound, by class
        and team.
      sums: Sum of the waiting times in ms.
    """

    buckets: dict[tuple[str, str], list[int]]
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


@dataclasses.dataclass(slots=True, frozen=True)
class Metrics:
    """Metrics of one instance.

    Attributes:
      starts: Requests started.
      refusals: Requests refused, and so not run.
      store_calls: Calls to the table service and the object store.
      takeovers: Partitions that this instance began to serve.
      waits: Times from acceptance to start.
      meter: Makes instruments.
      reader: Reads all instruments.
    """

    starts: Counter
    refusals: Counter
    store_calls: Counter
    takeovers: Counter
    waits: Waits
    meter: api.Meter
    reader: export.InMemoryMetricReader


def make_metrics() -> Metrics:
    """Returns the metrics of an instance that has counted nothing."""
    reader = export.InMemoryMetricReader()
    provider = sdk.MeterProvider(
        metric_readers=[reader],
        resource=sdk_resources.Resource({}),
        shutdown_on_exit=False,
    )
    meter = provider.get_meter(_PREFIX)
    made = Metrics(
        starts=Counter('starts', 'Requests started.', ('class', 'team')),
        refusals=Counter('refusals', 'Requests refused.', ('reason',)),
        store_calls=Counter(
            'store_calls', 'Calls to the stores.', ('operation', 'result')
        ),
        takeovers=Counter(
            'takeovers', 'Partitions that it began to serve.', ('kind',)
        ),
        waits=Waits(
            {}, Counter('wait_ms_sum', 'Waiting time.', ('class', 'team'))
        ),
        meter=meter,
        reader=reader,
    )
    for counter in (
        made.starts,
        made.refusals,
        made.store_calls,
        made.takeovers,
        made.waits.sums,
    ):
        _observe_counter(meter, counter)
    _observe_waits(meter, made.waits)
    return made


def count(counter: Counter, *labels: str, amount: int = 1) -> None:
    """Adds an amount to the total of the labels' values."""
    counter.totals[labels] = counter.totals.get(labels, 0) + amount


def record_wait(waits: Waits, wait_ms: int, priority: str, team: str) -> None:
    """Counts one waiting time in ms."""
    count(waits.sums, priority, team, amount=wait_ms)
    buckets = waits.buckets.get((priority, team))
    if buckets is None:
        buckets = [0] * (len(WAIT_BOUNDS_MS) + 1)
        waits.buckets[priority, team] = buckets
    buckets[bisect.bisect_left(WAIT_BOUNDS_MS, wait_ms)] += 1


def add_gauge(made: Metrics, gauge: Gauge) -> None:
    """Has a gauge read whenever metrics are asked for."""

    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(reading.value, reading.labels)
            for reading in gauge.read()
        ]

    made.meter.create_observable_gauge(
        f'{_PREFIX}.{gauge.name}',
        callbacks=[observe],
        unit=gauge.unit,
        description=gauge.help,
    )


def _observe_counter(meter: api.Meter, counter: Counter) -> None:
    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(
                total, dict(zip(counter.labels, values, strict=True))
            )
            for values, total in counter.totals.items()
        ]

    meter.create_observable_counter(
        f'{_PREFIX}.{counter.name}',
        callbacks=[observe],
        unit='1',
        description=counter.help,
    )


def _observe_waits(meter: api.Meter, waits: Waits) -> None:
    """Has the buckets read as numbers of values up to each bound."""
    bounds = [*(str(bound) for bound in WAIT_BOUNDS_MS), _INFINITE]

    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        for (priority, team), buckets in waits.buckets.items():
            totals = itertools.accumulate(buckets)
            for bound, total in zip(bounds, totals, strict=True):
                labels = {'class': priority, 'team': team, 'le': bound}
                yield api.Observation(total, labels)

    meter.create_observable_counter(
        f'{_PREFIX}.wait_ms_bucket',
        callbacks=[observe],
        unit='1',
        description='Requests that waited at most le ms.',
    )
