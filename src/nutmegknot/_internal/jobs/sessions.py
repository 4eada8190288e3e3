"""Sessions of the owner of the jobs with the workers.

Each session has two tasks: one polls the worker for its running and ended
runs and renews its lease; the other sends it commands to start, stop or pace
runs.
"""

import dataclasses
import logging

from nutmegknot._internal.backing import runners
from nutmegknot._internal.jobs import bounds
from nutmegknot._internal.jobs import ends
from nutmegknot._internal.jobs import fences
from nutmegknot._internal.jobs import leases
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import pacing
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import stops
from nutmegknot._internal.jobs import writes
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import signals
from nutmegknot._internal.utils import tasks

logger = logging.getLogger(__name__)

# Wait after a failed poll. The first one without an answer is repeated at once.
RETRY_INTERVAL_MS = 150
# Wait before the next poll after a run has ended, so that other runs that end
# at about the same time are reported in one answer.
END_BATCH_WAIT_MS = 15
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
    info = books.Host(
        worker, is_listed=is_listed, opened_ms=ownership.clock.now_ms()
    )
    ownership.book.hosts[worker.id] = info
    info.recorded = _write_roster(ownership)
    commands = ownerships.Orders()
    ownership.orders[worker.id] = commands
    tasks.spawn(
        ownership.tasks, _poll_worker(ownership, info), f'poll {worker.id}'
    )
    tasks.spawn(
        ownership.tasks,
        _send_commands(ownership, info, commands),
        f'send {worker.id}',
    )


def _write_roster(ownership: ownerships.Ownership) -> int:
    """Queues a write of the workers that may have runs.

    Returns:
      The number of the write.
    """
    infos = ownership.book.hosts
    return writes.mark(
        ownership.writer,
        rows.ROSTER_KEY,
        lambda: rows.encode_roster([info.worker for info in infos.values()]),
    )


def take_written(ownership: ownerships.Ownership) -> None:
    """Lets tasks start on workers that the store's roster names now."""
    signals.notify(ownership.written)
    for info in ownership.book.hosts.values():
        if not info.is_recorded and info.recorded <= ownership.writer.written:
            info.is_recorded = True
            signals.notify(ownership.changed)


def _is_open(ownership: ownerships.Ownership, info: books.Host) -> bool:
    return ownership.book.hosts.get(info.worker.id) is info


async def _send_commands(
    ownership: ownerships.Ownership,
    info: books.Host,
    commands: ownerships.Orders,
) -> None:
    """Sends the queued commands to one worker, one at a time."""
    while _is_open(ownership, info):
        send = await commands.queue.get()
        await send()


async def _poll_worker(
    ownership: ownerships.Ownership, info: books.Host
) -> None:
    """Renews the lease of one worker and applies its answers, in a loop."""
    unanswered_calls = 0
    while _is_open(ownership, info):
        if not ownerships.may_act(ownership):
            await clock_lib.sleep(RETRY_INTERVAL_MS)
            continue
        sent_ms = ownership.clock.now_ms()
        result = await _call_hold(ownership, info, sent_ms, unanswered_calls)
        match result:
            case runners.Inventory():
                unanswered_calls = 0
                await _process_inventory(ownership, info, result, sent_ms)
            case runners.Refused(reason):
                fences.handle_refusal(ownership, info, reason)
                if reason is runners.Refusal.OTHER_LIFE:
                    _mark_replaced(ownership, info)
                await clock_lib.sleep(RETRY_INTERVAL_MS)
            case runners.Unanswered(detail) | runners.Unreached(detail):
                unanswered_calls += 1
                _mark_unanswered(ownership, info, detail, sent_ms)
                await clock_lib.sleep(
                    0 if unanswered_calls == 1 else RETRY_INTERVAL_MS
                )
        _check_lease_expiry(ownership, info)


def _choose_poll_wait(ownership: ownerships.Ownership, info: books.Host) -> int:
    """Returns how long a worker may wait for an end of a run, in ms.

    It is 0, so that the worker answers at once, if it is not claimed yet or its
    last call had no answer.
    """
    if not info.is_claimed or info.asked_ms is not None:
        return 0
    return (
        ownership.limits.busy_poll_ms if info.runs else ownership.limits.poll_ms
    )


async def _call_hold(
    ownership: ownerships.Ownership,
    info: books.Host,
    now_ms: int,
    unanswered_calls: int,
) -> runners.HoldResult:
    """Makes one polling call, which also renews the lease of a claimed worker.

    Args:
      ownership: The ownership of the jobs.
      info: The worker.
      now_ms: Time of the call.
      unanswered_calls: How many calls in a row had no answer.
    """
    limits = ownership.limits
    poll_ms = _choose_poll_wait(ownership, info)
    until_ms = None
    # The lease of a worker that does not answer is not renewed, so that it
    # expires at a known time, after which its tasks may start elsewhere.
    is_answering = now_ms - info.answered_ms < limits.fresh_ms
    if info.is_claimed and is_answering:
        until_ms = leases.extend_lease(info, limits.hold_ms, ownership)
    return await ownership.runners.hold(
        info.worker,
        ownership.book.epoch,
        info.seen,
        until_ms,
        poll_ms,
        poll_ms + bounds.get_attempt_limit(limits, unanswered_calls + 1),
    )


