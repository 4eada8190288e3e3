"""Tests of the log sink."""

import logging
import os

from nutmegknot._internal.telemetry import log_sinks
from nutmegknot._internal.utils import clock


def make_sink(fd: int) -> tuple[log_sinks.LogSink, clock.ManualTime]:
    manual = clock.ManualTime(10_000)
    return log_sinks.LogSink(fd, clock.make_manual_clock(manual)), manual


def log_lines(sink: log_sinks.LogSink, event: str, count: int) -> None:
    handler = log_sinks.SinkHandler(sink)
    for number in range(count):
        record = logging.makeLogRecord(
            {'msg': event, 'name': 'm', 'levelno': 20, 'number': number}
        )
        handler.emit(record)


def test_lines_are_written_in_order() -> None:
    read_fd, write_fd = os.pipe()
    sink, _ = make_sink(write_fd)
    log_lines(sink, 'job_accepted', 3)
    log_sinks.write_lines(sink)
    text = os.read(read_fd, 65_536).decode()
    lines = text.splitlines()
    assert len(lines) == 3
    assert 'event=job_accepted number=0' in lines[0]
    assert sink.waiting_bytes == 0


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    sink, manual = make_sink(0)
    log_lines(sink, 'run_placed', log_sinks.MAX_LINES_PER_S + 40)
    assert len(sink.lines) == log_sinks.MAX_LINES_PER_S
    assert sink.dropped == {'run_placed': 40}
    manual.at_ms += 1_000
    log_lines(sink, 'run_placed', 1)
    assert len(sink.lines) == log_sinks.MAX_LINES_PER_S + 1


def test_when_the_reader_stops_writes_do_not_block_and_memory_is_limited() -> (
    None
):
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    sink, manual = make_sink(write_fd)
    for _ in range(20):
        manual.at_ms += 1_000
        log_lines(sink, 'run_placed', 1_000)
        log_sinks.write_lines(sink)
    assert sink.waiting_bytes <= log_sinks.MAX_WAITING_BYTES + 1_000
    assert sink.dropped['run_placed'] > 0
    text = os.read(read_fd, 1_000_000)
    assert text.startswith(b'level=') or b'event=run_placed' in text


def test_when_the_reader_has_closed_lines_are_dropped() -> None:
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    sink, _ = make_sink(write_fd)
    log_lines(sink, 'run_placed', 5)
    log_sinks.write_lines(sink)
    assert sink.waiting_bytes == 0
