"""Tests of queries and verification of the audit records."""

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
    for update in (reports.Running(('worker-0',)), reports.Ended(FINISHED)):
        report = reports.Report(key, 0, partitions.FLEET, 1, update)
        await reporting.take_reports(owner.ledger, owner.context, [report])


async def make_history(snapshot_after: tuple[int, ...]) -> partitions.Cell:
    """Runs nine jobs of three teams.

    Args:
      snapshot_after: Numbers of the jobs after which a snapshot is taken, which
        moves the segments before it to an archive.
    """
    cell = partitions.Cell()
    owner = await partitions.take_over(cell)
    for number in range(9):
        await run_job(cell, owner, f'job-{number}', f'team-{number % 3}')
        if number in snapshot_after:
            assert await snapshotting.take_snapshot(owner.snapshotter)
    await partitions.stop(owner)
    return cell


async def find_events(
    cell: partitions.Cell,
    event_filter: queries.Selection,
    max_events: int = 1_000,
) -> queries.Found:
    result = await queries.query(
        partitions.make_store(cell), [partitions.NAME], event_filter, max_events
    )
    assert isinstance(result, queries.Found)
    return result


async def verify(
    cell: partitions.Cell, head: segments.Link | None = None
) -> object:
    store = partitions.make_store(cell)
    return await verification.verify(store, partitions.NAME, head)


@pytest.mark.parametrize('after', [(), (3,), (2, 5, 8)])
async def test_query_by_request_team_and_time(after: tuple[int, ...]) -> None:
    cell = await make_history(after)
    result = await find_events(cell, queries.Selection('team-1/job-4'))
    events = [stored.record.step for stored in result.steps]
    assert [type(event) for event in events] == [
        records.Accept,
        records.Start,
        records.End,
    ]
    assert events[1] == records.Start(0, ('worker-0',))
    result = await find_events(cell, queries.Selection(team='team-2'))
    keys = {stored.record.request_key for stored in result.steps}
    assert keys == {'team-2/job-2', 'team-2/job-5', 'team-2/job-8'}
    event_filter = queries.Selection(from_ms=3_001, until_ms=5_001)
    result = await find_events(cell, event_filter)
    keys = {stored.record.request_key for stored in result.steps}
    assert keys == {'team-2/job-2', 'team-0/job-3'}
    assert result.is_complete


async def test_query_keeps_newest_steps() -> None:
    cell = await make_history((2, 5))
    result = await find_events(cell, queries.Selection(), 4)
    assert not result.is_complete
    assert [stored.record.request_key for stored in result.steps] == [
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


def list_live_rows(cell: partitions.Cell) -> list[tables.Row]:
    """Returns the rows of the segments after the newest snapshot, in order."""
    prefix = segments.get_prefix(partitions.NAME)
    last = partitions.get_pointer(cell).link.sequence
    rows = [r for k, r in cell.table.rows.items() if k.startswith(prefix)]
    live = [
        (segment.sequence, row)
        for row in rows
        if (segment := journal_pb2.Segment.FromString(row.value)).sequence
        > last
    ]
    return [row for _, row in sorted(live, key=lambda pair: pair[0])]


def replace_row(cell: partitions.Cell, row: tables.Row, value: bytes) -> None:
    cell.table.rows[row.key] = tables.Row(row.key, value, row.version)


def change_row(cell: partitions.Cell) -> None:
    row = list_live_rows(cell)[1]
    replace_row(cell, row, row.value.replace(b'worker-0', b'worker-1'))


def remove_row(cell: partitions.Cell) -> None:
    del cell.table.rows[list_live_rows(cell)[2].key]


def swap_rows(cell: partitions.Cell) -> None:
    """Exchanges the sequence numbers of two segments."""
    first, second = list_live_rows(cell)[1:3]
    message = journal_pb2.Segment.FromString(first.value)
    other = journal_pb2.Segment.FromString(second.value)
    message.sequence, other.sequence = other.sequence, message.sequence
    replace_row(cell, first, message.SerializeToString())
    replace_row(cell, second, other.SerializeToString())


def remove_record(cell: partitions.Cell) -> None:
    row = list_live_rows(cell)[1]
    segment = journal_pb2.Segment.FromString(row.value)
    del segment.records[:]
    replace_row(cell, row, segment.SerializeToString())


def find_object(cell: partitions.Cell, kind: str) -> str:
    return sorted(n for n in cell.objects.contents if n.startswith(kind))[0]


def change_archive(cell: partitions.Cell) -> None:
    name = find_object(cell, 'archive')
    content = cell.objects.contents[name]
    changed = content.replace(b'worker-0', b'worker-1')
    cell.objects.contents[name] = changed


def remove_archive(cell: partitions.Cell) -> None:
    del cell.objects.contents[find_object(cell, 'archive')]


def reorder_archive(cell: partitions.Cell) -> None:
    name = find_object(cell, 'archive')
    archive = journal_pb2.Archive.FromString(cell.objects.contents[name])
    archive.segments.reverse()
    cell.objects.contents[name] = archive.SerializeToString()


def remove_pointer(cell: partitions.Cell) -> None:
    del cell.table.rows['snapshot/ledger-0']


def change_snapshot(cell: partitions.Cell) -> None:
    name = find_object(cell, 'snapshot')
    content = cell.objects.contents[name]
    cell.objects.contents[name] = content.replace(b'answer', b'ANSWER')


@pytest.mark.parametrize(
    'damage',
    [
        change_row,
        remove_row,
        swap_rows,
        remove_record,
        change_archive,
        remove_archive,
        reorder_archive,
        remove_pointer,
        change_snapshot,
    ],
)
async def test_verify_finds_damage(
    damage: Callable[[partitions.Cell], None],
) -> None:
    cell = await make_history((2, 5))
    assert isinstance(await verify(cell), verification.Verified)
    damage(cell)
    assert isinstance(await verify(cell), segments.Damaged)


async def test_verify_with_known_head_finds_removed_end() -> None:
    cell = await make_history((2, 5))
    verified = await verify(cell)
    assert isinstance(verified, verification.Verified)
    del cell.table.rows[list_live_rows(cell)[-1].key]
    damaged = await verify(cell, verified.last)
    assert damaged == segments.Damaged(27, 'the segment is missing')


def make_chain(count: int) -> list[chains.Row]:
    rows = []
    previous_hash = b''
    for number in range(1, count + 1):
        content = b'change %d after %s' % (number, previous_hash)
        rows.append(chains.Row(number, previous_hash, content))
        previous_hash = segments.compute_hash(content)
    return rows


def test_chain_of_rows_shows_first_break() -> None:
    rows = make_chain(4)
    assert chains.find_break(rows, 4) is None
    changed = chains.Row(2, rows[1].previous_hash, b'other')
    for broken, number in (
        ([rows[0], changed, *rows[2:]], 3),
        ([rows[0], *rows[2:]], 2),
        ([rows[0], rows[2], rows[1], rows[3]], 2),
        (rows[:3], 4),
    ):
        damaged = chains.find_break(broken, 4)
        assert isinstance(damaged, segments.Damaged)
        assert damaged.sequence == number
