"""Detection of stuck runs, and quarantine of workers on which runs fail.

Load pattern: some workers fail every run, hang, or work far below their normal
speed, while they answer calls as if they were healthy.
"""

from nutmegknot._internal.models import books
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


def find_stuck(cluster: books.Book, now_ms: int) -> list[jobs.TaskName]:
    """Returns the tasks whose runs take far longer than expected."""
    stuck = []
    for info in cluster.hosts.values():
        for name, task in info.runs.items():
            if task.phase is jobs.Phase.RUNNING and _is_stuck(
                cluster, info, name, task, now_ms
            ):
                stuck.append(name)
    return stuck


def _is_stuck(
    cluster: books.Book,
    info: books.Host,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> bool:
    stage = books.find_stage(cluster, name)
    # The speed of an opportunistic task depends on the processors that other
    # tasks leave idle, so its run time says nothing.
    if stage is None or stage.step.lasting or stage.step.fills:
        return False
    if not task.began_ms:
        return False
    return now_ms - task.began_ms > compute_run_limit_ms(cluster, info, stage)


def compute_run_limit_ms(
    cluster: books.Book, info: books.Host, stage: jobs.Stage
) -> float:
    """Returns the time in ms after which a stage's run on a worker is stuck.

    It about doubles with each run of the stage that was stopped as stuck, as
    the estimate may be far too low.
    """
    multiplier = 1 << stage.stuck
    if len(stage.durations) >= MIN_SIBLINGS:
        limit_ms = max(stage.durations) * SIBLING_FACTOR
        return multiplier * limit_ms + SIBLING_MARGIN_MS
    key = (info.worker.pool, info.worker.kind)
    run_time_ratio = max(1.0, cluster.speeds.get(key, 1.0))
    limit_ms = stage.step.estimate_ms * run_time_ratio * ESTIMATE_FACTOR
    return multiplier * (limit_ms + ESTIMATE_MARGIN_MS)


def note_end(info: books.Host, is_failure: bool, now_ms: int) -> bool:
    """Records how a run ended, and quarantines a worker with many failures.

    Args:
      info: The worker; nothing starts on it while it is in quarantine.
      is_failure: Whether the run failed or was stuck.
      now_ms: Monotonic time in ms.

    Returns:
      Whether a quarantine begins now.
    """
    info.ends = [
        end for end in info.ends if now_ms - end.at_ms < RECENT_ENDS_MS
    ][-MAX_EARLIER_ENDS:]
    info.ends.append(books.EndNote(now_ms, is_failure))
    if not is_failure:
        info.rests = 0
        return False
    failures = sum(end.is_bad for end in info.ends)
    if failures < MIN_FAILURES or failures < MIN_FAILED_FRACTION * len(
        info.ends
    ):
        return False
    quarantine_ms = min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS << info.rests)
    info.rests += 1
    info.doubted_until_ms = max(info.doubted_until_ms, now_ms + quarantine_ms)
    info.ends.clear()
    return True
