"""Steps of a request, as the journal keeps them."""

import dataclasses

from nutmegknot._internal.models import outcomes
from nutmegknot._internal.models import requests


@dataclasses.dataclass(slots=True, frozen=True)
class Accept:
    """The request was accepted and assigned for the first time."""

    req: requests.Request
    fleet: str
    fleet_epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Assign:
    """The request was assigned anew, as an earlier attempt is over.

    Attributes:
      fleet: Fleet partition of the new attempt.
      fleet_epoch: Its epoch.
      attempt: Number of the new attempt.
      reason: Why the earlier one is over, as in models.reports.Returned, or
        'moved' if it was never begun and its fleet partition changed owner.
      started: Whether the earlier one may have run.
    """

    fleet: str
    fleet_epoch: int
    attempt: int
    reason: str
    started: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """Every member runs; workers are in member order."""

    attempt: int
    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The request has its final outcome."""

    outcome: outcomes.Final


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """The caller wants the request to end."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forget:
    """The outcome is older than the retention time."""


Step = Accept | Assign | Start | End | Cancel | Forget


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """One step of one request.

    Attributes:
      request_key: The request, unique in the cell.
      at_ms: Wall clock instant in ms.
      step: What happened.
    """

    request_key: str
    at_ms: int
    step: Step
