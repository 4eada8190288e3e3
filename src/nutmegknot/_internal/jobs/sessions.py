"""Sessions of the owner of the jobs with the workers.

Each session has two tasks: one polls the worker for its running and ended
runs and renews its lease; the other sends it commands to start, stop or pace
runs.
"""

import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import command_queues
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.jobs import refusals
from nutmegknot._internal.jobs import rosters
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import throttling
from nutmegknot._internal.jobs import worker_crashes
from nutmegknot._internal.jobs import worker_lives
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Wait after a failed poll. The first one without an answer is repeated at once.
RETRY_INTERVAL_MS = 150
# Wait before the next poll after a run has ended, so that other runs that end
# at about the same time are reported in one answer.
END_BATCH_WAIT_MS = 15
# Number of calls in a row without an answer from which on a worker counts as
# not answering.
MIN_UNANSWERED_CALLS = 2
# Largest number of polls a second, over all workers, that report no ended run.
# The longest wait in a poll, limits.poll_wait_ms, goes before it.
MAX_IDLE_POLLS_PER_S = 300
# How long after a lost answer of any worker waits stay short.
LOST_ANSWER_MEMORY_MS = 10_000
# Longest wait for ended runs to be written; then the worker is polled again,
# as its lease has to be renewed.
MAX_END_WRITE_WAIT_MS = 300


def open_session(
    ownership: ownerships.Ownership,
    worker: workers.Worker,
    *,
    is_listed: bool = True,
) -> None:
    """Opens a session with a worker and starts polling it.

    The worker is claimed once it has answered a poll with this owner's epoch.
    """
    info = cluster_state.WorkerInfo(
        worker, is_listed=is_listed, known_since_ms=ownership.clock.now_ms()
    )
    ownership.cluster.workers_by_id[worker.id] = info
    info.registration_write = rosters.write_roster(ownership)
    commands = command_queues.CommandQueue()
    ownership.commands_by_worker[worker.id] = commands
    tasks.spawn_restartable(
        ownership.tasks,
        lambda: _poll_worker(ownership, info),
        f'poll {worker.id}',
    )
    tasks.spawn_restartable(
        ownership.tasks,
        lambda: _send_commands(ownership, info, commands),
        f'send {worker.id}',
    )


async def _send_commands(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    commands: command_queues.CommandQueue,
) -> None:
    """Sends the queued commands to one worker, one at a time, but no stops."""
    while ownerships.has_session(ownership, info):
        if commands.others:
            send = commands.others.popleft()
            await send()
        else:
            await signals.wait_for_notification(
                commands.changed, commands.changed.count
            )


