"""How late a process gets to what is due.

Load pattern: a machine turns slow, or more work comes than its processors
carry; everything that the process does then starts late.
"""

import dataclasses

from nutmegknot._internal.utils import clock as clock_lib

# Interval of the samples in ms, and the part that the newest has in the mean.
SAMPLE_MS = 50
SAMPLE_WEIGHT = 0.25
# The most that one sample counts in ms, so that a single pause of the process
# does not look like lasting overload.
MOST_SAMPLE_MS = 250


@dataclasses.dataclass(slots=True)
class Lateness:
    """How late timers fire.

    Attributes:
      mean_ms: Moving mean of the last samples in ms.
    """

    mean_ms: float = 0.0


def note(lateness: Lateness, late_ms: int) -> None:
    """Takes note of one timer that fired late_ms after its time."""
    sample_ms = min(MOST_SAMPLE_MS, max(0, late_ms))
    lateness.mean_ms += SAMPLE_WEIGHT * (sample_ms - lateness.mean_ms)


async def keep_measuring(lateness: Lateness, clock: clock_lib.Clock) -> None:
    """Measures until cancelled."""
    while True:
        due_ms = clock.now_ms() + SAMPLE_MS
        await clock_lib.sleep(SAMPLE_MS)
        note(lateness, clock.now_ms() - due_ms)
