"""Assembles an instance that runs on the users' platform."""

import asyncio
import dataclasses
import logging
import random
import uuid

from aiohttp import web

from nutmegknot._internal.jobs import dumping
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import relays
from nutmegknot._internal.jobs import running
from nutmegknot._internal.jobs import showing
from nutmegknot._internal.network import listening
from nutmegknot._internal.network import web as web_lib
from nutmegknot._internal.platform import boots
from nutmegknot._internal.platform import client as client_lib
from nutmegknot._internal.platform import fleet
from nutmegknot._internal.platform import fronts
from nutmegknot._internal.platform import notices
from nutmegknot._internal.platform import store
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Time from the request to stop for which callers are still served, as the
# balancer needs two missed looks at readiness, in ms.
LINGER_MS = 2_500
# Interval of reading the settings file without a request, in ms.
REREAD_MS = 2_000
METRICS_PATH = '/metrics'


@dataclasses.dataclass(slots=True, frozen=True)
class PortTaken:
    """An address can't be used; detail is one line."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """What operators ask of the process by signals.

    Attributes:
      dump: Notified when the state is to be written.
      reload: Notified when the settings have changed.
    """

    dump: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    reload: signals.Signal = dataclasses.field(default_factory=signals.Signal)


def make_node(boot: boots.Boot, client: client_lib.Client) -> nodes.Node:
    """Returns an instance that has reached nothing yet."""
    id = f'{boot.instance}-{uuid.uuid4().hex[:8]}'
    clock = clock_lib.make_system_clock()
    relay = relays.Relay(
        clock, client_lib.make_fetch(client, boot.store), store.PROBE
    )
    fetch = relays.make_fetch(relay)
    return nodes.Node(
        id=id,
        address=boot.peer,
        domain=boot.domain,
        strength=boot.millicores,
        clock=clock,
        rng=random.Random(id),
        limits=boot.limits,
        outside=nodes.Outside(
            store.connect(fetch),
            notices.connect(fetch, boot.regions),
            fleet.connect(client),
            fleet.connect_adviser(client, boot.adviser),
        ),
        tasks=tasks.Tasks(),
        relay=relay,
    )


async def run(
    boot: boots.Boot, stopped: asyncio.Event, wanted: Wanted
) -> PortTaken | None:
    """Runs an instance until it is asked to stop.

    Raises:
      BaseException: What left a task, as a broken invariant.
    """
    client = client_lib.make_client()
    node = make_node(boot, client)
    started = await running.start(node)
    if isinstance(started, listening.Unopened):
        await client_lib.close(client)
        return PortTaken(started.detail)
    try:
        front = await fronts.serve(node, boot.front, boot.ready)
    except OSError as error:
        await client_lib.close(client)
        return PortTaken(f'{boot.front}: {error.strerror}')
    tasks.spawn(node.tasks, _keep_settings(node, boot, wanted.reload), 'reload')
    tasks.spawn(node.tasks, dumping.keep_dumping(node, wanted.dump), 'dump')
    metrics = await web_lib.serve(
        boot.metrics,
        {METRICS_PATH: showing.make_metrics_page(node)},
    )
    if isinstance(metrics, web_lib.Unopened):
        logger.warning('metrics_unserved', extra={'why': metrics.detail})
    broken = asyncio.create_task(tasks.wait_broken(node.tasks))
    stopping = asyncio.create_task(stopped.wait())
    await asyncio.wait((broken, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if broken.done():
        raise broken.result()
    broken.cancel()
    await _stop(node, started, front)
    await client_lib.close(client)
    return None


async def _keep_settings(
    node: nodes.Node, boot: boots.Boot, wanted: signals.Signal
) -> None:
    """Reads the settings file anew on request, and now and then without."""
    count = wanted.count
    while True:
        count = await signals.wait_at_most(wanted, count, REREAD_MS)
        read = boots.read_boot()
        if isinstance(read, boots.BadBoot):
            logger.error('settings_file_unreadable', extra={'why': read.detail})
            continue
        if read == boot:
            continue
        changed = [
            field.name
            for field in dataclasses.fields(boots.Boot)
            if getattr(read, field.name) != getattr(boot, field.name)
        ]
        logger.info('settings_file_read', extra={'changed': ','.join(changed)})
        boot = read
        node.limits = read.limits
        if node.own is not None:
            node.own.limits = read.limits


async def _stop(
    node: nodes.Node, started: running.Running, front: web.ServerRunner
) -> None:
    """Hands over, serves callers a while longer, and closes everything."""
    logger.info('instance_stopping', extra={'instance': node.id})
    node.is_stopping = True
    await running.hand_over(node)
    await clock_lib.sleep(LINGER_MS)
    await front.cleanup()
    started.server.close()
    await tasks.cancel_all(node.tasks)
    logger.info('instance_stopped', extra={'instance': node.id})