async def _poll_worker(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Polls one worker until the session ends, then disconnects it."""
    try:
        await _poll_repeatedly(ownership, info)
    finally:
        await ownership.runners.disconnect(info.worker.id)


async def _poll_repeatedly(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Renews the lease of one worker and applies its answers, in a loop."""
    unanswered_calls = 0
    while ownerships.has_session(ownership, info):
        if not ownerships.may_act(ownership):
            await clock.sleep(RETRY_INTERVAL_MS)
            continue
        sent_ms = ownership.clock.now_ms()
        poll_ms = _choose_poll_wait(ownership, info)
        timeout_ms = poll_ms + ownerships.compute_call_timeout(
            ownership, unanswered_calls + 1
        )
        result = await _call_poll(
            ownership, info, sent_ms, unanswered_calls, poll_ms, timeout_ms
        )
        match result:
            case runners.Inventory():
                unanswered_calls = 0
                await _process_inventory(ownership, info, result, sent_ms)
            case runners.Refused(reason):
                refusals.handle_refusal(ownership, info, reason)
                if reason is runners.Refusal.OTHER_LIFE:
                    worker_lives.mark_replaced(ownership, info)
                await clock.sleep(RETRY_INTERVAL_MS)
            case runners.Unanswered(detail) | runners.Unreached(detail):
                unanswered_calls += 1
                has_ended_early = (
                    ownership.clock.now_ms() < sent_ms + timeout_ms
                )
                _mark_unanswered(
                    ownership,
                    info,
                    detail,
                    sent_ms,
                    isinstance(result, runners.Unanswered) and has_ended_early,
                )
                if has_ended_early or unanswered_calls >= MIN_UNANSWERED_CALLS:
                    worker_crashes.write_young_runs(ownership, info)
                await clock.sleep(
                    0 if unanswered_calls == 1 else RETRY_INTERVAL_MS
                )
        _check_lease_expiry(ownership, info)
        rosters.record_life(ownership, info)


def _choose_poll_wait(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> int:
    """Returns how long a worker may wait for an end of a run, in ms.

    It is 0, so that the worker answers at once, if it is not claimed yet or its
    last call had no answer.
    """
    if not info.is_claimed or info.unanswered_since_ms is not None:
        return 0
    if not info.runs:
        return ownership.limits.poll_wait_ms
    if info.trial_runs:
        return ownership.limits.busy_poll_wait_ms
    return choose_busy_poll_wait(ownership)


def choose_busy_poll_wait(ownership: ownerships.Ownership) -> int:
    """Returns how long a worker with runs may wait for an end, in ms.

    Load pattern: many workers run long tasks, and a poll that reports no ended
    run costs the owner as much as one that does. The waits grow with the number
    of workers, so that such polls stay below MAX_IDLE_POLLS_PER_S.
    While answers are being lost, waits are short, since the ends in a lost
    answer are known only after the time-out of the call.
    """
    limits = ownership.limits
    since_loss_ms = ownership.clock.now_ms() - ownership.last_lost_answer_ms
    if ownership.last_lost_answer_ms and since_loss_ms < LOST_ANSWER_MEMORY_MS:
        return limits.busy_poll_wait_ms
    count = len(ownership.cluster.workers_by_id)
    spread_ms = count * clock.MS_PER_S // MAX_IDLE_POLLS_PER_S
    return min(limits.poll_wait_ms, max(limits.busy_poll_wait_ms, spread_ms))


async def _call_poll(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    now_ms: int,
    unanswered_calls: int,
    poll_ms: int,
    timeout_ms: int,
) -> runners.PollResult:
    """Makes one polling call, which also renews the lease of a claimed worker.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      now_ms: Time of the call.
      unanswered_calls: How many calls in a row had no answer.
      poll_ms: How long the worker may wait for an end.
      timeout_ms: Time-out of the call.
    """
    limits = ownership.limits
    until_ms = None
    # The lease of a worker that does not answer is not renewed, so that it
    # expires at a known time, after which its tasks may start elsewhere.
    # One call without an answer is no evidence of that: this process may have
    # been paused meanwhile.
    is_answering = (
        unanswered_calls < MIN_UNANSWERED_CALLS
        or now_ms - info.last_answer_ms < limits.lease_renewal_window_ms
    )
    if info.is_claimed and is_answering:
        until_ms = leases.extend_lease(info, limits.worker_lease_ms, ownership)
    return await ownership.runners.poll(
        info.worker,
        ownership.cluster.epoch,
        info.persisted_end,
        until_ms,
        poll_ms,
        timeout_ms,
    )


async def _process_inventory(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    inventory: runners.Inventory,
    sent_ms: int,
) -> None:
    now_ms = ownership.clock.now_ms()
    if inventory.life < info.worker.life:
        # A late answer from before the worker's restart.
        await clock.sleep(RETRY_INTERVAL_MS)
        return
    if info.unanswered_since_ms is not None:
        logger.info(
            'worker_regained',
            extra={
                'worker': info.worker.id,
                'after_ms': now_ms - info.unanswered_since_ms,
            },
        )
    if info.worker.life and inventory.life > info.worker.life:
        worker_lives.reset_for_new_life(
            ownership, info, info.worker, 'other_life_listed', inventory.life
        )
    worker_crashes.record_answer(ownership, info, inventory.life)
    info.alive_clock_ms = max(info.alive_clock_ms, inventory.clock_ms)
    info.last_answer_ms = now_ms
    info.unanswered_since_ms = None
    leases.record_clock(
        info,
        inventory.clock_ms,
        sent_ms,
        now_ms,
        ownership.limits.max_clock_drift,
    )
    new_ends = [
        end for end in inventory.ends if end.number > info.processed_end
    ]
    for end in sorted(new_ends, key=lambda end: end.number):
        reconciliation.apply_end(ownership, info, end)
    reconciliation.apply_inventory(ownership, info, inventory, sent_ms)
    throttling.adjust_pace(ownership, info, inventory)
    if not info.is_claimed:
        _claim(ownership, info, inventory)
    if info.has_unread_ends and not inventory.has_more_ends:
        info.has_unread_ends = False
        signals.notify(ownership.worker_claimed)
    signals.notify(ownership.scheduling_needed)
    if new_ends:
        _record_ends(ownership, info, new_ends)
    if info.unpersisted_ends:
        await _wait_until_ends_written(ownership, info)


def _claim(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    inventory: runners.Inventory,
) -> None:
    """Records that a worker has accepted the fencing token of this owner."""
    info.is_claimed = True
    info.is_replaced = False
    signals.notify(ownership.worker_claimed)
    logger.info(
        'worker_claimed',
        extra={
            'worker': info.worker.id,
            'token': ownership.cluster.epoch,
            'life': info.worker.life,
            'runs': len(inventory.runs),
            'ends': len(inventory.ends),
            'more_ends': inventory.has_more_ends,
        },
    )


def _record_ends(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    ends: list[runners.ReportedEnd],
) -> None:
    """Records that ends may be acknowledged once what was queued is written."""
    info.processed_end = max(end.number for end in ends)
    info.unpersisted_ends.append(
        cluster_state.UnpersistedEnds(
            info.processed_end,
            ownership.writer.last_queued,
            frozenset(
                rows.get_progress_key(end.name.job)
                for end in ends
                if end.name is not None
            ),
        )
    )


async def _wait_until_ends_written(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Waits until ended runs are written, but at most MAX_END_WRITE_WAIT_MS.

    Ended runs that are written are acknowledged to the worker with the next
    poll, and the worker forgets them. It lists the others again.
    """
    until_ms = ownership.clock.now_ms() + MAX_END_WRITE_WAIT_MS
    while info.unpersisted_ends and ownership.clock.now_ms() < until_ms:
        count = ownership.write_completed.count
        while info.unpersisted_ends and writers.is_durable(
            ownership.writer,
            info.unpersisted_ends[0].write,
            *info.unpersisted_ends[0].keys,
        ):
            info.persisted_end = info.unpersisted_ends.pop(0).number
        if info.unpersisted_ends:
            left_ms = until_ms - ownership.clock.now_ms()
            await signals.wait_with_timeout(
                ownership.write_completed, count, max(1, left_ms)
            )
    await clock.sleep(END_BATCH_WAIT_MS)


def _mark_unanswered(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    detail: str,
    sent_ms: int,
    broke_early: bool,
) -> None:
    """Records that a poll of a worker has no answer.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      detail: Cause for the log.
      sent_ms: When the poll was sent.
      broke_early: Whether the connection broke before the time-out, so that the
        worker was in operation until then.
    """
    now_ms = ownership.clock.now_ms()
    ownership.last_lost_answer_ms = now_ms
    if info.unanswered_since_ms is None:
        info.unanswered_since_ms = sent_ms
        info.silence_noticed_ms = now_ms
        if broke_early and info.lease.clock_ms:
            broke_ms = now_ms - int(ownership.lag.peak_ms)
            info.alive_clock_ms = max(
                info.alive_clock_ms, leases.estimate_clock(info, broke_ms)
            )
        logger.warning(
            'worker_silent',
            extra={
                'worker': info.worker.id,
                'why': detail,
                'age_ms': ownership.clock.now_ms() - info.last_answer_ms,
            },
        )


def _check_lease_expiry(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Marks the runs of a silent worker as lost once its lease has expired."""
    if info.unanswered_since_ms is None:
        return
    now_ms = ownership.clock.now_ms()
    if info.runs and now_ms < leases.compute_expiry(info, ownership):
        return
    if info.runs:
        worker_crashes.remember_runs(ownership, info)
    for name in list(info.runs):
        reconciliation.mark_run_lost(ownership, name, 'lease_lapsed')
    # A worker that has never answered this owner may run what an earlier owner
    # started, until its lease under that owner has expired.
    is_known = info.last_answer_ms > 0 or info.is_replaced
    is_over = is_known or now_ms >= leases.compute_earlier_runs_expiry(
        info, ownership
    )
    if not info.is_listed and is_over:
        close_session(ownership, info, 'not_listed')


def close_session(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo, why: str
) -> None:
    """Ends the session with a worker on which nothing runs any more."""
    logger.info('worker_dropped', extra={'worker': info.worker.id, 'why': why})
    ownership.cluster.workers_by_id.pop(info.worker.id, None)
    rosters.write_roster(ownership)
    commands = ownership.commands_by_worker.pop(info.worker.id, None)
    if commands is not None:
        signals.notify(commands.changed)
