"""Detection of stuck runs, and quarantine of workers on which runs fail.

Load pattern: some workers fail every run, hang, or work far below their normal
speed, while they answer calls as if they were healthy. A few tasks legitimately
take seven times as long as others: what such a run has done is not thrown away
while it makes progress.
"""

import statistics

from nutmegknot._internal.decisions import run_progress
from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import cluster_state
from nutmegknot._internal.models import jobs

# A run is stuck after this multiple of the longest run among the finished
# tasks of its stage, plus a margin; tasks of one stage are alike.
SIBLING_FACTOR = 1.8
# Margin that is added to the multiple of the longest run, in ms.
SIBLING_MARGIN_MS = 500
# Number of finished tasks in a stage from which on its runs are compared with
# them rather than with the caller's estimate.
MIN_SIBLINGS = 2
# Where too few tasks of the stage have finished, a run is stuck after this
# multiple of the caller's estimate, plus a margin.
ESTIMATE_FACTOR = 4.0
# Margin that is added to the multiple of the estimate, in ms.
ESTIMATE_MARGIN_MS = 2_000
# Number of other runs on a worker whose progress tells how slow it is now. With
# 3 % of long tasks, the median of three is one of them in 0.3 % of cases.
MIN_PEERS = 3
# Ratio of run times there to usual ones from which on a worker counts as
# degraded. Workers in order differ by a third within one kind.
DEGRADED_RATIO = 2.0
# A run is moved if that gains this multiple of the time that it loses. The time
# left and the ratio of the worker may each be off by a third.
GAIN_FACTOR = 2.0
# Time that a move costs beside work that is done again, in ms: stop, list of
# the worker, placement and start are a call or a pass each.
MOVE_MS = 500
# Largest number of earlier run ends on a worker that count as recent.
MAX_EARLIER_ENDS = 12
# Age up to which the end of a run counts as recent, in ms.
RECENT_ENDS_MS = 8_000
# Number of failures among the recent run ends needed for a quarantine.
MIN_FAILURES = 3
# Part of the recent run ends that must be failures for a quarantine.
MIN_FAILED_FRACTION = 0.5
# Length of a worker's first quarantine in ms. Each further one, without a
# successful run in between, is twice as long as the one before.
FIRST_QUARANTINE_MS = 2_000
# Longest quarantine in ms.
MAX_QUARANTINE_MS = 8_000


def find_stuck_runs(
    cluster: cluster_state.ClusterState, now_ms: int
) -> list[jobs.TaskName]:
    """Returns the tasks whose runs take far too long and make no progress.

    A run on a worker that does not answer may have ended long ago.
    """
    stuck = []
    for info in cluster.workers_by_id.values():
        if info.unanswered_since_ms is not None:
            continue
        for name, task in info.runs.items():
            if task.phase is jobs.TaskPhase.RUNNING and _is_stuck(
                cluster, info, name, task, now_ms
            ):
                stuck.append(name)
    return stuck


