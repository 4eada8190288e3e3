"""Jobs, their steps and tasks, and the progress of each.

A job consists of steps, and a step of tasks that are alike. A job may be due
several times: each time is an occurrence, and one step of one occurrence is a
stage. A gang is a step whose tasks can only run all at the same time. A run is
one attempt of a worker to execute a task. The owner of the jobs is the one
instance that schedules their tasks on the workers.
"""

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


class TaskPhase(enum.Enum):
    """What the owner of the jobs knows of a task's current run."""

    # The task has no run.
    WAITING = 'waiting'
    # A start was decided; it is not known yet whether the worker accepted it.
    STARTING = 'starting'
    RUNNING = 'running'
    # The run is being stopped, as it is not needed any more.
    STOPPING = 'stopping'
    DONE = 'done'


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The worker's lease ended without being renewed.
    LEASE_EXPIRED = 'lapsed'
    # Another task of the same gang ended.
    GANG_BROKEN = 'broken'
    # The other tasks of the gang did not start in time.
    GANG_INCOMPLETE = 'alone'
    # The run is over, and the worker did not report how it ended.
    LOST = 'lost'


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Requirements of one step of a job.

    Attributes:
      count: Number of tasks.
      size: Resources of each task.
      estimate_ms: The caller's estimate of a task's run time in ms.
      depends_on: Numbers of the steps that must be done first.
      makes_checkpoints: Whether its tasks make checkpoints, from which a later
        run can continue.
      is_gang: Whether the step is a gang: its tasks can only run all at the
        same time.
      same_rack: Whether the tasks are slower on several racks than on one. A
        gang of such tasks is only placed within one rack.
      required_label: Label that a worker must have to run the tasks; '' if
        none is required.
      data_rack: Rack on which the tasks are faster; '' if there is none.
      max_per_worker: Maximum number of its tasks on one worker; 0 for no limit.
      speculative: Whether several runs of one task may be in progress at once.
      is_long_running: Whether the tasks run until the job is cancelled.
      image: Name of the program that its tasks run.
      tail_latency_target_ms: Upper bound for the tail of the response times
        to users in ms; 0 if its tasks serve no users.
      is_opportunistic: Whether the tasks only use processors that other tasks
        leave idle.
      max_unavailable: How many of its long-running tasks the scheduler may keep
        stopped at one time; None if the step is not long-running.
    """

    count: int
    size: resources.Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    makes_checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    is_long_running: bool = False
    image: str = ''
    tail_latency_target_ms: int = 0
    is_opportunistic: bool = False
    max_unavailable: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class TaskName:
    """Identifies one task among those of all jobs.

    Attributes:
      job: Id of the job.
      occurrence: Number of the occurrence, from 0.
      step: Number of the step within the job, from 0.
      index: Number of the task within the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """The crash of a worker during a run of a task.

    Attributes:
      worker: Id of the worker.
      life: Number of the life of the worker that ended.
      is_suspect: Whether the run may be the cause.
      is_only_suspect: Whether no run of another job may be the cause.
      is_confirmed: Whether the worker is known to have begun the run. A start
        without an answer may have come too late.
      survived_ms: For how long the worker is known to have executed the run.
      is_explained: Whether another job is known to be the cause.
      is_age_known: Whether the run began under the owner that recorded this;
        otherwise it may have been executed for longer.
    """

    worker: str
    life: int
    is_suspect: bool
    is_only_suspect: bool
    is_confirmed: bool
    survived_ms: int = 0
    is_explained: bool = False
    is_age_known: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Trial:
    """A run that is a suspect if its worker turns out to have crashed.

    It is a run of a task that was a suspect before, or one that had just
    started on a worker that does not answer. In the first case nothing else
    starts on its worker until it has run for a while.

    Attributes:
      run: Number of the run.
      worker: Id of the worker.
      life: Number of the worker's life.
      address: Address of the worker.
      was_confirmed: Whether an earlier owner knew that the worker had begun it.
      survived_ms: For how long it had been executed when that was written.
    """

    run: int
    worker: str
    life: int
    address: str
    was_confirmed: bool = False
    survived_ms: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a run, as its worker lists it.

    Times are the monotonic time of the instance that owns the jobs.

    Attributes:
      percent: Highest percentage of its work that was listed as done.
      grown_ms: When a list first showed that.
      base_percent: Progress from which on its speed is known.
      base_ms: When it had that progress.
      unchanged_lists: Number of lists since then that showed no growth.
      checkpoint: Its newest checkpoint, as last listed.
      saved_percent: Progress that this checkpoint has at least.
    """

    percent: int
    grown_ms: int
    base_percent: int
    base_ms: int
    unchanged_lists: int = 0
    checkpoint: str = ''
    saved_percent: int = 0


@dataclasses.dataclass(slots=True)
class Task:
    """One task and its current run.

    Times are the monotonic time of the instance that owns the jobs.

    Attributes:
      index: Number within its step, from 0.
      phase: What is known of its current run.
      run: Number of its newest run; 0 if none is known.
      worker: Id of the worker of that run; '' while the task waits.
      failed_runs: Numbers of the runs that failed.
      checkpoint: Checkpoint from which the next run continues; '' if it starts
        from the beginning.
      confirmed_ms: When the worker last confirmed the phase. While a stop has
        no answer, a time in the future, so that the run is not taken for lost
        if the worker does not list it.
      start_decided_ms: When the start of the current run was decided; 0 if an
        earlier owner of the jobs decided it.
      pace_percent: Percentage of its full speed to which the run was last
        throttled; None if that is not known.
      waiting_since_ms: Since when it has had no run.
      avoided_workers: Ids of workers on which a run of it failed, or was
        stopped as it took too long.
      lost_runs: How many of its runs were lost, as this owner knows.
      crashes: Crashes of workers during its runs, by number of the run. Those
        of which another task was found to be the cause are removed.
      trial: The current run, if the next owner has to know of it as a suspect;
        otherwise None.
      started_clock_ms: Time of the worker's clock from which on the current run
        is known to be in progress; 0 if it is not known to be.
      progress: Progress of the current run; None while its worker lists none.
    """

    index: int
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ''
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    checkpoint: str = ''
    confirmed_ms: int = 0
    start_decided_ms: int = 0
    pace_percent: int | None = 100
    waiting_since_ms: int = 0
    avoided_workers: set[str] = dataclasses.field(default_factory=set)
    lost_runs: int = 0
    crashes: dict[int, Crash] = dataclasses.field(default_factory=dict)
    trial: Trial | None = None
    started_clock_ms: int = 0
    progress: Progress | None = None


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to start a stage's tasks on one worker.

    It is given by an adviser, a service that tells which workers may run a
    stage.

    Attributes:
      token: What the worker expects with each start; '' once it refused it.
      until_ms: Monotonic time of the owner of the jobs at which it expires.
      life: The life of the worker for which it is valid: a worker's life
        number rises with each restart.
    """

    token: str
    until_ms: int
    life: int


