"""Writes of the owner to the table, one at a time.

Each write is a transaction that also rewrites the owner row, on the condition
that this row still has the version that the previous write gave it. So a write
whose answer was lost can't take effect after a later one, an owner that was
replaced can't write at all, and each write renews the ownership.

A row that the store rejects for what it contains is set aside, so that it does
not keep the others from being written. It does not count as written, and is
written again by itself from time to time.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import logging
import random

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import job_metrics
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.telemetry import instruments
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# The store accepts 100 entries in a call. Besides the rows of the batch, a call
# has a condition on the owner row and a write of it.
MAX_ROWS_PER_BATCH = 96
MAX_BYTES_PER_BATCH = 600_000
# Upper bound of the delay before the second attempt at a write that failed.
FIRST_RETRY_DELAY_MS = 40
MAX_RETRY_DELAY_MS = 400

MIN_WRITE_TIMEOUT_MS = 200
MAX_WRITE_TIMEOUT_MS = 1_000
# Time-out of a write as a multiple of the store's mean answer time.
WRITE_TIMEOUT_FACTOR = 5
# Weight of the newest answer in the moving average of the store's answer time.
ANSWER_TIME_SMOOTHING = 0.2
# Interval between two attempts to write the rows that were rejected.
REJECTED_RETRY_MS = 1_000
# How long writes may fail before new jobs are refused.
MAX_STORE_FAILURE_MS = 250
# How long a write may have no answer before new jobs behind it are refused. A
# store that is only slow answers before that, and most callers' deadlines are
# later.
MAX_UNANSWERED_MS = 1_500

Encode = Callable[[], bytes | None]


@dataclasses.dataclass(slots=True)
class QueuedWrite:
    """A row that waits to be written; requests for the same row are merged.

    Each request to write a row gets a number, which rises by one.

    Attributes:
      first_number: Number of the oldest request that is not in the table yet.
      last_number: Number of the newest request.
      encode: Returns the row's value at the time of the write, or None to
        remove the row.
    """

    first_number: int
    last_number: int
    encode: Encode


class WriteOutcome(enum.Enum):
    """Outcome of a queued write."""

    DURABLE = 'durable'
    # The row is not in the table and will not be written.
    WITHDRAWN = 'withdrawn'
    # The ownership was lost; the row may be in the table or not.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Waiter:
    """A task that waits until its queued writes are in the table.

    Attributes:
      number: Number of the last write that it waits for.
      done: Completed with the outcome.
      keys: Keys of the rows to withdraw if the store goes on failing; empty to
        retry without end.
    """

    number: int
    done: asyncio.Future[WriteOutcome]
    keys: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Batch:
    """Rows that are written in one transaction.

    Attributes:
      writes: The queued writes by key.
      values: The values of the rows by key; None to remove a row. A long value
        takes several rows.
      part_counts: Number of rows that each value takes after its first one.
      value_bytes: Length of all values.
      is_rejected: Whether it is one of the writes that were rejected before.
    """

    writes: dict[str, QueuedWrite] = dataclasses.field(default_factory=dict)
    values: dict[str, bytes | None] = dataclasses.field(default_factory=dict)
    part_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    value_bytes: int = 0
    is_rejected: bool = False


@dataclasses.dataclass(slots=True)
class Writer:
    """Queue of writes and state of the owner row of one ownership.

    Attributes:
      table: The platform's table service, called the store in comments.
      clock: Source of time.
      row: The owner row as it was written last.
      version: Version of that row.
      confirmed_ms: When the last write that took effect was sent.
      metrics: Metrics of the instance.
      queued_writes: Queued writes by key, in the order of their newest
        requests.
      last_queued: Number of the write that was queued last.
      waiters: Tasks that wait for writes, lowest number first.
      is_lost: Whether the ownership is lost, so that nothing may be written.
      is_hurried: Whether to write at once instead of waiting for more rows.
      write_needed: Notified when a write is queued or the ownership is lost.
      ended: Notified when the ownership is lost.
      failing_since_ms: Since when the store fails to answer writes; None if it
        answered the last one.
      mean_answer_ms: Moving average of the store's answer time.
      last_durable: All writes up to this number are in the table, but those
        that were rejected; see is_durable.
      part_counts: Number of rows that each long value in the table takes after
        its first one.
      max_batch_writes: Largest number of queued writes in a batch. It falls
        while the table service rejects batches for what they contain.
      rejected_writes: Writes of rows that it has rejected by themselves, by
        key. They are not among queued_writes.
      next_rejected_ms: When these are written again.
      on_write_completed: Called after each write that took effect.
    """

    table: tables.Table
    clock: clock_lib.Clock
    row: jobs_pb2.JobsOwnerRow
    version: int
    confirmed_ms: int
    metrics: job_metrics.JobMetrics
    queued_writes: dict[str, QueuedWrite] = dataclasses.field(
        default_factory=dict
    )
    last_queued: int = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    is_lost: bool = False
    is_hurried: bool = False
    write_needed: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
    ended: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    failing_since_ms: int | None = None
    mean_answer_ms: float = 10.0
    last_durable: int = 0
    part_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    max_batch_writes: int = MAX_ROWS_PER_BATCH
    rejected_writes: dict[str, QueuedWrite] = dataclasses.field(
        default_factory=dict
    )
    next_rejected_ms: int = 0
    on_write_completed: Callable[[], None] = lambda: None


def has_authority(writer: Writer, authority_ms: int) -> bool:
    """Tells whether no other instance can have become the owner yet.

    Once a release is queued, it may take effect at any time.

    Args:
      writer: The writer.
      authority_ms: How long after a confirmed write that is certain.
    """
    age_ms = writer.clock.now_ms() - writer.confirmed_ms
    is_held = not writer.is_lost and writer.row.holder != ''
    return is_held and age_ms < authority_ms


def queue_write(
    writer: Writer, key: str, encode: Encode, *, is_hurried: bool = False
) -> int:
    """Queues a write of a row.

    Args:
      writer: The writer.
      key: Key of the row.
      encode: Returns the row's value at the time of the write, or None to
        remove the row.
      is_hurried: Whether to write at once instead of waiting for more rows.

    Returns:
      The number of the queued write.
    """
    writer.last_queued += 1
    is_rejected = key in writer.rejected_writes
    queue = writer.rejected_writes if is_rejected else writer.queued_writes
    earlier = queue.pop(key, None)
    first = writer.last_queued if earlier is None else earlier.first_number
    queue[key] = QueuedWrite(first, writer.last_queued, encode)
    if is_rejected:
        return writer.last_queued
    if is_hurried:
        writer.is_hurried = True
    signals.notify(writer.write_needed)
    return writer.last_queued


def compute_max_value_bytes(writer: Writer) -> int:
    """Returns the length of the longest value that one call can write."""
    return MAX_ROWS_PER_BATCH * writer.table.max_value_bytes


def is_durable(writer: Writer, number: int, *keys: str) -> bool:
    """Tells whether queued writes are in the table.

    Args:
      writer: The writer.
      number: Number of the last of these writes.
      keys: Keys of the rows that matter; others may have been rejected.
    """
    return number <= writer.last_durable and not any(
        key in writer.rejected_writes for key in keys
    )


async def wait_durable(
    writer: Writer, keys: tuple[str, ...] = ()
) -> WriteOutcome:
    """Waits until all writes that are queued now are in the table.

    Rows that were rejected are not waited for; see is_durable.

    Args:
      writer: The writer.
      keys: Keys of the rows to withdraw if the store goes on failing.

    Returns:
      The outcome.
    """
    if writer.is_lost:
        return WriteOutcome.UNKNOWN
    done: asyncio.Future[WriteOutcome] = (
        asyncio.get_running_loop().create_future()
    )
    writer.waiters.append(Waiter(writer.last_queued, done, keys))
    return await done


async def run_writer(
    writer: Writer, batch_delay_ms: int, renew_ms: int, rng: random.Random
) -> None:
    """Writes queued rows and renews the ownership until it is lost.

    Args:
      writer: The writer.
      batch_delay_ms: How long rows are collected for a batch, unless one of
        them has to be written at once.
      renew_ms: Longest time between writes.
      rng: Source of jitter.
    """
    backoff = retries.Backoff(rng, FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
    while not writer.is_lost:
        await _wait_until_due(writer, batch_delay_ms, renew_ms)
        await _write_batch(writer, backoff)


async def _wait_until_due(
    writer: Writer, batch_delay_ms: int, renew_ms: int
) -> None:
    """Waits until a batch or a renewal of the ownership is due."""
    renewal_due_ms = writer.confirmed_ms + renew_ms
    batch_due_ms: int | None = None
    while True:
        count = writer.write_needed.count
        now_ms = writer.clock.now_ms()
        if writer.queued_writes and batch_due_ms is None:
            batch_due_ms = now_ms + batch_delay_ms
        if _is_rejected_due(writer):
            return
        until_ms = (
            renewal_due_ms
            if batch_due_ms is None
            else min(renewal_due_ms, batch_due_ms)
        )
        if now_ms >= until_ms or (writer.queued_writes and writer.is_hurried):
            return
        await signals.wait_with_timeout(
            writer.write_needed, count, until_ms - now_ms
        )


def _is_rejected_due(writer: Writer) -> bool:
    return (
        bool(writer.rejected_writes)
        and writer.clock.now_ms() >= writer.next_rejected_ms
    )


def _take_batch(writer: Writer) -> Batch:
    """Returns the next writes; removes them from the queue.

    A write that was rejected is not removed before it has taken effect.
    """
    if _is_rejected_due(writer):
        key, queued = next(iter(writer.rejected_writes.items()))
        batch = Batch(is_rejected=True)
        _add_to_batch(writer, batch, key, queued)
        return batch
    batch = Batch()
    for key, queued in list(writer.queued_writes.items()):
        if len(batch.writes) >= writer.max_batch_writes:
            break
        if not _add_to_batch(writer, batch, key, queued):
            break
        del writer.queued_writes[key]
    writer.is_hurried = bool(writer.queued_writes) and writer.is_hurried
    return batch


def _add_to_batch(
    writer: Writer, batch: Batch, key: str, queued: QueuedWrite
) -> bool:
    """Adds a write to a batch; tells whether it fits."""
    value = queued.encode()
    values = rows.split_value(key, value, writer.table.max_value_bytes)
    part_count = len(values) - 1
    for number in range(part_count, writer.part_counts.get(key, 0)):
        values[rows.get_part_key(key, number + 1)] = None
    value_bytes = batch.value_bytes + len(value or b'')
    if batch.writes and (
        len(batch.values) + len(values) > MAX_ROWS_PER_BATCH
        or value_bytes > MAX_BYTES_PER_BATCH
    ):
        return False
    batch.writes[key] = queued
    batch.values.update(values)
    batch.part_counts[key] = part_count
    batch.value_bytes = value_bytes
    return True


async def _write_batch(writer: Writer, backoff: retries.Backoff) -> None:
    """Writes one batch; repeats the write until its outcome is known."""
    batch = _take_batch(writer)
    writer.row.write += 1
    row_writes = [
        tables.Write(rows.OWNER_KEY, writer.row.SerializeToString()),
        *(tables.Write(key, value) for key, value in batch.values.items()),
    ]
    transaction = tables.Transaction(
        (tables.Condition(rows.OWNER_KEY, writer.version),), tuple(row_writes)
    )
    first_sent_ms: int | None = None
    while not writer.is_lost:
        sent_ms = writer.clock.now_ms()
        result = await writer.table.transact(
            transaction, compute_timeout_ms(writer)
        )
        _record_answer(writer, result, sent_ms)
        match result:
            case tables.Committed():
                version = result.versions[rows.OWNER_KEY]
                _record_commit(writer, version, sent_ms)
                break
            case tables.ConditionFailed():
                _resolve_failed_condition(writer, result.row, first_sent_ms)
                break
            case tables.Uncertain():
                if first_sent_ms is None:
                    first_sent_ms = sent_ms
            case tables.Unavailable(is_invalid=True) if batch.writes:
                _divide_batch(writer, batch, result.detail)
                return
            case tables.Unavailable():
                if first_sent_ms is None:
                    _requeue(writer, batch)
                    await clock_lib.sleep(retries.advance_backoff(backoff))
                    return
        if compute_store_failure_ms(writer) >= MAX_UNANSWERED_MS:
            _withdraw_writes(writer, frozenset(batch.writes))
        await clock_lib.sleep(retries.advance_backoff(backoff))
    retries.reset_backoff(backoff)
    if not writer.is_lost:
        _record_batch(writer, batch)
    _notify_waiters(writer)


def _record_batch(writer: Writer, batch: Batch) -> None:
    """Records that a batch is in the table, and how many rows it takes."""
    if batch.is_rejected:
        _readmit(writer, batch)
    else:
        writer.max_batch_writes = min(
            MAX_ROWS_PER_BATCH, 2 * writer.max_batch_writes
        )
    for key, part_count in batch.part_counts.items():
        if part_count:
            writer.part_counts[key] = part_count
        else:
            writer.part_counts.pop(key, None)


def _readmit(writer: Writer, batch: Batch) -> None:
    """Queues the newer requests for a row that is no longer rejected."""
    for key, written in batch.writes.items():
        newest = writer.rejected_writes.pop(key)
        logger.info('row_accepted', extra={'key': key})
        if newest.last_number > written.last_number:
            writer.queued_writes[key] = dataclasses.replace(
                newest, first_number=written.last_number + 1
            )


def _divide_batch(writer: Writer, batch: Batch, detail: str) -> None:
    """Handles a batch that the table service rejects for what it contains.

    It is written again in halves, so that the rows that can be written are. A
    row that is rejected by itself is set aside: it must not keep all others
    from being written.

    Args:
      writer: The writer.
      batch: The batch; it has a row at least.
      detail: Cause for the log.
    """
    _restore_queue(writer, batch)
    if len(batch.writes) > 1:
        writer.max_batch_writes = len(batch.writes) // 2
        logger.warning(
            'batch_rejected',
            extra={'writes': len(batch.writes), 'why': detail},
        )
        return
    key = next(iter(batch.writes))
    logger.error(
        'row_rejected',
        extra={
            'key': key,
            'bytes': batch.value_bytes,
            'rows': len(batch.values),
            'again': batch.is_rejected,
            'why': detail,
        },
    )
    writer.next_rejected_ms = writer.clock.now_ms() + REJECTED_RETRY_MS
    queue = (
        writer.rejected_writes if batch.is_rejected else writer.queued_writes
    )
    writer.rejected_writes[key] = queue.pop(key)
    for waiter in [w for w in writer.waiters if key in w.keys]:
        writer.waiters.remove(waiter)
        writer.rejected_writes.pop(key, None)
        if not waiter.done.done():
            waiter.done.set_result(WriteOutcome.WITHDRAWN)
    _notify_waiters(writer)


def compute_store_failure_ms(writer: Writer) -> int:
    """Returns for how long writes to the store have failed, in ms."""
    if writer.failing_since_ms is None:
        return 0
    return writer.clock.now_ms() - writer.failing_since_ms


def compute_timeout_ms(writer: Writer) -> int:
    """Returns the time-out of a write, from the store's answer times."""
    return min(
        MAX_WRITE_TIMEOUT_MS,
        max(
            MIN_WRITE_TIMEOUT_MS,
            int(writer.mean_answer_ms * WRITE_TIMEOUT_FACTOR),
        ),
    )


