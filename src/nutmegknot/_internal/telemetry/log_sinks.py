"""Log sink that writes to a file descriptor without blocking the process.

Log lines wait in memory, and one task writes them in batches. The rate of lines
and the bytes in memory are limited. Lines above the limits are dropped and
counted by event, and the counts are logged. Critical lines are exempt.
"""

import asyncio
import collections
import dataclasses
import errno
import logging
import os

from nutmegknot._internal.telemetry import logs
from nutmegknot._internal.utils import clock as clock_lib

WRITE_INTERVAL_MS = 100
MAX_LINES_PER_S = 1_500
MAX_WAITING_BYTES = 524_288


@dataclasses.dataclass(slots=True)
class LogSink:
    """Log lines that wait to be written, with the counts for the limits.

    Attributes:
      fd: File descriptor that the lines are written to.
      clock: Source of time.
      lines: Encoded lines, oldest first.
        After an incomplete write, the first element is what was not written.
      waiting_bytes: Number of bytes in lines.
      second_start_ms: Start of the second in which lines are being counted.
      lines_in_second: Number of lines added in this second.
      dropped: Number of lines dropped since the last report of it, by event.
    """

    fd: int
    clock: clock_lib.Clock
    lines: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )
    waiting_bytes: int = 0
    second_start_ms: int = 0
    lines_in_second: int = 0
    dropped: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class SinkHandler(logging.Handler):
    """Handler of the logging library that adds log lines to a sink."""

    def __init__(self, sink: LogSink) -> None:
        """Makes a handler for one sink."""
        super().__init__()
        self.sink = sink
        self.setFormatter(logs.make_formatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Adds one line to the sink; drops and counts it above the limits.

        A critical line is always added and written at once, because the process
        may end after it.
        """
        is_critical = record.levelno >= logging.CRITICAL
        if not is_critical and not _has_room(self.sink):
            self.sink.dropped[str(record.msg)] += 1
            return
        add_line(self.sink, self.format(record))
        if is_critical:
            write_lines(self.sink)


def set_up(level: str, sink: LogSink) -> None:
    """Sends all logs of a level or above to a sink."""
    os.set_blocking(sink.fd, False)
    root = logging.getLogger()
    root.handlers[:] = [SinkHandler(sink)]
    root.setLevel(level.upper())


def _has_room(sink: LogSink) -> bool:
    now_ms = sink.clock.now_ms()
    if now_ms - sink.second_start_ms >= clock_lib.MS_PER_S:
        sink.second_start_ms, sink.lines_in_second = now_ms, 0
    return (
        sink.lines_in_second < MAX_LINES_PER_S
        and sink.waiting_bytes < MAX_WAITING_BYTES
    )


def add_line(sink: LogSink, text: str) -> None:
    """Adds a line to the sink, without checking the limits."""
    line = text.encode(errors='backslashreplace') + b'\n'
    sink.lines.append(line)
    sink.waiting_bytes += len(line)
    sink.lines_in_second += 1


def write_lines(sink: LogSink) -> None:
    """Writes as many waiting lines as the file descriptor accepts now."""
    while sink.lines:
        chunk = b''.join(sink.lines)
        sink.lines.clear()
        try:
            written = os.write(sink.fd, chunk)
        except OSError as error:
            written = 0
            if error.errno not in (errno.EAGAIN, errno.EINTR):
                # Nobody reads the lines any more, so they are dropped.
                sink.waiting_bytes = 0
                return
        sink.waiting_bytes -= written
        if written < len(chunk):
            sink.lines.append(chunk[written:])
            return


async def run_log_writer(sink: LogSink) -> None:
    """Writes waiting lines at a fixed interval and again when cancelled."""
    try:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(WRITE_INTERVAL_MS))
            _log_dropped(sink)
            write_lines(sink)
    finally:
        _log_dropped(sink)
        write_lines(sink)


def _log_dropped(sink: LogSink) -> None:
    if not sink.dropped or not _has_room(sink):
        return
    dropped, sink.dropped = sink.dropped, collections.Counter()
    for event, count in dropped.most_common():
        logging.getLogger(__name__).warning(
            'lines_dropped', extra={'of': event, 'count': count}
        )
