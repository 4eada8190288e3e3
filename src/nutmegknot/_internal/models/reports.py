"""What a fleet partition reports of its assignments."""

import dataclasses

from nutmegknot._internal.models import outcomes


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """Every member runs; workers are in member order."""

    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The attempt came to a final outcome."""

    outcome: outcomes.Final


@dataclasses.dataclass(slots=True, frozen=True)
class Returned:
    """The attempt is over: it is not running and will not start.

    Attributes:
      reason: 'cancelled', 'lost', 'stopped', 'failed', 'domain',
        'deadline', 'handover' or 'rejected'.
      detail: One line.
      may_have_run: Whether the payload may have been run under this attempt.
      checkpoint: Name of a checkpoint to go on from, or ''.
    """

    reason: str
    detail: str
    may_have_run: bool
    checkpoint: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """News of one assignment.

    Attributes:
      request_key: The request, unique in the cell.
      attempt: The attempt that the news is of.
      fleet: The fleet partition that reports.
      fleet_epoch: Epoch of the fleet partition.
      news: What happened.
    """

    request_key: str
    attempt: int
    fleet: str
    fleet_epoch: int
    news: Running | Ended | Returned