@dataclasses.dataclass(slots=True)
class Advice:
    """What advisers have said about the workers that may run a stage.

    Attributes:
      asked: Life of each worker about which an adviser has answered, by id.
      tickets: Tickets by id of the worker. Expired ones are kept: the worker
        is still suitable, but needs a new ticket.
      is_asking: Whether a call to an adviser is queued or in progress.
      is_called: Whether it is in progress.
    """

    asked: dict[str, int] = dataclasses.field(default_factory=dict)
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    is_asking: bool = False
    is_called: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedRun:
    """A run that did the whole work of a task.

    Attributes:
      worker: Id of its worker.
      life: Number of the worker's life.
      run_ms: How long it took.
      usual_ms: How long it would have taken on a worker of usual speed, by what
        was known of its worker.
    """

    worker: str
    life: int
    run_ms: int
    usual_ms: float


@dataclasses.dataclass(slots=True)
class Stage:
    """One step of one occurrence of a job.

    Attributes:
      occurrence: Number of the occurrence, from 0.
      number: Number of the step within the job, from 0.
      step: Requirements of the step.
      tasks: Its tasks by index.
      done_count: How many of the tasks are done.
      advice: What advisers have said about the workers that may run it.
      ready_ms: Monotonic time at which the owner of the jobs found that its
        tasks may start, as all steps that it depends on are done; None before.
      has_started: Whether a start of any of its tasks has been confirmed.
      durations_ms: Run times of its tasks that are done.
      finished_runs: Runs that tell about the speed of workers, until all tasks
        are done; see decisions/worker_speeds.py.
      stuck_runs: How many of its runs were stopped as they took too long.
      logged_blocker: The reason, as last logged, why its waiting tasks can't
        start; '' if none was logged.
      blocker_logged_ms: When that was logged.
    """

    occurrence: int
    number: int
    step: Step
    tasks: list[Task]
    done_count: int = 0
    advice: Advice = dataclasses.field(default_factory=Advice)
    ready_ms: int | None = None
    has_started: bool = False
    durations_ms: list[int] = dataclasses.field(default_factory=list)
    finished_runs: list[FinishedRun] = dataclasses.field(default_factory=list)
    stuck_runs: int = 0
    logged_blocker: str = ''
    blocker_logged_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class JobReference:
    """How a caller names a job.

    Attributes:
      id: Id that the caller has chosen.
      customer: Name of the customer; '' for none.
      queue: Queue at which the caller asks; '' for any.
    """

    id: str
    customer: str = ''
    queue: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class JobSpec:
    """A job as its caller submitted it, with data of its acceptance.

    Attributes:
      id: Id that the caller chose.
      queue: Name of the queue.
      customer: Name of the customer; '' for a queue that is open to all.
      payload: The caller's description of the work, passed on to workers.
      steps: Its steps.
      start_at_ms: First due time, in ms since the Unix epoch.
      interval_ms: Time between due times in ms.
      occurrences: Number of due times; 0 if it has none, and runs once as soon
        as it is accepted.
      accepted_ms: When it was accepted, in ms since the Unix epoch.
      epoch: Epoch of the owner of the jobs that accepted it.
      pool: Name of the service whose workers run its tasks.
      max_failed_runs: Number of failed runs of one task after which the job
        fails.
      priority: Priority class; 0 is the most urgent.
      needs_tickets: Whether its tasks may only run on workers for which an
        adviser has given a ticket.
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
    max_failed_runs: int = 1
    priority: int = 0
    needs_tickets: bool = False


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job.

    Attributes:
      spec: The job as its caller submitted it.
      state: Its state; a final state may not be in the table yet.
      is_durable: Whether the acceptance is in the table.
      persisted_final_state: Its final state, once that is in the table; None
        before. Callers are not shown a final state earlier.
      stages: Stages by number of the occurrence and number of the step; each
        is made when its occurrence is due.
      ended_ms: When it ended, in ms since the Unix epoch; 0 before.
      known_since_ms: Monotonic time at which this owner learned of the job.
      has_started: Whether a start of any of its tasks has been confirmed.
      acceptance_write: Number of the write that makes the acceptance durable.
      latest_write: Number of the newest write of the job to the table.
      inherited_stopping: Resources of runs that the owner before was stopping
        when it last wrote the job's progress, of tasks that need no run.
      critical_path_ms: Sum of the estimates along its critical path, that is,
        along the longest chain of steps that depend on each other.
      step_ms: Expected time of each step, or at least what it took once it is
        done; empty if that is not estimated.
      path_ms_by_step: For each step, the expected time from its start to the
        end of the job.
      path_ms: Expected time of its longest chain of steps; 0 if that is not
        estimated.
      is_excess: Whether its customer had submitted more jobs than it is
        entitled to when this one was accepted.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    is_durable: bool = False
    persisted_final_state: JobState | None = None
    stages: dict[tuple[int, int], Stage] = dataclasses.field(
        default_factory=dict
    )
    ended_ms: int = 0
    known_since_ms: int = 0
    has_started: bool = False
    acceptance_write: int = 0
    latest_write: int = 0
    inherited_stopping: resources.Resources = resources.ZERO
    critical_path_ms: int = 0
    step_ms: list[int] = dataclasses.field(default_factory=list)
    path_ms_by_step: tuple[int, ...] = ()
    path_ms: int = 0
    is_excess: bool = False


# Longest number in the text form of a task's name.
MAX_DIGITS = 9
FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


def format_task(name: TaskName) -> str:
    """Returns the text form of a task's name."""
    return f'{name.job}.{name.occurrence}.{name.step}.{name.index}'