def _record_answer(
    writer: Writer, result: tables.TransactionResult, sent_ms: int
) -> None:
    """Records the result of a write in the metrics and in the answer time."""
    now_ms = writer.clock.now_ms()
    elapsed_ms = now_ms - sent_ms
    instruments.increment(writer.metrics.writes, type(result).__name__.lower())
    instruments.record(writer.metrics.write_ms, elapsed_ms)
    is_invalid = isinstance(result, tables.Unavailable) and result.is_invalid
    if is_invalid or isinstance(
        result, tables.Committed | tables.ConditionFailed
    ):
        writer.mean_answer_ms += (
            elapsed_ms - writer.mean_answer_ms
        ) * ANSWER_TIME_SMOOTHING
        if writer.failing_since_ms is not None:
            failing_ms = now_ms - writer.failing_since_ms
            writer.failing_since_ms = None
            logger.info('store_regained', extra={'after_ms': failing_ms})
        return
    if isinstance(result, tables.Uncertain):
        writer.mean_answer_ms = max(writer.mean_answer_ms, elapsed_ms / 2)
    if writer.failing_since_ms is None:
        writer.failing_since_ms = sent_ms
        logger.warning(
            'store_lost',
            extra={
                'epoch': writer.row.epoch,
                'write': writer.row.write,
                'why': result.detail,
            },
        )


