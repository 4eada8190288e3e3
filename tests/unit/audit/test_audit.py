"""Tests of audit/."""

from collections.abc import Callable

from lib import makers
from lib import partitions
import pytest

from nutmegknot._internal.audit import chains
from nutmegknot._internal.audit import queries
from nutmegknot._internal.audit import verification
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import accepting
from nutmegknot._internal.ledger import reporting
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshotting
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import journal_pb2

FINISHED = outcomes.Finished((b'answer',))


async def run_job(
    cell: partitions.Cell, owner: partitions.Owner, name: str, team: str
) -> None:
    cell.time.at_ms += 1_000
    req = makers.make_request(name, team=team)
    await accepting.submit(owner.ledger, owner.context, req, 1_000)
    key = f'{team}/{name}'
    for news in (reports.Running(('worker-0',)), reports.Ended(FINISHED)):
        report = reports.Report(key, 0, partitions.FLEET, 1, news)
        await reporting.take_reports(owner.ledger, owner.context, [report])


async def make_history(snapshot_after: tuple[int, ...]) -> partitions.Cell:
    """Runs nine jobs of three teams, with snapshots after some of them."""
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    for number in range(9):
        await run_job(cell, owner, f'job-{number}', f'team-{number % 3}')
        if number in snapshot_after:
            assert await snapshotting.take_snapshot(owner.snapshotter)
    await partitions.stop(owner)
    return cell


async def ask(
    cell: partitions.Cell, selection: queries.Selection, most: int = 1_000
) -> queries.Found:
    found = await queries.query(
        partitions.make_store(cell), [partitions.NAME], selection, most
    )
    assert isinstance(found, queries.Found)
    return found


async def verify(
    cell: partitions.Cell, head: segments.Link | None = None
) -> object:
    store = partitions.make_store(cell)
    return await verification.verify(store, partitions.NAME, head)


@pytest.mark.parametrize('after', [(), (3,), (2, 5, 8)])
async def test_query_by_request_team_and_time(after: tuple[int, ...]) -> None:
    cell = await make_history(after)
    found = await ask(cell, queries.Selection('team-1/job-4'))
    steps = [step.record.step for step in found.steps]
    assert [type(one) for one in steps] == [
        records.Accept,
        records.Start,
        records.End,
    ]
    assert steps[1] == records.Start(0, ('worker-0',))
    found = await ask(cell, queries.Selection(team='team-2'))
    keys = {step.record.request_key for step in found.steps}
    assert keys == {'team-2/job-2', 'team-2/job-5', 'team-2/job-8'}
    selection = queries.Selection(from_ms=3_001, until_ms=5_001)
    found = await ask(cell, selection)
    keys = {step.record.request_key for step in found.steps}
    assert keys == {'team-2/job-2', 'team-0/job-3'}
    assert found.is_complete


async def test_query_keeps_newest_steps() -> None:
    cell = await make_history((2, 5))
    found = await ask(cell, queries.Selection(), 4)
    assert not found.is_complete
    assert [s.record.request_key for s in found.steps] == [
        'team-1/job-7',
        *['team-2/job-8'] * 3,
    ]


@pytest.mark.parametrize('after', [(), (3,), (2, 5, 8)])
async def test_verify_whole_history(after: tuple[int, ...]) -> None:
    cell = await make_history(after)
    verified = await verify(cell)
    assert isinstance(verified, verification.Verified)
    assert verified.records == 27
    assert verified.last.sequence == verified.segments == 27
    assert await verify(cell, verified.last) == verified
    later = segments.Link(28, b'h')
    assert await verify(cell, later) == segments.Damaged(
        28, 'the segment is missing'
    )


def list_rows(cell: partitions.Cell) -> list[tables.Row]:
    """Returns the rows that hold segments no snapshot replaces."""
    prefix = segments.get_prefix(partitions.NAME)
    last = partitions.get_pointer(cell).link.sequence
    rows = [r for k, r in cell.table.rows.items() if k.startswith(prefix)]
    found = [
        (segment.sequence, row)
        for row in rows
        if (segment := journal_pb2.Segment.FromString(row.value)).sequence
        > last
    ]
    return [row for _, row in sorted(found, key=lambda one: one[0])]


