"""Choice of the runs that are stopped so that more urgent tasks can start.

Load pattern: workers are full of work that is not urgent when urgent work
arrives, or many small tasks take up a part of every large worker.
"""

from nutmegknot._internal.decisions import plans
from nutmegknot._internal.decisions import run_progress
from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# Age up to which a run that makes no checkpoints may be stopped, in ms; all
# that it has done is lost.
MAX_UNSAVED_RUN_MS = 150
# Age from which a run that makes checkpoints may be stopped, in ms, so that it
# makes progress even if it is stopped again and again.
MIN_CHECKPOINTED_RUN_MS = 500
# A run that is expected to end within this time is not stopped, in ms: about as
# long as a stop takes, which needs the call, the end of the run (50 ms in the
# tests' workers) and the next list of the worker. Its resources would not be
# free sooner, and its work would be lost.
MIN_LEFT_MS = 200
# Largest number of runs that are stopped to start one task.
MAX_EVICTIONS_PER_TASK = 8
# Largest number of runs that are stopped in one planning pass.
MAX_EVICTIONS_PER_PLAN = 16
# Number of processors that an accelerator counts as in the cost of a run.
CORES_PER_ACCELERATOR = 8


def plan_evictions(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    step: jobs.Step,
    priority: int,
    infos: list[cluster_state.WorkerInfo],
    now_ms: int,
) -> bool:
    """Chooses runs to stop so that one task fits on one of the workers.

    No run is chosen if the runs that are being stopped already will leave
    enough resources on one of the workers.

    Args:
      cluster: State of the jobs and workers.
      plan: The plan so far; chosen runs are added to it, and the resources for
        the task are subtracted from it.
      step: The step that the task belongs to.
      priority: Priority class of the task; only runs of less urgent classes,
        which have higher numbers, may be stopped.
      infos: Workers on which the task may start.
      now_ms: Monotonic time in ms.

    Returns:
      Whether the task will fit on one of the workers.
    """
    needed = jobs.get_reserved(step)
    for info in infos:
        if plans.deduct_free_or_releasing(cluster, plan, info, needed):
            return True
    best: tuple[float, cluster_state.WorkerInfo, list[plans.Victim]] | None = (
        None
    )
    for info in infos:
        victims = _choose_victims(cluster, plan, info, needed, priority, now_ms)
        if victims is None:
            continue
        cost = sum(victim.cost for victim in victims)
        if best is None or cost < best[0]:
            best = (cost, info, victims)
    if best is None:
        return False
    _, info, victims = best
    if len(plan.evicted) + len(victims) > MAX_EVICTIONS_PER_PLAN:
        return False
    for victim in victims:
        plan.evicted.append(victim.name)
        plan.releasing[info.worker.id] = resources.add(
            plans.get_releasing(cluster, plan, info), victim.released
        )
    return plans.deduct_free_or_releasing(cluster, plan, info, needed)


def _choose_victims(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    info: cluster_state.WorkerInfo,
    needed: resources.Resources,
    priority: int,
    now_ms: int,
) -> list[plans.Victim] | None:
    """Returns the cheapest runs that leave enough resources, or None."""
    candidates = [
        victim
        for victim in list_victims(cluster, plan, info, now_ms)
        if victim.priority > priority and victim.name not in plan.evicted
    ]
    if not candidates:
        return None
    total = resources.add(
        plan.free[info.worker.id], plans.get_releasing(cluster, plan, info)
    )
    chosen = []
    for victim in candidates[:MAX_EVICTIONS_PER_TASK]:
        total = resources.add(total, victim.released)
        chosen.append(victim)
        if resources.fits(needed, total):
            return chosen
    return None


def list_victims(
    cluster: cluster_state.ClusterState,
    plan: plans.Plan,
    info: cluster_state.WorkerInfo,
    now_ms: int,
) -> list[plans.Victim]:
    """Returns the runs on a worker that could be stopped, cheapest first.

    A pass looks at the runs of each worker once, for all stages together.
    """
    victims = plan.victims.get(info.worker.id)
    if victims is None:
        assessed = (
            _assess_run(cluster, info, name, task, now_ms)
            for name, task in info.runs.items()
        )
        victims = [victim for victim in assessed if victim is not None]
        victims.sort(key=lambda victim: victim.cost)
        plan.victims[info.worker.id] = victims
    return victims


def _assess_run(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> plans.Victim | None:
    """Returns a run with its cost if it may be stopped, otherwise None.

    Gangs, whose tasks run only together, steps that run until their job is
    cancelled, and runs that are about to end are never stopped. The cost of a
    run is its processors, and its accelerators at CORES_PER_ACCELERATOR each.
    """
    job = cluster.jobs.get(name.job)
    if job is None or task.phase is not jobs.TaskPhase.RUNNING:
        return None
    step = job.spec.steps[name.step]
    if (step.is_gang and step.count > 1) or step.is_long_running:
        return None
    age_ms = now_ms - task.start_decided_ms if task.start_decided_ms else 0
    if step.makes_checkpoints:
        if age_ms < MIN_CHECKPOINTED_RUN_MS:
            return None
    elif age_ms > MAX_UNSAVED_RUN_MS:
        return None
    expected_ms = run_times.estimate_quantile_ms(
        cluster.run_times, job.spec.queue, name.step, step.estimate_ms, 0.5
    )
    left_ms = run_progress.estimate_left_ms(
        task, expected_ms, info.last_answer_ms, now_ms
    )
    if left_ms is not None and left_ms <= MIN_LEFT_MS:
        return None
    cores = (
        step.size.millicores / 1000
        + CORES_PER_ACCELERATOR * step.size.accelerators
    )
    priority = cluster_state.get_queue(cluster, job.spec).priority
    return plans.Victim(name, priority, jobs.get_reserved(step), cores)
