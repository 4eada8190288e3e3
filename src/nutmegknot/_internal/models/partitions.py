"""Partitions, their owners, and assignments of requests to them.

A ledger partition stores a part of the requests, and a fleet partition runs
requests on a part of the workers. Each is owned by one instance at a time.
"""

import dataclasses

from nutmegknot._internal.models import requests


@dataclasses.dataclass(slots=True, frozen=True)
class Ownership:
    """Ownership of a partition by an instance.

    Attributes:
      partition: Name of the partition, 'ledger-N' or 'fleet-DOMAIN-N'.
      epoch: Rises with every change of owner. Writes and calls of an earlier
        owner are rejected by their lower epoch.
      owner: Id of the instance that owns it; '' if none does.
      address: Address at which the owner serves other instances.
    """

    partition: str
    epoch: int
    owner: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """A request that a ledger partition has assigned to a fleet partition.

    Attributes:
      req: The request.
      ledger: Name of the ledger partition that stores the request.
      fleet: Name of the fleet partition that runs it.
      fleet_epoch: Epoch of the fleet partition's ownership. A request that
        must not be repeated is only started under this epoch.
      attempt: Number of the attempt to run it, from 0; part of each task id.
      accepted_ms: Wall clock time of the acceptance in ms.
      cancelled: Whether the caller has cancelled it: it must not start, and is
        stopped if it runs.
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
    """An instance of nutmegknot that is a member of the cell.

    An instance is a member as long as it renews its lease.

    Attributes:
      id: Instance id, new with each start of the process.
      address: Address at which it serves other instances.
      region: Name of its region.
      domain: Name of its failure domain.
      leaving: Whether it is stopping.
    """

    id: str
    address: str
    region: str
    domain: str
    leaving: bool = False
