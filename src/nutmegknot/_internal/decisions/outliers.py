"""Runs that take far too long, and workers that are not to be trusted.

Load pattern: some workers fail all that they start, hang or work at a part of
their speed while they answer as if all were well.
"""

from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs

# Tasks of one stage are alike: a run is stuck beyond so many times the longest
# run of its siblings, and a fixed time more, in ms.
SIBLING_FACTOR = 1.8
SIBLING_MS = 500
LEAST_SIBLINGS = 2
# Without siblings, the same for the caller's estimate.
ESTIMATE_FACTOR = 4.0
ESTIMATE_MS = 2_000
# Ends that are remembered of a worker, and for how long in ms.
ENDS_KEPT = 12
MEMORY_MS = 8_000
# Bad ends among these after which a worker rests, as a number and as a part.
BAD_ENDS = 3
BAD_PART = 0.5
# First and longest rest in ms; each one is twice as long as the one before.
FIRST_REST_MS = 2_000
LONGEST_REST_MS = 8_000


def find_stuck(book: books.Book, now_ms: int) -> list[jobs.TaskName]:
    """Returns the tasks whose runs take far longer than they should."""
    stuck = []
    for host in book.hosts.values():
        for name, task in host.runs.items():
            if task.phase is jobs.Phase.RUNNING and _is_stuck(
                book, host, name, task, now_ms
            ):
                stuck.append(name)
    return stuck


def _is_stuck(
    book: books.Book,
    host: books.Host,
    name: jobs.TaskName,
    task: jobs.Task,
    now_ms: int,
) -> bool:
    stage = books.find_stage(book, name)
    # How fast a filling task works depends on what others leave.
    if stage is None or stage.step.lasting or stage.step.fills:
        return False
    if not task.began_ms:
        return False
    return now_ms - task.began_ms > compute_longest(book, host, stage)


def compute_longest(
    book: books.Book, host: books.Host, stage: jobs.Stage
) -> float:
    """Returns how long a run of a stage may take on a worker in ms.

    Each run that was stuck doubles it, as the estimate may be far off.
    """
    patience = 1 << stage.stuck
    if len(stage.durations) >= LEAST_SIBLINGS:
        longest = max(stage.durations) * SIBLING_FACTOR
        return patience * longest + SIBLING_MS
    key = (host.worker.pool, host.worker.kind)
    speed = max(1.0, book.speeds.get(key, 1.0))
    longest = stage.step.estimate_ms * speed * ESTIMATE_FACTOR
    return patience * (longest + ESTIMATE_MS)


def note_end(host: books.Host, is_bad: bool, now_ms: int) -> bool:
    """Takes note of how a run ended; tells whether the worker rests now."""
    host.ends = [end for end in host.ends if now_ms - end.at_ms < MEMORY_MS][
        -ENDS_KEPT:
    ]
    host.ends.append(books.EndNote(now_ms, is_bad))
    if not is_bad:
        host.rests = 0
        return False
    bad = sum(end.is_bad for end in host.ends)
    if bad < BAD_ENDS or bad < BAD_PART * len(host.ends):
        return False
    rest_ms = min(LONGEST_REST_MS, FIRST_REST_MS << host.rests)
    host.rests += 1
    host.doubted_until_ms = max(host.doubted_until_ms, now_ms + rest_ms)
    host.ends.clear()
    return True
