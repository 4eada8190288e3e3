"""Attribution of workers' crashes to tasks, and trials of suspected tasks.

Load pattern: a task crashes each worker that starts it. The runs of other tasks
end with the worker, and all of them start again elsewhere. Most crash soon
after the start, so the youngest runs on a crashed worker are suspects. A
suspect starts again as a trial: on a worker where nothing has started lately,
and where nothing else starts until the trial is over. If that worker crashes as
well, the suspect is the cause.

Others crash their worker long after the start, when many runs there are
younger. A run that outlives an earlier crash of its task by far shows that the
task was not the cause. Without such proof, a task with several crashes starts
as a trial that lasts long enough for it.
"""

from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

# A run that its worker has executed for so long did not crash it by starting.
STARTUP_MS = 500
# Number of crashes during confirmed runs after which a task that was a suspect
# of each, and the only one of some, is taken to be the cause.
MIN_SUSPECTED_CRASHES = 2
# The same for a task that was not a suspect of each of them, or whose runs are
# not confirmed while it was the only suspect of each.
MIN_CRASHES = 3
# Number of crashes during its runs after which a task's runs are on trial for
# LONG_TRIAL_MS: it may crash workers later than at its start.
MIN_CRASHES_FOR_LONG_TRIAL = 2
# Shortest of these trials.
LONG_TRIAL_MS = 10_000
# Number of crashes during its runs after which a task's runs are on trial for
# longer than its runs lasted at these crashes.
MIN_CRASHES_FOR_FULL_TRIAL = 3
# A run that lasts so many times as long as an earlier one of its task shows
# that the task did not crash the worker of that one.
PROOF_RATIO = 2
# A crash of the worker of a longer run does not count: services that run for
# long lose a worker now and then.
MAX_COUNTED_MS = 120_000
# Number of crashes during its runs, MIN_CRASHES of them without another cause,
# after which a task is taken to be the cause in any case.
MAX_CRASHES = 5
# The same for a task that was the only one to run on its worker at one of those
# without another cause.
MAX_CRASHES_ALONE = 4
# Largest part of the workers of a pool on which trials may be in progress.
MAX_TRIAL_FRACTION = 0.5


def list_unexplained(task: jobs.Task) -> list[jobs.Crash]:
    """Returns the crashes of which no other job is known to be the cause."""
    return [crash for crash in task.crashes.values() if not crash.is_explained]


def needs_trial(task: jobs.Task) -> bool:
    """Returns whether the next run of a task has to be a trial."""
    crashes = list_unexplained(task)
    return (
        _has_early_crashes(task)
        or len(crashes) >= MIN_CRASHES_FOR_FULL_TRIAL
        or any(crash.is_suspect for crash in crashes)
    )


def _has_early_crashes(task: jobs.Task) -> bool:
    early = [
        crash
        for crash in list_unexplained(task)
        if crash.survived_ms < LONG_TRIAL_MS
    ]
    return len(early) >= MIN_CRASHES_FOR_LONG_TRIAL


def compute_proof_ms(crash: jobs.Crash) -> int:
    """Returns how long a run lasts that proves its task not to be the cause.

    Args:
      crash: A crash during an earlier run of the task.
    """
    if not crash.is_age_known:
        return MAX_COUNTED_MS
    return max(LONG_TRIAL_MS, STARTUP_MS + PROOF_RATIO * crash.survived_ms)


def compute_trial_ms(task: jobs.Task) -> int:
    """Returns how long the trial of a task lasts, in ms."""
    crashes = list_unexplained(task)
    if len(crashes) >= MIN_CRASHES_FOR_FULL_TRIAL:
        return max(map(compute_proof_ms, crashes))
    return LONG_TRIAL_MS if _has_early_crashes(task) else STARTUP_MS


def is_disproved(task: jobs.Task, crash: jobs.Crash) -> bool:
    """Returns whether an earlier run shows that a task did not cause a crash.

    That run lasted for far longer than the one during which the worker crashed.
    """
    return not crash.is_suspect and any(
        earlier.survived_ms >= compute_proof_ms(crash)
        for earlier in task.crashes.values()
    )


