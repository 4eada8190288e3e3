"""Events in the life of a request, as the journal stores them.

The journal of a ledger partition is the durable log of the requests in it.
"""

import dataclasses

from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests


@dataclasses.dataclass(slots=True, frozen=True)
class Accept:
    """The request was accepted and assigned for the first time.

    Attributes:
      req: The request.
      fleet: Name of the fleet partition that is to run it.
      fleet_epoch: Epoch of that partition's ownership.
    """

    req: requests.Request
    fleet: str
    fleet_epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Assign:
    """The request was assigned again, as the previous attempt is over.

    Attributes:
      fleet: Name of the fleet partition of the new attempt.
      fleet_epoch: Epoch of that partition's ownership.
      attempt: Number of the new attempt, from 0.
      reason: Why the previous attempt is over: 'cancelled', 'lost', 'stopped',
        'failed', 'domain', 'deadline', 'handover' or 'rejected', as in
        models.reports.Returned, or 'moved' if it had not begun when its fleet
        partition changed owner.
      started: Whether the previous attempt may have run.
    """

    fleet: str
    fleet_epoch: int
    attempt: int
    reason: str
    started: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """All tasks of the request run.

    Attributes:
      attempt: Number of the attempt, from 0.
      workers: Ids of the workers, in the order of the tasks' numbers.
    """

    attempt: int
    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The request has its final outcome.

    Attributes:
      outcome: The outcome.
    """

    outcome: outcomes.FinalOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """The caller has cancelled the request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forget:
    """The request is deleted, as its retention time after the end is over."""


RequestEvent = Accept | Assign | Start | End | Cancel | Forget


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """An event of one request.

    Attributes:
      request_key: Identifier of the request, unique in the cell.
      at_ms: Wall clock time of the event in ms.
      event: What happened.
    """

    request_key: str
    at_ms: int
    event: RequestEvent
