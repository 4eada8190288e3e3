"""What an instance shows of itself: health, readiness, metrics and dumps."""

import asyncio
import logging
import pathlib
import sys

from aiohttp import web as aiohttp_web

from nutmegknot._internal.instance import authority
from nutmegknot._internal.instance import dumps
from nutmegknot._internal.instance import instances
from nutmegknot._internal.instance import measuring
from nutmegknot._internal.network import web
from nutmegknot._internal.telemetry import exposition
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Open HTTP server of an instance.
Server = aiohttp_web.AppRunner


async def start(inst: instances.Instance) -> Server | web.Unopened:
    """Begins to show health, readiness and metrics, and to write dumps."""
    measuring.add_gauges(inst)
    pages = {
        '/healthz': lambda: show_health(inst),
        '/readyz': lambda: show_readiness(inst),
        '/metrics': lambda: web.Page(
            200,
            exposition.format_metrics(inst.metrics.reader),
            exposition.CONTENT_TYPE,
        ),
    }
    server = await web.serve(inst.settings.instance.http_listen, pages)
    if not isinstance(server, web.Unopened):
        tasks.spawn(inst.tasks, keep_dumping(inst), 'dump')
    return server


async def drain(inst: instances.Instance) -> None:
    """Turns readiness off, and gives the balancer time to see it."""
    inst.draining = True
    drain_ms = inst.settings.instance.drain_ms
    await asyncio.sleep(clock_lib.to_seconds(drain_ms))


def show_health(inst: instances.Instance) -> web.Page:
    """Returns whether the process is worth keeping."""
    if inst.tasks.broken.done():
        return web.Page(500, 'broken\n')
    return web.Page(200, 'healthy\n')


def show_readiness(inst: instances.Instance) -> web.Page:
    """Returns whether callers should be sent here."""
    view = inst.membership.view
    if inst.draining or view.stopping:
        return web.Page(503, 'stopping\n')
    if not authority.may_act(inst):
        return web.Page(503, 'authority is not confirmed\n')
    return web.Page(200, 'ready\n')


async def keep_dumping(inst: instances.Instance) -> None:
    """Writes the state whenever it is asked for, until cancelled."""
    wanted = inst.dump_wanted
    count = wanted.count
    while True:
        count = await signals.wait_beyond(wanted, count)
        # Taken without a pause in between, so it is of one instant.
        text = dumps.format_instance(inst)
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
