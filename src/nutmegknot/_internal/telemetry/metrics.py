"""Metrics of one instance, by the OpenTelemetry SDK.

Counting is an addition in a dictionary; the SDK reads the totals only when
metrics are asked for.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk.metrics import export

from nutmegknot._internal.telemetry import counters

_PREFIX = 'nutmegknot'
_INFINITE = '+Inf'


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

    starts: counters.Counter
    refusals: counters.Counter
    store_calls: counters.Counter
    takeovers: counters.Counter
    waits: counters.Histogram
    meter: api.Meter
    reader: export.InMemoryMetricReader


def make_metrics() -> Metrics:
    """Returns the metrics of an instance that has counted nothing."""
    reader = export.InMemoryMetricReader()
    meter = _make_meter(reader)
    made = Metrics(
        starts=counters.Counter(
            'starts', 'Requests started.', ('class', 'team')
        ),
        refusals=counters.Counter('refusals', 'Requests refused.', ('reason',)),
        store_calls=counters.Counter(
            'store_calls', 'Calls to the stores.', ('operation', 'result')
        ),
        takeovers=counters.Counter(
            'takeovers', 'Partitions that it began to serve.', ('kind',)
        ),
        waits=counters.make_histogram(
            'wait_ms',
            'Requests that waited at most le ms.',
            ('class', 'team'),
            counters.WAIT_BOUNDS_MS,
        ),
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
    _observe_histogram(meter, made.waits)
    return made


def add_gauge(made: Metrics, gauge: counters.Gauge) -> None:
    """Has a gauge read whenever metrics are asked for."""
    _observe_gauge(made.meter, gauge)


def _observe_gauge(meter: api.Meter, gauge: counters.Gauge) -> None:
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


def _observe_counter(meter: api.Meter, counter: counters.Counter) -> None:
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


def _observe_histogram(meter: api.Meter, histogram: counters.Histogram) -> None:
    """Has the buckets read as numbers of values up to each bound."""
    _observe_counter(meter, histogram.sums)
    bounds = [*(str(bound) for bound in histogram.bounds), _INFINITE]

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
    counted: Iterable[counters.Counter],
    measured: Iterable[counters.Histogram],
    gauges: Iterable[counters.Gauge],
) -> export.InMemoryMetricReader:
    """Returns a reader of what was counted and measured elsewhere."""
    reader = export.InMemoryMetricReader()
    meter = _make_meter(reader)
    for counter in counted:
        _observe_counter(meter, counter)
    for histogram in measured:
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
