"""Decisions as values, for the caller to carry out."""

import dataclasses

from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Start every member of a request; workers are in member order.

    Attributes:
      request_key: The request.
      workers: Worker of each member.
      size: What was set aside for each member; at least the declared size.
    """

    request_key: str
    workers: tuple[str, ...]
    size: resources.Resources = resources.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class GiveBack:
    """Give a waiting request back to its ledger partition.

    Attributes:
      request_key: The request.
      reason: 'rejected' if it fits no worker, 'domain' if the failure domain
        is closed, 'failed' if it failed too often.
      detail: One line for the caller.
    """

    request_key: str
    reason: str
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """Stop a running request, with a checkpoint where it can.

    Attributes:
      request_key: The request.
      reason: 'urgent', 'share', 'limit' or 'domain'.
    """

    request_key: str
    reason: str


Decision = Place | GiveBack | Preempt