def _record_commit(writer: Writer, version: int, sent_ms: int) -> None:
    """Records that a write has taken effect and has renewed the ownership."""
    writer.version = version
    writer.confirmed_ms = max(writer.confirmed_ms, sent_ms)


def _resolve_failed_condition(
    writer: Writer, row: tables.Row | None, first_sent_ms: int | None
) -> None:
    """Finds out why the condition on the owner row's version failed.

    Either an earlier attempt at this write took effect and its answer was
    lost, or another instance has become the owner.

    Args:
      writer: The writer.
      row: The owner row in the table; None if there is none.
      first_sent_ms: When the first attempt with an uncertain outcome was sent;
        None if there was none.
    """
    found = jobs_pb2.JobsOwnerRow()
    try:
        found.ParseFromString(b'' if row is None else row.value)
    except message_lib.DecodeError as error:
        logger.error('owner_row_unreadable', extra={'why': str(error)})
    is_own_write = found == writer.row
    if is_own_write and row is not None and first_sent_ms is not None:
        _record_commit(writer, row.version, first_sent_ms)
        return
    logger.warning(
        'ownership_lost',
        extra={
            'epoch': writer.row.epoch,
            'write': writer.row.write,
            'new_epoch': found.epoch,
            'new_holder': found.holder,
        },
    )
    stop_writing(writer)


