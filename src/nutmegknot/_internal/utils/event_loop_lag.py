"""Event loop lag: how late the timers of a process fire.

Load pattern: a machine becomes slow, or receives more work than its processors
can do. Then everything that the process does starts late.
"""

import dataclasses
import logging

from nutmegknot._internal.utils import clock as clock_lib

logger = logging.getLogger(__name__)

SAMPLE_INTERVAL_MS = 50
# Weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.25
# Longer samples are reduced to this limit, so that a single pause of the
# process does not look like continuous overload.
MAX_SAMPLE_MS = 250
# Part of the recent peak that is left after each further sample; it halves in
# about 0.35 s.
PEAK_DECAY = 0.9
# Longer peaks are reduced to this limit, so that time-outs that allow for the
# lag stay short.
MAX_PEAK_MS = 1_000
# Shortest lag that counts as a pause of the process, such as a frozen machine.
# Load alone delays calls by less, and in the order in which they arrive.
MIN_PAUSE_MS = 500
# How long after a pause calls are handled that arrived before its end.
PAUSE_BACKLOG_MS = 250


@dataclasses.dataclass(slots=True)
class EventLoopLag:
    """How late timers fire.

    Attributes:
      mean_ms: Exponential moving average of the lag.
      peak_ms: Largest recent lag, which decays with each sample.
      sampled_ms: When the last sample was taken; None before the first.
      pause_ms: Length of the last pause of the process; 0 if there was none.
      pause_end_ms: When it ended.
    """

    mean_ms: float = 0.0
    peak_ms: float = 0.0
    sampled_ms: int | None = None
    pause_ms: int = 0
    pause_end_ms: int = 0


def record_sample(lag: EventLoopLag, late_ms: int) -> None:
    """Adds the sample of a timer that fired late_ms after its due time."""
    sample_ms = min(MAX_SAMPLE_MS, max(0, late_ms))
    lag.mean_ms += SAMPLE_WEIGHT * (sample_ms - lag.mean_ms)
    lag.peak_ms = max(min(MAX_PEAK_MS, late_ms), lag.peak_ms * PEAK_DECAY)


def record_time(lag: EventLoopLag, now_ms: int) -> None:
    """Records that the event loop runs now, and the pause before, if any."""
    pause_ms = _measure_pause(lag, now_ms)
    lag.sampled_ms = now_ms
    if pause_ms:
        lag.pause_ms, lag.pause_end_ms = pause_ms, now_ms
        logger.warning('process_paused', extra={'pause_ms': pause_ms})


def compute_unread_ms(lag: EventLoopLag, now_ms: int) -> int:
    """Returns how long a call may have waited before this process read it.

    Load pattern: the process was paused with calls in its sockets. Their
    callers have waited all the while, or have left.

    Args:
      lag: The lag of the process.
      now_ms: When the call is handled, by the clock of the samples.

    Returns:
      The length of the pause in ms; 0 if there was none shortly before.
    """
    pause_ms = _measure_pause(lag, now_ms)
    is_recent = now_ms - lag.pause_end_ms <= PAUSE_BACKLOG_MS
    return max(pause_ms, lag.pause_ms if is_recent else 0)


def _measure_pause(lag: EventLoopLag, now_ms: int) -> int:
    """Returns the time since the last sample if it is long, else 0."""
    if lag.sampled_ms is None:
        return 0
    silent_ms = now_ms - lag.sampled_ms
    is_pause = silent_ms >= SAMPLE_INTERVAL_MS + MIN_PAUSE_MS
    return silent_ms if is_pause else 0


async def run_sampling_loop(lag: EventLoopLag, clock: clock_lib.Clock) -> None:
    """Takes samples at a fixed interval until cancelled."""
    while True:
        due_ms = clock.now_ms() + SAMPLE_INTERVAL_MS
        await clock_lib.sleep(SAMPLE_INTERVAL_MS)
        now_ms = clock.now_ms()
        record_sample(lag, now_ms - due_ms)
        record_time(lag, now_ms)
