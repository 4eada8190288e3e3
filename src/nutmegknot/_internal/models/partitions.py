"""Partitions, their owners, and assignments of requests to them."""

import dataclasses

from nutmegknot._internal.models import requests


@dataclasses.dataclass(slots=True, frozen=True)
class Ownership:
    """Who may act for a partition.

    Attributes:
      partition: Name, 'ledger-N' or 'fleet-DOMAIN-N'.
      epoch: Rises with every change of owner; fences the earlier ones.
      owner: Instance id, or '' if nobody owns it.
      address: The owner's peer address.
    """

    partition: str
    epoch: int
    owner: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """A request handed by a ledger partition to a fleet partition.

    Attributes:
      req: The request.
      ledger: Ledger partition that keeps the request.
      fleet: Fleet partition that runs it.
      fleet_epoch: Epoch of the fleet partition; a request that is not
        repeatable starts only under this epoch.
      attempt: Attempt number from 0; part of each task id.
      accepted_ms: Wall clock instant of the acceptance in ms.
      cancelled: Whether it must not start, and is to be stopped if it runs.
    """

    req: requests.Request
    ledger: str
    fleet: str
    fleet_epoch: int
    attempt: int
    accepted_ms: int
    cancelled: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """An instance of nutmegknot that holds a lease.

    Attributes:
      id: Instance id, new with each start of the process.
      address: Its peer address.
      region: Its region.
      domain: Its failure domain.
      leaving: Whether it is stopping.
    """

    id: str
    address: str
    region: str
    domain: str
    leaving: bool = False