def stop_writing(writer: Writer) -> None:
    """Marks the ownership as lost, so that nothing is written any more."""
    writer.is_lost = True
    signals.notify(writer.ended)
    signals.notify(writer.write_needed)
    _notify_waiters(writer)


def _requeue(writer: Writer, batch: Batch) -> None:
    """Queues a batch again that was certainly not written.

    Once the store has failed for MAX_STORE_FAILURE_MS, after which new jobs are
    refused, those of the batch are refused too.
    """
    _restore_queue(writer, batch)
    if compute_store_failure_ms(writer) >= MAX_STORE_FAILURE_MS:
        _withdraw_writes(writer, frozenset())


def _restore_queue(writer: Writer, batch: Batch) -> None:
    """Puts the writes of a batch back before those that were queued since."""
    if batch.is_rejected:
        return
    newer = writer.queued_writes
    writer.queued_writes = dict(batch.writes)
    for key, queued in newer.items():
        earlier = writer.queued_writes.pop(key, queued)
        queued.first_number = min(queued.first_number, earlier.first_number)
        writer.queued_writes[key] = queued


def _withdraw_writes(writer: Writer, in_flight: frozenset[str]) -> None:
    """Withdraws the rows of new jobs, whose callers are then refused.

    A job whose row is in the table already only waits for an older row, and is
    accepted.

    Load pattern: new jobs arrive while a write has no answer. They wait behind
    it, and if the store stays silent, their callers would wait until their
    deadlines for an unknown outcome.

    Args:
      writer: The writer.
      in_flight: Keys of the rows in the write that has no answer yet. They may
        still be written, so they are not withdrawn.
    """
    kept = []
    for waiter in writer.waiters:
        if not waiter.keys or not in_flight.isdisjoint(waiter.keys):
            kept.append(waiter)
            continue
        is_queued = any(key in writer.queued_writes for key in waiter.keys)
        for key in waiter.keys:
            writer.queued_writes.pop(key, None)
        if not waiter.done.done():
            waiter.done.set_result(
                WriteOutcome.WITHDRAWN if is_queued else WriteOutcome.DURABLE
            )
    writer.waiters = kept


def _notify_waiters(writer: Writer) -> None:
    """Completes waiters whose writes are in the table.

    If the ownership is lost, completes all waiters with an unknown outcome.
    """
    first_unwritten = min(
        (queued.first_number for queued in writer.queued_writes.values()),
        default=writer.last_queued + 1,
    )
    if not writer.is_lost:
        writer.last_durable = first_unwritten - 1
        writer.on_write_completed()
    result = WriteOutcome.UNKNOWN if writer.is_lost else WriteOutcome.DURABLE
    kept = []
    for waiter in writer.waiters:
        if not writer.is_lost and waiter.number >= first_unwritten:
            kept.append(waiter)
        elif not waiter.done.done():
            waiter.done.set_result(result)
    writer.waiters = kept
