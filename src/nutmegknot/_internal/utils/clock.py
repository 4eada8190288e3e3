"""Clocks that read milliseconds.

All durations and points in time in nutmegknot are integers in milliseconds.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

MS_PER_S = 1000
NS_PER_MS = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Clock:
    """Source of time.

    Attributes:
      now_ms: Returns monotonic time; comparable within one process only.
      wall_ms: Returns time since the Unix epoch.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]


def make_system_clock() -> Clock:
    """Returns a clock that reads the operating system.

    Monotonic time is CLOCK_BOOTTIME where it exists. It includes the time for
    which the machine is suspended, so leases expire in that time too.
    """
    source = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
    return Clock(
        now_ms=lambda: time.clock_gettime_ns(source) // NS_PER_MS,
        wall_ms=lambda: time.time_ns() // NS_PER_MS,
    )


@dataclasses.dataclass(slots=True)
class ManualTime:
    """Time that tests and benchmarks move by hand.

    Attributes:
      at_ms: The current time.
    """

    at_ms: int = 0


def make_manual_clock(manual: ManualTime) -> Clock:
    """Returns a clock whose monotonic and wall time are both manual.at_ms."""
    return Clock(now_ms=lambda: manual.at_ms, wall_ms=lambda: manual.at_ms)


def to_seconds(duration_ms: int) -> float:
    """Converts milliseconds to seconds, the unit that asyncio expects."""
    return duration_ms / MS_PER_S


async def sleep(wait_ms: int) -> None:
    """Suspends the calling task for wait_ms milliseconds."""
    await asyncio.sleep(to_seconds(wait_ms))
