"""Jobs of steps, the runs of their tasks, and how far they have come."""

import dataclasses
import enum

from nutmegknot._internal.models import resources


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Phase(enum.Enum):
    """What is known of a task's present run."""

    # No run is under way.
    WAITING = 'waiting'
    # A start was decided on; whether the worker took it is not settled.
    STARTING = 'starting'
    RUNNING = 'running'
    # A stop was ordered, or the run is not wanted any more.
    STOPPING = 'stopping'
    DONE = 'done'


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # Its lease ran out.
    LAPSED = 'lapsed'
    # Another member of its all-at-once step ended.
    BROKEN = 'broken'
    # The other members did not come in time.
    ALONE = 'alone'
    # It is gone, and nothing tells how.
    LOST = 'lost'


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """What one step of a job asks for.

    Attributes:
      count: Number of tasks.
      size: What each task takes.
      estimate_ms: The caller's estimate of a task's run time in ms.
      after: Numbers of the steps that must be done first.
      saves_progress: Whether its tasks make checkpoints.
      all_at_once: Whether the tasks work only together.
      one_rack: Whether they are slower on several racks.
      label: Label that the worker must have, or ''.
      data_rack: Rack on which they are faster, or ''.
      per_worker: The most tasks on one worker; 0 for any number.
      speculative: Whether copies may run beside each other.
      lasting: Whether the tasks run until the job is cancelled.
      image: Name of what its tasks run.
      tail_target_ms: Bound on the tail of the response times of its users in
        ms; 0 if it serves none.
      fills: Whether it takes processors that others leave unused.
      may_miss: How many lasting tasks may be away through our own doing.
    """

    count: int
    size: resources.Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    all_at_once: bool = False
    one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class TaskName:
    """Names one task of a job.

    Attributes:
      job: Id of the job.
      occurrence: Number of the occurrence, from 0.
      step: Number of the step, from 0.
      index: Number of the task, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(slots=True)
class Task:
    """One task and its present run.

    Attributes:
      index: Number within its step.
      phase: What is known of its run.
      run: Number of its newest run; 0 if none is known.
      worker: Worker of that run, '' while waiting.
      failed_runs: Numbers of the runs that ended as failed.
      checkpoint: Where a next run goes on; '' for the beginning.
      settled_ms: When the phase was last confirmed by the worker.
      began_ms: When the present run was decided on.
      pace: Percent of its work that it may do.
      waiting_since_ms: Since when it has had no run.
      shunned: Workers on which a run of it failed or was stuck.
    """

    index: int
    phase: Phase = Phase.WAITING
    run: int = 0
    worker: str = ''
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    checkpoint: str = ''
    settled_ms: int = 0
    began_ms: int = 0
    pace: int = 100
    waiting_since_ms: int = 0
    shunned: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Ticket:
    """Leave to start a step's tasks on one worker.

    Attributes:
      text: What the worker asks for; '' once it was refused.
      until_ms: When it ends.
      life: The worker's life for which it holds.
    """

    text: str
    until_ms: int
    life: int


@dataclasses.dataclass(slots=True)
class Advice:
    """What is known of the workers that may run a stage.

    Attributes:
      asked: Workers that were asked about, with the life asked about.
      tickets: Tickets by worker, also ended ones: a worker stays suited.
      is_asking: Whether a call is under way or waits.
    """

    asked: dict[str, int] = dataclasses.field(default_factory=dict)
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    is_asking: bool = False


@dataclasses.dataclass(slots=True)
class Stage:
    """One step of one occurrence.

    Attributes:
      occurrence: Number of the occurrence.
      number: Number of the step.
      step: What the step asks for.
      tasks: Its tasks by index.
      done: How many are done.
      advice: What is known of suited workers.
      ready_ms: When all that it waits for was done; None before.
      begun: Whether any task of it has been seen to start.
      durations: Run times of its tasks that are done, in ms.
      stuck: How many of its runs were stopped as they took too long.
      held_by: What keeps its waiting tasks from starting, as it was logged.
    """

    occurrence: int
    number: int
    step: Step
    tasks: list[Task]
    done: int = 0
    advice: Advice = dataclasses.field(default_factory=Advice)
    ready_ms: int | None = None
    begun: bool = False
    durations: list[int] = dataclasses.field(default_factory=list)
    stuck: int = 0
    held_by: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """What a caller handed in.

    Attributes:
      id: Id that the caller chose.
      queue: Name of the queue.
      customer: Name of the customer; '' for a queue open to all.
      payload: The caller's description, passed on to workers.
      steps: Its steps.
      start_at_ms: First due time since the Unix epoch in ms.
      interval_ms: Time between due times in ms.
      occurrences: Number of due times; 0 if it is due once, at once.
      accepted_ms: When it was accepted, since the Unix epoch in ms.
      epoch: Epoch of the owner that accepted it.
      pool: Service whose workers run its tasks.
      attempts: Failed runs of a task after which the job has failed.
      priority: Its class; 0 goes first.
    """

    id: str
    queue: str
    customer: str
    payload: str
    steps: tuple[Step, ...]
    start_at_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    accepted_ms: int = 0
    epoch: int = 0
    pool: str = ''
    attempts: int = 1
    priority: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job.

    Attributes:
      order: What the caller handed in.
      state: Its state, as far as it is decided.
      is_durable: Whether the acceptance is in the table.
      shown: The final state, once that is in the table; None before.
      stages: Stages by occurrence and step, made when they come due.
      ended_ms: When it ended, since the Unix epoch in ms; 0 before.
      known_ms: When this owner learned of it, by its own clock.
      has_begun: Whether any of its tasks has been seen to start.
      accepted: Number of the write that makes it durable.
      marked: Number of its newest write.
      chain_ms: Run time of its longest chain of steps by the estimates in ms.
    """

    order: Order
    state: JobState = JobState.QUEUED
    is_durable: bool = False
    shown: JobState | None = None
    stages: dict[tuple[int, int], Stage] = dataclasses.field(
        default_factory=dict
    )
    ended_ms: int = 0
    known_ms: int = 0
    has_begun: bool = False
    accepted: int = 0
    marked: int = 0
    chain_ms: int = 0


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


