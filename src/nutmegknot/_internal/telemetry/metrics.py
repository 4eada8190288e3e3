"""Metrics of one instance, exported through the OpenTelemetry SDK.

Counting only adds to a dictionary; the SDK reads the totals when somebody
requests the metrics.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export

from nutmegknot._internal.telemetry import instruments

# First part of each metric's name.
_PREFIX = 'nutmegknot'
# Value of the label le for the bucket without an upper bound.
_INFINITE_BOUND = '+Inf'


@dataclasses.dataclass(slots=True, frozen=True)
class Metrics:
    """Metrics of one instance.

    Attributes:
      starts: Number of requests started.
      refusals: Number of requests refused; they are not run.
      store_calls: Number of calls to the table service and the object store.
      takeovers: Number of times that this instance began to serve a partition.
      waits: Time from acceptance to start of a request, in ms.
      meter: Creates OpenTelemetry instruments.
      reader: Reads all instruments.
    """

    starts: instruments.Counter
    refusals: instruments.Counter
    store_calls: instruments.Counter
    takeovers: instruments.Counter
    waits: instruments.Histogram
    meter: api.Meter
    reader: export.InMemoryMetricReader


def make_metrics() -> Metrics:
    """Returns metrics for an instance that has just started."""
    reader = export.InMemoryMetricReader()
    meter = _make_meter(reader)
    metrics = Metrics(
        starts=instruments.Counter(
            'starts', 'Requests started.', ('class', 'team')
        ),
        refusals=instruments.Counter(
            'refusals', 'Requests refused.', ('reason',)
        ),
        store_calls=instruments.Counter(
            'store_calls', 'Calls to the stores.', ('operation', 'result')
        ),
        takeovers=instruments.Counter(
            'takeovers', 'Partitions that it began to serve.', ('kind',)
        ),
        waits=instruments.make_histogram(
            'wait_ms',
            'Requests that waited at most le ms.',
            ('class', 'team'),
            instruments.WAIT_BOUNDS_MS,
        ),
        meter=meter,
        reader=reader,
    )
    for counter in (
        metrics.starts,
        metrics.refusals,
        metrics.store_calls,
        metrics.takeovers,
    ):
        _observe_counter(meter, counter)
    _observe_histogram(meter, metrics.waits)
    return metrics


def add_gauge(metrics: Metrics, gauge: instruments.Gauge) -> None:
    """Adds a gauge, which is read whenever the metrics are requested."""
    _observe_gauge(metrics.meter, gauge)


def add_counter(metrics: Metrics, counter: instruments.Counter) -> None:
    """Adds a counter, whose totals are read with the other metrics."""
    _observe_counter(metrics.meter, counter)


def _observe_gauge(meter: api.Meter, gauge: instruments.Gauge) -> None:
    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(reading.value, reading.labels)
            for reading in gauge.read()
        ]

    meter.create_observable_gauge(
        f'{_PREFIX}.{gauge.name}',
        callbacks=[observe],
        unit=gauge.unit,
        description=gauge.help,
    )


def _observe_counter(meter: api.Meter, counter: instruments.Counter) -> None:
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


def _observe_histogram(
    meter: api.Meter, histogram: instruments.Histogram
) -> None:
    """Registers a histogram as cumulative counts, as Prometheus expects them.

    The count with the label le, for "less or equal", is the number of values up
    to that bound.
    """
    _observe_counter(meter, histogram.sums)
    bounds = [*(str(bound) for bound in histogram.bounds), _INFINITE_BOUND]

    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        for values, buckets in histogram.buckets.items():
            labels = dict(zip(histogram.labels, values, strict=True))
            totals = itertools.accumulate(buckets)
            for bound, total in zip(bounds, totals, strict=True):
                yield api.Observation(total, {**labels, 'le': bound})

    meter.create_observable_counter(
        f'{_PREFIX}.{histogram.name}_bucket',
        callbacks=[observe],
        unit='1',
        description=histogram.help,
    )


def make_reader(
    all_counters: Iterable[instruments.Counter],
    histograms: Iterable[instruments.Histogram],
    gauges: Iterable[instruments.Gauge],
) -> export.InMemoryMetricReader:
    """Returns a reader for instruments that belong to other modules."""
    reader = export.InMemoryMetricReader()
    meter = _make_meter(reader)
    for counter in all_counters:
        _observe_counter(meter, counter)
    for histogram in histograms:
        _observe_histogram(meter, histogram)
    for gauge in gauges:
        _observe_gauge(meter, gauge)
    return reader


def _make_meter(reader: export.InMemoryMetricReader) -> api.Meter:
    provider = sdk.MeterProvider(
        metric_readers=[reader],
        resource=sdk_resources.Resource({}),
        shutdown_on_exit=False,
    )
    return provider.get_meter(_PREFIX)
