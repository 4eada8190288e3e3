"""Election of the instance that owns the jobs, by a lease in the table.

The owner row changes with each write of the owner. An instance that sees the
row unchanged for the length of the lease, by its own clock, may write itself
into it. That write has a condition on the row's version, so that only one
instance succeeds.
"""

import logging

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import advice_calls
from nutmegknot._internal.jobs import ceiling_updates
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import overload
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import peer_calls
from nutmegknot._internal.jobs import retention
from nutmegknot._internal.jobs import rosters
from nutmegknot._internal.jobs import sessions
from nutmegknot._internal.jobs import starts
from nutmegknot._internal.jobs import store_routes
from nutmegknot._internal.jobs import takeover
from nutmegknot._internal.jobs import task_scheduling
from nutmegknot._internal.jobs import worker_discovery
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import jobs
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import processor_speed
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks
from nutmegknot._internal.utils import work_slices

logger = logging.getLogger(__name__)

# Interval between two readings of the owner row while the owner is silent.
OWNER_ROW_READ_INTERVAL_MS = 120
OWNER_ROW_TIMEOUT_MS = 700
# Interval between two greetings of an instance that can't reach the store, if
# the owner does not hold its answers. Several reports come within the time for
# which the owner relies on one.
OUT_OF_REACH_INTERVAL_MS = 300
# Shortest and longest interval between greetings to an owner that does not
# answer them, before jitter.
MIN_GREETING_INTERVAL_MS = 60
MAX_GREETING_INTERVAL_MS = 480
# Ratio of a standby's processors, or of its measured speed, to the owner's from
# which on the owner yields to the standby.
YIELD_PROCESSOR_RATIO = 1.5
# Shortest time from a takeover until the new owner may yield.
MIN_OWNERSHIP_MS = 2_000
YIELD_CHECK_INTERVAL_MS = 250
# Mean lateness of timers from which on an owner counts as overloaded and
# yields to a faster standby whose lateness is much lower.
OVERLOAD_LATENESS_MS = 70
# Highest mean lateness of such a standby, as a fraction of the owner's.
MAX_STANDBY_LATENESS_RATIO = 0.34
# How much longer an instance waits before a takeover, in ms for each ms of its
# mean lateness, so that a less loaded one goes first.
TAKEOVER_WAIT_PER_LATENESS = 4
MAX_LATENESS_WAIT_MS = 1_000
# Time to read newer settings before the next greeting. Until an instance has
# read them, the owner answers each of its greetings at once.
SETTINGS_READ_PAUSE_MS = 100
# How long connections to the owner must have been refused before its process
# counts as ended.
CONNECTION_REFUSED_MS = 200
# How much longer an instance waits before a takeover for each core by which it
# is smaller than the largest standby, so that the largest one goes first.
TAKEOVER_WAIT_PER_CORE_MS = 150
# Assumed processors of the largest standby, in thousandths of a core, until the
# owner has reported them.
DEFAULT_STANDBY_MILLICORES = 2_200
MIN_OWNER_ROW_READ_INTERVAL_MS = 10
# How long a new owner tries to load the jobs before it releases the ownership.
LOAD_TIMEOUT_MS = 6_000
# Age, in ms, for which an instance delays a takeover by 1 ms after a planned
# handover. The youngest instance goes first, since a rolling restart stops it
# last.
AGE_MS_PER_WAIT_MS = 100
MAX_AGE_WAIT_MS = 150


async def run_election(node: nodes.Node) -> None:
    """Monitors the owner, takes over when its lease has ended, and serves.

    An instance that is being stopped goes on monitoring, as it still brings
    calls to the owner, but takes over no more.
    """
    while True:
        if node.ownership is not None:
            await _serve_until_lost(node, node.ownership)
            continue
        if await _greet_owner(node):
            continue
        await _check_owner_row(node)