def _is_stuck(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> bool:
    stage = cluster_state.find_stage(cluster, name)
    # The speed of an opportunistic task depends on the processors that other
    # tasks leave idle, so its run time says nothing.
    if (
        stage is None
        or stage.step.is_long_running
        or stage.step.is_opportunistic
    ):
        return False
    if run_progress.is_moving(task, info.last_answer_ms):
        return False
    since_ms = task.start_decided_ms
    if not since_ms:
        # An earlier owner started the run, at a time that is not known. It was
        # in progress when its progress was first listed.
        if task.progress is None:
            return False
        since_ms = task.progress.base_ms
    return now_ms - since_ms > compute_run_limit_ms(cluster, info, stage)


def find_slow_runs(
    cluster: cluster_state.ClusterState, now_ms: int
) -> list[jobs.TaskName]:
    """Returns the tasks that would end far sooner on another worker.

    Their runs make progress and have taken longer than all their siblings, but
    will end only after the limit for stuck runs. Other runs on their worker are
    slow as well; else the task may just have more work than its siblings. A run
    without checkpoints is left alone, as all that it has done would be lost.
    """
    slow = []
    for info in cluster.workers_by_id.values():
        if info.unanswered_since_ms is not None:
            continue
        late = [
            (name, task, left_ms)
            for name, task in info.runs.items()
            if (left_ms := _find_late_run(cluster, info, name, task, now_ms))
        ]
        for name, task, left_ms in late:
            ratio = _estimate_present_ratio(cluster, info, name, now_ms)
            if ratio >= DEGRADED_RATIO and _is_move_gainful(
                task, left_ms, ratio
            ):
                slow.append(name)
    return slow


def _find_late_run(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> int:
    """Returns the time left in ms of a run that could move and will end late.

    It is 0 for all other runs.
    """
    if (
        task.phase is not jobs.TaskPhase.RUNNING
        or task.progress is None
        or not task.start_decided_ms
    ):
        return 0
    stage = cluster_state.find_stage(cluster, name)
    if (
        stage is None
        or not stage.step.makes_checkpoints
        or stage.step.is_long_running
        or stage.step.is_opportunistic
        or (stage.step.is_gang and stage.step.count > 1)
        or len(stage.durations_ms) < MIN_SIBLINGS
    ):
        return 0
    age_ms = now_ms - task.start_decided_ms
    if age_ms <= max(stage.durations_ms):
        return 0
    expected_ms = int(statistics.median(stage.durations_ms))
    left_ms = run_progress.estimate_left_ms(
        task, expected_ms, info.last_answer_ms, now_ms
    )
    if left_ms is None:
        return 0
    limit_ms = compute_run_limit_ms(cluster, info, stage)
    return left_ms if age_ms + left_ms > limit_ms else 0


def _estimate_present_ratio(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    name: jobs.TaskName,
    now_ms: int,
) -> float:
    """Returns the run time on a worker now, divided by that of its kind.

    It follows from the runs that have ended there, or from the progress of the
    other runs there, as few runs end on a degraded worker.
    """
    kind = (info.worker.pool, info.worker.kind)
    ended = info.run_time_ratio / cluster.kind_ratios.get(kind, 1.0)
    ratios = []
    for other, task in info.runs.items():
        stage = cluster_state.find_stage(cluster, other)
        if other == name or stage is None or not task.start_decided_ms:
            continue
        expected_ms = run_times.estimate_quantile_ms(
            cluster.run_times,
            cluster.jobs[other.job].spec.queue,
            other.step,
            stage.step.estimate_ms,
            0.5,
        )
        if stage.durations_ms:
            expected_ms = int(statistics.median(stage.durations_ms))
        left_ms = run_progress.estimate_left_ms(
            task, expected_ms, info.last_answer_ms, now_ms
        )
        if left_ms is not None and expected_ms > 0:
            run_ms = now_ms - task.start_decided_ms + left_ms
            ratios.append(run_ms / expected_ms)
    if len(ratios) < MIN_PEERS:
        return ended
    return max(ended, statistics.median(ratios))


def _is_move_gainful(task: jobs.Task, left_ms: int, ratio: float) -> bool:
    progress = task.progress
    if progress is None:
        return False
    ms_per_percent = run_progress.compute_ms_per_percent(progress) or 0.0
    unsaved = progress.percent - progress.saved_percent
    lost_ms = unsaved * ms_per_percent / ratio + MOVE_MS
    return left_ms * (1 - 1 / ratio) > GAIN_FACTOR * lost_ms


def compute_run_limit_ms(
    cluster: cluster_state.ClusterState,
    info: cluster_state.WorkerInfo,
    stage: jobs.Stage,
) -> float:
    """Returns the time in ms after which a stage's run on a worker is stuck.

    It about doubles with each run of the stage that was stopped as stuck, as
    the estimate may be far too low.
    """
    multiplier = 1 << stage.stuck_runs
    if len(stage.durations_ms) >= MIN_SIBLINGS:
        limit_ms = max(stage.durations_ms) * SIBLING_FACTOR
        return multiplier * limit_ms + SIBLING_MARGIN_MS
    key = (info.worker.pool, info.worker.kind)
    run_time_ratio = max(1.0, cluster.run_time_ratios.get(key, 1.0))
    limit_ms = stage.step.estimate_ms * run_time_ratio * ESTIMATE_FACTOR
    return multiplier * (limit_ms + ESTIMATE_MARGIN_MS)


def record_run_end(
    info: cluster_state.WorkerInfo,
    job: str,
    is_failure: bool,
    now_ms: int,
    *,
    succeeds_elsewhere: bool = False,
) -> bool:
    """Records how a run ended, and quarantines a worker with many failures.

    Failures of one job alone are taken for its own fault, unless tasks like the
    failed one have succeeded.

    Args:
      info: The worker; nothing starts on it while it is in quarantine.
      job: Id of the job.
      is_failure: Whether the run failed or was stuck.
      now_ms: Monotonic time in ms.
      succeeds_elsewhere: Whether tasks of the run's stage have succeeded.

    Returns:
      Whether a quarantine begins now.
    """
    info.recent_ends = [
        end
        for end in info.recent_ends
        if now_ms - end.ended_ms < RECENT_ENDS_MS
    ][-MAX_EARLIER_ENDS:]
    info.recent_ends.append(cluster_state.RunEnd(now_ms, is_failure, job))
    if not is_failure:
        info.consecutive_quarantines = 0
        return False
    failures = [end for end in info.recent_ends if end.is_failure]
    if (
        len(failures) < MIN_FAILURES
        or len(failures) < MIN_FAILED_FRACTION * len(info.recent_ends)
        or not (succeeds_elsewhere or _is_of_several_jobs(failures))
    ):
        return False
    quarantine_ms = min(
        MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS << info.consecutive_quarantines
    )
    info.consecutive_quarantines += 1
    info.quarantine_until_ms = now_ms + quarantine_ms
    info.quarantine_failures = failures
    info.recent_ends.clear()
    return True


def _is_of_several_jobs(failures: list[cluster_state.RunEnd]) -> bool:
    return len({end.job for end in failures}) > 1


def discount_failures(
    cluster: cluster_state.ClusterState, job: str
) -> list[cluster_state.WorkerInfo]:
    """Removes the failures of a job that is their cause from all workers.

    Returns:
      The workers whose quarantine ends by that.
    """
    released = []
    for info in cluster.workers_by_id.values():
        info.recent_ends = [
            end
            for end in info.recent_ends
            if end.job != job or not end.is_failure
        ]
        left = [end for end in info.quarantine_failures if end.job != job]
        is_changed = len(left) < len(info.quarantine_failures)
        info.quarantine_failures = left
        is_upheld = len(left) >= MIN_FAILURES and _is_of_several_jobs(left)
        if is_changed and not is_upheld:
            info.quarantine_until_ms = 0
            info.quarantine_failures = []
            info.consecutive_quarantines = max(
                0, info.consecutive_quarantines - 1
            )
            info.recent_ends += left
            released.append(info)
    return released
