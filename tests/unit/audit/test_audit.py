"""Tests of queries and verification of the audit records."""

from collections.abc import Callable

from lib import ledger_partitions
from lib import makers
import pytest

from nutmegknot._internal.audit import chains
from nutmegknot._internal.audit import queries
from nutmegknot._internal.audit import verification
from nutmegknot._internal.backing import tables
from nutmegknot._internal.ledger import report_processing
from nutmegknot._internal.ledger import request_operations
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshot_creation
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import journal_pb2

FINISHED = outcomes.Finished((b'answer',))


async def run_job(
    environment: ledger_partitions.Environment,
    owner: ledger_partitions.PartitionOwner,
    name: str,
    team: str,
) -> None:
    environment.time.at_ms += 1_000
    req = makers.make_request(name, team=team)
    await request_operations.submit(owner.ledger, owner.context, req, 1_000)
    key = f'{team}/{name}'
    for update in (reports.Running(('worker-0',)), reports.Ended(FINISHED)):
        report = reports.Report(
            key, 0, ledger_partitions.FLEET_PARTITION, 1, update
        )
        await report_processing.process_reports(
            owner.ledger, owner.context, [report]
        )


async def make_history(
    snapshot_after: tuple[int, ...],
) -> ledger_partitions.Environment:
    """Runs nine jobs of three teams.

    Args:
      snapshot_after: Numbers of the jobs after which a snapshot is taken, which
        moves the segments before it to an archive.
    """
    environment = ledger_partitions.Environment()
    owner = await ledger_partitions.take_over(environment)
    for number in range(9):
        await run_job(environment, owner, f'job-{number}', f'team-{number % 3}')
        if number in snapshot_after:
            assert await snapshot_creation.take_snapshot(owner.snapshotter)
    await ledger_partitions.stop(owner)
    return environment


async def find_events(
    environment: ledger_partitions.Environment,
    event_filter: queries.EventFilter,
    max_events: int = 1_000,
) -> queries.QueryResult:
    result = await queries.find_events(
        ledger_partitions.make_store(environment),
        [ledger_partitions.PARTITION_NAME],
        event_filter,
        max_events,
    )
    assert isinstance(result, queries.QueryResult)
    return result


async def verify(
    environment: ledger_partitions.Environment,
    head: segments.ChainPosition | None = None,
) -> object:
    store = ledger_partitions.make_store(environment)
    return await verification.verify(
        store, ledger_partitions.PARTITION_NAME, head
    )


@pytest.mark.parametrize('after', [(), (3,), (2, 5, 8)])
async def test_query_by_request_team_and_time(after: tuple[int, ...]) -> None:
    environment = await make_history(after)
    result = await find_events(environment, queries.EventFilter('team-1/job-4'))
    events = [stored.record.event for stored in result.events]
    assert [type(event) for event in events] == [
        records.Accept,
        records.Start,
        records.End,
    ]
    assert events[1] == records.Start(0, ('worker-0',))
    result = await find_events(environment, queries.EventFilter(team='team-2'))
    keys = {stored.record.request_key for stored in result.events}
    assert keys == {'team-2/job-2', 'team-2/job-5', 'team-2/job-8'}
    event_filter = queries.EventFilter(from_ms=3_001, until_ms=5_001)
    result = await find_events(environment, event_filter)
    keys = {stored.record.request_key for stored in result.events}
    assert keys == {'team-2/job-2', 'team-0/job-3'}
    assert result.is_complete


async def test_query_keeps_newest_steps() -> None:
    environment = await make_history((2, 5))
    result = await find_events(environment, queries.EventFilter(), 4)
    assert not result.is_complete
    assert [stored.record.request_key for stored in result.events] == [
        'team-1/job-7',
        *['team-2/job-8'] * 3,
    ]