async def _process_inventory(
    ownership: ownerships.Ownership,
    info: books.Host,
    inventory: runners.Inventory,
    sent_ms: int,
) -> None:
    now_ms = ownership.clock.now_ms()
    if inventory.life < info.worker.life:
        # A late answer from before the worker's restart.
        return
    if info.asked_ms is not None:
        logger.info(
            'worker_regained',
            extra={
                'worker': info.worker.id,
                'after_ms': now_ms - info.asked_ms,
            },
        )
    if info.worker.life and inventory.life > info.worker.life:
        begin_life(
            ownership, info, info.worker, 'other_life_listed', inventory.life
        )
    info.answered_ms = now_ms
    info.asked_ms = None
    leases.record_clock(info, inventory.clock_ms, now_ms)
    new_ends = [end for end in inventory.ends if end.number > info.taken]
    for end in sorted(new_ends, key=lambda end: end.number):
        ends.apply_end(ownership, info, end)
    ends.apply_inventory(ownership, info, inventory, sent_ms)
    pacing.adjust_pace(ownership, info, inventory)
    if not info.is_claimed:
        info.is_claimed = True
        info.is_gone = False
        signals.notify(ownership.claimed)
        logger.info(
            'worker_claimed',
            extra={
                'worker': info.worker.id,
                'token': ownership.book.epoch,
                'life': info.worker.life,
                'runs': len(inventory.runs),
            },
        )
    signals.notify(ownership.changed)
    if new_ends:
        info.taken = max(end.number for end in new_ends)
        info.unwritten.append((info.taken, ownership.writer.marked))
    if info.unwritten:
        await _wait_until_ends_written(ownership, info)


async def _wait_until_ends_written(
    ownership: ownerships.Ownership, info: books.Host
) -> None:
    """Waits until ended runs are written, but at most MAX_END_WRITE_WAIT_MS.

    Ended runs that are written are acknowledged to the worker with the next
    poll, and the worker forgets them. It lists the others again.
    """
    until_ms = ownership.clock.now_ms() + MAX_END_WRITE_WAIT_MS
    while info.unwritten and ownership.clock.now_ms() < until_ms:
        count = ownership.written.count
        while (
            info.unwritten and info.unwritten[0][1] <= ownership.writer.written
        ):
            info.seen = info.unwritten.pop(0)[0]
        if info.unwritten:
            left_ms = until_ms - ownership.clock.now_ms()
            await signals.wait_at_most(
                ownership.written, count, max(1, left_ms)
            )
    await clock_lib.sleep(END_BATCH_WAIT_MS)


def begin_life(
    ownership: ownerships.Ownership,
    info: books.Host,
    worker: workers.Worker,
    why: str,
    life: int = 0,
) -> None:
    """Resets what is known of a worker that has restarted.

    Args:
      ownership: The ownership of the jobs.
      info: The worker as it was known.
      worker: The worker as it is listed now.
      why: Cause for the log.
      life: Number of the worker's new life, which rises with each restart; 0
        to take that of `worker`.
    """
    logger.warning(
        'worker_began_anew',
        extra={
            'worker': worker.id,
            'life': life or worker.life,
            'before': info.worker.life,
            'why': why,
        },
    )
    if life:
        worker = _with_life(worker, life)
    info.worker = worker
    info.lease = books.Lease()
    info.seen = info.taken = 0
    info.unwritten.clear()
    info.is_claimed = False
    info.pace = 100
    # Other runs are kept until the first inventory of the new life: a start
    # command that arrived after the restart may have started one of them.
    for name, task in info.runs.items():
        if task.phase is jobs.Phase.STOPPING:
            stops.queue_stop(ownership, info, name, task.run)


def _mark_replaced(ownership: ownerships.Ownership, info: books.Host) -> None:
    """Marks a worker as replaced: another one answers at its address."""
    info.is_claimed = False
    info.is_gone = True
    signals.notify(ownership.claimed)
    if info.asked_ms is None:
        info.asked_ms = ownership.clock.now_ms()
        logger.warning('address_taken', extra={'worker': info.worker.id})
    for name in list(info.runs):
        ends.mark_run_lost(ownership, name, 'address_taken')


def _with_life(worker: workers.Worker, life: int) -> workers.Worker:
    return dataclasses.replace(worker, life=life)


def _mark_unanswered(
    ownership: ownerships.Ownership, info: books.Host, detail: str, sent_ms: int
) -> None:
    if info.asked_ms is None:
        info.asked_ms = sent_ms
        logger.warning(
            'worker_silent',
            extra={
                'worker': info.worker.id,
                'why': detail,
                'age_ms': ownership.clock.now_ms() - info.answered_ms,
            },
        )


def _check_lease_expiry(
    ownership: ownerships.Ownership, info: books.Host
) -> None:
    """Marks the runs of a silent worker as lost once its lease has expired."""
    if info.asked_ms is None:
        return
    now_ms = ownership.clock.now_ms()
    if info.runs and now_ms < leases.compute_expiry(info, ownership):
        return
    for name in list(info.runs):
        ends.mark_run_lost(ownership, name, 'lease_lapsed')
    # A worker that has never answered this owner may run what an earlier owner
    # started, until its lease under that owner has expired.
    is_known = info.answered_ms > 0 or info.is_gone
    is_over = is_known or now_ms >= leases.compute_settled(ownership)
    if not info.is_listed and is_over:
        close_session(ownership, info, 'not_listed')


def close_session(
    ownership: ownerships.Ownership, info: books.Host, why: str
) -> None:
    """Ends the session with a worker on which nothing runs any more."""
    logger.info('worker_dropped', extra={'worker': info.worker.id, 'why': why})
    ownership.book.hosts.pop(info.worker.id, None)
    _write_roster(ownership)
    commands = ownership.orders.pop(info.worker.id, None)
    if commands is not None:
        commands.queue.put_nowait(_wake_sender)


async def _wake_sender() -> None:
    """Does nothing; queued as a command so that _send_commands can end."""
