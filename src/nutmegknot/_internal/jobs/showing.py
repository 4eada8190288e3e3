"""Metrics page of an instance that owns the jobs or stands by to do so."""

from collections.abc import Callable
import importlib
from typing import Any

from nutmegknot._internal.jobs import figures
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.network import web
from nutmegknot._internal.telemetry import counters

_TELEMETRY = 'nutmegknot._internal.telemetry'


def make_metrics_page(node: nodes.Node) -> Callable[[], web.Page]:
    """Returns a handler that shows the instance's metrics as text.

    The metrics library takes several MB of memory, so it is loaded only with
    the first request.
    """
    reader: Any = None

    def show() -> web.Page:
        nonlocal reader
        exposition = importlib.import_module(f'{_TELEMETRY}.exposition')
        if reader is None:
            metrics = importlib.import_module(f'{_TELEMETRY}.metrics')
            reader = metrics.make_reader(
                figures.list_counters(node.figures),
                figures.list_histograms(node.figures),
                make_gauges(node),
            )
        text: str = exposition.format_metrics(reader)
        return web.Page(200, text, exposition.CONTENT_TYPE)

    return show


def make_gauges(node: nodes.Node) -> list[counters.Gauge]:
    """Returns the gauges, whose values are read with each request."""

    def read_one(read: Callable[[], float]) -> list[counters.Reading]:
        return [counters.Reading({}, read())]

    return [
        counters.Gauge(
            'owned_epoch',
            'Epoch under which it owns the jobs; 0 if it does not.',
            '1',
            lambda: read_one(lambda: node.own.book.epoch if node.own else 0),
        ),
        counters.Gauge(
            'settings_revision',
            'Version of the operators settings in force.',
            '1',
            lambda: read_one(
                lambda: node.catalog.revision if node.catalog else 0
            ),
        ),
        counters.Gauge(
            'settings_age',
            'Time since the settings were confirmed.',
            'ms',
            lambda: read_one(lambda: node.clock.now_ms() - node.news_ms),
        ),
        counters.Gauge(
            'jobs_open',
            'Jobs that have not ended, by state.',
            '1',
            lambda: _count_open(node),
        ),
        counters.Gauge(
            'stages_waiting',
            'Stages that wait for starts.',
            '1',
            lambda: read_one(
                lambda: len(node.own.book.open_stages) if node.own else 0
            ),
        ),
        counters.Gauge(
            'workers',
            'Workers known, by whether they answer.',
            '1',
            lambda: _count_workers(node),
        ),
    ]


def _count_open(node: nodes.Node) -> list[counters.Reading]:
    if node.own is None:
        return []
    counts: dict[str, int] = {}
    for job in node.own.book.jobs.values():
        if not jobs.is_final(job):
            counts[job.state.value] = counts.get(job.state.value, 0) + 1
    return [counters.Reading({'state': s}, n) for s, n in counts.items()]


def _count_workers(node: nodes.Node) -> list[counters.Reading]:
    if node.own is None:
        return []
    infos = node.own.book.hosts.values()
    silent = sum(info.asked_ms is not None for info in infos)
    return [
        counters.Reading({'answers': 'yes'}, len(infos) - silent),
        counters.Reading({'answers': 'no'}, silent),
    ]