async def _greet_owner(node: nodes.Node) -> bool:
    """Greets the known owner; tells whether it confirmed its ownership."""
    owner = node.owner
    if owner is None or not owner.row.holder:
        return False
    if owner.row.address == node.address:
        # The row names an earlier process at this instance's address. A
        # greeting would reach this instance itself, which would then count as
        # another one that may reach the store.
        return False
    if node.is_owner_silent and node.clock.now_ms() < node.next_greeting_ms:
        return False
    reply = await peer_calls.greet(node, owner.row.address)
    if isinstance(reply, peer_calls.NoReply):
        record_missed_greeting(node, reply)
        return False
    node.refused_since_ms = None
    node.is_owner_silent = False
    node.missed_greetings = 0
    node.owner_lag_ms = reply.lag_ms
    node.known_revision = max(node.known_revision, reply.configuration)
    if (
        not reply.reaches_store
        and node.routes is not None
        and node.routes.direct_failed_since_ms is None
    ):
        await store_routes.probe_direct_route(node.routes)
    if reply.instance != owner.row.holder and owner.row.holder:
        # Another process answers at the owner's address, so the owner's
        # process has ended and its lease counts as over.
        owner.unchanged_since_ms = min(
            owner.unchanged_since_ms, node.clock.now_ms() - node.limits.lease_ms
        )
        return False
    if reply.epoch != owner.row.epoch:
        return False
    owner.answered_ms = node.clock.now_ms()
    node.max_standby_millicores = reply.strongest
    if reply.version > owner.version:
        owner.version = reply.version
    if reply.version == owner.version:
        # The row had this version when the owner answered, so the lease counts
        # from the answer on.
        owner.unchanged_since_ms = owner.answered_ms
    signals.notify(node.changed)
    known = 0 if node.settings is None else node.settings.revision
    if reply.configuration > known:
        # Until this instance has read the newer settings, the owner answers
        # each greeting at once.
        await clock.sleep(SETTINGS_READ_PAUSE_MS)
    return True


def record_missed_greeting(
    node: nodes.Node, no_reply: peer_calls.NoReply
) -> None:
    """Records that the owner did not answer a greeting.

    Further greetings follow at growing intervals with jitter, so that the
    standbys do not add to the load of an owner that is only late.
    """
    node.is_owner_silent = True
    interval_ms = min(
        MAX_GREETING_INTERVAL_MS,
        MIN_GREETING_INTERVAL_MS << min(node.missed_greetings, 8),
    )
    node.missed_greetings += 1
    node.next_greeting_ms = node.clock.now_ms() + int(
        interval_ms * (0.5 + node.rng.random())
    )
    if not no_reply.is_refused:
        node.refused_since_ms = None
    elif node.refused_since_ms is None:
        node.refused_since_ms = node.clock.now_ms()


async def _check_owner_row(node: nodes.Node) -> None:
    """Reads the owner row, and takes over if the owner's lease has ended.

    Load pattern: the store answers nobody, and each call to it lasts until its
    time-out. The owner may go on only while every other instance reports again
    and again that it does not reach the store either. So no instance waits for
    the row before its next greeting; the probes show when a route works again.
    """
    if node.routes is not None and store_routes.is_out_of_reach(node.routes):
        _postpone_takeover(node)
        await clock.sleep(OUT_OF_REACH_INTERVAL_MS)
        return
    found = await takeover.read_owner(node.backends.table, OWNER_ROW_TIMEOUT_MS)
    if found is None:
        _postpone_takeover(node)
        await clock.sleep(OWNER_ROW_READ_INTERVAL_MS)
        return
    record_owner_row(node, found)
    wait_ms = compute_takeover_wait_ms(node)
    if wait_ms == 0 and node.settings is not None and not node.is_stopping:
        await _take_over(node, found)
        return
    min_interval_ms = MIN_OWNER_ROW_READ_INTERVAL_MS
    if node.is_stopping:
        # It only waits for another instance to take over.
        min_interval_ms = OWNER_ROW_READ_INTERVAL_MS
    await clock.sleep(
        min(OWNER_ROW_READ_INTERVAL_MS, max(min_interval_ms, wait_ms))
    )


