"""Tests of telemetry/sinks.py."""

import logging
import os

from nutmegknot._internal.telemetry import sinks
from nutmegknot._internal.utils import clock as clock_lib


def make_sink(fd: int) -> tuple[sinks.Sink, clock_lib.ManualTime]:
    manual = clock_lib.ManualTime(10_000)
    return sinks.Sink(fd, clock_lib.make_manual_clock(manual)), manual


def log(sink: sinks.Sink, event: str, count: int) -> None:
    handler = sinks.SinkHandler(sink)
    for number in range(count):
        record = logging.makeLogRecord(
            {'msg': event, 'name': 'm', 'levelno': 20, 'number': number}
        )
        handler.emit(record)


def test_lines_are_written_in_order() -> None:
    reading, writing = os.pipe()
    sink, _ = make_sink(writing)
    log(sink, 'job_accepted', 3)
    sinks.write(sink)
    text = os.read(reading, 65_536).decode()
    lines = text.splitlines()
    assert len(lines) == 3
    assert 'event=job_accepted number=0' in lines[0]
    assert sink.size == 0


def test_a_flood_is_cut_and_counted() -> None:
    sink, manual = make_sink(0)
    log(sink, 'run_placed', sinks.LINES_PER_S + 40)
    assert len(sink.lines) == sinks.LINES_PER_S
    assert sink.dropped == {'run_placed': 40}
    manual.at_ms += 1_000
    log(sink, 'run_placed', 1)
    assert len(sink.lines) == sinks.LINES_PER_S + 1


def test_a_reader_that_stops_blocks_nothing_and_bounds_what_waits() -> None:
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    sink, manual = make_sink(writing)
    for _ in range(20):
        manual.at_ms += 1_000
        log(sink, 'run_placed', 1_000)
        sinks.write(sink)
    assert sink.size <= sinks.MOST_BYTES + 1_000
    assert sink.dropped['run_placed'] > 0
    taken = os.read(reading, 1_000_000)
    assert taken.startswith(b'level=') or b'event=run_placed' in taken


def test_a_closed_reader_loses_the_lines_only() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    sink, _ = make_sink(writing)
    log(sink, 'run_placed', 5)
    sinks.write(sink)
    assert sink.size == 0
