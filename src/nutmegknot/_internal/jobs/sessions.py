"""Sessions with workers: one task that polls and one that sends orders."""

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

# Wait before a worker that did not answer is called again, in ms; a single
# lost answer is asked for anew at once.
RETRY_MS = 150
# Wait after an end for others that come with it, in ms.
GATHER_MS = 15
# Longest wait for ends to be written before the worker is polled again, in ms.
UNWRITTEN_MS = 300


def open_session(
    own: ownerships.Ownership, worker: workers.Worker, *, is_listed: bool = True
) -> None:
    """Begins to claim and poll a worker."""
    host = books.Host(worker, is_listed=is_listed, opened_ms=own.clock.now_ms())
    own.book.hosts[worker.id] = host
    host.recorded = _record(own)
    orders = ownerships.Orders()
    own.orders[worker.id] = orders
    tasks.spawn(own.tasks, _keep_polling(own, host), f'poll {worker.id}')
    tasks.spawn(
        own.tasks, _keep_sending(own, host, orders), f'send {worker.id}'
    )


def _record(own: ownerships.Ownership) -> int:
    """Has the workers written on which runs may be."""
    hosts = own.book.hosts
    return writes.mark(
        own.writer,
        rows.ROSTER_KEY,
        lambda: rows.encode_roster([host.worker for host in hosts.values()]),
    )


def take_written(own: ownerships.Ownership) -> None:
    """Lets tasks start on workers that are named in the table now."""
    signals.notify(own.written)
    for host in own.book.hosts.values():
        if not host.is_recorded and host.recorded <= own.writer.written:
            host.is_recorded = True
            signals.notify(own.changed)


def _is_served(own: ownerships.Ownership, host: books.Host) -> bool:
    return own.book.hosts.get(host.worker.id) is host


async def _keep_sending(
    own: ownerships.Ownership, host: books.Host, orders: ownerships.Orders
) -> None:
    """Sends the orders to one worker, one after the other."""
    while _is_served(own, host):
        send = await orders.queue.get()
        await send()


async def _keep_polling(own: ownerships.Ownership, host: books.Host) -> None:
    """Renews the lease of one worker and takes in what it lists."""
    lost = 0
    while _is_served(own, host):
        if not ownerships.may_act(own):
            await clock_lib.sleep(RETRY_MS)
            continue
        sent_ms = own.clock.now_ms()
        result = await _hold(own, host, sent_ms, lost)
        match result:
            case runners.Inventory():
                lost = 0
                await _take_inventory(own, host, result, sent_ms)
            case runners.Refused(reason):
                fences.note_refusal(own, host, reason)
                if reason is runners.Refusal.OTHER_LIFE:
                    _note_gone(own, host)
                await clock_lib.sleep(RETRY_MS)
            case runners.Unanswered(detail) | runners.Unreached(detail):
                lost += 1
                _note_silence(own, host, detail, sent_ms)
                await clock_lib.sleep(0 if lost == 1 else RETRY_MS)
        _check_lapse(own, host)


def _choose_poll(own: ownerships.Ownership, host: books.Host) -> int:
    """Returns how long a worker waits for an end before it answers, in ms."""
    if not host.is_claimed or host.asked_ms is not None:
        return 0
    return own.limits.busy_poll_ms if host.runs else own.limits.poll_ms


async def _hold(
    own: ownerships.Ownership, host: books.Host, now_ms: int, lost: int
) -> runners.HoldResult:
    """Makes one call to a worker, after some that had no answer."""
    limits = own.limits
    poll_ms = _choose_poll(own, host)
    until_ms = None
    # Without answers nothing is renewed, so that the lease lapses for certain.
    is_fresh = now_ms - host.answered_ms < limits.fresh_ms
    if host.is_claimed and is_fresh:
        until_ms = leases.extend(host, limits.hold_ms, own)
    return await own.runners.hold(
        host.worker,
        own.book.epoch,
        host.seen,
        until_ms,
        poll_ms,
        poll_ms + bounds.get_attempt_limit(limits, lost + 1),
    )


