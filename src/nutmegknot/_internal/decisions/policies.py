"""Parameters of the decisions."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """Parameters of the decisions, the same for a whole cell.

    Attributes:
      ageing_ms: Wait after which a request also takes part in the turns for
        aged requests, in ms.
      aged_turn: Every how many placements an aged request goes first.
      reserve_after_ms: Wait after which a request that does not fit takes a
        reservation, in ms.
      reservations: The most reservations of a partition at a time.
      candidates: Workers compared for each placement.
      min_run_ms: Run time before which a task is not preempted, in ms.
      urgent_after_ms: Wait after which an urgent request preempts, in ms.
      share_after_ms: Wait after which a team below its share preempts, in ms.
      share_margin: Distance from the share that preemption leaves alone, as
        a part of the fleet.
      preempt_batch: The most requests preempted for shares in a second, as a
        part of the running ones.
      drain_ms: Time over which the work of a closed domain is moved, in ms.
      finish_ms: Time after the closing within which work that is expected to
        end is left to end, in ms.
      ramp_ms: Time over which a reopened domain fills up, in ms.
      task_failures: Different workers on which a request may fail.
      probation_score: Failure score at which a worker goes on probation.
      probation_ms: Half-life of a worker's failure score, in ms.
      too_large_ms: Wait after which a request that is too large for every
        worker of the partition is given back, in ms.
      accelerator_headroom: Part of the processors and memory that belong to a
        free accelerator by proportion which other work leaves free.
    """

    ageing_ms: int = 60_000
    aged_turn: int = 8
    reserve_after_ms: int = 3_000
    reservations: int = 32
    candidates: int = 16
    min_run_ms: int = 2_000
    urgent_after_ms: int = 300
    share_after_ms: int = 3_000
    share_margin: float = 0.008
    preempt_batch: float = 0.007
    drain_ms: int = 10_000
    finish_ms: int = 45_000
    ramp_ms: int = 10_000
    task_failures: int = 3
    probation_score: float = 3.0
    probation_ms: int = 60_000
    too_large_ms: int = 10_000
    accelerator_headroom: float = 0.5
