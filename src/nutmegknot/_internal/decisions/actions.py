"""Decisions on requests, as values that the caller carries out."""

import dataclasses

from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Start every member of a request.

    Attributes:
      request_key: Key of the request.
      workers: Ids of the workers, in member order.
      size: Resources allocated to each member; at least the declared size.
    """

    request_key: str
    workers: tuple[str, ...]
    size: resources.Resources = resources.ZERO


@dataclasses.dataclass(slots=True, frozen=True)
class GiveBack:
    """Return a waiting request to the ledger partition that assigned it.

    Attributes:
      request_key: Key of the request.
      reason: 'domain' if it can't run here, as the failure domain is closed or
        no worker is large enough; 'failed' if it failed on too many workers.
      detail: One line of explanation.
    """

    request_key: str
    reason: str
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """Stop a running request, after a checkpoint if it can make one.

    Attributes:
      request_key: Key of the request.
      reason: 'urgent' if an urgent request needs its resources, 'share' if a
        team below its share does, 'limit' if its team exceeds its limit,
        'domain' if the failure domain is closed.
    """

    request_key: str
    reason: str


Decision = Place | GiveBack | Preempt