async def _take_inventory(
    own: ownerships.Ownership,
    host: books.Host,
    inventory: runners.Inventory,
    sent_ms: int,
) -> None:
    now_ms = own.clock.now_ms()
    if inventory.life < host.worker.life:
        # An answer of an earlier life came late.
        return
    if host.asked_ms is not None:
        logger.info(
            'worker_regained',
            extra={
                'worker': host.worker.id,
                'after_ms': now_ms - host.asked_ms,
            },
        )
    if host.worker.life and inventory.life > host.worker.life:
        begin_life(own, host, host.worker, 'other_life_listed', inventory.life)
    host.answered_ms = now_ms
    host.asked_ms = None
    leases.note_clock(host, inventory.clock_ms, now_ms)
    fresh = [end for end in inventory.ends if end.number > host.taken]
    for end in sorted(fresh, key=lambda end: end.number):
        ends.apply_end(own, host, end)
    ends.apply_inventory(own, host, inventory, sent_ms)
    pacing.adjust(own, host, inventory)
    if not host.is_claimed:
        host.is_claimed = True
        host.is_gone = False
        signals.notify(own.claimed)
        logger.info(
            'worker_claimed',
            extra={
                'worker': host.worker.id,
                'token': own.book.epoch,
                'life': host.worker.life,
                'runs': len(inventory.runs),
            },
        )
    signals.notify(own.changed)
    if fresh:
        host.taken = max(end.number for end in fresh)
        host.unwritten.append((host.taken, own.writer.marked))
    if host.unwritten:
        await _wait_forgettable(own, host)


async def _wait_forgettable(
    own: ownerships.Ownership, host: books.Host
) -> None:
    """Waits a while until the worker may forget ends that it listed.

    It lists them again until then, and its lease has to be renewed meanwhile.
    """
    until_ms = own.clock.now_ms() + UNWRITTEN_MS
    while host.unwritten and own.clock.now_ms() < until_ms:
        count = own.written.count
        while host.unwritten and host.unwritten[0][1] <= own.writer.written:
            host.seen = host.unwritten.pop(0)[0]
        if host.unwritten:
            left_ms = until_ms - own.clock.now_ms()
            await signals.wait_at_most(own.written, count, max(1, left_ms))
    await clock_lib.sleep(GATHER_MS)


def begin_life(
    own: ownerships.Ownership,
    host: books.Host,
    worker: workers.Worker,
    why: str,
    life: int = 0,
) -> None:
    """Takes note that a worker began anew and knows nothing of before."""
    logger.warning(
        'worker_began_anew',
        extra={
            'worker': worker.id,
            'life': life or worker.life,
            'before': host.worker.life,
            'why': why,
        },
    )
    if life:
        worker = _with_life(worker, life)
    host.worker = worker
    host.lease = books.Lease()
    host.seen = host.taken = 0
    host.unwritten.clear()
    host.is_claimed = False
    host.pace = 100
    # A start that came after the new life began runs in it, so the runs are
    # left to its first inventory.
    for name, task in host.runs.items():
        if task.phase is jobs.Phase.STOPPING:
            stops.send_stop(own, host, name, task.run)


def _note_gone(own: ownerships.Ownership, host: books.Host) -> None:
    """Takes note that another worker has the address, so this one is over."""
    host.is_claimed = False
    host.is_gone = True
    signals.notify(own.claimed)
    if host.asked_ms is None:
        host.asked_ms = own.clock.now_ms()
        logger.warning('address_taken', extra={'worker': host.worker.id})
    for name in list(host.runs):
        ends.lose_run(own, name, 'address_taken')


def _with_life(worker: workers.Worker, life: int) -> workers.Worker:
    return dataclasses.replace(worker, life=life)


def _note_silence(
    own: ownerships.Ownership, host: books.Host, detail: str, sent_ms: int
) -> None:
    if host.asked_ms is None:
        host.asked_ms = sent_ms
        logger.warning(
            'worker_silent',
            extra={
                'worker': host.worker.id,
                'why': detail,
                'age_ms': own.clock.now_ms() - host.answered_ms,
            },
        )


def _check_lapse(own: ownerships.Ownership, host: books.Host) -> None:
    """Takes the runs of a silent worker for lost once its lease has ended."""
    if host.asked_ms is None:
        return
    now_ms = own.clock.now_ms()
    if host.runs and now_ms < leases.compute_lapse(host, own):
        return
    for name in list(host.runs):
        ends.lose_run(own, name, 'lease_lapsed')
    # Until then it may run what an earlier owner started.
    is_known = host.answered_ms > 0 or host.is_gone
    is_over = is_known or now_ms >= leases.compute_settled(own)
    if not host.is_listed and is_over:
        close_session(own, host, 'not_listed')


def close_session(
    own: ownerships.Ownership, host: books.Host, why: str
) -> None:
    """Stops calling a worker that runs nothing any more."""
    logger.info('worker_dropped', extra={'worker': host.worker.id, 'why': why})
    own.book.hosts.pop(host.worker.id, None)
    _record(own)
    orders = own.orders.pop(host.worker.id, None)
    if orders is not None:
        orders.queue.put_nowait(_do_nothing)


async def _do_nothing() -> None:
    """Wakes the sender so that it ends."""
