"""Parameters of the decisions on the order and placement of requests."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """Parameters of the decisions, the same for a whole cell.

    Attributes:
      ageing_ms: Wait in ms after which a request counts as aged.
      aged_turn: Interval, in placements, at which an aged request of a lower
        priority class goes first.
      reserve_after_ms: Wait in ms after which a large request that does not
        fit gets a reservation.
      reservations: Largest number of reservations in a partition at a time.
      candidates: Number of workers compared for each placement.
      min_run_ms: Run time in ms before which a task is not preempted.
      urgent_after_ms: Wait in ms after which other tasks are preempted for an
        urgent request.
      share_after_ms: Wait in ms after which tasks of other teams are preempted
        for a team below its share.
      share_margin: Difference between a team's usage and its share up to which
        nothing is preempted, as a part of the fleet.
      preempt_batch: Largest part of the fleet that is preempted for shares in
        one second.
      drain_ms: Time in ms over which the running work of a closed failure
        domain is moved to others.
      finish_ms: Time in ms after the closing of a failure domain; work that is
        expected to end within it is not moved.
      ramp_ms: Time in ms over which a reopened failure domain fills up.
      task_failures: Number of different workers on which a request fails until
        it is given back as failed.
      probation_score: Failure score from which a worker is on probation. Each
        request that fails on the worker adds 1 to the score, which decays.
      failure_half_life_ms: Half-life in ms of a worker's failure score.
      too_large_ms: Wait in ms after which a request that is too large for the
        partition is given back.
      accelerator_headroom: Part of a free accelerator's proportional share of
        the worker's processors and memory that is kept free of tasks that use
        no accelerator.
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
    failure_half_life_ms: int = 60_000
    too_large_ms: int = 10_000
    accelerator_headroom: float = 0.5
