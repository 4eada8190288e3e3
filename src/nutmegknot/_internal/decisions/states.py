"""State of the scheduler of one fleet partition."""

import dataclasses
import random

from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import policies
from nutmegknot._internal.decisions import probation
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import worker_indexes
from nutmegknot._internal.models import cells
from nutmegknot._internal.models import partitions
from nutmegknot._internal.models import resources
from nutmegknot._internal.models import workers


@dataclasses.dataclass(slots=True, frozen=True)
class Allocation:
    """Resources of a worker that are set aside for one task.

    Attributes:
      worker_id: The worker.
      team: Team whose usage they count towards.
      size: The resources.
    """

    worker_id: str
    team: str
    size: resources.Resources


@dataclasses.dataclass(slots=True)
class RunningRequest:
    """A placed request with members that have not ended.

    Attributes:
      assignment: Its assignment.
      started_ms: Wall-clock time in ms at which it was placed.
      run_ms: Upper estimate of the run time in ms; 0 if unknown.
      members: Tasks that have not ended.
      size: Resources allocated to each member.
      stop_reason: Reason for which it is being stopped, or ''.
      ran_ms: Time in ms that it had run for when it was last considered for
        preemption.
    """

    assignment: partitions.Assignment
    started_ms: int
    run_ms: int
    members: set[workers.TaskId]
    size: resources.Resources
    stop_reason: str = ''
    ran_ms: int = 0


@dataclasses.dataclass(slots=True)
class Reservation:
    """Resources of workers that are kept for a waiting request.

    Attributes:
      start_ms: Wall-clock time in ms at which the reserved resources are
        expected to be free.
      reserved: Resources that are kept, by worker.
      spare: Resources that are expected to be free at that time in addition to
        the reserved ones, by worker.
    """

    start_ms: int
    reserved: dict[str, resources.Resources]
    spare: dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Scheduler:
    """State of the scheduler of one fleet partition.

    All times are wall-clock times in ms.

    Attributes:
      domain: Failure domain of the partition.
      configuration: The configuration in force.
      schedulable_workers: Workers that may be given tasks, by worker id.
      free: Free resources by worker id, also of workers that are given no
        further tasks.
      allocations: Resources that are allocated to each task.
      waiting: Waiting assignments by request key.
      grants: The most resources that each team may hold in this partition. A
        team without an entry may hold none; if grants is None, there are no
        limits.
      fleet_usage: Resources that each team holds in the whole fleet.
      fleet_capacity: Resources of the whole fleet.
      policy: Parameters of the scheduler.
      index: Index of the workers that may be given tasks, by the resources
        that are free for tasks without accelerators.
      accelerator_index: Index of those of them that have accelerators, by
        their free resources.
      keeps_accelerator_headroom: Whether headroom is kept for tasks with
        accelerators. Tasks without accelerators then leave part of the
        processors and memory free beside each free accelerator.
      queue: Waiting requests by priority class, team and shape.
      running: Placed requests with members that have not ended, by request
        key.
      tasks: Allocations of each worker by task.
      usage: Resources that each team holds in this partition.
      usage_base: The value of usage at the time when fleet_usage was set.
      capacity: Total resources of the workers that may be given tasks.
      used: Total resources that are allocated to tasks.
      weighted_shares: Cache of each team's dominant share divided by its
        weight. The share is a fraction of the whole fleet. The team with the
        lowest value goes first.
      replicas: Number of replicas of each service on each worker.
      placement_count: Number of placements made.
      queue_estimates: Estimates of run time and memory, by queue.
      failures: Recent failures by worker and by request.
      reservations: Reservations by request key.
      reserved_workers: Request key of the reservation, by reserved worker.
      largest_capacity: For each resource, the largest amount that any worker
        has had.
      rng: Source of random numbers.
      closed_ms: Time at which the failure domain was closed; 0 if it is open.
      opened_ms: Time at which the failure domain was reopened; 0 once the
        gradual increase of its load is over.
      drain_total: Number of requests that ran when the domain was closed.
      drain_stopped: Number of requests stopped since then to drain the domain.
      urgent_checked_ms: Time of the last check for preemption in favour of
        urgent requests.
      share_checked_ms: Time of the last check for preemption in favour of
        teams below their share.
      decided_ms: Time of the last decision.
      maintained_ms: Time of the last run of the periodic work.
    """

    domain: str
    configuration: cells.Configuration
    schedulable_workers: dict[str, workers.Worker] = dataclasses.field(
        default_factory=dict
    )
    free: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    allocations: dict[workers.TaskId, Allocation] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[str, partitions.Assignment] = dataclasses.field(
        default_factory=dict
    )
    grants: dict[str, resources.Resources] | None = None
    fleet_usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    fleet_capacity: resources.Resources = resources.ZERO
    policy: policies.Policy = dataclasses.field(default_factory=policies.Policy)
    index: worker_indexes.WorkerIndex = dataclasses.field(
        default_factory=worker_indexes.WorkerIndex
    )
    accelerator_index: worker_indexes.WorkerIndex = dataclasses.field(
        default_factory=worker_indexes.WorkerIndex
    )
    keeps_accelerator_headroom: bool = False
    queue: queues.Queue = dataclasses.field(default_factory=queues.Queue)
    running: dict[str, RunningRequest] = dataclasses.field(default_factory=dict)
    tasks: dict[str, dict[workers.TaskId, Allocation]] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    usage_base: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    capacity: resources.Resources = resources.ZERO
    used: resources.Resources = resources.ZERO
    weighted_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    replicas: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    placement_count: int = 0
    queue_estimates: dict[str, estimates.Estimate] = dataclasses.field(
        default_factory=dict
    )
    failures: probation.FailureHistory = dataclasses.field(
        default_factory=probation.FailureHistory
    )
    reservations: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    reserved_workers: dict[str, str] = dataclasses.field(default_factory=dict)
    largest_capacity: resources.Resources = resources.ZERO
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    closed_ms: int = 0
    opened_ms: int = 0
    drain_total: int = 0
    drain_stopped: int = 0
    urgent_checked_ms: int = 0
    share_checked_ms: int = 0
    decided_ms: int = 0
    maintained_ms: int = 0
