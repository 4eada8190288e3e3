"""Event loop lag: how late the timers of a process fire.

Load pattern: a machine becomes slow, or receives more work than its processors
can do. Then everything that the process does starts late.
"""

import dataclasses

from nutmegknot._internal.utils import clock as clock_lib

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


@dataclasses.dataclass(slots=True)
class EventLoopLag:
    """How late timers fire.

    Attributes:
      mean_ms: Exponential moving average of the lag.
      peak_ms: Largest recent lag, which decays with each sample.
    """

    mean_ms: float = 0.0
    peak_ms: float = 0.0


def record_sample(lag: EventLoopLag, late_ms: int) -> None:
    """Adds the sample of a timer that fired late_ms after its due time."""
    sample_ms = min(MAX_SAMPLE_MS, max(0, late_ms))
    lag.mean_ms += SAMPLE_WEIGHT * (sample_ms - lag.mean_ms)
    lag.peak_ms = max(min(MAX_PEAK_MS, late_ms), lag.peak_ms * PEAK_DECAY)


async def run_sampling_loop(lag: EventLoopLag, clock: clock_lib.Clock) -> None:
    """Takes samples at a fixed interval until cancelled."""
    while True:
        due_ms = clock.now_ms() + SAMPLE_INTERVAL_MS
        await clock_lib.sleep(SAMPLE_INTERVAL_MS)
        record_sample(lag, clock.now_ms() - due_ms)
