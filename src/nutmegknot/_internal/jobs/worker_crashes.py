"""Records crashes of workers with the tasks that ran there.

A worker that does not answer may have crashed or may be cut off. It has crashed
if it answers in a new life, or if another worker answers at its address, unless
it was leaving. Until then its runs are remembered.
"""

import dataclasses
import logging

from nutmegknot._internal.decisions import crash_trials
from nutmegknot._internal.jobs import ownerships
from nutmegknot._internal.jobs import reconciliation
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import workers

logger = logging.getLogger(__name__)

# Largest number of crashes whose tasks can be found; later crashes replace the
# oldest.
MAX_INDEXED_CRASHES = 2_000
# How long the runs of a missing worker are remembered.
MAX_MISSING_MS = 60_000


def write_young_runs(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Writes runs on a worker without answers that may be the cause of a crash.

    These are the ones that had just started, and those of tasks with earlier
    crashes. If the owner changes before the worker is back, the next owner then
    knows them.
    """
    for name, task in info.runs.items():
        job = ownership.cluster.jobs.get(name.job)
        survived_ms = crash_trials.compute_survived_ms(info, task)
        if (
            job is None
            or jobs.is_final(job)
            or task.trial is not None
            or (survived_ms >= crash_trials.STARTUP_MS and not task.crashes)
        ):
            continue
        task.trial = jobs.Trial(
            task.run,
            info.worker.id,
            info.worker.life,
            info.worker.address,
            survived_ms=survived_ms,
        )
        info.trial_runs += 1
        ownerships.queue_progress_write(ownership, job, is_hurried=True)


def remember_runs(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo
) -> None:
    """Remembers the runs of a worker that are about to count as lost."""
    cluster, now_ms = ownership.cluster, ownership.clock.now_ms()
    for id, missing in list(cluster.missing_workers.items()):
        if now_ms - missing.since_ms > MAX_MISSING_MS:
            del cluster.missing_workers[id]
    runs = crash_trials.list_interrupted(info)
    if runs:
        cluster.missing_workers[info.worker.id] = cluster_state.MissingWorker(
            info.worker, runs, now_ms
        )


def record_answer(
    ownership: ownerships.Ownership, info: cluster_state.WorkerInfo, life: int
) -> None:
    """Records that a worker has answered in a life."""
    missing = ownership.cluster.missing_workers.pop(info.worker.id, None)
    if missing is not None and life > missing.worker.life:
        _record_crash(ownership, missing.worker, missing.runs, 'new_life')


def record_restart(
    ownership: ownerships.Ownership,
    info: cluster_state.WorkerInfo,
    why: str,
    new_life: int | None = None,
) -> None:
    """Records that the process of a worker has ended, with all runs there.

    Args:
      ownership: The ownership of the jobs.
      info: The worker as it was known.
      why: How that was noticed, for the log.
      new_life: Number of its new life; None if another worker has its address.
    """
    cluster = ownership.cluster
    runs = crash_trials.list_interrupted(info)
    missing = cluster.missing_workers.get(info.worker.id)
    if missing is not None and (
        new_life is None or new_life > missing.worker.life
    ):
        runs += missing.runs
        del cluster.missing_workers[info.worker.id]
    _record_crash(ownership, info.worker, runs, why)


def record_replacements(
    ownership: ownerships.Ownership, worker: workers.Worker
) -> None:
    """Records that a new worker is listed at the address of missing ones."""
    missing_workers = ownership.cluster.missing_workers
    for id, missing in list(missing_workers.items()):
        if missing.worker.address == worker.address and id != worker.id:
            del missing_workers[id]
            _record_crash(
                ownership, missing.worker, missing.runs, 'address_listed'
            )


def _record_crash(
    ownership: ownerships.Ownership,
    worker: workers.Worker,
    runs: list[cluster_state.InterruptedRun],
    why: str,
) -> None:
    if not runs or worker.state is workers.TargetState.LEAVING:
        return
    suspects = crash_trials.find_suspects(runs)
    suspected_jobs = {run.name.job for run in suspects}
    logger.warning(
        'worker_crashed',
        extra={
            'worker': worker.id,
            'life': worker.life,
            'why': why,
            'runs': len(runs),
            'suspects': len(suspects),
            'suspected_jobs': len(suspected_jobs),
        },
    )
    for run in runs:
        is_suspect = run in suspects
        crash = jobs.Crash(
            worker.id,
            worker.life,
            is_suspect,
            crash_trials.is_only_suspect(run, suspects, runs),
            run.is_confirmed,
            run.survived_ms,
            is_age_known=run.is_age_known,
        )
        _add_crash(ownership, run, crash)
    for job_id in {run.name.job for run in runs}:
        job = ownership.cluster.jobs.get(job_id)
        if job is not None and not jobs.is_final(job):
            _give_up_if_cause(ownership, job)


def _add_crash(
    ownership: ownerships.Ownership,
    run: cluster_state.InterruptedRun,
    crash: jobs.Crash,
) -> None:
    """Adds a crash to the task of a run that was on the worker."""
    cluster = ownership.cluster
    stage = cluster_state.find_stage(cluster, run.name)
    job = cluster.jobs.get(run.name.job)
    if stage is None or job is None or jobs.is_final(job):
        return
    task = stage.tasks[run.name.index]
    if task.phase is jobs.TaskPhase.DONE:
        return
    unproven = crash_trials.list_unproven_crashes(task, run.survived_ms)
    if len(unproven) < len(task.crashes):
        task.crashes = unproven
        ownerships.queue_progress_write(ownership, job)
    if (
        run.survived_ms >= crash_trials.MAX_COUNTED_MS
        or crash_trials.is_disproved(task, crash)
    ):
        return
    task.crashes[run.run] = crash
    if len(task.crashes) > crash_trials.MAX_CRASHES:
        del task.crashes[next(iter(task.crashes))]
    key = (crash.worker, crash.life)
    cluster.tasks_by_crash.setdefault(key, set()).add(run.name)
    if len(cluster.tasks_by_crash) > MAX_INDEXED_CRASHES:
        del cluster.tasks_by_crash[next(iter(cluster.tasks_by_crash))]
    if crash.is_suspect:
        logger.info(
            'task_suspected',
            extra={
                'task': jobs.format_task(run.name),
                'run': run.run,
                'worker': crash.worker,
                'survived_ms': run.survived_ms,
                'crashes': len(task.crashes),
                'is_only_suspect': crash.is_only_suspect,
                'is_confirmed': crash.is_confirmed,
            },
        )
    ownerships.queue_progress_write(ownership, job)


def _give_up_if_cause(ownership: ownerships.Ownership, job: jobs.Job) -> None:
    """Ends a job of which a task is the cause of crashes.

    The crashes no longer count against the other tasks that ran there.
    """
    causes = [
        task
        for stage in job.stages.values()
        for task in stage.tasks
        if crash_trials.is_cause(task)
    ]
    if not causes:
        return
    crashes = {
        (crash.worker, crash.life)
        for task in causes
        for crash in crash_trials.list_unexplained(task)
    }
    logger.warning(
        'job_crashes_workers',
        extra={
            'job': job.spec.id,
            'tasks': len(causes),
            'workers': ' '.join(sorted(worker for worker, _ in crashes)),
        },
    )
    reconciliation.finish_job(
        ownership, job, jobs.JobState.FAILED, 'crashes_workers'
    )
    for key in crashes:
        _mark_explained(ownership, key)


def _mark_explained(
    ownership: ownerships.Ownership, key: tuple[str, int]
) -> None:
    """Marks a crash whose cause is known in the records of all other tasks."""
    cluster = ownership.cluster
    for name in cluster.tasks_by_crash.pop(key, ()):
        stage = cluster_state.find_stage(cluster, name)
        job = cluster.jobs.get(name.job)
        if stage is None or job is None or jobs.is_final(job):
            continue
        task = stage.tasks[name.index]
        task.crashes = {
            run: dataclasses.replace(
                crash,
                is_explained=crash.is_explained
                or (crash.worker, crash.life) == key,
            )
            for run, crash in task.crashes.items()
        }
        ownerships.queue_progress_write(ownership, job)
