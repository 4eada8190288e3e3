"""Attribution of workers' crashes to tasks, and trials of suspected tasks.

Load pattern: a task crashes each worker that starts it. The runs of other tasks
end with the worker, and all of them start again elsewhere. Most crash soon
after the start, so the youngest runs on a crashed worker are suspects. A
suspect starts again as a trial: on a worker where nothing has started lately,
and where nothing else starts until the trial is over. If that worker crashes as
well, the suspect is the cause.
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
# MAX_TRIAL_MS: it may crash workers later than at its start.
MIN_CRASHES_FOR_LONG_TRIAL = 2
# Longest trial. A run of this length clears its task of earlier crashes.
MAX_TRIAL_MS = 10_000
# Largest part of the workers of a pool on which trials may be in progress.
MAX_TRIAL_FRACTION = 0.5


def needs_trial(task: jobs.Task) -> bool:
    """Returns whether the next run of a task has to be a trial."""
    return len(task.crashes) >= MIN_CRASHES_FOR_LONG_TRIAL or any(
        crash.is_suspect for crash in task.crashes.values()
    )


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
    crashes = task.crashes.values()
    confirmed = [crash for crash in crashes if crash.is_confirmed]
    suspected = sum(crash.is_suspect for crash in confirmed)
    alone = sum(crash.is_only_suspect for crash in crashes)
    return alone >= MIN_CRASHES or (
        alone > 0
        and (
            suspected >= MIN_SUSPECTED_CRASHES or len(confirmed) >= MIN_CRASHES
        )
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
    is_long = len(task.crashes) >= MIN_CRASHES_FOR_LONG_TRIAL
    trial_ms = MAX_TRIAL_MS if is_long else STARTUP_MS
    return compute_survived_ms(info, task) < trial_ms


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
