"""QUOTA: what a customer has running stays within its limit."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from lib import job_cells
from lib import job_views
import pytest

from nutmegknot._internal.backing import listings
from nutmegknot._internal.jobs import nodes
from nutmegknot._internal.jobs import owner_election
from nutmegknot._internal.jobs import owner_operations
from nutmegknot._internal.jobs import rows
from nutmegknot._internal.jobs import settings_updates
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources
from nutmegknot._internal.schema import jobs_pb2

# Seeds that have shown a fault stay.
SEEDS = (1, 2, 3, 4, 5, 6, 7, 8, 34, 42, 99)
LONG_MS = 20_000


def make_customer(
    name: str = 'c', millicores: int = 8_000
) -> job_settings.Customer:
    return job_settings.Customer(name, limit=resources.Resources(millicores, 0))


def make_cell(
    loop: asyncio.AbstractEventLoop,
    *customers: job_settings.Customer,
    worker_count: int = 6,
) -> job_cells.Cell:
    return job_cells.make_cell(
        loop,
        *(job_cells.make_worker(f'w{n}') for n in range(worker_count)),
        settings=job_cells.make_settings(
            customers=customers or (make_customer(),)
        ),
    )


async def submit(
    node: nodes.Node, id: str, count: int, customer: str = 'c'
) -> None:
    await owner_operations.submit(
        job_views.get_ownership(node),
        job_cells.make_job_spec(
            id, job_cells.make_step(count), customer=customer
        ),
    )


def list_busy_workers(cell: job_cells.Cell) -> list[job_cells.FakeTarget]:
    return [target for target in cell.targets.values() if target.runs]


def are_all_jobs_ended(node: nodes.Node) -> bool:
    cluster = job_views.get_ownership(node).cluster
    return all(jobs.is_final(job) for job in cluster.jobs.values())


def apply_settings(cell: job_cells.Cell, node: nodes.Node) -> None:
    """Lets an instance learn of the newest settings."""
    settings_updates.apply_settings(
        node, listings.SettingsUpdate(cell.settings, cell.settings.revision)
    )


async def start_first_owner(cell: job_cells.Cell) -> nodes.Node:
    """Returns an owner under which customer c runs as much as it may."""
    node = await job_cells.start_owner(cell, 'one')
    await asyncio.sleep(0.5)
    await submit(node, 'a', 12)
    assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 8)
    return node


def test_quota_exceeded_while_runs_of_the_owner_before_are_unknown() -> None:
    """Workers are cut off from a new owner and run on."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: LONG_MS
        first = await start_first_owner(cell)
        await owner_election.end_ownership(first)
        for target in list_busy_workers(cell):
            target.is_cut = True
        second = await job_cells.start_owner(cell, 'two')
        await submit(second, 'b', 12)
        await asyncio.sleep(4.0)
        for target in cell.targets.values():
            target.is_cut = False
        assert await job_cells.wait_until(
            cell, lambda: are_all_jobs_ended(second), 120_000
        )
        assert cell.violations == []

    job_cells.run(script)


@pytest.mark.parametrize('owners_lost', [1, 2])
def test_quota_exceeded_while_runs_of_an_ended_job_are_stopped(
    owners_lost: int,
) -> None:
    """Owners are lost before the stops of a cancelled job are delivered."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: LONG_MS
        first = await start_first_owner(cell)
        busy = list_busy_workers(cell)
        for target in busy:
            target.is_cut = True
        await owner_operations.cancel(
            job_views.get_ownership(first), jobs.JobReference('a', 'c')
        )
        await owner_election.end_ownership(first)
        for number in range(1, owners_lost):
            other = await job_cells.start_owner(cell, f'other{number}')
            await submit(other, f'o{number}', 1)
            await asyncio.sleep(0.3)
            await owner_election.end_ownership(other)
        second = await job_cells.start_owner(cell, 'two')
        await submit(second, 'b', 12)
        await asyncio.sleep(0.5)
        for target in busy:
            target.is_cut = False
        assert await job_cells.wait_until(
            cell, lambda: len(job_views.list_runs(cell, 'b')) == 9 - owners_lost
        )
        assert cell.violations == []

    job_cells.run(script)


def test_quota_exceeded_by_a_start_that_is_repeated_after_the_limit_fell() -> (
    None
):
    """The owner learns late of the new limit, and a start has no answer yet."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: LONG_MS
        node = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        await submit(node, 'a', 4)
        assert await job_cells.wait_until(cell, lambda: len(cell.starts) == 4)
        job_cells.replace_customers(cell, make_customer(millicores=3_000))
        await asyncio.sleep(1.7)
        for target in cell.targets.values():
            target.is_cut = True
        await submit(node, 'b', 4)
        await asyncio.sleep(0.2)
        apply_settings(cell, node)
        await asyncio.sleep(0.5)
        for target in cell.targets.values():
            target.is_cut = False
        await asyncio.sleep(2.0)
        assert cell.violations == []

    job_cells.run(script)


