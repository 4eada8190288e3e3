"""Progress of runs, as the lists of their workers show it over time.

Load pattern: a few tasks take seven times as long as others and are at work all
the time, while other runs hang on workers that answer as if they were healthy.
"""

from nutmegknot._internal.decisions import run_times
from nutmegknot._internal.models import jobs

# Number of lists in a row without growth up to which a run counts as moving. A
# worker that was paused lists once what it did before.
MAX_UNCHANGED_LISTS = 2
# Time without growth up to which a run counts as moving, in ms: two of the
# polls that a worker with runs may hold for 300 ms. Polls follow each other
# within 15 ms while runs end.
MIN_STALL_MS = 600
# Progress is listed in whole percents, so the lists of a long run show no
# growth for many polls. A run counts as moving up to this multiple of the time
# that it has taken for one percent on average.
STALL_FACTOR = 4.0


def record_listed(
    task: jobs.Task, percent: int | None, checkpoint: str, now_ms: int
) -> None:
    """Records the progress of a task's current run from a list of its worker.

    Args:
      task: The task.
      percent: Progress; None if the worker lists none that is valid.
      checkpoint: Newest checkpoint of the run.
      now_ms: Monotonic time in ms.
    """
    progress = task.progress
    if progress is None:
        if percent is None:
            return
        # What a run did before its first list is its own work only if it began
        # under this owner and without a checkpoint.
        is_whole = task.start_decided_ms > 0 and not task.checkpoint
        task.progress = jobs.Progress(
            percent,
            grown_ms=now_ms,
            base_percent=0 if is_whole else percent,
            base_ms=task.start_decided_ms if is_whole else now_ms,
            checkpoint=checkpoint,
        )
        return
    if checkpoint != progress.checkpoint:
        # It was made after the list before, with at least that progress.
        progress.checkpoint = checkpoint
        progress.saved_percent = progress.percent
    if percent is not None and percent > progress.percent:
        progress.percent = percent
        progress.grown_ms = now_ms
        progress.unchanged_lists = 0
    else:
        progress.unchanged_lists += 1


def is_moving(task: jobs.Task, listed_ms: int) -> bool:
    """Tells whether a run's progress has grown within the last lists.

    Args:
      task: The task.
      listed_ms: When its worker last listed its runs.
    """
    progress = task.progress
    if progress is None:
        return False
    if progress.unchanged_lists <= MAX_UNCHANGED_LISTS:
        return progress.percent > 0
    ms_per_percent = compute_ms_per_percent(progress)
    if ms_per_percent is None:
        return False
    stall_ms = max(MIN_STALL_MS, STALL_FACTOR * ms_per_percent)
    return listed_ms - progress.grown_ms <= stall_ms


def compute_ms_per_percent(progress: jobs.Progress) -> float | None:
    """Returns the time that one percent has taken; None without any growth."""
    gained = progress.percent - progress.base_percent
    if gained <= 0:
        return None
    return (progress.grown_ms - progress.base_ms) / gained


def estimate_left_ms(
    task: jobs.Task, expected_ms: int, listed_ms: int, now_ms: int
) -> int | None:
    """Returns the expected time in ms until a run ends, from its progress.

    Args:
      task: The task.
      expected_ms: Its expected run time.
      listed_ms: When its worker last listed its runs.
      now_ms: Monotonic time in ms.

    Returns:
      The time, or None if too little progress was seen or it has stopped.
    """
    progress = task.progress
    if progress is None or not is_moving(task, listed_ms):
        return None
    gained = progress.percent - progress.base_percent
    ms_per_percent = compute_ms_per_percent(progress)
    if ms_per_percent is None or (
        progress.base_percent and gained < run_times.MIN_RELIABLE_PERCENT
    ):
        return None
    left_ms = run_times.estimate_left_ms(
        round(ms_per_percent * progress.percent), progress.percent, expected_ms
    )
    return max(0, left_ms - (now_ms - progress.grown_ms))
