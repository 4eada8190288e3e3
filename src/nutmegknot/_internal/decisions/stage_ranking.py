"""Order in which waiting stages of jobs are given workers.

Load pattern: more work waits than the workers have resources for. The priority
class decides first. Within a class, jobs that can still meet their objective
(the time that their queue allows them) go first, then late jobs, then jobs so
late that their result is worth nothing any more; among equals, the job whose
objective ends first.
"""

from nutmegknot._internal.models import advice_requests
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

# Multiple of its objective after which a job's result is worth nothing.
EXPIRY_FACTOR = 3
# Urgency bands within a priority class: the objective can still be met; it
# can't; the job would end after EXPIRY_FACTOR times its objective.
ON_TIME, LATE, EXPIRED = range(3)


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
    due_ms = compute_due_ms(job.spec, stage.occurrence)
    objective_ms = compute_objective_ms(cluster, job)
    objective_end_ms = due_ms + objective_ms
    run_ms = stage.step.estimate_ms
    urgency_band = ON_TIME
    if wall_ms + run_ms > due_ms + EXPIRY_FACTOR * objective_ms:
        urgency_band = EXPIRED
    elif wall_ms + run_ms > objective_end_ms:
        urgency_band = LATE
    if stage.step.is_long_running:
        urgency_band = ON_TIME
    return advice_requests.Rank(queue.priority, urgency_band, objective_end_ms)


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
    return (
        int(queue.objective_factor * job.critical_path_ms)
        + queue.objective_base_ms
    )
