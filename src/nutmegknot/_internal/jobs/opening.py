"""Takes the ownership of the jobs over and reads what it needs to know."""

import dataclasses
import logging

from google.protobuf import message as message_lib

from nutmegknot._internal.backing import tables
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import starts
from nutmegknot._internal.models import books
from nutmegknot._internal.models import catalogs
from nutmegknot._internal.models import jobs
from nutmegknot._internal.schema import jobs_pb2

logger = logging.getLogger(__name__)

READ_TIMEOUT_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class Owner:
    """The owner row.

    Attributes:
      row: What it says.
      version: Its version; tables.ABSENT if there is none.
    """

    row: jobs_pb2.JobsOwnerRow
    version: int


async def read_owner(table: tables.Table, timeout_ms: int) -> Owner | None:
    """Returns the owner row, or None if it can't be read now."""
    result = await table.transact(
        tables.Transaction(reads=(rows.OWNER_KEY,)), timeout_ms
    )
    if not isinstance(result, tables.Committed):
        return None
    row = result.rows.get(rows.OWNER_KEY)
    owner = jobs_pb2.JobsOwnerRow()
    if row is None:
        return Owner(owner, tables.ABSENT)
    try:
        owner.ParseFromString(row.value)
    except message_lib.DecodeError as error:
        logger.error('owner_row_unreadable', extra={'why': str(error)})
        return None
    return Owner(owner, row.version)


async def take_over(
    table: tables.Table,
    found: Owner,
    holder: str,
    address: str,
    timeout_ms: int,
) -> Owner | None:
    """Writes the owner row anew; returns it if that surely took effect."""
    row = jobs_pb2.JobsOwnerRow(
        epoch=found.row.epoch + 1, holder=holder, address=address
    )
    result = await table.transact(
        tables.Transaction(
            (tables.Condition(rows.OWNER_KEY, found.version),),
            (tables.Write(rows.OWNER_KEY, row.SerializeToString()),),
        ),
        timeout_ms,
    )
    if isinstance(result, tables.Committed):
        return Owner(row, result.versions[rows.OWNER_KEY])
    if isinstance(result, tables.Uncertain):
        # The next reading shows whether it took effect.
        logger.warning('take_over_unsettled', extra={'why': result.detail})
    return None


async def read_book(
    table: tables.Table,
    epoch: int,
    now_ms: int,
    catalog: catalogs.Catalog,
) -> books.Book | tables.Unavailable:
    """Returns what earlier owners have written of the jobs."""
    orders = await table.scan(rows.JOB_PREFIX, READ_TIMEOUT_MS)
    if isinstance(orders, tables.Unavailable):
        return orders
    progress = await table.scan(rows.PROGRESS_PREFIX, READ_TIMEOUT_MS)
    if isinstance(progress, tables.Unavailable):
        return progress
    book = books.Book(epoch, now_ms, catalog)
    roster = await table.transact(
        tables.Transaction(reads=(rows.ROSTER_KEY,)), READ_TIMEOUT_MS
    )
    if not isinstance(roster, tables.Committed):
        return tables.Unavailable('the workers of the earlier owner')
    _read_roster(book, roster.rows.get(rows.ROSTER_KEY))
    by_key = {row.key: row.value for row in progress}
    for row in orders:
        job = rows.decode_job(row.value)
        if job is None:
            logger.error('job_row_unreadable', extra={'key': row.key})
            continue
        value = by_key.get(rows.get_progress_key(job.order.id))
        if value is not None and not rows.apply_progress(job, value):
            logger.error('progress_row_unreadable', extra={'key': row.key})
            continue
        _enter(book, job, now_ms)
    return book


def _read_roster(book: books.Book, row: tables.Row | None) -> None:
    if row is None:
        return
    found = rows.decode_roster(row.value)
    if found is None:
        logger.error('roster_unreadable', extra={'version': row.version})
        return
    book.earlier = found


def _enter(book: books.Book, job: jobs.Job, now_ms: int) -> None:
    job.known_ms = now_ms
    job.chain_ms = jobs.compute_chain(job.order.steps)
    book.jobs[job.order.id] = job
    if jobs.is_final(job):
        return
    floor = (book.epoch - 1) * starts.RUNS_PER_EPOCH
    for stage in job.stages.values():
        for task in stage.tasks:
            task.run = max(task.failed_runs, default=0)
            if task.run > floor:
                logger.error(
                    'run_number_ahead',
                    extra={'job': job.order.id, 'run': task.run},
                )
