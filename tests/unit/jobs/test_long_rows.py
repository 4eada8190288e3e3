"""Values that are longer than the store's limit for a row."""

import asyncio
from collections.abc import Callable

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import tables
from nutmegknot._internal.decisions import feasibility
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import writers
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import resources

OCCURRENCES = 10
TASKS = 1_000


def add_progress(ownership: ownerships.Ownership) -> str:
    """Queues the progress of a job whose occurrences have all lapsed."""
    step = job_cells.make_step(TASKS, makes_checkpoints=True)
    spec = jobs.JobSpec(
        'a' * 16,
        'queue',
        '',
        '',
        (step,),
        start_at_ms=1,
        interval_ms=1,
        occurrences=OCCURRENCES,
    )
    queue = ownership.cluster.settings.queues['queue']
    assert feasibility.find_refusal(ownership.cluster, queue, spec) is None
    job = jobs.Job(spec, is_durable=True)
    for occurrence in range(OCCURRENCES):
        stage = jobs.make_stage(occurrence, 0, step)
        for task in stage.tasks:
            task.checkpoint = f'{task.index:016}'
        job.stages[occurrence, 0] = stage
    ownership.cluster.jobs[spec.id] = job
    writers.queue_write(
        ownership.writer,
        rows.get_job_key(spec.id),
        lambda: rows.encode_job(job),
    )
    ownerships.queue_progress_write(ownership, job)
    return rows.get_progress_key(spec.id)


def add_steps(ownership: ownerships.Ownership) -> str:
    """Queues a job of which each step comes after many others."""
    steps = tuple(
        job_cells.make_step(depends_on=tuple(range(max(0, n - 100), n)))
        for n in range(feasibility.MAX_TASKS_PER_JOB)
    )
    spec = jobs.JobSpec('b' * 16, 'queue', '', '', steps)
    asyncio.ensure_future(owner_operations.submit(ownership, spec))
    return rows.get_job_key(spec.id)


def add_workers(ownership: ownerships.Ownership) -> str:
    """Queues the list of more workers than fit into a row."""
    infos = ownership.cluster.workers_by_id
    for n in range(2_000):
        worker = job_cells.make_worker(
            f'i-{n:010}', life=1_777_729_273_594, region='region'
        )
        infos[worker.id] = cluster_state.WorkerInfo(worker, is_listed=False)
    writers.queue_write(
        ownership.writer,
        rows.ROSTER_KEY,
        lambda: rows.encode_roster(info.worker for info in infos.values()),
    )
    return rows.ROSTER_KEY


def add_customers(ownership: ownerships.Ownership) -> str:
    """Queues the ceilings of more customers than fit into a row."""
    ceilings = {
        f'customer-{n:020}': resources.Resources(10**9, 10**9, 10**6)
        for n in range(2_000)
    }
    # Keeps the owner from queuing lower ceilings.
    ownership.cluster.ceilings.queued_ms = ownership.clock.now_ms() + 60_000
    writers.queue_write(
        ownership.writer,
        rows.CEILINGS_KEY,
        lambda: rows.encode_ceilings(ceilings),
    )
    return rows.CEILINGS_KEY


@pytest.mark.parametrize(
    'add_row', [add_progress, add_steps, add_workers, add_customers]
)
def test_a_value_above_the_limit_for_a_row_does_not_stop_all_writes(
    add_row: Callable[[ownerships.Ownership], str],
) -> None:
    """Guards against a store that refuses every write because of one value.

    The progress of a job with overlapping occurrences grew beyond the limit. No
    owner could write or renew its ownership from then on (review/1, LOST).
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        node = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(node)
        key = add_row(ownership)
        await asyncio.sleep(0)
        waiter = asyncio.create_task(writers.wait_durable(ownership.writer))
        await asyncio.wait((waiter,), timeout=2.0)
        assert waiter.done()
        assert waiter.result() is writers.WriteOutcome.DURABLE
        size = sum(
            len(row.value)
            for row in cell.table.rows.values()
            if row.key.startswith(key)
        )
        assert size > cell.table.max_value_bytes
        assert cell.table.rejected == []
        accepted = await owner_operations.submit(
            ownership, job_cells.make_job_spec('c', job_cells.make_step())
        )
        assert accepted == outcomes.Accepted('c')
        assert not ownership.writer.is_lost

    job_cells.run(script)


def test_long_values_are_known_to_the_next_owner() -> None:
    """Guards against a long value of which a new owner reads a part only."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        for add in (add_progress, add_steps, add_customers, add_workers):
            add(ownership)
        await asyncio.sleep(0)
        await writers.wait_durable(ownership.writer)
        await owner_election.release_ownership(ownership.writer)
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        cluster = job_views.get_ownership(second).cluster
        stages = cluster.jobs['a' * 16].stages
        assert len(stages) == OCCURRENCES
        assert all(
            task.checkpoint == f'{task.index:016}'
            for stage in stages.values()
            for task in stage.tasks
        )
        steps = cluster.jobs['b' * 16].spec.steps
        assert len(steps) == feasibility.MAX_TASKS_PER_JOB
        assert len(cluster.predecessor_workers) == 2_000
        assert len(cluster.ceilings.stored) == 2_000

    job_cells.run(script)


