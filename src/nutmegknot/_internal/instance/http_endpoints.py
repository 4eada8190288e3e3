"""HTTP pages for health, readiness and metrics, and dumps of the state."""

import asyncio
import logging
import pathlib
import sys

from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import dumps
from nutmegknot._internal.instance import instance_metrics
from nutmegknot._internal.instance import instances
from nutmegknot._internal.network import client_limits
from nutmegknot._internal.network import http_server
from nutmegknot._internal.telemetry import exposition
from nutmegknot._internal.telemetry import metrics
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)


async def start(
    inst: instances.Instance,
) -> http_server.HttpServer | http_server.AddressUnavailable:
    """Starts the HTTP server and the task that writes state dumps."""
    instance_metrics.add_gauges(inst)
    pages = {
        '/healthz': lambda: make_health_page(inst),
        '/readyz': lambda: make_readiness_page(inst),
        '/metrics': lambda: http_server.Page(
            200,
            exposition.format_metrics(inst.metrics.reader),
            exposition.CONTENT_TYPE,
        ),
    }
    closings = client_limits.make_counter()
    metrics.add_counter(inst.metrics, closings)
    server = await http_server.start_server(
        inst.settings.instance.http_listen,
        pages,
        client_limits.Clients(client_limits.PAGE_LIMITS, inst.clock, closings),
    )
    if not isinstance(server, http_server.AddressUnavailable):
        tasks.spawn(inst.tasks, run_dump_loop(inst), 'dump')
    return server


async def drain(inst: instances.Instance) -> None:
    """Reports the instance as not ready, so that load balancers notice it.

    It returns after drain_ms, the time that they are given to do so.
    """
    inst.draining = True
    drain_ms = inst.settings.instance.drain_ms
    await asyncio.sleep(clock.to_seconds(drain_ms))


def make_health_page(inst: instances.Instance) -> http_server.Page:
    """Returns the health page; status 500 means that a restart is needed."""
    if inst.tasks.first_error.done():
        return http_server.Page(500, 'broken\n')
    return http_server.Page(200, 'healthy\n')


def make_readiness_page(inst: instances.Instance) -> http_server.Page:
    """Returns the readiness page; status 200 means that it can take calls."""
    view = inst.membership.view
    if inst.draining or view.stopping:
        return http_server.Page(503, 'stopping\n')
    if not authority.may_act(inst):
        return http_server.Page(503, 'authority is not confirmed\n')
    return http_server.Page(200, 'ready\n')


async def run_dump_loop(inst: instances.Instance) -> None:
    """Writes the state whenever a dump is requested, until cancelled."""
    requested = inst.dump_requested
    count = requested.count
    while True:
        count = await signals.wait_for_notification(requested, count)
        # Collected without an await, so that the dump is of one instant.
        text = dumps.format_state(inst)
        await asyncio.to_thread(
            write_dump, text, inst.settings.telemetry.dump_file
        )


def write_dump(text: str, path: str) -> None:
    """Writes a dump to a file, or to standard error if path is ''."""
    if not path:
        sys.stderr.write(text)
        sys.stderr.flush()
        return
    try:
        pathlib.Path(path).write_text(text, encoding='utf-8')
    except OSError as error:
        logger.warning('dump_unwritten', extra={'file': path, 'why': error})
