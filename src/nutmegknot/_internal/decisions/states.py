"""State of the decisions of one fleet partition."""

import dataclasses
import random

from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import indexes
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """What a task takes of a worker.

    Attributes:
      worker_id: The worker.
      team: Team that it counts for.
      size: Resources set aside.
    """

    worker_id: str
    team: str
    size: resources.Resources


@dataclasses.dataclass(slots=True)
class Run:
    """A request of which members run or may run.

    Attributes:
      given: Its assignment.
      started_ms: Wall clock instant in ms at which it was placed.
      run_ms: Upper bound of the run time expected, in ms; 0 if unknown.
      members: Tasks that have not ended.
      size: What each member holds.
      stopping: Why it is being stopped, or ''.
      ran_ms: How long it had run when its lost work was last computed, in ms.
    """

    given: partitions.Assignment
    started_ms: int
    run_ms: int
    members: set[workers.TaskId]
    size: resources.Resources
    stopping: str = ''
    ran_ms: int = 0


@dataclasses.dataclass(slots=True)
class Reservation:
    """Room that is kept for a waiting request.

    Attributes:
      start_ms: Instant in ms at which there is expected to be room.
      rooms: What is kept, by worker.
      spare: What each worker is expected to have besides at that instant.
    """

    start_ms: int
    rooms: dict[str, resources.Resources]
    spare: dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Scheduler:
    """State of the decisions of one fleet partition.

    Attributes:
      domain: Its failure domain.
      configuration: The configuration in force.
      machines: Workers that may be given work, by id.
      free: What each worker has left, those that get no work included.
      held: What each task takes, by task.
      waiting: Waiting assignments by request key.
      grants: The most that each team may hold in this partition, by team; a
        team that is not named may hold nothing, unless grants is None.
      fleet_usage: What each team holds in the whole fleet, by team.
      fleet_capacity: What the whole fleet has.
      policy: Parameters of the decisions.
      index: Workers that may be given work, by what they have left for work
        without accelerators.
      accelerator_index: Those with accelerators, by what they have left.
      sparing: Whether room beside free accelerators is kept.
      queue: Waiting requests, by class, team and shape.
      running: Requests of which members run or may run, by key.
      tasks: Tasks that each worker holds, by worker.
      usage: What each team holds here, by team.
      usage_base: What each team held here when fleet_usage was set.
      capacity: What the workers that may be given work have together.
      used: What all tasks hold together.
      distances: Distance from share of the teams for which it is known.
      replicas: Replicas of each service on each worker, by service.
      turns: Placements made.
      learned: What is known of the tasks of each queue.
      failures: Failures of workers and requests.
      reservations: Reservations by request key.
      earmarks: Key of the request that each reserved worker is kept for.
      largest: The largest amount of each resource that a worker has.
      rng: Source of random numbers.
      closed_ms: Instant in ms at which the domain was closed; 0 if it is open.
      opened_ms: Instant in ms at which the domain was reopened; 0 once it has
        filled up.
      to_drain: Requests that ran when the domain was closed.
      drained: Of these, those that were stopped.
      urgent_ms: Instant in ms of the last preemption for urgent requests.
      shared_ms: Instant in ms of the last preemption for shares.
      at_ms: Instant in ms of the last decision.
      checked_ms: Instant in ms of the last work that is done once a second.
    """

    domain: str
    configuration: cells.Configuration
    machines: dict[str, workers.Worker] = dataclasses.field(
        default_factory=dict
    )
    free: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    held: dict[workers.TaskId, Held] = dataclasses.field(default_factory=dict)
    waiting: dict[str, partitions.Assignment] = dataclasses.field(
        default_factory=dict
    )
    grants: dict[str, resources.Resources] | None = None
    fleet_usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    fleet_capacity: resources.Resources = resources.NOTHING
    policy: policies.Policy = dataclasses.field(default_factory=policies.Policy)
    index: indexes.Index = dataclasses.field(default_factory=indexes.Index)
    accelerator_index: indexes.Index = dataclasses.field(
        default_factory=indexes.Index
    )
    sparing: bool = False
    queue: queues.Queue = dataclasses.field(default_factory=queues.Queue)
    running: dict[str, Run] = dataclasses.field(default_factory=dict)
    tasks: dict[str, dict[workers.TaskId, Held]] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    usage_base: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    capacity: resources.Resources = resources.NOTHING
    used: resources.Resources = resources.NOTHING
    distances: dict[str, float] = dataclasses.field(default_factory=dict)
    replicas: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    turns: int = 0
    learned: dict[str, estimates.Estimate] = dataclasses.field(
        default_factory=dict
    )
    failures: probation.Record = dataclasses.field(
        default_factory=probation.Record
    )
    reservations: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    earmarks: dict[str, str] = dataclasses.field(default_factory=dict)
    largest: resources.Resources = resources.NOTHING
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    closed_ms: int = 0
    opened_ms: int = 0
    to_drain: int = 0
    drained: int = 0
    urgent_ms: int = 0
    shared_ms: int = 0
    at_ms: int = 0
    checked_ms: int = 0