@pytest.mark.parametrize('after', [(), (3,), (2, 5, 8)])
async def test_verify_whole_history(after: tuple[int, ...]) -> None:
    environment = await make_history(after)
    verified = await verify(environment)
    assert isinstance(verified, verification.VerifiedChain)
    assert verified.records == 27
    assert verified.last.sequence == verified.segments == 27
    assert await verify(environment, verified.last) == verified
    later = segments.ChainPosition(28, b'h')
    assert await verify(environment, later) == segments.Damaged(
        28, 'the segment is missing'
    )


def list_live_rows(
    environment: ledger_partitions.Environment,
) -> list[tables.Row]:
    """Returns the rows of the segments after the newest snapshot, in order."""
    prefix = segments.get_prefix(ledger_partitions.PARTITION_NAME)
    last = ledger_partitions.get_pointer(environment).position.sequence
    rows = [
        r for k, r in environment.table.rows.items() if k.startswith(prefix)
    ]
    live = [
        (segment.sequence, row)
        for row in rows
        if (segment := journal_pb2.Segment.FromString(row.value)).sequence
        > last
    ]
    return [row for _, row in sorted(live, key=lambda pair: pair[0])]


def replace_row(
    environment: ledger_partitions.Environment, row: tables.Row, value: bytes
) -> None:
    environment.table.rows[row.key] = tables.Row(row.key, value, row.version)


def change_row(environment: ledger_partitions.Environment) -> None:
    row = list_live_rows(environment)[1]
    replace_row(environment, row, row.value.replace(b'worker-0', b'worker-1'))


def remove_row(environment: ledger_partitions.Environment) -> None:
    del environment.table.rows[list_live_rows(environment)[2].key]


def swap_rows(environment: ledger_partitions.Environment) -> None:
    """Exchanges the sequence numbers of two segments."""
    first, second = list_live_rows(environment)[1:3]
    message = journal_pb2.Segment.FromString(first.value)
    other = journal_pb2.Segment.FromString(second.value)
    message.sequence, other.sequence = other.sequence, message.sequence
    replace_row(environment, first, message.SerializeToString())
    replace_row(environment, second, other.SerializeToString())


def remove_record(environment: ledger_partitions.Environment) -> None:
    row = list_live_rows(environment)[1]
    segment = journal_pb2.Segment.FromString(row.value)
    del segment.records[:]
    replace_row(environment, row, segment.SerializeToString())


def find_object(environment: ledger_partitions.Environment, kind: str) -> str:
    return sorted(
        n for n in environment.objects.contents if n.startswith(kind)
    )[0]


def change_archive(environment: ledger_partitions.Environment) -> None:
    name = find_object(environment, 'archive')
    content = environment.objects.contents[name]
    changed = content.replace(b'worker-0', b'worker-1')
    environment.objects.contents[name] = changed


def remove_archive(environment: ledger_partitions.Environment) -> None:
    del environment.objects.contents[find_object(environment, 'archive')]


def reorder_archive(environment: ledger_partitions.Environment) -> None:
    name = find_object(environment, 'archive')
    archive = journal_pb2.Archive.FromString(environment.objects.contents[name])
    archive.segments.reverse()
    environment.objects.contents[name] = archive.SerializeToString()


def remove_pointer(environment: ledger_partitions.Environment) -> None:
    del environment.table.rows['snapshot/ledger-0']


def change_snapshot(environment: ledger_partitions.Environment) -> None:
    name = find_object(environment, 'snapshot')
    content = environment.objects.contents[name]
    environment.objects.contents[name] = content.replace(b'answer', b'ANSWER')


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
    damage: Callable[[ledger_partitions.Environment], None],
) -> None:
    environment = await make_history((2, 5))
    assert isinstance(await verify(environment), verification.VerifiedChain)
    damage(environment)
    assert isinstance(await verify(environment), segments.Damaged)


async def test_verify_with_known_head_finds_removed_end() -> None:
    environment = await make_history((2, 5))
    verified = await verify(environment)
    assert isinstance(verified, verification.VerifiedChain)
    del environment.table.rows[list_live_rows(environment)[-1].key]
    damaged = await verify(environment, verified.last)
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
