"""Divides long computations, so that other tasks of the event loop can run."""

import asyncio
import dataclasses

# Units of work after which other tasks run.
MAX_SLICE_UNITS = 500


@dataclasses.dataclass(slots=True)
class WorkSlice:
    """The part of a computation since other tasks have last run.

    Attributes:
      units: Units of work done in it.
    """

    units: int = 0


async def record_work(work: WorkSlice, units: int) -> None:
    """Records work that is done; lets other tasks run if it is time to.

    Args:
      work: The present slice.
      units: Units of work done since the last call.
    """
    work.units += units
    if work.units >= MAX_SLICE_UNITS:
        work.units = 0
        await asyncio.sleep(0)
