"""The cell's configuration as operators set it.

A configuration is a whole with one revision. It is replaced, never changed
in place, and only by one of a higher revision.
"""

import dataclasses

from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Team:
    """A team that submits work.

    Attributes:
      name: Unique name.
      share: Weight of the team when the fleet is full; above 0.
      limit: The most the team may have running in the whole fleet.
    """

    name: str
    share: float
    limit: resources.Resources


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """A team's key, stored as a hash.

    Attributes:
      id: Public part, by which it is named and looked up.
      team: Team it stands for.
      digest: Hash of the secret part.
      withdrawn: Whether it has been withdrawn.
    """

    id: str
    team: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Queue:
    """A queue that work is submitted to.

    Attributes:
      name: Unique name.
      open_team: If not '', the queue is open to all, and its work counts for
        this team.
      max_waiting: The most requests of one team that may wait in it.
      priority: Highest class that the queue admits.
    """

    name: str
    open_team: str = ''
    max_waiting: int = 10_000
    priority: requests.PriorityClass = requests.PriorityClass.URGENT


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A long-running service whose replicas are kept up.

    Attributes:
      name: Unique name.
      team: Team it counts for.
      size: Resources of a replica.
      replicas: Replicas to keep running.
      payload: What a replica runs.
    """

    name: str
    team: str
    size: resources.Resources
    replicas: int
    payload: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """A failure domain and whether tasks may start in it."""

    name: str
    region: str
    state: workers.DomainState = workers.DomainState.OPEN


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorKey:
    """An operator's key, stored as a hash.

    Attributes:
      id: Public part, by which it is named and looked up.
      operator: Who holds it.
      digest: Hash of the secret part.
      withdrawn: Whether it has been withdrawn.
    """

    id: str
    operator: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """Everything that operators declare, at one revision.

    Attributes:
      revision: Rises by one with each accepted change; 0 before the first.
      teams: By name.
      keys: By id.
      queues: By name.
      services: By name.
      domains: By name.
      operators: Keys of operators by id.
    """

    revision: int = 0
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    domains: dict[str, Domain] = dataclasses.field(default_factory=dict)
    operators: dict[str, OperatorKey] = dataclasses.field(default_factory=dict)
