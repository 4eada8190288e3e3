"""Requests for advice, with the rank by which they are ordered.

An adviser is a service that tells which workers may run a stage. A stage is one
step of one occurrence of a job.
"""

import dataclasses

from nutmegknot._internal.models import jobs


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Rank:
    """Rank of a waiting stage; the stage with the lowest rank goes first.

    Ranks are compared by their first field, then by the second and the third. A
    job's objective is the time within which it should end by the settings of
    its queue.

    Attributes:
      priority: Priority class of the queue; 0 is the most urgent.
      urgency_band: 0 if the job can still meet its objective; higher the less
        its result will be worth (see decisions/stage_ranking.py).
      due_ms: When the objective ends, in ms since the Unix epoch.
    """

    priority: int
    urgency_band: int
    due_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class AdviceRequest:
    """A request for advice: which of some workers may run a stage.

    Attributes:
      rank: Rank of the stage; the request with the lowest is sent first.
      job: The job of the stage.
      stage: The stage.
      workers: Ids of the workers.
    """

    rank: Rank
    job: jobs.Job
    stage: jobs.Stage
    workers: list[str]


@dataclasses.dataclass(slots=True)
class AdviceQueue:
    """Requests that wait for an adviser.

    Attributes:
      waiting: Newest request of each stage, by the stage's name; the oldest
        comes first.
      queued_ms: When each of them was queued, by the stage's name.
      was_oldest_chosen: Whether the last request was chosen by its age.
      idle_advisers: Number of advisers that wait for a request.
    """

    waiting: dict[str, AdviceRequest] = dataclasses.field(default_factory=dict)
    queued_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    was_oldest_chosen: bool = False
    idle_advisers: int = 0
