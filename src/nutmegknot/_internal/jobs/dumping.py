"""State of an instance as log lines; payloads and keys are never in it."""

import dataclasses
import logging
from typing import Any

from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import jobs
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# Lines at a time and the pause after them in ms, well below the bound of the
# log, which drops what exceeds it.
LINES_AT_A_TIME = 50
PAUSE_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a dump.

    Attributes:
      event: What it describes.
      fields: Its fields.
    """

    event: str
    fields: dict[str, Any]


async def keep_dumping(node: nodes.Node, wanted: signals.Signal) -> None:
    """Logs the state whenever it is asked for, until cancelled."""
    count = wanted.count
    while True:
        count = await signals.wait_beyond(wanted, count)
        # Taken without a pause in between, so it is of one instant.
        lines = describe(node)
        for number, line in enumerate(lines, 1):
            logger.info(line.event, extra=line.fields)
            if number % LINES_AT_A_TIME == 0:
                await clock_lib.sleep(PAUSE_MS)
        logger.info('state_written', extra={'lines': len(lines)})


def describe(node: nodes.Node) -> list[Line]:
    """Returns the state, the instance first, then workers and jobs."""
    now_ms = node.clock.now_ms()
    owner = node.owner
    fields: dict[str, Any] = {
        'instance': node.id,
        'revision': 0 if node.catalog is None else node.catalog.revision,
        'settings_age_ms': now_ms - node.news_ms,
        'late_ms': int(node.lateness.mean_ms),
        'is_stopping': node.is_stopping,
        'owner': '' if owner is None else owner.row.holder,
        'epoch': 0 if owner is None else owner.row.epoch,
        'owner_unchanged_ms': 0 if owner is None else now_ms - owner.since_ms,
        'owner_silent': node.is_silent,
        'store_lost_ms': _get_age(
            None if node.relay is None else node.relay.lost_ms, now_ms
        ),
    }
    lines = [Line('state_instance', fields), *_describe_peers(node, now_ms)]
    if node.own is not None:
        lines += _describe_ownership(node.own, now_ms)
    return lines


def _get_age(since_ms: int | None, now_ms: int) -> int:
    return 0 if since_ms is None else now_ms - since_ms


def _describe_peers(node: nodes.Node, now_ms: int) -> list[Line]:
    peers = {} if node.relay is None else node.relay.peers
    return [
        Line(
            'state_peer',
            {
                'address': address,
                'heard_ms_ago': now_ms - peer.heard_ms,
                'reaches_store': peer.reaches,
                'strength': peer.strength,
                'late_ms': peer.late_ms,
            },
        )
        for address, peer in sorted(peers.items())
    ]


def _describe_ownership(own: ownerships.Ownership, now_ms: int) -> list[Line]:
    writer, book = own.writer, own.book
    head = Line(
        'state_ownership',
        {
            'epoch': book.epoch,
            'may_act': ownerships.may_act(own),
            'write': writer.row.write,
            'confirmed_ms_ago': now_ms - writer.confirmed_ms,
            'rows_unwritten': len(writer.marks),
            'store_failing_ms': writes.get_failing_ms(writer),
            'settled': book.settled_ms is not None,
            'jobs': len(book.jobs),
            'stages_waiting': len(book.open_stages),
            'advisers': len(own.advisers),
        },
    )
    usage = [
        Line(
            'state_usage',
            {
                'customer': customer,
                'millicores': used.millicores,
                'memory_mib': used.memory_mib,
                'accelerators': used.accelerators,
            },
        )
        for customer, used in sorted(book.usage.items())
    ]
    return [
        head,
        *usage,
        *_describe_workers(own, now_ms),
        *_describe_jobs(own, now_ms),
    ]


def _describe_workers(own: ownerships.Ownership, now_ms: int) -> list[Line]:
    return [
        Line(
            'state_worker',
            {
                'worker': id,
                'pool': host.worker.pool,
                'domain': host.worker.domain,
                'life': host.worker.life,
                'state': host.worker.state.value,
                'claimed': host.is_claimed,
                'listed': host.is_listed,
                'silent_ms': _get_age(host.asked_ms, now_ms),
                'rests_ms': max(0, host.doubted_until_ms - now_ms),
                'lease_left_ms': leases.compute_lapse(host, own) - now_ms,
                'ends_seen': host.seen,
                'runs': len(host.runs),
                'unwanted': len(host.unwanted),
                'millicores_used': host.used.millicores,
                'pace': host.pace,
            },
        )
        for id, host in sorted(own.book.hosts.items())
    ]


def _describe_jobs(own: ownerships.Ownership, now_ms: int) -> list[Line]:
    return [
        Line(
            'state_job',
            {
                'job': id,
                'queue': job.order.queue,
                'customer': job.order.customer,
                'state': job.state.value,
                'known_ms_ago': now_ms - job.known_ms,
                'written': job.marked <= own.writer.written,
                **_count_phases(job),
            },
        )
        for id, job in sorted(own.book.jobs.items())
        if not jobs.is_final(job)
    ]


def _count_phases(job: jobs.Job) -> dict[str, int]:
    """Returns how many tasks of a job are in each phase."""
    counts = {phase.value: 0 for phase in jobs.Phase}
    for stage in job.stages.values():
        for task in stage.tasks:
            counts[task.phase.value] += 1
    return counts
