"""Order in which waiting stages of jobs are given workers.

Load pattern: more work waits than the workers have resources for. The priority
class decides first. Within a class, jobs that can still meet their objective
(the time that their queue allows them) go first, then such jobs in excess of
their customer's rate, then jobs that are late or are delayed in favour of
others, then jobs that will end after their result has lost its value; among
equals, the job whose objective ends first. While a pool is overloaded, jobs
whose result has lost its value go after all classes.
"""

from collections.abc import Sequence
import dataclasses

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs

# Multiple of its objective after which a job's result is worth nothing.
EXPIRY_FACTOR = 3
# Number of workers whose advice the platform counts in the objective of a job.
ADVISED_WORKERS = 30
# Quantile of the learned run times at which stages are ranked.
MEDIAN = 0.5
# Quantile of the learned times of stages at which a new job is refused: an
# estimate may be off by 0.9.
LONG_QUANTILE = 0.9
# Urgency bands within a priority class: the objective can be met; it can, and
# the customer is above its rate; it can't; the job will end after EXPIRY_FACTOR
# times its objective; that time has passed.
ON_TIME, EXCESS, LATE, TOO_LATE, EXPIRED = range(5)
# Stands for the priority class in the rank of expired stages, which go last.
EXPIRED_PRIORITY = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class StageTimes:
    """Times by which a stage is ranked.

    Attributes:
      objective_end_ms: When the objective of its job ends, in ms since the Unix
        epoch. It follows from learned times while its pool is overloaded, else
        from the caller's estimates.
      worthless_from_ms: From when the result is worth nothing, likewise.
      task_ms: Mean run time of its tasks, in ms.
      remaining_ms: Estimated time from its start to the end of its job, in ms.
    """

    objective_end_ms: int
    worthless_from_ms: int
    task_ms: int
    remaining_ms: int


def compute_times(
    cluster: cluster_state.ClusterState, job: jobs.Job, stage: jobs.Stage
) -> StageTimes:
    """Returns the times by which a stage is ranked."""
    queue = cluster_state.get_queue(cluster, job.spec)
    # The times of a job begin with its acceptance, also if it was due before.
    due_ms = max(
        compute_due_ms(job.spec, stage.occurrence), job.spec.accepted_ms
    )
    path_ms = job.path_ms
    remaining_ms = stage.step.estimate_ms
    if stage.number < len(job.path_ms_by_step):
        remaining_ms = job.path_ms_by_step[stage.number]
        # Tasks that are done may show that the stage takes longer.
        excess_ms = (
            max(stage.durations_ms, default=0) - job.step_ms[stage.number]
        )
        if excess_ms > 0:
            path_ms += excess_ms
            remaining_ms += excess_ms
    if queue.pool not in cluster.overloaded_pools:
        path_ms = job.critical_path_ms
        remaining_ms = stage.step.estimate_ms
    objective_ms = apply_objective(queue, path_ms or job.critical_path_ms)
    return StageTimes(
        due_ms + objective_ms,
        due_ms + EXPIRY_FACTOR * objective_ms,
        run_times.estimate_mean_ms(
            cluster.run_times,
            job.spec.queue,
            stage.number,
            stage.step.estimate_ms,
        ),
        remaining_ms,
    )


def estimate_steps(
    cluster: cluster_state.ClusterState,
    queue: job_settings.JobQueue,
    steps: tuple[jobs.Step, ...],
    quantile: float = MEDIAN,
) -> tuple[int, ...]:
    """Returns the expected time of each step of a job in ms.

    A step lasts as long as its longest task, by what was learned of the stages
    of its queue, and needs advice first where its queue demands that.

    Args:
      cluster: State of the jobs and workers.
      queue: The queue of the job.
      steps: The steps.
      quantile: Part of the stages that take no longer.
    """
    advice_ms = 0
    if queue.needs_tickets:
        advice_ms = int(
            queue.advice_base_ms
            + queue.advice_per_worker_us * ADVISED_WORKERS / 1000
        )
    return tuple(
        advice_ms
        + run_times.estimate_quantile_ms(
            cluster.stage_times, queue.name, number, step.estimate_ms, quantile
        )
        for number, step in enumerate(steps)
    )