def test_further_rows_of_a_value_that_has_shrunk_are_removed() -> None:
    """Guards against old rows that are read as the end of a shorter value."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        key = add_progress(ownership)
        await writers.wait_durable(ownership.writer)
        assert rows.get_part_key(key, 3) in cell.table.rows
        await owner_election.release_ownership(ownership.writer)
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        ownership = job_views.get_ownership(second)
        assert await owner_operations.cancel(
            ownership, jobs.JobReference('a' * 16)
        )
        left = [k for k in cell.table.rows if k.startswith(key)]
        assert left == [key]
        assert len(cell.table.rows[key].value) < 100

    job_cells.run(script)


def test_a_row_that_the_store_rejects_does_not_stop_other_writes() -> None:
    """Guards against one invalid row that is repeated with all others."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        writer = job_views.get_ownership(node).writer
        for n in range(40):
            writers.queue_write(writer, f'other/{n}', lambda: b'value')
        writers.queue_write(writer, 'long', lambda: bytes(900_000))
        for n in range(40, 80):
            writers.queue_write(writer, f'other/{n}', lambda: b'value')
        waiter = asyncio.create_task(writers.wait_durable(writer))
        await asyncio.wait((waiter,), timeout=2.0)
        assert waiter.done()
        assert 'long' not in cell.table.rows
        assert all(f'other/{n}' in cell.table.rows for n in range(80))
        assert not writer.is_lost
        assert writer.failing_since_ms is None

    job_cells.run(script)


@pytest.mark.parametrize('kills_after', [10, 60, 150])
def test_ends_whose_row_is_rejected_are_kept_by_the_workers(
    kills_after: int,
) -> None:
    """Guards against tasks that run again after they were done (TWICE).

    The store rejected the progress of a job, and the row was dropped and
    counted as written, so that the workers forgot the ends of its tasks. The
    next owner did not know of them (review/8).
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        listed = [job_cells.make_worker(f'w{n}') for n in range(3)]
        cell = job_cells.make_cell(loop, *listed)
        cell.run_ms = lambda name: 200 + 20 * name.index
        first = await job_cells.start_owner(cell, 'one')
        ownership = job_views.get_ownership(first)
        step = job_cells.make_step(200, 10)
        await owner_operations.submit(
            ownership,
            job_cells.make_job_spec('a', step, job_cells.make_step()),
        )
        await owner_operations.submit(
            ownership, job_cells.make_job_spec('b', job_cells.make_step(20, 10))
        )
        # The owner takes longer rows for allowed.
        cell.table.max_value_bytes = 60
        stage = ownership.cluster.jobs['a'].stages[0, 0]
        assert await job_cells.wait_until(
            cell, lambda: stage.done_count >= kills_after
        )
        await asyncio.sleep(1.0)
        if kills_after > 10:
            assert ownership.writer.rejected_writes
        await owner_election.end_ownership(first)
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell,
            lambda: all(
                job_views.get_state(second, id) is jobs.JobState.COMPLETED
                for id in ('a', 'b')
            ),
        )
        assert cell.violations == []
        assert len(cell.starts) == 221

    job_cells.run(script)


def test_a_rejected_row_is_written_once_the_store_takes_it() -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop)
        node = await job_cells.start_owner(cell, 'one')
        writer = job_views.get_ownership(node).writer
        cell.table.max_value_bytes = 100
        number = writers.queue_write(writer, 'long', lambda: bytes(150))
        await writers.wait_durable(writer)
        assert not writers.is_durable(writer, number, 'long')
        assert writers.is_durable(writer, number, 'other')
        newer = writers.queue_write(writer, 'long', lambda: bytes(160))
        cell.table.max_value_bytes = 1_000
        assert await job_cells.wait_until(
            cell, lambda: writers.is_durable(writer, newer, 'long')
        )
        assert cell.table.rows['long'].value == bytes(160)

    job_cells.run(script)


@pytest.mark.parametrize(
    ('row_bytes', 'steps_after'),
    [(tables.DEFAULT_MAX_VALUE_BYTES, feasibility.MAX_TASKS_PER_JOB), (64, 40)],
)
def test_a_job_too_large_for_the_store_is_refused_at_once(
    row_bytes: int, steps_after: int
) -> None:
    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = job_cells.make_cell(loop, job_cells.make_worker('w1'))
        cell.table.max_value_bytes = row_bytes
        node = await job_cells.start_owner(cell, 'one')
        steps = tuple(
            job_cells.make_step(depends_on=tuple(range(min(n, steps_after))))
            for n in range(feasibility.MAX_TASKS_PER_JOB)
        )
        result = await owner_operations.submit(
            job_views.get_ownership(node),
            jobs.JobSpec('d' * 16, 'queue', '', '', steps),
        )
        assert isinstance(result, outcomes.Refused)
        assert result.reason is outcomes.RefusalReason.BAD_REQUEST

    job_cells.run(script)


@pytest.mark.parametrize('length', [0, 1, 9, 10, 11, 20, 25])
def test_a_value_is_put_together_from_its_rows(length: int) -> None:
    value = bytes(range(length))
    pieces = rows.split_value('key', value, 10)
    assert all(len(piece or b'') <= 10 for piece in pieces.values())
    found = [
        tables.Row(key, piece or b'', 1)
        for key, piece in sorted(pieces.items())
    ]
    assert rows.join_rows(found).values == {'key': value}
    assert rows.join_rows(found).part_counts.get('key', 0) == len(pieces) - 1