def _postpone_takeover(node: nodes.Node) -> None:
    """Has the owner's lease count from now on.

    The owner can't write during an outage of the store, so an unchanged row
    does not show that it has failed.
    """
    if node.owner is not None:
        node.owner.unchanged_since_ms = node.clock.now_ms()


def record_owner_row(
    node: nodes.Node, found: takeover.VersionedOwnerRow
) -> None:
    """Records the owner row as it was read."""
    known = node.owner
    if known is not None and known.version == found.version:
        return
    now_ms = node.clock.now_ms()
    is_new = known is None or known.row.epoch != found.row.epoch
    node.owner = nodes.ObservedOwner(found.row, found.version, now_ms)
    if is_new:
        # Failed calls to the previous owner say nothing about this one.
        node.refused_since_ms = None
        node.is_owner_silent = False
        node.missed_greetings = 0
        node.owner_lag_ms = 0
    elif known is not None:
        node.owner.answered_ms = known.answered_ms
    if is_new or not found.row.holder:
        logger.info(
            'owner_seen',
            extra={
                'epoch': found.row.epoch,
                'holder': found.row.holder,
                'address': found.row.address,
            },
        )
    signals.notify(node.changed)


def compute_takeover_wait_ms(node: nodes.Node) -> int:
    """Returns after which time this instance may replace the owner, in ms.

    The result is 0 if it may do so now. Any later sign of life of the owner
    makes the time longer again.
    """
    owner = node.owner
    if owner is None:
        return node.limits.lease_ms
    missing_millicores = max(
        0,
        (node.max_standby_millicores or DEFAULT_STANDBY_MILLICORES)
        - node.millicores,
    )
    delay_ms = missing_millicores * TAKEOVER_WAIT_PER_CORE_MS // clock.MS_PER_S
    delay_ms += min(
        MAX_LATENESS_WAIT_MS,
        int(TAKEOVER_WAIT_PER_LATENESS * node.lateness.mean_ms),
    )
    if owner.version == tables.ABSENT or not owner.row.holder:
        # In a rolling restart the youngest process is stopped last, so it
        # should take over first.
        age_ms = node.clock.now_ms() - node.started_ms
        delay_ms += min(MAX_AGE_WAIT_MS, age_ms // AGE_MS_PER_WAIT_MS)
        lease_ms = 0
    elif owner.row.address == node.address:
        # The row names an earlier process at this instance's address. It has
        # ended, since this one listens there now.
        return 0
    else:
        lease_ms = node.limits.lease_ms
    takeover_due_ms = owner.unchanged_since_ms + lease_ms + delay_ms
    if node.refused_since_ms is not None:
        # Nothing listens at the owner's address, so its process has ended. If
        # it is alive behind a broken network, its next write fails, and workers
        # that the new owner has claimed refuse its commands.
        takeover_due_ms = min(
            takeover_due_ms,
            node.refused_since_ms + CONNECTION_REFUSED_MS + delay_ms,
        )
    return max(0, takeover_due_ms - node.clock.now_ms())


async def _take_over(
    node: nodes.Node, found: takeover.VersionedOwnerRow
) -> None:
    """Writes this instance into the owner row and starts the ownership."""
    sent_ms = node.clock.now_ms()
    owner = await takeover.take_over(
        node.backends.table, found, node.id, node.address, OWNER_ROW_TIMEOUT_MS
    )
    if owner is None:
        await clock.sleep(OWNER_ROW_READ_INTERVAL_MS)
        return
    logger.info(
        'ownership_gained',
        extra={
            'epoch': owner.row.epoch,
            'before': found.row.holder,
            'version': owner.version,
        },
    )
    record_owner_row(node, owner)
    await start_ownership(node, owner, sent_ms)


async def start_ownership(
    node: nodes.Node, owner: takeover.VersionedOwnerRow, sent_ms: int
) -> None:
    """Loads the jobs and begins to serve as the owner.

    Args:
      node: The instance.
      owner: The owner row that it has written.
      sent_ms: When it sent that write.
    """
    writer = writers.Writer(
        node.backends.table,
        node.clock,
        owner.row,
        owner.version,
        sent_ms,
        node.metrics,
    )
    owner_tasks = tasks.TaskSet(first_error=node.tasks.first_error)
    tasks.spawn(
        owner_tasks,
        writers.run_writer(
            writer, node.limits.batch_delay_ms, node.limits.renew_ms, node.rng
        ),
        'write',
    )
    loaded = await _load_state(node, writer)
    if loaded is None:
        await _abandon(writer, owner_tasks)
        return
    ownership = ownerships.Ownership(
        node.clock,
        node.rng,
        node.limits,
        node.backends.runners,
        {},
        writer,
        loaded.cluster,
        owner_tasks,
        node.metrics,
        node.routes,
        node.lateness,
        early_cancels=loaded.early_cancels,
    )

    writer.on_write_completed = lambda: _process_completed_write(ownership)
    await _open_jobs(ownership)
    if node.is_stopping:
        # The stop began during the takeover and found no ownership to release.
        await _abandon(writer, owner_tasks)
        return
    _start_serving(node, ownership)


def _process_completed_write(ownership: ownerships.Ownership) -> None:
    """Does what had to wait for a write that is in the table now."""
    task_scheduling.process_durable_jobs(ownership)
    rosters.mark_registered_workers(ownership)
    starts.send_durable_starts(ownership)
    ceiling_updates.apply_completed_write(ownership)


async def _load_state(
    node: nodes.Node, writer: writers.Writer
) -> takeover.LoadedState | None:
    """Loads the jobs, with retries.

    Returns:
      The state that was loaded; None if that has failed for LOAD_TIMEOUT_MS or
      the ownership was lost.
    """
    assert node.settings is not None, 'a new owner has read the settings'
    until_ms = node.clock.now_ms() + LOAD_TIMEOUT_MS
    while True:
        loaded = await takeover.load_state(
            node.backends.table,
            writer.row.epoch,
            node.clock.now_ms(),
            node.settings,
        )
        if not isinstance(loaded, tables.Unavailable):
            writer.part_counts.update(loaded.part_counts)
            return loaded
        logger.warning('state_load_failed', extra={'why': loaded.detail})
        if writer.is_lost or node.clock.now_ms() > until_ms:
            return None
        await clock.sleep(OWNER_ROW_READ_INTERVAL_MS)


async def _abandon(writer: writers.Writer, owner_tasks: tasks.TaskSet) -> None:
    """Releases an ownership before it is served."""
    if not writer.is_lost:
        await release_ownership(writer)
    await tasks.cancel_all(owner_tasks)


async def _open_jobs(ownership: ownerships.Ownership) -> None:
    """Opens the stages of all jobs that can run."""
    work = work_slices.WorkSlice()
    for job in ownership.cluster.jobs.values():
        if jobs.has_schedule(job.spec):
            ownership.timed_jobs.add(job.spec.id)
        task_scheduling.open_ready_stages(ownership, job)
        await work_slices.record_work(work, takeover.measure_job(job))


def _start_serving(node: nodes.Node, ownership: ownerships.Ownership) -> None:
    """Starts the tasks of the owner and makes the ownership visible."""
    owner_tasks = ownership.tasks
    for worker in ownership.cluster.predecessor_workers:
        sessions.open_session(ownership, worker, is_listed=False)
    tasks.spawn_restartable(
        owner_tasks,
        lambda: worker_discovery.poll_worker_list(
            ownership, node.backends.listings, node.list_availability
        ),
        'roster',
    )
    tasks.spawn_restartable(
        owner_tasks,
        lambda: task_scheduling.run_scheduling_loop(ownership),
        'place',
    )
    tasks.spawn_restartable(
        owner_tasks,
        lambda: advice_calls.run_adviser_calls(ownership, node.backends.advise),
        'advise',
    )
    tasks.spawn_restartable(
        owner_tasks, lambda: retention.run_retention(ownership), 'forget'
    )
    # The settings may have changed while the jobs were loaded.
    if node.settings is not None:
        ownership.cluster.settings = node.settings
    overload.restore_rates(ownership)
    node.ownership = ownership
    instruments.increment(node.metrics.ownership_changes, 'gained')
    logger.info(
        'jobs_opened',
        extra={
            'epoch': ownership.cluster.epoch,
            'jobs': len(ownership.cluster.jobs),
            'after_ms': ownership.clock.now_ms()
            - ownership.writer.confirmed_ms,
        },
    )
    signals.notify(node.changed)


async def _serve_until_lost(
    node: nodes.Node, ownership: ownerships.Ownership
) -> None:
    """Waits until the ownership is lost or yielded, and ends it."""
    count = 0
    while not ownership.writer.is_lost:
        count = await signals.wait_with_timeout(
            ownership.writer.ended, count, YIELD_CHECK_INTERVAL_MS
        )
        if not ownership.writer.is_lost and _should_yield(node, ownership):
            logger.info(
                'ownership_yielded',
                extra={
                    'epoch': ownership.cluster.epoch,
                    'strength': node.millicores,
                    'late_ms': int(node.lateness.mean_ms),
                },
            )
            await release_ownership(ownership.writer)
    await end_ownership(node)


def _should_yield(node: nodes.Node, ownership: ownerships.Ownership) -> bool:
    """Tells whether a standby would do far better as the owner.

    Load pattern: the owner has more work than its processor can do. An instance
    that is no faster would be as late with that work, and each takeover adds
    the cost of claiming all workers anew.
    """
    age_ms = node.clock.now_ms() - ownership.cluster.owned_since_ms
    if node.routes is None or age_ms < MIN_OWNERSHIP_MS:
        return False
    late_ms = node.lateness.mean_ms
    standbys = store_routes.list_standbys(node.routes)
    if late_ms >= OVERLOAD_LATENESS_MS:
        return any(
            peer.late_ms <= late_ms * MAX_STANDBY_LATENESS_RATIO
            and (_is_larger(node, peer) or _is_faster(node, peer))
            for peer in standbys
        )
    return any(
        _is_larger(node, peer) and peer.late_ms < OVERLOAD_LATENESS_MS
        for peer in standbys
    )


def _is_larger(node: nodes.Node, peer: store_routes.Peer) -> bool:
    """Tells whether another instance has far more processors than this one."""
    return peer.millicores >= node.millicores * YIELD_PROCESSOR_RATIO


def _is_faster(node: nodes.Node, peer: store_routes.Peer) -> bool:
    """Tells whether another instance's processor is far faster at present."""
    own_us = processor_speed.get_calculation_time(node.speed)
    return 0 < peer.calculation_us * YIELD_PROCESSOR_RATIO <= own_us


async def end_ownership(node: nodes.Node) -> None:
    """Stops serving as the owner, without a write to the table."""
    ownership, node.ownership = node.ownership, None
    if ownership is None:
        return
    instruments.increment(node.metrics.ownership_changes, 'ended')
    logger.info('jobs_closed', extra={'epoch': ownership.cluster.epoch})
    signals.notify(node.changed)
    await tasks.cancel_all(ownership.tasks)


async def release_ownership(writer: writers.Writer) -> None:
    """Writes that the jobs have no owner, so that a standby takes over."""
    writer.row.holder = ''
    writers.queue_write(writer, RELEASE_KEY, lambda: None, is_hurried=True)
    await writers.wait_durable(writer)
    if not writer.is_lost:
        writers.stop_writing(writer)


# Key of a row that never exists. Its removal is queued to have the owner row
# written at once.
RELEASE_KEY = 'jobs/released'