def test_quota_exceeded_after_the_limit_fell_under_an_earlier_owner() -> None:
    """What an owner left running under a higher limit counts for the third."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: LONG_MS
        first = await start_first_owner(cell)
        cut = list_busy_workers(cell)[0]
        job_cells.replace_customers(cell, make_customer(millicores=5_000))
        apply_settings(cell, first)
        await asyncio.sleep(job_cells.SETTINGS_APPLY_MS / 1000 + 0.1)
        cell.run_ms = lambda name: 300
        await owner_election.end_ownership(first)
        cut.is_cut = True
        second = await job_cells.start_owner(cell, 'two')
        await submit(second, 'b', 12)
        await asyncio.sleep(0.4)
        await owner_election.end_ownership(second)
        third = await job_cells.start_owner(cell, 'three')
        await submit(third, 'c', 12)
        await asyncio.sleep(3.0)
        assert cell.violations == []

    job_cells.run(script)


def test_work_stops_while_runs_of_the_owner_before_are_unknown() -> None:
    """Neither replacements of runs that end nor other customers' work wait."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop, make_customer(), make_customer('d', 12_000))
        # The workers that are cut off run for long, the others end tasks.
        cell.run_ms = lambda name: LONG_MS if name.index < 4 else 700
        first = await start_first_owner(cell)
        cell.run_ms = lambda name: 700
        await submit(first, 'p', 12, 'd')
        await asyncio.sleep(1.5)
        assert len(job_views.list_runs(cell, 'p')) == 12
        await owner_election.end_ownership(first)
        for target in list_busy_workers(cell):
            target.is_cut = any(name.index < 4 for name in target.runs)
        second = await job_cells.start_owner(cell, 'two')
        began_ms = cell.clock.now_ms()
        await submit(second, 'b', 30)
        await submit(second, 'o', 12, 'd')
        assert await job_cells.wait_until(
            cell, lambda: len(job_views.list_runs(cell, 'o')) == 12, 500
        )
        await asyncio.sleep(3.0 - (cell.clock.now_ms() - began_ms) / 1000)
        # Four of the eight runs of customer c end and are replaced every 0.7 s.
        assert len(job_views.list_runs(cell, 'b')) >= 12
        assert cell.violations == []

    job_cells.run(script)


def remove_flag_of_owner(cell: job_cells.Cell) -> None:
    """Rewrites the owner row as an owner without ceilings writes it."""
    row = cell.table.rows[rows.OWNER_KEY]
    owner = jobs_pb2.JobsOwnerRow.FromString(row.value)
    owner.keeps_ceilings = False
    cell.table.rows[rows.OWNER_KEY] = dataclasses.replace(
        row, value=owner.SerializeToString()
    )


def corrupt_ceilings(cell: job_cells.Cell) -> None:
    row = cell.table.rows[rows.CEILINGS_KEY]
    cell.table.rows[rows.CEILINGS_KEY] = dataclasses.replace(
        row, value=b'\xff\xff'
    )


@pytest.mark.parametrize('spoil', [remove_flag_of_owner, corrupt_ceilings])
def test_quota_exceeded_under_ceilings_that_were_not_kept_to(
    spoil: Callable[[job_cells.Cell], None],
) -> None:
    """The owner before was of an earlier version, or its row is unreadable.

    The ceilings in the table are too low then, and nothing but the limit is
    known of what runs on the workers that are cut off.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: LONG_MS
        first = await start_first_owner(cell)
        await owner_election.end_ownership(first)
        cell.table.rows[rows.CEILINGS_KEY] = dataclasses.replace(
            cell.table.rows[rows.CEILINGS_KEY],
            value=rows.encode_ceilings({'c': resources.Resources(1_000)}),
        )
        spoil(cell)
        for target in list_busy_workers(cell):
            target.is_cut = True
        for name in ('two', 'three'):
            owner = await job_cells.start_owner(cell, name)
            await submit(owner, name, 12)
            await asyncio.sleep(0.02)
            await owner_election.end_ownership(owner)
        owner = await job_cells.start_owner(cell, 'four')
        await asyncio.sleep(4.0)
        assert cell.violations == []

    job_cells.run(script)


def test_a_customer_waits_for_ever_for_a_run_that_no_owner_started() -> None:
    """A worker lists a run that can't be read, and goes on listing it."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop)
        cell.run_ms = lambda name: 500
        first = await start_first_owner(cell)
        await owner_election.end_ownership(first)
        for target in list_busy_workers(cell):
            job_cells.restart(cell, target)
        cell.targets['w5'].unreadable_runs = 1
        second = await job_cells.start_owner(cell, 'two')
        assert await job_cells.wait_until(
            cell, lambda: are_all_jobs_ended(second), 10_000
        )
        assert cell.violations == []

    job_cells.run(script)


