"""Tests that decoding damaged data fails only in the ways callers expect.

Random bytes and messages with changed, dropped or added bytes must either
decode or give Damaged, ValueError or a parse error of the message library. Any
other exception would stop an instance.
"""

import asyncio

from google.protobuf import message as message_lib
import hypothesis
from hypothesis import strategies
from lib import ledger_partitions
from lib import makers
import pytest

from nutmegknot._internal.backing import tables
from nutmegknot._internal.codec import common_messages
from nutmegknot._internal.codec import records as record_codec
from nutmegknot._internal.codec import reports as report_codec
from nutmegknot._internal.ledger import archives
from nutmegknot._internal.ledger import ledgers
from nutmegknot._internal.ledger import pointers
from nutmegknot._internal.ledger import segments
from nutmegknot._internal.ledger import snapshots
from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import records
from nutmegknot._internal.models import reports
from nutmegknot._internal.schema import journal_pb2
from nutmegknot._internal.schema import peer_pb2

EVENTS: list[records.RequestEvent] = [
    records.Accept(makers.make_request('job', service='s'), 'fleet-d-0', 3),
    records.Assign('fleet-d-0', 4, 1, 'failed', started=True),
    records.Start(1, ('worker-0', 'worker-1')),
    records.Cancel(),
    records.End(outcomes.MayHaveRun('lost')),
    records.End(outcomes.Finished((b'answer', b''))),
    records.End(
        outcomes.Failed(outcomes.FailureReason.TASK_FAILED, 'exit 1', True)
    ),
    records.End(outcomes.Cancelled(started=True)),
    records.Forget(),
]
REPORTS = [
    reports.Report('t/job', 1, 'fleet-d-0', 3, update)
    for update in (
        reports.Running(('worker-0',)),
        reports.Ended(outcomes.Finished((b'answer',))),
        reports.Returned('failed', 'exit 1', True, 'checkpoint'),
    )
]
POSITION = segments.ChainPosition(7, b'h' * 32)

settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400
)


@strategies.composite
def damage(draw: strategies.DrawFn, content: bytes) -> bytes:
    """Draws a copy of a content with some bytes changed, dropped or added."""
    changed = bytearray(content)
    for _ in range(draw(strategies.integers(1, 4))):
        start = draw(strategies.integers(0, len(changed)))
        width = draw(strategies.integers(0, 8))
        changed[start : start + width] = draw(strategies.binary(max_size=8))
    return bytes(changed)


def make_segment() -> bytes:
    messages = [
        record_codec.encode_record(records.Record('t/job', 9, event))
        for event in EVENTS
    ]
    return journal_pb2.Segment(
        partition=ledger_partitions.PARTITION_NAME,
        sequence=8,
        epoch=2,
        nonce='n',
        records=messages,
        previous=POSITION.hash,
    ).SerializeToString()


def make_snapshot() -> bytes:
    ledger = ledger_partitions.acquire(ledger_partitions.Environment())
    for event in EVENTS[:4]:
        ledgers.apply_record(ledger, records.Record('t/job@1', 9, event))
    ledger.journal.head = POSITION
    return asyncio.run(snapshots.encode(snapshots.capture(ledger)))


SEGMENT = make_segment()
SNAPSHOT = make_snapshot()
ARCHIVE = archives.encode(
    ledger_partitions.PARTITION_NAME,
    [SEGMENT],
    pointers.ObjectReference('a', b'h'),
)
POINTER = pointers.encode(
    ledger_partitions.PARTITION_NAME,
    pointers.Pointer(POSITION, pointers.ObjectReference('s', b'h')),
)


@pytest.mark.parametrize('event', EVENTS)
def test_record_is_same_after_encoding_and_decoding(
    event: records.RequestEvent,
) -> None:
    record = records.Record('t/job', 9, event)
    message = record_codec.encode_record(record)
    assert record_codec.decode_record(message) == record


@settings
@hypothesis.given(strategies.one_of(damage(SEGMENT), strategies.binary()))
def test_damaged_segment_is_detected(content: bytes) -> None:
    result = asyncio.run(
        segments.decode_chain(
            ledger_partitions.PARTITION_NAME, [content], POSITION
        )
    )
    assert isinstance(result, list | segments.Damaged)


@settings
@hypothesis.given(strategies.one_of(damage(SNAPSHOT), strategies.binary()))
def test_damaged_snapshot_is_detected(content: bytes) -> None:
    ledger = ledger_partitions.acquire(ledger_partitions.Environment())
    result = asyncio.run(snapshots.apply(ledger, content, POSITION))
    assert result is None or isinstance(result, segments.Damaged)


@settings
@hypothesis.given(strategies.one_of(damage(ARCHIVE), strategies.binary()))
def test_damaged_archive_is_detected(content: bytes) -> None:
    result = archives.decode(ledger_partitions.PARTITION_NAME, content)
    assert isinstance(result, archives.Archive | segments.Damaged)


@settings
@hypothesis.given(strategies.one_of(damage(POINTER), strategies.binary()))
def test_damaged_pointer_is_detected(content: bytes) -> None:
    row = tables.Row('snapshot/ledger-0', content, 1)
    result = pointers.decode(ledger_partitions.PARTITION_NAME, row)
    assert isinstance(result, pointers.Pointer | segments.Damaged)


@settings
@hypothesis.given(strategies.data(), strategies.sampled_from(REPORTS))
def test_damaged_report_is_refused(
    data: strategies.DataObject, report: reports.Report
) -> None:
    """A damaged message fails to parse, is decoded, or raises ValueError."""
    message = report_codec.encode_report(report)
    assert report_codec.decode_report(message) == report
    content = data.draw(damage(message.SerializeToString()))
    try:
        report_codec.decode_report(peer_pb2.Report.FromString(content))
    except (ValueError, message_lib.DecodeError):
        return


@settings
@hypothesis.given(strategies.data())
def test_damaged_assignment_is_refused(data: strategies.DataObject) -> None:
    """A damaged message fails to parse, is decoded, or raises ValueError."""
    assignment = makers.make_assignment('job', payload=b'x')
    message = common_messages.encode_assignment(assignment)
    assert common_messages.decode_assignment(message) == assignment
    content = data.draw(damage(message.SerializeToString()))
    try:
        common_messages.decode_assignment(
            peer_pb2.Assignment.FromString(content)
        )
    except (ValueError, message_lib.DecodeError):
        return