def replace(cell: partitions.Cell, row: tables.Row, value: bytes) -> None:
    cell.table.rows[row.key] = tables.Row(row.key, value, row.version)


def flip_row(cell: partitions.Cell) -> None:
    row = list_rows(cell)[1]
    replace(cell, row, row.value.replace(b'worker-0', b'worker-1'))


def drop_row(cell: partitions.Cell) -> None:
    del cell.table.rows[list_rows(cell)[2].key]


def swap_rows(cell: partitions.Cell) -> None:
    """Gives two segments each other's number."""
    first, second = list_rows(cell)[1:3]
    one = journal_pb2.Segment.FromString(first.value)
    two = journal_pb2.Segment.FromString(second.value)
    one.sequence, two.sequence = two.sequence, one.sequence
    replace(cell, first, one.SerializeToString())
    replace(cell, second, two.SerializeToString())


def drop_record(cell: partitions.Cell) -> None:
    row = list_rows(cell)[1]
    segment = journal_pb2.Segment.FromString(row.value)
    del segment.records[:]
    replace(cell, row, segment.SerializeToString())


def find_object(cell: partitions.Cell, kind: str) -> str:
    return sorted(n for n in cell.objects.contents if n.startswith(kind))[0]


def flip_archive(cell: partitions.Cell) -> None:
    name = find_object(cell, 'archive')
    content = cell.objects.contents[name]
    changed = content.replace(b'worker-0', b'worker-1')
    cell.objects.contents[name] = changed


def drop_archive(cell: partitions.Cell) -> None:
    del cell.objects.contents[find_object(cell, 'archive')]


def reorder_archive(cell: partitions.Cell) -> None:
    name = find_object(cell, 'archive')
    archive = journal_pb2.Archive.FromString(cell.objects.contents[name])
    archive.segments.reverse()
    cell.objects.contents[name] = archive.SerializeToString()


def drop_pointer(cell: partitions.Cell) -> None:
    del cell.table.rows['snapshot/ledger-0']


def flip_snapshot(cell: partitions.Cell) -> None:
    name = find_object(cell, 'snapshot')
    content = cell.objects.contents[name]
    cell.objects.contents[name] = content.replace(b'answer', b'ANSWER')


@pytest.mark.parametrize(
    'damage',
    [
        flip_row,
        drop_row,
        swap_rows,
        drop_record,
        flip_archive,
        drop_archive,
        reorder_archive,
        drop_pointer,
        flip_snapshot,
    ],
)
async def test_verify_finds_damage(
    damage: Callable[[partitions.Cell], None],
) -> None:
    cell = await make_history((2, 5))
    assert isinstance(await verify(cell), verification.Verified)
    damage(cell)
    assert isinstance(await verify(cell), segments.Damaged)


async def test_verify_finds_removed_end() -> None:
    cell = await make_history((2, 5))
    verified = await verify(cell)
    assert isinstance(verified, verification.Verified)
    del cell.table.rows[list_rows(cell)[-1].key]
    damaged = await verify(cell, verified.last)
    assert damaged == segments.Damaged(27, 'the segment is missing')


def make_chain(count: int) -> list[chains.Row]:
    rows = []
    previous = b''
    for number in range(1, count + 1):
        content = b'change %d after %s' % (number, previous)
        rows.append(chains.Row(number, previous, content))
        previous = segments.compute_hash(content)
    return rows


def test_chain_shows_breaks() -> None:
    rows = make_chain(4)
    assert chains.find_break(rows, 4) is None
    changed = chains.Row(2, rows[1].previous, b'other')
    for broken, number in (
        ([rows[0], changed, *rows[2:]], 3),
        ([rows[0], *rows[2:]], 2),
        ([rows[0], rows[2], rows[1], rows[3]], 2),
        (rows[:3], 4),
    ):
        damaged = chains.find_break(broken, 4)
        assert isinstance(damaged, segments.Damaged)
        assert damaged.sequence == number
