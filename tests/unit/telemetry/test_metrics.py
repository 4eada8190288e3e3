"""Tests of telemetry/metrics.py, exposition.py and store_calls.py."""

from lib import fakes

from nutmegknot._internal.platform import tables
from nutmegknot._internal.telemetry import exposition
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.telemetry import store_calls


def read_lines(made: metrics.Metrics) -> list[str]:
    return exposition.format_metrics(made.reader).splitlines()


def test_counters_are_shown_with_labels() -> None:
    made = metrics.make_metrics()
    metrics.count(made.refusals, 'overloaded')
    metrics.count(made.refusals, 'overloaded')
    metrics.count(made.starts, 'urgent', 'a "b"')
    lines = read_lines(made)
    assert '# TYPE nutmegknot_refusals_total counter' in lines
    assert 'nutmegknot_refusals_total{reason="overloaded"} 2' in lines
    expected = 'nutmegknot_starts_total{class="urgent",team="a \\"b\\""} 1'
    assert expected in lines


def test_waits_are_counted_in_buckets() -> None:
    made = metrics.make_metrics()
    for wait_ms in (10, 70, 6_000):
        made.record_wait(wait_ms, 'normal', 't')
    lines = read_lines(made)
    prefix = 'nutmegknot_wait_ms_bucket{class="normal",le='
    assert f'{prefix}"50",team="t"}} 1' in lines
    assert f'{prefix}"100",team="t"}} 2' in lines
    assert f'{prefix}"6400",team="t"}} 3' in lines
    assert f'{prefix}"+Inf",team="t"}} 3' in lines
    assert 'nutmegknot_wait_ms_sum{class="normal",team="t"} 6080' in lines


def test_gauges_are_read_when_asked_for() -> None:
    made = metrics.make_metrics()
    values = [metrics.Reading({'partition': 'p'}, 0.25)]
    gauge = metrics.Gauge('packing', 'Held.', '1', lambda: values)
    metrics.add_gauge(made, gauge)
    assert 'nutmegknot_packing{partition="p"} 0.25' in read_lines(made)
    values[0] = metrics.Reading({'partition': 'p'}, 0.5)
    assert 'nutmegknot_packing{partition="p"} 0.5' in read_lines(made)


async def test_store_calls_are_counted_by_result() -> None:
    made = metrics.make_metrics()
    fake = fakes.FakeTable(faults=['', 'down', 'lost'])
    table = store_calls.count_table(fakes.connect_table(fake), made.store_calls)
    for _ in range(3):
        await table.transact(tables.Transaction(), 1)
    assert made.store_calls.totals == {
        ('table_transact', 'committed'): 1,
        ('table_transact', 'unavailable'): 1,
        ('table_transact', 'uncertain'): 1,
    }
