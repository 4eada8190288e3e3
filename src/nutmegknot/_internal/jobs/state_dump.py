"""Logs a dump of an instance's state; payloads and keys are never in it."""

import dataclasses
import logging
from typing import Any

from nutmegknot._internal.decisions import worker_speeds
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# With the pause after each batch, the rate stays well below the rate limit of
# the log, which drops lines above it.
LINES_PER_BATCH = 50
BATCH_PAUSE_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line of a dump.

    Attributes:
      event: Name of the log event, which says what the line describes.
      fields: Fields of the log line.
    """

    event: str
    fields: dict[str, Any]


async def log_state_on_request(
    node: nodes.Node, requested: signals.Signal
) -> None:
    """Logs the state on each notification of `requested`, until cancelled."""
    count = requested.count
    while True:
        count = await signals.wait_for_notification(requested, count)
        # Described without a pause, so all lines show the same instant.
        lines = describe(node)
        for number, line in enumerate(lines, 1):
            logger.info(line.event, extra=line.fields)
            if number % LINES_PER_BATCH == 0:
                await clock.sleep(BATCH_PAUSE_MS)
        logger.info('state_written', extra={'lines': len(lines)})


def describe(node: nodes.Node) -> list[Line]:
    """Returns the state of an instance as log lines.

    The instance comes first, then its peers and, if it owns the jobs, the
    ownership, customers' usage, workers and jobs.
    """
    now_ms = node.clock.now_ms()
    owner = node.owner
    fields: dict[str, Any] = {
        'instance': node.id,
        'revision': 0 if node.settings is None else node.settings.revision,
        'settings_age_ms': now_ms - node.settings_confirmed_ms,
        'late_ms': int(node.lateness.mean_ms),
        'is_stopping': node.is_stopping,
        'owner': '' if owner is None else owner.row.holder,
        'epoch': 0 if owner is None else owner.row.epoch,
        'owner_unchanged_ms': 0
        if owner is None
        else now_ms - owner.unchanged_since_ms,
        'owner_silent': node.is_owner_silent,
        'store_lost_ms': _get_age_ms(
            None if node.routes is None else node.routes.direct_failed_since_ms,
            now_ms,
        ),
    }
    lines = [Line('state_instance', fields), *_describe_peers(node, now_ms)]
    if node.ownership is not None:
        lines += _describe_ownership(node.ownership, now_ms)
    return lines


def _get_age_ms(since_ms: int | None, now_ms: int) -> int:
    return 0 if since_ms is None else now_ms - since_ms


def _describe_peers(node: nodes.Node, now_ms: int) -> list[Line]:
    peers = {} if node.routes is None else node.routes.peers
    return [
        Line(
            'state_peer',
            {
                'address': address,
                'heard_ms_ago': now_ms - peer.heard_ms,
                'reaches_store': peer.reaches_store,
                'strength': peer.millicores,
                'late_ms': peer.late_ms,
                'calculation_us': peer.calculation_us,
            },
        )
        for address, peer in sorted(peers.items())
    ]


def _describe_ownership(
    ownership: ownerships.Ownership, now_ms: int
) -> list[Line]:
    writer, cluster = ownership.writer, ownership.cluster
    head = Line(
        'state_ownership',
        {
            'epoch': cluster.epoch,
            'may_act': ownerships.may_act(ownership),
            'write': writer.row.write,
            'confirmed_ms_ago': now_ms - writer.confirmed_ms,
            'rows_unwritten': len(writer.queued_writes),
            'store_failing_ms': writers.compute_store_failure_ms(writer),
            'settled': cluster.is_takeover_complete,
            'usage_known': cluster.ceilings.inherited is None,
            'jobs': len(cluster.jobs),
            'stages_waiting': len(cluster.waiting_stages),
            'advisers': len(ownership.advisers),
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
                'ceiling': resources.format_amount(
                    cluster.ceilings.stored.get(customer, resources.ZERO)
                ),
            },
        )
        for customer, used in sorted(cluster.usage.items())
    ]
    return [
        head,
        *usage,
        *_describe_workers(ownership, now_ms),
        *_describe_jobs(ownership, now_ms),
    ]


def _describe_workers(
    ownership: ownerships.Ownership, now_ms: int
) -> list[Line]:
    return [
        Line(
            'state_worker',
            {
                'worker': id,
                'pool': info.worker.pool,
                'domain': info.worker.domain,
                'life': info.worker.life,
                'state': info.worker.state.value,
                'claimed': info.is_claimed,
                'listed': info.is_listed,
                'silent_ms': _get_age_ms(info.unanswered_since_ms, now_ms),
                'rests_ms': max(
                    0,
                    max(info.no_starts_before_ms, info.quarantine_until_ms)
                    - now_ms,
                ),
                'lease_left_ms': leases.compute_expiry(info, ownership)
                - now_ms,
                'ends_seen': info.persisted_end,
                'runs': len(info.runs),
                'unwanted': len(info.unexpected_runs),
                'millicores_used': info.used.millicores,
                'pace': info.pace_percent,
                'run_time_ratio': round(
                    worker_speeds.get_run_time_ratio(ownership.cluster, info), 2
                ),
            },
        )
        for id, info in sorted(ownership.cluster.workers_by_id.items())
    ]


def _describe_jobs(ownership: ownerships.Ownership, now_ms: int) -> list[Line]:
    return [
        Line(
            'state_job',
            {
                'job': id,
                'queue': job.spec.queue,
                'customer': job.spec.customer,
                'state': job.state.value,
                'known_ms_ago': now_ms - job.known_since_ms,
                'written': ownerships.is_written(ownership, job),
                **_count_phases(job),
            },
        )
        for id, job in sorted(ownership.cluster.jobs.items())
        if not jobs.is_final(job)
    ]


def _count_phases(job: jobs.Job) -> dict[str, int]:
    """Returns how many tasks of a job are in each phase."""
    counts = {phase.value: 0 for phase in jobs.TaskPhase}
    for stage in job.stages.values():
        for task in stage.tasks:
            counts[task.phase.value] += 1
    return counts
