"""Writes of the owner: one at a time, each depending on the one before.

Every write demands the version that the owner row got from the last one and
writes that row anew. So a write whose answer was lost can't take effect after
a later one, an owner that was replaced can't write at all, and each write
renews the ownership.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import logging
import random

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import figures
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.schema import jobs_pb2
from nutmegknot._internal.telemetry import counters
from nutmegknot._internal.utils import clock as clock_lib
from nutmegknot._internal.utils import retries
from nutmegknot._internal.utils import signals

logger = logging.getLogger(__name__)

# The store takes 100 entries a call; one is the owner row, and a condition.
MOST_ROWS = 96
MOST_BYTES = 600_000
# Waits between attempts to write while the store does not answer, in ms.
FIRST_RETRY_MS = 40
LAST_RETRY_MS = 400

# Time limits of a write in ms, and how they follow the store's answers.
LEAST_TIMEOUT_MS = 200
MOST_TIMEOUT_MS = 1_000
TIMEOUT_FACTOR = 5
SMOOTHING = 0.2
# How long the store may refuse before new jobs are refused, in ms.
WITHDRAW_AFTER_MS = 250

Encode = Callable[[], bytes | None]


@dataclasses.dataclass(slots=True)
class Mark:
    """A row that has to be written.

    Attributes:
      first: Number of the first mark of the row that is not written yet.
      number: Number of its newest mark.
      encode: Returns the row's value when it is written; None to remove it.
    """

    first: int
    number: int
    encode: Encode


class Written(enum.Enum):
    """What became of a marked row."""

    DURABLE = 'durable'
    # It is surely not in the table and won't be.
    WITHDRAWN = 'withdrawn'
    # The ownership was lost; the row may be in the table.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Waiter:
    """Somebody who waits for marks to be written.

    Attributes:
      number: Number of the last mark waited for.
      done: Gets what became of it.
      keys: Rows to withdraw where the store refuses; none to keep trying.
    """

    number: int
    done: asyncio.Future[Written]
    keys: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Rows that are written together.

    Attributes:
      marks: The marks by key.
      values: Their values by key.
    """

    marks: dict[str, Mark]
    values: dict[str, bytes | None]


@dataclasses.dataclass(slots=True)
class Writer:
    """The chain of writes of one ownership.

    Attributes:
      table: The store.
      clock: Source of time.
      row: The owner row as it was last written.
      version: Its version.
      figures: What is counted.
      marks: Rows to write, by key, oldest mark first.
      marked: Number of the last mark.
      waiters: Those that wait, lowest number first.
      confirmed_ms: When the last write that took effect was sent.
      is_lost: Whether another owner has written the row.
      is_hurried: Whether somebody waits for the marks.
      wanted: Notified when there is something to write.
      ended: Notified when the ownership is lost.
      failing_since_ms: Since when the store has not confirmed; None if it does.
      answer_ms: Smoothed time of the store's answers in ms.
      written: All marks up to this number are in the table.
      on_written: Called after each write that took effect.
    """

    table: tables.Table
    clock: clock_lib.Clock
    row: jobs_pb2.JobsOwnerRow
    version: int
    confirmed_ms: int
    figures: figures.Figures
    marks: dict[str, Mark] = dataclasses.field(default_factory=dict)
    marked: int = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    is_lost: bool = False
    is_hurried: bool = False
    wanted: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    ended: signals.Signal = dataclasses.field(default_factory=signals.Signal)
    failing_since_ms: int | None = None
    answer_ms: float = 10.0
    written: int = 0
    on_written: Callable[[], None] = lambda: None


def may_act(writer: Writer, authority_ms: int) -> bool:
    """Tells whether no other instance can have become the owner yet."""
    age_ms = writer.clock.now_ms() - writer.confirmed_ms
    return not writer.is_lost and age_ms < authority_ms


def mark(
    writer: Writer, key: str, encode: Encode, *, is_hurried: bool = False
) -> int:
    """Has a row written with the value that it has by then.

    Returns:
      The number of the mark.
    """
    writer.marked += 1
    earlier = writer.marks.pop(key, None)
    first = writer.marked if earlier is None else earlier.first
    writer.marks[key] = Mark(first, writer.marked, encode)
    if is_hurried:
        writer.is_hurried = True
    signals.notify(writer.wanted)
    return writer.marked


async def wait_written(writer: Writer, keys: tuple[str, ...] = ()) -> Written:
    """Waits until all that is marked now is in the table.

    Args:
      writer: The chain of writes.
      keys: Rows that are withdrawn if the store goes on refusing to write.
    """
    if writer.is_lost:
        return Written.UNKNOWN
    done: asyncio.Future[Written] = asyncio.get_running_loop().create_future()
    writer.waiters.append(Waiter(writer.marked, done, keys))
    return await done


async def keep_writing(
    writer: Writer, gather_ms: int, renew_ms: int, rng: random.Random
) -> None:
    """Writes what is marked, and renews the ownership, until it is lost.

    Args:
      writer: The chain of writes.
      gather_ms: How long marks that nobody waits for are gathered.
      renew_ms: Longest time between writes.
      rng: Source of jitter.
    """
    backoff = retries.Backoff(rng, FIRST_RETRY_MS, LAST_RETRY_MS)
    while not writer.is_lost:
        await _wait_due(writer, gather_ms, renew_ms)
        await _write_batch(writer, backoff)


async def _wait_due(writer: Writer, gather_ms: int, renew_ms: int) -> None:
    due_ms = writer.confirmed_ms + renew_ms
    gathered_ms: int | None = None
    while True:
        count = writer.wanted.count
        now_ms = writer.clock.now_ms()
        if writer.marks and gathered_ms is None:
            gathered_ms = now_ms + gather_ms
        until_ms = due_ms if gathered_ms is None else min(due_ms, gathered_ms)
        if now_ms >= until_ms or (writer.marks and writer.is_hurried):
            return
        await signals.wait_at_most(writer.wanted, count, until_ms - now_ms)


