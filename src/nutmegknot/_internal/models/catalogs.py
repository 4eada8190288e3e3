"""What operators have set for jobs: queues, customers, closed domains."""

import dataclasses

from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Queue:
    """Where jobs of one kind are handed in.

    Attributes:
      name: Its name.
      host: Host name that callers use.
      prefix: Beginning of the path of its calls.
      pool: Service whose workers run its tasks.
      priority: Its class; 0 goes first.
      attempts: Failed runs of a task after which its job has failed.
      stretch: Part of the objective that grows with a job's own work.
      target_ms: Part of the objective that does not, in ms.
      is_open: Whether calls need no key.
      needs_tickets: Whether only advised workers may run its steps.
      advice_ms: Time of a call for advice, without the workers, in ms.
      advice_worker_us: Time that each worker adds to it, in microseconds.
      answer_ms: Time limit of a call in ms.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    is_open: bool = False
    needs_tickets: bool = False
    advice_ms: float = 0.0
    advice_worker_us: float = 0.0
    answer_ms: int = 3000


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """A customer.

    Attributes:
      name: Its name.
      keys: Keys that its calls may carry.
      weight: Its part of the fleet when all is full.
      limit: What it may have running; 0 in a part for no limit.
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    limit: resources.Resources = resources.NOTHING


@dataclasses.dataclass(slots=True, frozen=True)
class Wave:
    """A wave of maintenance.

    Attributes:
      number: Its number.
      machines: Machines that are to be maintained.
      duration_ms: Time in which all should be, in ms.
      most: The most machines that may be down at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    most: int


@dataclasses.dataclass(slots=True, frozen=True)
class Catalog:
    """One whole version of what operators have set.

    Attributes:
      revision: Version of queues and customers; a later one is larger.
      queues: Queues by name.
      customers: Customers by name.
      customer_by_key: Name of the customer by key.
      closed_domains: Failure domains in which nothing is to start.
      waves: Waves of maintenance by number.
      body_bytes: Longest body of a call.
    """

    revision: int = 0
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    customers: dict[str, Customer] = dataclasses.field(default_factory=dict)
    customer_by_key: dict[str, str] = dataclasses.field(default_factory=dict)
    closed_domains: frozenset[str] = frozenset()
    waves: dict[int, Wave] = dataclasses.field(default_factory=dict)
    body_bytes: int = 262_144


def find_queue(catalog: Catalog, host: str, path: str) -> Queue | None:
    """Returns the queue of a call: the longest prefix of the path wins."""
    best = None
    for queue in catalog.queues.values():
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best


def is_within(amount: resources.Resources, limit: resources.Resources) -> bool:
    """Tells whether an amount keeps a limit; parts of 0 have none."""
    return (
        (not limit.millicores or amount.millicores <= limit.millicores)
        and (not limit.memory_mib or amount.memory_mib <= limit.memory_mib)
        and (
            not limit.accelerators or amount.accelerators <= limit.accelerators
        )
    )
