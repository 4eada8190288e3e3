"""Synthetic fleets and requests of the size that the system is designed for."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import scheduling
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import requests
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers

DOMAINS = 5
WORKERS = 940
TEAMS = 44
RUNNING_TASKS = 21_000
STARTS_PER_S = 270
MEAN_RUN_MS = 60_000
UNLIMITED = resources.Resources(10**9, 10**9, 10**9, 10**9)

# Capacity of a worker without accelerators. Its 32 slots suffice for its part
# of the 21,000 running tasks.
PLAIN_WORKER = resources.Resources(64_000, 256 * 1024, 0, 32)
# Capacity of a worker with accelerators; seven of 25 workers are such, as in
# present deployments.
ACCELERATOR_WORKER = resources.Resources(32_000, 64 * 1024, 8, 32)

# Processors in thousandths of a core and memory in GiB.
BATCH_SIZES = (
    (1_000, 2),
    (1_000, 4),
    (1_000, 8),
    (2_000, 4),
    (2_000, 8),
    (2_000, 12),
    (4_000, 8),
    (4_000, 24),
)
# Processors in thousandths of a core, memory in GiB, number of accelerators.
ACCELERATOR_SIZES = (
    (2_000, 4, 1),
    (4_000, 8, 1),
    (8_000, 16, 2),
    (16_000, 32, 4),
)


def make_size(
    millicores: int, gib: int, accelerators: int = 0
) -> resources.Resources:
    """Returns the size of a task that takes one slot."""
    return resources.Resources(millicores, gib * 1024, accelerators, 1)


def make_configuration(
    domains: int, weights: Sequence[float]
) -> cells.Configuration:
    """Returns a configuration with open domains and unlimited teams."""
    return cells.Configuration(
        teams={
            f't{number}': cells.Team(f't{number}', weight, UNLIMITED)
            for number, weight in enumerate(weights)
        },
        domains={
            f'd{number}': cells.Domain(f'd{number}', 'region')
            for number in range(domains)
        },
    )


def make_schedulers(
    domains: int,
    count: int,
    configuration: cells.Configuration,
    policy: policies.Policy,
    worker_capacities: tuple[resources.Resources, resources.Resources] = (
        PLAIN_WORKER,
        ACCELERATOR_WORKER,
    ),
) -> list[scheduling.Scheduler]:
    """Returns a scheduler for each domain; workers are spread evenly."""
    scheds = [
        scheduling.Scheduler(
            f'd{number}',
            configuration,
            policy=policy,
            rng=random.Random(number),
        )
        for number in range(domains)
    ]
    for number in range(count):
        position, domain = divmod(number, domains)
        capacity = (
            worker_capacities[1] if number % 25 >= 18 else worker_capacities[0]
        )
        sched = scheds[domain]
        worker = workers.Worker(
            f'w{number}', 'region', sched.domain, f'r{position // 5}', capacity
        )
        scheduling.add_worker(sched, worker)
    return scheds


@dataclasses.dataclass(slots=True)
class RequestSource:
    """Generator of synthetic requests.

    Attributes:
      rng: Seeded source of random numbers.
      teams: Number of teams.
      count: Number of requests generated.
      mean_run_ms: Mean run time in ms.
      urgent: Fraction of the requests that are urgent.
      accelerators: Fraction of the requests that need accelerators.
      large: Fraction of the requests that need most of a worker.
      gangs: Fraction of the requests whose tasks must all start together.
    """

    rng: random.Random
    teams: int = TEAMS
    count: int = 0
    mean_run_ms: int = MEAN_RUN_MS
    urgent: float = 0.05
    accelerators: float = 0.055
    large: float = 0.002
    gangs: float = 0.003


def draw_run_ms(source: RequestSource) -> int:
    """Returns a random run time in ms, rarely much above the mean."""
    # The mean of this log-normal distribution is 1.197.
    drawn = source.rng.lognormvariate(0.0, 0.6) / 1.197
    return max(500, int(source.mean_run_ms * drawn))


def make_batch(source: RequestSource, run_ms: int) -> requests.Request:
    """Returns a batch request.

    Its declared run time differs from run_ms by a random factor.
    """
    rng = source.rng
    source.count += 1
    members = 1
    drawn = rng.random()
    if drawn < source.gangs:
        size = make_size(2_000, 8)
        members = rng.choice((4, 8, 16, 32))
    elif drawn < source.gangs + source.large:
        size = make_size(48_000, 128)
    elif drawn < source.gangs + source.large + source.accelerators:
        size = make_size(*rng.choice(ACCELERATOR_SIZES))
    else:
        size = make_size(*rng.choice(BATCH_SIZES))
    is_urgent = members == 1 and rng.random() < source.urgent
    classes = requests.PriorityClass
    return requests.Request(
        id=str(source.count),
        team=f't{rng.randrange(source.teams)}',
        queue=f'q{source.count % 8}',
        size=size,
        members=members,
        priority=classes.URGENT if is_urgent else classes.NORMAL,
        run_ms=max(1, int(run_ms * rng.lognormvariate(0.0, 0.4))),
    )


def make_replica(source: RequestSource) -> requests.Request:
    """Returns a service replica; each service has five."""
    source.count += 1
    number = source.count // 5
    return requests.Request(
        id=f's{source.count}',
        team=f't{number % source.teams}',
        queue='services',
        size=make_size(
            *source.rng.choice(((1_000, 2), (1_000, 4), (2_000, 8)))
        ),
        service=f'service{number}',
    )


MakeRequest = Callable[[int], requests.Request]
