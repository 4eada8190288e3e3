"""Decides whether a new job can end while its result is worth anything.

Load pattern: for some seconds more work is submitted than a pool can do. A job
that can only end after its result has lost its value would take capacity from
others, and its caller would wait for nothing; it is refused before it is
accepted. Of a new job and those that wait, the same ones are given up as are
delayed: those that cost callers least for the capacity they free. A new job
that is among them is refused; one that was accepted before is only delayed.
"""

import dataclasses

from nutmegknot._internal.decisions import backlogs
from nutmegknot._internal.decisions import deferrals
from nutmegknot._internal.decisions import pool_load
from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.decisions import stage_ranking
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import job_settings
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# A job is refused only if it would be too late even if all work took this part
# of its estimated time, since estimates may be too high.
WORK_FACTOR = 0.7
# Part of the longest wait that is allowed to a job in excess of its customer's
# rate, so that such jobs are refused before others.
EXCESS_WAIT_FACTOR = 0.5
# Stands for the id of the new job among the waiting ones.
_NEW_JOB = ('', 0, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class ExcessiveDelay:
    """Why a job is refused.

    Attributes:
      backlog_ms: Time that the work ahead of it and its own take.
      max_wait_ms: Time after which its tasks start too late.
      drain_ms: Time until the work that waits now is done.
    """

    backlog_ms: int
    max_wait_ms: int
    drain_ms: int


def find_excessive_delay(
    cluster: cluster_state.ClusterState,
    backlog: backlogs.Backlog,
    spec: jobs.JobSpec,
    queue: job_settings.JobQueue,
    *,
    is_excess: bool,
) -> ExcessiveDelay | None:
    """Returns why a job would end too late; None if it may be accepted.

    Jobs that run until they are cancelled, jobs with due times, and jobs that
    need labelled workers are always accepted.

    Args:
      cluster: State of the jobs and workers.
      backlog: What waited when the backlog was last assessed.
      spec: The job.
      queue: Its queue.
      is_excess: Whether it exceeds its customer's rate.
    """
    load = backlog.loads.get(queue.pool)
    waiting = backlog.classes.get((queue.pool, queue.priority))
    if (
        load is None
        or waiting is None
        or not stage_ranking.has_objective(queue)
        or jobs.is_long_running(spec)
        or jobs.has_schedule(spec)
        or any(step.required_label for step in spec.steps)
    ):
        return None
    new = _describe_job(cluster, load, spec, queue, is_excess)
    delay = _find_delay(waiting.useful, new, waiting)
    limited = waiting.limited.get(spec.customer)
    if delay is None and limited is not None:
        limited_class = backlogs.ClassBacklog(
            backlogs.compute_limited_rate(cluster, spec.customer, load)
        )
        delay = _find_delay(limited, new, limited_class)
    return delay


def _describe_job(
    cluster: cluster_state.ClusterState,
    load: pool_load.PoolLoad,
    spec: jobs.JobSpec,
    queue: job_settings.JobQueue,
    is_excess: bool,
) -> deferrals.Candidate:
    """Returns the work of a job's first steps."""
    step_ms = stage_ranking.estimate_steps(cluster, queue, spec.steps)
    path_ms = max(stage_ranking.compute_paths(spec.steps, step_ms), default=0)
    longest_ms = stage_ranking.estimate_steps(
        cluster, queue, spec.steps, stage_ranking.LONG_QUANTILE
    )
    objective_ms = stage_ranking.apply_objective(
        queue,
        max(stage_ranking.compute_paths(spec.steps, longest_ms), default=0),
    )
    work_ms = sum(
        step.count
        * run_times.estimate_mean_ms(
            cluster.run_times, queue.name, number, step.estimate_ms
        )
        * resources.compute_dominant_share(
            jobs.get_reserved(step), load.capacity
        )
        for number, step in enumerate(spec.steps)
        if not step.depends_on
    )
    max_wait_ms = float(stage_ranking.EXPIRY_FACTOR * objective_ms - path_ms)
    if is_excess:
        max_wait_ms *= EXCESS_WAIT_FACTOR
    return deferrals.Candidate(_NEW_JOB, work_ms, max_wait_ms, is_excess)


def _find_delay(
    waiting: list[deferrals.Candidate],
    new: deferrals.Candidate,
    waiting_class: backlogs.ClassBacklog,
) -> ExcessiveDelay | None:
    compute_start = backlogs.make_compute_start(waiting_class, WORK_FACTOR)
    waiting_ms = sum(item.work_ms for item in waiting)
    backlog_ms = compute_start(waiting_ms + new.work_ms)
    if backlog_ms <= new.latest_start_ms:
        return None
    if compute_start(new.work_ms) > new.latest_start_ms:
        # It is too large to end in time even alone, so waiting would not help.
        return None
    # A job in excess goes after all others, so it waits for the whole backlog.
    if not new.is_excess:
        selection = deferrals.choose_deferred([*waiting, new], compute_start)
        if new.key not in selection.deferred:
            return None
    return ExcessiveDelay(
        int(backlog_ms),
        int(new.latest_start_ms),
        int(compute_start(waiting_ms)),
    )