def list_unproven_crashes(
    task: jobs.Task, survived_ms: int
) -> dict[int, jobs.Crash]:
    """Returns the crashes of which a task may still be the cause.

    Args:
      task: The task.
      survived_ms: How long a later run of it has lasted.
    """
    return {
        run: crash
        for run, crash in task.crashes.items()
        if survived_ms < compute_proof_ms(crash)
    }


def is_trial_start(stage: jobs.Stage, task: jobs.Task) -> bool:
    """Returns whether a run of a task that starts now is a trial.

    The tasks of a gang start together, so one suspect makes all runs trials.
    """
    members = stage.tasks if stage.step.is_gang else [task]
    return any(needs_trial(member) for member in members)


def is_cause(task: jobs.Task) -> bool:
    """Returns whether a task is taken to crash the workers that start it.

    A start without an answer may have come after the crash, so it takes more of
    those.
    """
    crashes = list_unexplained(task)
    confirmed = [crash for crash in crashes if crash.is_confirmed]
    suspected = sum(crash.is_suspect for crash in confirmed)
    alone = sum(crash.is_only_suspect for crash in crashes)
    total = len(task.crashes)
    if alone == 0:
        return len(confirmed) >= MIN_CRASHES and total >= MAX_CRASHES
    return (
        alone >= MIN_CRASHES
        or suspected >= MIN_SUSPECTED_CRASHES
        or len(confirmed) >= MIN_CRASHES
        or total >= MAX_CRASHES_ALONE
    )


def compute_survived_ms(info: cluster_state.WorkerInfo, task: jobs.Task) -> int:
    """Returns for how long a worker is known to have executed a run, in ms."""
    if not task.started_clock_ms:
        return 0
    return max(0, info.alive_clock_ms - task.started_clock_ms)


def is_on_trial(info: cluster_state.WorkerInfo, task: jobs.Task) -> bool:
    """Returns whether the run of a task on a worker is a trial in progress.

    Runs that are only recorded as trials, as their worker does not answer or
    another member of their gang is a suspect, are not.
    """
    if task.trial is None or not needs_trial(task):
        return False
    return compute_survived_ms(info, task) < compute_trial_ms(task)


def has_trial(info: cluster_state.WorkerInfo) -> bool:
    """Returns whether a trial is in progress on a worker."""
    return info.trial_runs > 0 and any(
        is_on_trial(info, task) for task in info.runs.values()
    )


def compute_quiet_ms(info: cluster_state.WorkerInfo) -> int:
    """Returns how long ago the last run on a worker started, up to STARTUP_MS.

    It is a lower bound, in ms.
    """
    return min(
        (compute_survived_ms(info, task) for task in info.runs.values()),
        default=STARTUP_MS,
    )


def list_interrupted(
    info: cluster_state.WorkerInfo,
) -> list[cluster_state.InterruptedRun]:
    """Returns the runs that a worker may have had when it stopped answering."""
    return [
        cluster_state.InterruptedRun(
            name,
            task.run,
            compute_survived_ms(info, task),
            is_on_trial(info, task),
            is_confirmed=task.started_clock_ms > 0,
            is_age_known=task.start_decided_ms > 0,
        )
        for name, task in info.runs.items()
        if info.unanswered_since_ms is None
        or task.start_decided_ms <= info.silence_noticed_ms
    ]


def find_suspects(
    runs: list[cluster_state.InterruptedRun],
) -> list[cluster_state.InterruptedRun]:
    """Returns those of the runs on a crashed worker that may be the cause."""
    return [
        run for run in runs if run.is_on_trial or run.survived_ms < STARTUP_MS
    ]


def is_only_suspect(
    run: cluster_state.InterruptedRun,
    suspects: list[cluster_state.InterruptedRun],
    runs: list[cluster_state.InterruptedRun],
) -> bool:
    """Returns whether no run of another job may be the cause of a crash.

    The runs beside one that had just started had lasted for longer, so they did
    not crash the worker at that moment. Long after a start, any of them may
    have.

    Args:
      run: One of the runs.
      suspects: The suspects.
      runs: All runs on the worker.
    """
    others = suspects if run.survived_ms < STARTUP_MS else runs
    return all(other.name.job == run.name.job for other in others)
