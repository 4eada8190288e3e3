"""Log lines to a file descriptor, bounded in number and never blocking.

Lines wait in memory and are written together by one task. What exceeds the
bounds is counted by event, and the counts are logged.
"""

import asyncio
import collections
import dataclasses
import errno
import logging
import os

from nutmegknot._internal.telemetry import logs
from nutmegknot._internal.utils import clock as clock_lib

# Interval of writing, in ms.
WRITE_MS = 100
# The most lines that are taken in a second, and the most bytes that wait.
LINES_PER_S = 1_500
MOST_BYTES = 524_288


@dataclasses.dataclass(slots=True)
class Sink:
    """Lines that wait to be written.

    Attributes:
      fd: Where they are written.
      clock: Source of time.
      lines: Encoded lines, oldest first; the first may be a rest of one.
      size: Their bytes.
      second_ms: When the present second began.
      taken: Lines taken in it.
      dropped: Lines that were not taken, by event.
    """

    fd: int
    clock: clock_lib.Clock
    lines: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )
    size: int = 0
    second_ms: int = 0
    taken: int = 0
    dropped: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class SinkHandler(logging.Handler):
    """Hands the lines of the logging library to a sink."""

    def __init__(self, sink: Sink) -> None:
        """Takes lines for a sink."""
        super().__init__()
        self.sink = sink
        self.setFormatter(logs.make_formatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one line, or counts it as dropped."""
        is_last = record.levelno >= logging.CRITICAL
        if not is_last and not _has_room(self.sink):
            self.sink.dropped[str(record.msg)] += 1
            return
        put(self.sink, self.format(record))
        if is_last:
            write(self.sink)


def set_up(level: str, sink: Sink) -> None:
    """Sends all logs of level and above to a sink."""
    os.set_blocking(sink.fd, False)
    root = logging.getLogger()
    root.handlers[:] = [SinkHandler(sink)]
    root.setLevel(level.upper())


def _has_room(sink: Sink) -> bool:
    now_ms = sink.clock.now_ms()
    if now_ms - sink.second_ms >= clock_lib.MS_PER_S:
        sink.second_ms, sink.taken = now_ms, 0
    return sink.taken < LINES_PER_S and sink.size < MOST_BYTES


def put(sink: Sink, text: str) -> None:
    """Puts a line into the sink."""
    line = text.encode(errors='backslashreplace') + b'\n'
    sink.lines.append(line)
    sink.size += len(line)
    sink.taken += 1


def write(sink: Sink) -> None:
    """Writes as much as is taken without blocking."""
    while sink.lines:
        chunk = b''.join(sink.lines)
        sink.lines.clear()
        try:
            done = os.write(sink.fd, chunk)
        except OSError as error:
            done = 0
            if error.errno not in (errno.EAGAIN, errno.EINTR):
                # Nobody reads any more, so the lines are of no use.
                sink.size = 0
                return
        sink.size -= done
        if done < len(chunk):
            sink.lines.append(chunk[done:])
            return


async def keep_writing(sink: Sink) -> None:
    """Writes the lines on a steady tick; the rest when it is cancelled."""
    try:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(WRITE_MS))
            _report_dropped(sink)
            write(sink)
    finally:
        _report_dropped(sink)
        write(sink)


def _report_dropped(sink: Sink) -> None:
    if not sink.dropped or not _has_room(sink):
        return
    dropped, sink.dropped = sink.dropped, collections.Counter()
    for event, count in dropped.most_common():
        logging.getLogger(__name__).warning(
            'lines_dropped', extra={'of': event, 'count': count}
        )