def test_a_gang_waits_for_ever_for_a_ceiling_that_it_needs_at_once() -> None:
    """Its tasks together need most of the limit, and nothing runs yet."""

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        cell = make_cell(loop, make_customer(millicores=16_000))
        cell.run_ms = lambda name: 300
        first = await job_cells.start_owner(cell, 'one')
        await asyncio.sleep(0.5)
        gang = job_cells.make_step(15, is_gang=True)
        await owner_operations.submit(
            job_views.get_ownership(first),
            job_cells.make_job_spec('a', gang, customer='c'),
        )
        assert await job_cells.wait_until(
            cell, lambda: are_all_jobs_ended(first), 1_500
        )
        assert cell.violations == []

    job_cells.run(script)


async def _change_something(
    cell: job_cells.Cell, rng: random.Random, owner: nodes.Node, number: int
) -> nodes.Node:
    """Makes one drawn change; returns the owner after it."""
    kind = rng.choice(
        ('kill', 'release', 'cut', 'cut', 'limits', 'cancel', 'lost', 'anew')
    )
    target = rng.choice(list(cell.targets.values()))
    if kind in ('kill', 'release'):
        if kind == 'release':
            await owner_election.release_ownership(
                job_views.get_ownership(owner).writer
            )
        await owner_election.end_ownership(owner)
        await asyncio.sleep(rng.choice((0.0, 0.2, 1.0)))
        return await job_cells.start_owner(cell, f'owner{number}')
    if kind == 'cut':
        for other in rng.sample(list(cell.targets.values()), 3):
            other.is_cut = True
            asyncio.get_running_loop().call_later(
                rng.uniform(0.2, 6.0), setattr, other, 'is_cut', False
            )
    elif kind == 'limits':
        job_cells.replace_customers(
            cell,
            make_customer('c', rng.choice((4_000, 6_000, 8_000, 16_000))),
            make_customer('d', rng.choice((0, 3_000, 12_000))),
        )
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        apply_settings(cell, owner)
    elif kind == 'cancel':
        id = f'j{rng.randrange(max(1, number))}'
        await owner_operations.cancel(
            job_views.get_ownership(owner),
            jobs.JobReference(id, rng.choice('cd')),
        )
    elif kind == 'lost':
        target.lost_answers = 3
    else:
        job_cells.restart(cell, target)
    return owner


@pytest.mark.parametrize('seed', SEEDS)
def test_quota_exceeded_around_drawn_takeovers(seed: int) -> None:
    """Owners, workers and limits change in drawn order, and then all is done.

    A customer has more work than it may have running all the time.
    """

    async def script(loop: asyncio.AbstractEventLoop) -> None:
        rng = random.Random(seed)
        cell = make_cell(loop, make_customer(), make_customer('d', 12_000))
        cell.run_ms = lambda name: 300 + 700 * (name.index % 5)
        owner = await job_cells.start_owner(cell, 'owner')
        await asyncio.sleep(0.5)
        for number in range(60):
            await submit(
                owner, f'j{number}', rng.randint(1, 12), rng.choice('ccd')
            )
            await asyncio.sleep(rng.uniform(0.05, 0.6))
            if rng.random() < 0.4:
                owner = await _change_something(cell, rng, owner, number)
        for target in cell.targets.values():
            target.is_cut, target.lost_answers = False, 0
        assert await job_cells.wait_until(
            cell,
            lambda: all(
                jobs.is_final(job)
                for job in job_views.get_ownership(owner).cluster.jobs.values()
            ),
            240_000,
        )
        assert cell.violations == []

    job_cells.run(script)