def compute_paths(
    steps: tuple[jobs.Step, ...], step_ms: Sequence[int]
) -> tuple[int, ...]:
    """Returns the time in ms from the start of each step to the job's end.

    It is the longest chain of dependent steps that begins with the step.

    Args:
      steps: The steps.
      step_ms: Time of each step.
    """
    after = [0] * len(steps)
    paths = [0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        paths[number] = after[number] + step_ms[number]
        for before in steps[number].depends_on:
            if before < number:
                after[before] = max(after[before], paths[number])
    return tuple(paths)


def estimate_job(
    cluster: cluster_state.ClusterState,
    queue: job_settings.JobQueue,
    job: jobs.Job,
) -> None:
    """Sets the expected times of a job."""
    steps = job.spec.steps
    job.step_ms = list(estimate_steps(cluster, queue, steps))
    job.path_ms_by_step = compute_paths(steps, job.step_ms)
    job.path_ms = max(job.path_ms_by_step, default=0)


def record_stage_time(
    cluster: cluster_state.ClusterState, job: jobs.Job, stage: jobs.Stage
) -> None:
    """Records how long the longest task of a stage that is done has taken.

    What is left of the job is expected by what the stage took.
    """
    if not stage.durations_ms or stage.step.is_opportunistic:
        return
    longest_ms = max(stage.durations_ms)
    run_times.record_run(
        cluster.stage_times,
        job.spec.queue,
        stage.number,
        stage.step.estimate_ms,
        longest_ms,
    )
    if stage.number < len(job.step_ms) and not jobs.has_schedule(job.spec):
        job.step_ms[stage.number] = max(job.step_ms[stage.number], longest_ms)
        job.path_ms_by_step = compute_paths(job.spec.steps, job.step_ms)
        job.path_ms = max(job.path_ms_by_step)


def has_objective(queue: job_settings.JobQueue) -> bool:
    """Tells whether the jobs of a queue have to end within a certain time.

    A queue that operators have removed has no objective any more.
    """
    return queue.objective_base_ms > 0 or queue.objective_factor > 1.0


def apply_objective(queue: job_settings.JobQueue, path_ms: int) -> int:
    """Returns the time that a queue allows a job whose longest chain is given.

    Args:
      queue: The queue.
      path_ms: Time of the longest chain of steps in ms.
    """
    return int(queue.objective_factor * path_ms) + queue.objective_base_ms


def rank_stage(
    cluster: cluster_state.ClusterState,
    job: jobs.Job,
    stage: jobs.Stage,
    wall_ms: int,
) -> advice_requests.Rank:
    """Returns the rank of a stage; the lowest goes first.

    A step that runs until its job is cancelled is never late.
    """
    queue = cluster_state.get_queue(cluster, job.spec)
    times = compute_times(cluster, job, stage)
    band = _choose_band(cluster, job, stage, times, wall_ms)
    priority = EXPIRED_PRIORITY if band == EXPIRED else queue.priority
    return advice_requests.Rank(priority, band, times.objective_end_ms)


def _choose_band(
    cluster: cluster_state.ClusterState,
    job: jobs.Job,
    stage: jobs.Stage,
    times: StageTimes,
    wall_ms: int,
) -> int:
    queue = cluster_state.get_queue(cluster, job.spec)
    if jobs.is_long_running(job.spec):
        return ON_TIME
    if not has_objective(queue):
        return EXCESS if job.is_excess else ON_TIME
    key = (job.spec.id, stage.occurrence, stage.number)
    end_ms = wall_ms + times.remaining_ms
    if (
        wall_ms > times.worthless_from_ms
        and queue.pool in cluster.overloaded_pools
    ):
        return EXPIRED
    if end_ms > times.worthless_from_ms or key in cluster.too_late_stages:
        return TOO_LATE
    if end_ms > times.objective_end_ms or key in cluster.deferred_stages:
        return LATE
    return EXCESS if job.is_excess else ON_TIME


def compute_due_ms(spec: jobs.JobSpec, occurrence: int) -> int:
    """Returns when an occurrence of a job is due, in ms since the Unix epoch.

    A job without due times is due when it is accepted.
    """
    if not jobs.has_schedule(spec):
        return spec.accepted_ms
    return spec.start_at_ms + occurrence * spec.interval_ms


def compute_objective_ms(
    cluster: cluster_state.ClusterState, job: jobs.Job
) -> int:
    """Returns the time that its queue allows a job from its due time, in ms."""
    queue = cluster_state.get_queue(cluster, job.spec)
    return apply_objective(queue, job.path_ms or job.critical_path_ms)
