"""The configuration of a cell, as set by its operators.

A cell is one deployment: the instances of nutmegknot and the workers on which
they run tasks. A configuration has one revision. It is never modified, only
replaced as a whole by one with a higher revision.
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
      share: Weight of the team's share of the workers when all of them are
        full; above 0.
      limit: The most resources that the team's running tasks may hold on all
        workers together.
    """

    name: str
    share: float
    limit: resources.Resources


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """A key with which the calls of a team are authenticated.

    Attributes:
      id: Public part of the key, which identifies it.
      team: Name of the team.
      digest: Hash of the secret part.
      withdrawn: Whether the key has been withdrawn and is no longer accepted.
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
      open_team: Team for which the requests count if the queue is open to
        callers without a key; '' if it is not open.
      max_waiting: Maximum number of requests of one team that may wait in it.
      priority: Most urgent priority class that the queue admits.
    """

    name: str
    open_team: str = ''
    max_waiting: int = 10_000
    priority: requests.PriorityClass = requests.PriorityClass.URGENT


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A long-running service, of which a number of replicas is kept running.

    Attributes:
      name: Unique name.
      team: Name of the team that its replicas count for.
      size: Resources of each replica.
      replicas: Number of replicas to keep running.
      payload: What each replica runs, passed on to workers unread.
    """

    name: str
    team: str
    size: resources.Resources
    replicas: int
    payload: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """A failure domain of the cell.

    Attributes:
      name: Unique name.
      region: Name of the region in which it is.
      state: Whether tasks may start in it.
    """

    name: str
    region: str
    state: workers.DomainState = workers.DomainState.OPEN


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorKey:
    """A key with which the calls of an operator are authenticated.

    Attributes:
      id: Public part of the key, which identifies it.
      operator: Name of the operator.
      digest: Hash of the secret part.
      withdrawn: Whether the key has been withdrawn and is no longer accepted.
    """

    id: str
    operator: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """The whole configuration of a cell at one revision.

    Attributes:
      revision: Rises by one with each accepted change; 0 before the first.
      teams: Teams by name.
      keys: Keys of teams by id.
      queues: Queues by name.
      services: Services by name.
      domains: Failure domains by name.
      operators: Keys of operators by id.
    """

    revision: int = 0
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    domains: dict[str, Domain] = dataclasses.field(default_factory=dict)
    operators: dict[str, OperatorKey] = dataclasses.field(default_factory=dict)
