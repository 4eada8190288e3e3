"""Made-up fleets and requests of the size that the design is for."""

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
RUNNING = 21_000
STARTS_PER_S = 270
MEAN_RUN_MS = 60_000
UNLIMITED = resources.Resources(10**9, 10**9, 10**9, 10**9)

# Seven of 25 workers have accelerators, as in today's deployments. With 32
# slots a worker can hold its part of the 21,000 tasks.
PLAIN_WORKER = resources.Resources(64_000, 256 * 1024, 0, 32)
CARD_WORKER = resources.Resources(32_000, 64 * 1024, 8, 32)

# Processors in thousandths of a core, memory in GiB.
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
CARD_SIZES = ((2_000, 4, 1), (4_000, 8, 1), (8_000, 16, 2), (16_000, 32, 4))


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
    shapes: tuple[resources.Resources, resources.Resources] = (
        PLAIN_WORKER,
        CARD_WORKER,
    ),
) -> list[scheduling.Scheduler]:
    """Returns one scheduler for each domain, with the workers dealt out."""
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
        place, domain = divmod(number, domains)
        capacity = shapes[1] if number % 25 >= 18 else shapes[0]
        sched = scheds[domain]
        worker = workers.Worker(
            f'w{number}', 'region', sched.domain, f'r{place // 5}', capacity
        )
        scheduling.add_worker(sched, worker)
    return scheds


@dataclasses.dataclass(slots=True)
class Source:
    """Source of made-up requests.

    Attributes:
      rng: Seeded source of random numbers.
      teams: Number of teams.
      count: Requests made.
      mean_run_ms: Mean run time in ms.
      urgent: Part of the requests that are urgent.
      cards: Part of the requests that need accelerators.
      large: Part of the requests that need most of a worker.
      gangs: Part of the requests that are all-at-once jobs.
    """

    rng: random.Random
    teams: int = TEAMS
    count: int = 0
    mean_run_ms: int = MEAN_RUN_MS
    urgent: float = 0.05
    cards: float = 0.055
    large: float = 0.002
    gangs: float = 0.003


def draw_run(source: Source) -> int:
    """Returns a run time in ms; few are much longer than the mean."""
    drawn = source.rng.lognormvariate(0.0, 0.6) / 1.197
    return max(500, int(source.mean_run_ms * drawn))


def make_batch(source: Source, run_ms: int) -> requests.Request:
    """Returns a request whose declared run time is off by a random factor."""
    rng = source.rng
    source.count += 1
    members = 1
    drawn = rng.random()
    if drawn < source.gangs:
        size = make_size(2_000, 8)
        members = rng.choice((4, 8, 16, 32))
    elif drawn < source.gangs + source.large:
        size = make_size(48_000, 128)
    elif drawn < source.gangs + source.large + source.cards:
        size = make_size(*rng.choice(CARD_SIZES))
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


def make_replica(source: Source) -> requests.Request:
    """Returns a replica of one of the services; each has five."""
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