def parse_task(text: str) -> TaskName | None:
    """Returns the task's name in a text, or None if the text has none."""
    parts = text.split('.')
    if len(parts) != 4:
        return None
    job, *numbers = parts
    if not all(
        number.isascii() and number.isdecimal() and len(number) <= MAX_DIGITS
        for number in numbers
    ):
        return None
    return TaskName(job, int(numbers[0]), int(numbers[1]), int(numbers[2]))


def format_stage(job_id: str, stage: Stage) -> str:
    """Returns the text form of a stage's name."""
    return f'{job_id}.{stage.occurrence}.{stage.number}'


def make_stage(occurrence: int, number: int, step: Step) -> Stage:
    """Returns a new stage, of which no task has run."""
    return Stage(
        occurrence, number, step, [Task(index) for index in range(step.count)]
    )


def is_final(job: Job) -> bool:
    """Tells whether a job has ended."""
    return job.state in FINAL_STATES


def count_occurrences(spec: JobSpec) -> int:
    """Returns how many times a job runs; 1 if it has no due times."""
    return max(1, spec.occurrences)


def has_schedule(spec: JobSpec) -> bool:
    """Tells whether a job has due times."""
    return spec.occurrences > 0


def is_long_running(spec: JobSpec) -> bool:
    """Tells whether a job runs until it is cancelled."""
    return any(step.is_long_running for step in spec.steps)


