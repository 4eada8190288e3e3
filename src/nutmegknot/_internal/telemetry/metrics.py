"""Metrics of one instance, by the OpenTelemetry SDK.

Counting is an addition in a dictionary; the SDK reads the totals only when
metrics are asked for.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view

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
      record_wait: Notes a waiting time in ms, for a class and a team.
      meter: Makes instruments.
      reader: Reads all instruments.
    """

    starts: Counter
    refusals: Counter
    store_calls: Counter
    takeovers: Counter
    record_wait: Callable[[int, str, str], None]
    meter: api.Meter
    reader: export.InMemoryMetricReader


def make_metrics() -> Metrics:
    """Returns the metrics of an instance that has counted nothing."""
    reader = export.InMemoryMetricReader()
    buckets = view.ExplicitBucketHistogramAggregation(WAIT_BOUNDS_MS)
    provider = sdk.MeterProvider(
        metric_readers=[reader],
        resource=sdk_resources.Resource({}),
        shutdown_on_exit=False,
        views=[
            view.View(instrument_name=f'{_PREFIX}.wait', aggregation=buckets)
        ],
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
        record_wait=_make_wait_recorder(meter),
        meter=meter,
        reader=reader,
    )
    for counter in (
        made.starts,
        made.refusals,
        made.store_calls,
        made.takeovers,
    ):
        _observe_counter(meter, counter)
    return made


def count(counter: Counter, *labels: str) -> None:
    """Adds one to the total of the labels' values."""
    counter.totals[labels] = counter.totals.get(labels, 0) + 1


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


def _make_wait_recorder(meter: api.Meter) -> Callable[[int, str, str], None]:
    histogram = meter.create_histogram(
        f'{_PREFIX}.wait',
        unit='ms',
        description='Time from acceptance to start.',
    )

    def record(wait_ms: int, priority: str, team: str) -> None:
        histogram.record(wait_ms, {'class': priority, 'team': team})

    return record