def format_task(name: TaskName) -> str:
    """Returns the text form of a task's name."""
    return f'{name.job}.{name.occurrence}.{name.step}.{name.index}'


def parse_task(text: str) -> TaskName | None:
    """Returns the name in a text, or None if it is none."""
    parts = text.split('.')
    if len(parts) != 4:
        return None
    job, *numbers = parts
    if not all(number.isdecimal() for number in numbers):
        return None
    return TaskName(job, int(numbers[0]), int(numbers[1]), int(numbers[2]))


def format_stage(job_id: str, stage: Stage) -> str:
    """Returns the text form of a stage's name."""
    return f'{job_id}.{stage.occurrence}.{stage.number}'


def make_stage(occurrence: int, number: int, step: Step) -> Stage:
    """Returns a stage none of whose tasks has run."""
    return Stage(
        occurrence, number, step, [Task(index) for index in range(step.count)]
    )


def is_final(job: Job) -> bool:
    """Tells whether a job has ended."""
    return job.state in FINAL_STATES


def count_occurrences(order: Order) -> int:
    """Returns how many times the steps of a job run."""
    return max(1, order.occurrences)


def is_timed(order: Order) -> bool:
    """Tells whether a job has due times."""
    return order.occurrences > 0


def is_lasting(order: Order) -> bool:
    """Tells whether a job runs until it is cancelled."""
    return any(step.lasting for step in order.steps)


def get_held(step: Step) -> resources.Resources:
    """Returns what a task of a step takes of its worker's capacity."""
    if not step.fills:
        return step.size
    return resources.Resources(0, step.size.memory_mib, step.size.accelerators)


def compute_chain(steps: tuple[Step, ...]) -> int:
    """Returns the run time of the longest chain of steps in ms."""
    ends: list[int] = []
    for number, step in enumerate(steps):
        before = [ends[i] for i in step.after if i < number]
        ends.append(max(before, default=0) + step.estimate_ms)
    return max(ends, default=0)