def get_reserved(step: Step) -> resources.Resources:
    """Returns what a run of a step's task reserves of its worker's capacity.

    An opportunistic task reserves no processors, as it only uses idle ones.
    """
    if not step.is_opportunistic:
        return step.size
    return resources.Resources(0, step.size.memory_mib, step.size.accelerators)


def compute_critical_path(steps: tuple[Step, ...]) -> int:
    """Returns the estimated run time of the longest chain of steps in ms.

    A chain is a sequence of steps of which each depends on the one before.
    """
    ends: list[int] = []
    for number, step in enumerate(steps):
        before = [ends[i] for i in step.depends_on if i < number]
        ends.append(max(before, default=0) + step.estimate_ms)
    return max(ends, default=0)


def compute_stopping(job: Job) -> resources.Resources:
    """Returns the resources of runs whose tasks need no run any more."""
    total = resources.ZERO
    for stage in job.stages.values():
        count = sum(
            task.worker != ''
            and (is_final(job) or task.phase is TaskPhase.DONE)
            for task in stage.tasks
        )
        total = resources.add(total, resources.multiply(stage.step.size, count))
    return total


def compute_unlocated(job: Job) -> resources.Resources:
    """Returns the resources of the tasks that wait or are not due yet."""
    total = resources.ZERO
    for occurrence in range(count_occurrences(job.spec)):
        for number, step in enumerate(job.spec.steps):
            stage = job.stages.get((occurrence, number))
            count = step.count
            if stage is not None:
                count = sum(
                    task.phase is TaskPhase.WAITING for task in stage.tasks
                )
            total = resources.add(total, resources.multiply(step.size, count))
    return total
