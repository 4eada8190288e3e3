"""Questions about which workers may run a stage."""

import dataclasses

from nutmegknot._internal.models import jobs


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Rank:
    """Place of a stage in the order; the lowest goes first.

    Attributes:
      priority: Class of the queue.
      band: 0 where the objective can be met, 1 where it is late, 2 where it is
        past use.
      due_ms: End of the objective, since the Unix epoch in ms.
    """

    priority: int
    band: int
    due_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Question:
    """Workers about which advice is wanted for a stage.

    Attributes:
      rank: How urgent it is.
      job: The job.
      stage: Its stage.
      workers: Ids of the workers.
    """

    rank: Rank
    job: jobs.Job
    stage: jobs.Stage
    workers: list[str]


@dataclasses.dataclass(slots=True)
class Questions:
    """Questions that wait for an adviser.

    Attributes:
      waiting: Newest question of each stage, by the stage's name.
    """

    waiting: dict[str, Question] = dataclasses.field(default_factory=dict)