def _take_batch(writer: Writer) -> Batch:
    batch = Batch({}, {})
    size = 0
    for key in list(writer.marks):
        if len(batch.marks) >= MOST_ROWS or size >= MOST_BYTES:
            break
        taken = writer.marks.pop(key)
        value = taken.encode()
        size += len(value or b'')
        batch.marks[key] = taken
        batch.values[key] = value
    writer.is_hurried = bool(writer.marks) and writer.is_hurried
    return batch


async def _write_batch(writer: Writer, backoff: retries.Backoff) -> None:
    """Writes one batch; tries until it is known what became of it."""
    batch = _take_batch(writer)
    writer.row.write += 1
    writes = [
        tables.Write(rows.OWNER_KEY, writer.row.SerializeToString()),
        *(tables.Write(key, value) for key, value in batch.values.items()),
    ]
    transaction = tables.Transaction(
        (tables.Condition(rows.OWNER_KEY, writer.version),), tuple(writes)
    )
    first_sent_ms: int | None = None
    while not writer.is_lost:
        sent_ms = writer.clock.now_ms()
        result = await writer.table.transact(transaction, get_timeout(writer))
        _note_answer(writer, result, sent_ms)
        match result:
            case tables.Committed():
                version = result.versions[rows.OWNER_KEY]
                _confirm(writer, version, sent_ms)
                break
            case tables.ConditionFailed():
                _settle(writer, result.row, first_sent_ms)
                break
            case tables.Uncertain():
                if first_sent_ms is None:
                    first_sent_ms = sent_ms
            case tables.Unavailable():
                if first_sent_ms is None:
                    _put_back(writer, batch)
                    await clock_lib.sleep(retries.take_wait(backoff))
                    return
        await clock_lib.sleep(retries.take_wait(backoff))
    retries.reset(backoff)
    _answer_waiters(writer)


def get_failing_ms(writer: Writer) -> int:
    """Returns for how long the store has not confirmed a write, in ms."""
    if writer.failing_since_ms is None:
        return 0
    return writer.clock.now_ms() - writer.failing_since_ms


def get_timeout(writer: Writer) -> int:
    """Returns the time limit of a write in ms, from the latest answers."""
    return min(
        MOST_TIMEOUT_MS,
        max(LEAST_TIMEOUT_MS, int(writer.answer_ms * TIMEOUT_FACTOR)),
    )


def _note_answer(writer: Writer, result: tables.Result, sent_ms: int) -> None:
    now_ms = writer.clock.now_ms()
    spent_ms = now_ms - sent_ms
    counters.count(writer.figures.writes, type(result).__name__.lower())
    counters.record(writer.figures.write_ms, spent_ms)
    if isinstance(result, tables.Committed | tables.ConditionFailed):
        writer.answer_ms += (spent_ms - writer.answer_ms) * SMOOTHING
        if writer.failing_since_ms is not None:
            failing_ms = now_ms - writer.failing_since_ms
            writer.failing_since_ms = None
            logger.info('store_regained', extra={'after_ms': failing_ms})
        return
    if isinstance(result, tables.Uncertain):
        writer.answer_ms = max(writer.answer_ms, spent_ms / 2)
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


def _confirm(writer: Writer, version: int, sent_ms: int) -> None:
    writer.version = version
    writer.confirmed_ms = max(writer.confirmed_ms, sent_ms)


def _settle(
    writer: Writer, row: tables.Row | None, first_sent_ms: int | None
) -> None:
    """Finds out whether the row is our own write whose answer was lost."""
    found = jobs_pb2.JobsOwnerRow()
    try:
        found.ParseFromString(b'' if row is None else row.value)
    except message_lib.DecodeError as error:
        logger.error('owner_row_unreadable', extra={'why': str(error)})
    is_ours = found == writer.row
    if is_ours and row is not None and first_sent_ms is not None:
        _confirm(writer, row.version, first_sent_ms)
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
    lose(writer)


def lose(writer: Writer) -> None:
    """Ends the ownership: nothing is written any more."""
    writer.is_lost = True
    signals.notify(writer.ended)
    signals.notify(writer.wanted)
    _answer_waiters(writer)


def _put_back(writer: Writer, batch: Batch) -> None:
    """Keeps a batch that was surely not written for the next attempt."""
    newer = writer.marks
    writer.marks = dict(batch.marks)
    for key, taken in newer.items():
        earlier = writer.marks.pop(key, taken)
        taken.first = min(taken.first, earlier.first)
        writer.marks[key] = taken
    if get_failing_ms(writer) < WITHDRAW_AFTER_MS:
        return
    kept = []
    for waiter in writer.waiters:
        if not waiter.keys:
            kept.append(waiter)
            continue
        for key in waiter.keys:
            writer.marks.pop(key, None)
        if not waiter.done.done():
            waiter.done.set_result(Written.WITHDRAWN)
    writer.waiters = kept


def _answer_waiters(writer: Writer) -> None:
    """Tells those whose marks are all written, or everybody if it is lost."""
    oldest = min(
        (taken.first for taken in writer.marks.values()),
        default=writer.marked + 1,
    )
    if not writer.is_lost:
        writer.written = oldest - 1
        writer.on_written()
    result = Written.UNKNOWN if writer.is_lost else Written.DURABLE
    kept = []
    for waiter in writer.waiters:
        if not writer.is_lost and waiter.number >= oldest:
            kept.append(waiter)
        elif not waiter.done.done():
            waiter.done.set_result(result)
    writer.waiters = kept
