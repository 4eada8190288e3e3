"""Operators' settings for jobs, as read from the users' platform.

These are the queues, the customers, the closed failure domains and the planned
maintenance.
"""

import dataclasses

from nutmegknot._internal.models import resources


@dataclasses.dataclass(slots=True, frozen=True)
class JobQueue:
    """A queue to which callers submit jobs over HTTP.

    A job of the queue has an objective: the time within which it should end. It
    is objective_base_ms plus objective_factor times the run time of the job's
    longest chain of steps, as estimated by the caller.

    Attributes:
      name: Its name.
      host: Host name in the URL of its calls.
      prefix: Prefix of the path of its calls.
      pool: Name of the service whose workers run its tasks.
      priority: Priority class; 0 is the most urgent.
      max_failed_runs: Number of failed runs of one task after which its job
        fails.
      objective_factor: Part of the objective that grows with the job's run
        time, as a factor.
      objective_base_ms: Fixed part of the objective.
      is_open: Whether calls need no key.
      needs_tickets: Whether its tasks may only run on workers for which an
        adviser has given a ticket. An adviser is a service that tells which
        workers may run a task.
      advice_base_ms: Fixed part of the expected time of a call to an adviser.
      advice_per_worker_us: Time that each worker asked about adds to it, in
        microseconds.
      timeout_ms: Time limit of a caller's call in ms.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_failed_runs: int = 1
    objective_factor: float = 1.0
    objective_base_ms: int = 0
    is_open: bool = False
    needs_tickets: bool = False
    advice_base_ms: float = 0.0
    advice_per_worker_us: float = 0.0
    timeout_ms: int = 3000


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """A customer.

    Attributes:
      name: Its name.
      keys: Keys with which its calls are authenticated.
      weight: Number of jobs a second for which it is entitled to service; 0 if
        its rate is not limited.
      limit: The most resources that its running tasks may have; a resource of
        which the amount is 0 has no limit.
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 0.0
    limit: resources.Resources = resources.ZERO


@dataclasses.dataclass(slots=True, frozen=True)
class MaintenanceWave:
    """A maintenance wave: machines that are taken down a few at a time.

    Attributes:
      number: Its number.
      machines: Names of the machines.
      duration_ms: Time in which the maintenance of all machines should be done.
      max_down: Maximum number of machines that may be down at one time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_down: int


@dataclasses.dataclass(slots=True, frozen=True)
class JobSettings:
    """All settings of operators for jobs, at one point in time.

    Attributes:
      revision: Revision of queues and customers; it rises with each change.
      queues: Queues by name.
      customers: Customers by name.
      customer_by_key: Name of the customer by key.
      closed_domains: Failure domains in which no task may start.
      waves: Maintenance waves by number.
      max_body_bytes: Maximum length of the body of a caller's call.
    """

    revision: int = 0
    queues: dict[str, JobQueue] = dataclasses.field(default_factory=dict)
    customers: dict[str, Customer] = dataclasses.field(default_factory=dict)
    customer_by_key: dict[str, str] = dataclasses.field(default_factory=dict)
    closed_domains: frozenset[str] = frozenset()
    waves: dict[int, MaintenanceWave] = dataclasses.field(default_factory=dict)
    max_body_bytes: int = 262_144


def find_queue(settings: JobSettings, host: str, path: str) -> JobQueue | None:
    """Returns the queue of a call, or None if no queue matches.

    Of several queues that match, it is the one with the longest prefix.
    """
    best = None
    for queue in settings.queues.values():
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best


def is_within(amount: resources.Resources, limit: resources.Resources) -> bool:
    """Tells whether an amount is within a limit.

    A resource of which the limit is 0 has no limit.
    """
    return (
        (not limit.millicores or amount.millicores <= limit.millicores)
        and (not limit.memory_mib or amount.memory_mib <= limit.memory_mib)
        and (
            not limit.accelerators or amount.accelerators <= limit.accelerators
        )
    )
