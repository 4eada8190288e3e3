"""Tests of metrics and of the text in which they are exported."""

from lib import fakes

from nutmegknot._internal.backing import tables
from nutmegknot._internal.telemetry import exposition
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.telemetry import store_calls


def read_lines(instance_metrics: metrics.Metrics) -> list[str]:
    return exposition.format_metrics(instance_metrics.reader).splitlines()


def test_counters_are_shown_with_labels() -> None:
    instance_metrics = metrics.make_metrics()
    instruments.increment(instance_metrics.refusals, 'overloaded')
    instruments.increment(instance_metrics.refusals, 'overloaded')
    instruments.increment(instance_metrics.starts, 'urgent', 'a "b"')
    lines = read_lines(instance_metrics)
    assert '# TYPE nutmegknot_refusals_total counter' in lines
    assert 'nutmegknot_refusals_total{reason="overloaded"} 2' in lines
    expected = 'nutmegknot_starts_total{class="urgent",team="a \\"b\\""} 1'
    assert expected in lines


def test_waits_are_counted_in_buckets() -> None:
    instance_metrics = metrics.make_metrics()
    for wait_ms in (10, 70, 6_000):
        instruments.record(instance_metrics.waits, wait_ms, 'normal', 't')
    lines = read_lines(instance_metrics)
    prefix = 'nutmegknot_wait_ms_bucket_total{class="normal",le='
    counts = {'50': 1, '100': 2, '2500': 2, '6400': 3, '+Inf': 3}
    for bound, number in counts.items():
        assert f'{prefix}"{bound}",team="t"}} {number}' in lines
    assert not any(line.startswith(f'{prefix}"25"') for line in lines)
    expected = 'nutmegknot_wait_ms_sum_total{class="normal",team="t"} 6080'
    assert expected in lines


def test_gauges_are_read_at_each_request_for_metrics() -> None:
    instance_metrics = metrics.make_metrics()
    values = [instruments.GaugeReading({'partition': 'p'}, 0.25)]
    gauge = instruments.Gauge('packing', 'Held.', '1', lambda: values)
    metrics.add_gauge(instance_metrics, gauge)
    assert 'nutmegknot_packing{partition="p"} 0.25' in read_lines(
        instance_metrics
    )
    values[0] = instruments.GaugeReading({'partition': 'p'}, 0.5)
    assert 'nutmegknot_packing{partition="p"} 0.5' in read_lines(
        instance_metrics
    )


async def test_store_calls_are_counted_by_result() -> None:
    instance_metrics = metrics.make_metrics()
    fake_table = fakes.FakeTable(faults=['', 'down', 'lost'])
    table = store_calls.count_table_calls(
        fakes.connect_table(fake_table), instance_metrics.store_calls
    )
    for _ in range(3):
        await table.transact(tables.Transaction(), 1)
    assert instance_metrics.store_calls.totals == {
        ('table_transact', 'committed'): 1,
        ('table_transact', 'unavailable'): 1,
        ('table_transact', 'uncertain'): 1,
    }
