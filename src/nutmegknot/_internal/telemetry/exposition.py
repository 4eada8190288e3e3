"""Metrics as text in the Prometheus exposition format, version 0.0.4."""

from collections.abc import Mapping
from typing import Any

from opentelemetry.sdk.metrics import export

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def format_metrics(reader: export.InMemoryMetricReader) -> str:
    """Reads all metrics and returns them as text."""
    data = reader.get_metrics_data()
    lines: list[str] = []
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += _format_metric(metric)
    return '\n'.join(lines) + '\n'


def _format_metric(metric: export.Metric) -> list[str]:
    name = metric.name.replace('.', '_')
    if metric.unit not in ('', '1'):
        name = f'{name}_{metric.unit}'
    metric_type = 'gauge'
    if isinstance(metric.data, export.Sum):
        metric_type, name = 'counter', f'{name}_total'
    lines = [
        f'# HELP {name} {metric.description}',
        f'# TYPE {name} {metric_type}',
    ]
    for point in metric.data.data_points:
        labels = _format_labels(point.attributes)
        lines.append(f'{name}{labels} {getattr(point, "value", 0)}')
    return lines


def _format_labels(attributes: Mapping[str, Any] | None) -> str:
    if not attributes:
        return ''
    pairs = ','.join(
        f'{key}="{_escape(str(value))}"'
        for key, value in sorted(attributes.items())
    )
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    return text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')
