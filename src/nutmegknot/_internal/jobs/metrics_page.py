"""Metrics page of an instance that owns the jobs or stands by to do so."""

from collections.abc import Callable
import importlib
from typing import Any

from nutmegknot._internal.jobs import job_metrics
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import overload_gauges
from nutmegknot._internal.models import jobs
from nutmegknot._internal.network import http_server
from nutmegknot._internal.telemetry import instruments

_TELEMETRY = 'nutmegknot._internal.telemetry'


def make_metrics_page(node: nodes.Node) -> Callable[[], http_server.Page]:
    """Returns a handler that shows the instance's metrics as text.

    The metrics library takes several MB of memory, so it is loaded only with
    the first request.
    """
    reader: Any = None

    def show() -> http_server.Page:
        nonlocal reader
        exposition = importlib.import_module(f'{_TELEMETRY}.exposition')
        if reader is None:
            metrics = importlib.import_module(f'{_TELEMETRY}.metrics')
            reader = metrics.make_reader(
                job_metrics.list_counters(node.metrics),
                job_metrics.list_histograms(node.metrics),
                make_gauges(node),
            )
        text: str = exposition.format_metrics(reader)
        return http_server.Page(200, text, exposition.CONTENT_TYPE)

    return show


def make_gauges(node: nodes.Node) -> list[instruments.Gauge]:
    """Returns the gauges, whose values are read with each request."""

    def read_one(read: Callable[[], float]) -> list[instruments.GaugeReading]:
        return [instruments.GaugeReading({}, read())]

    return [
        instruments.Gauge(
            'owned_epoch',
            'Epoch under which it owns the jobs; 0 if it does not.',
            '1',
            lambda: read_one(
                lambda: node.ownership.cluster.epoch if node.ownership else 0
            ),
        ),
        instruments.Gauge(
            'settings_revision',
            'Version of the operators settings in force.',
            '1',
            lambda: read_one(
                lambda: node.settings.revision if node.settings else 0
            ),
        ),
        instruments.Gauge(
            'settings_age',
            'Time since the settings were confirmed.',
            'ms',
            lambda: read_one(
                lambda: node.clock.now_ms() - node.settings_confirmed_ms
            ),
        ),
        instruments.Gauge(
            'jobs_open',
            'Jobs that have not ended, by state.',
            '1',
            lambda: _count_open(node),
        ),
        instruments.Gauge(
            'stages_waiting',
            'Stages that wait for starts.',
            '1',
            lambda: read_one(lambda: _count_waiting_stages(node)),
        ),
        instruments.Gauge(
            'advice_waiting',
            'Requests for advice that wait for an adviser.',
            '1',
            lambda: read_one(lambda: _count_advice_requests(node)),
        ),
        *overload_gauges.make_gauges(node),
        instruments.Gauge(
            'workers',
            'Workers known, by whether they answer.',
            '1',
            lambda: _count_workers(node),
        ),
    ]


def _count_waiting_stages(node: nodes.Node) -> int:
    return len(node.ownership.cluster.waiting_stages) if node.ownership else 0


def _count_advice_requests(node: nodes.Node) -> int:
    return len(node.ownership.advice_queue.waiting) if node.ownership else 0


def _count_open(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    counts: dict[str, int] = {}
    for job in node.ownership.cluster.jobs.values():
        if not jobs.is_final(job):
            counts[job.state.value] = counts.get(job.state.value, 0) + 1
    return [
        instruments.GaugeReading({'state': s}, n) for s, n in counts.items()
    ]


def _count_workers(node: nodes.Node) -> list[instruments.GaugeReading]:
    if node.ownership is None:
        return []
    infos = node.ownership.cluster.workers_by_id.values()
    silent = sum(info.unanswered_since_ms is not None for info in infos)
    return [
        instruments.GaugeReading({'answers': 'yes'}, len(infos) - silent),
        instruments.GaugeReading({'answers': 'no'}, silent),
    ]
