"""Which runs are stopped so that more urgent work can start.

Load pattern: workers are full of work with time to spare when urgent work
comes, or work of many small tasks holds a part of every large worker.
"""

import dataclasses

from nutmegknot._internal.decisions import rooms
from nutmegknot._internal.models import books
from nutmegknot._internal.models import jobs
from nutmegknot._internal.models import resources

# A run that saves nothing may be stopped while it is younger, in ms.
YOUNG_MS = 150
# A run is left alone until it is older, so that work goes on, in ms.
LEAST_RUN_MS = 500
# The most runs stopped for one task, and in one decision.
MOST_FOR_TASK = 8
MOST_AT_A_TIME = 16
# How many processors an accelerator counts for where work is weighed.
GPU_CORES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Victim:
    """A run that could be stopped.

    Attributes:
      name: Its task.
      held: What it would leave.
      cost: Work that would be lost, by the processors that it has.
    """

    name: jobs.TaskName
    held: resources.Resources
    cost: float


def evict_for(
    book: books.Book,
    room: rooms.Room,
    step: jobs.Step,
    priority: int,
    hosts: list[books.Host],
    now_ms: int,
) -> bool:
    """Chooses runs to stop so that one task fits on one of the workers.

    Returns:
      Whether room is about to come; it is taken then.
    """
    held = jobs.get_held(step)
    for host in hosts:
        if rooms.take_coming(room, host.worker.id, held):
            return True
    best: tuple[float, books.Host, list[Victim]] | None = None
    for host in hosts:
        victims = _choose_victims(book, room, host, held, priority, now_ms)
        if victims is None:
            continue
        cost = sum(victim.cost for victim in victims)
        if best is None or cost < best[0]:
            best = (cost, host, victims)
    if best is None:
        return False
    _, host, victims = best
    if len(room.evicted) + len(victims) > MOST_AT_A_TIME:
        return False
    for victim in victims:
        room.evicted.append(victim.name)
        id = host.worker.id
        room.coming[id] = resources.add(room.coming[id], victim.held)
    return rooms.take_coming(room, host.worker.id, held)


def _choose_victims(
    book: books.Book,
    room: rooms.Room,
    host: books.Host,
    held: resources.Resources,
    priority: int,
    now_ms: int,
) -> list[Victim] | None:
    """Returns the cheapest runs that leave enough room, or None."""
    id = host.worker.id
    total = resources.add(room.free[id], room.coming[id])
    candidates = []
    for name, task in host.runs.items():
        victim = _judge_run(book, name, task, priority, now_ms)
        if victim is not None and name not in room.evicted:
            candidates.append(victim)
    candidates.sort(key=lambda victim: victim.cost)
    chosen = []
    for victim in candidates[:MOST_FOR_TASK]:
        total = resources.add(total, victim.held)
        chosen.append(victim)
        if resources.fits(held, total):
            return chosen
    return None


def _judge_run(
    book: books.Book,
    name: jobs.TaskName,
    task: jobs.Task,
    priority: int,
    now_ms: int,
) -> Victim | None:
    """Returns a run as one that may be stopped, or None if it may not."""
    job = book.jobs.get(name.job)
    if job is None or task.phase is not jobs.Phase.RUNNING:
        return None
    step = job.order.steps[name.step]
    is_lower = books.get_queue(book, job.order).priority > priority
    is_whole = step.all_at_once and step.count > 1
    if not is_lower or is_whole or step.lasting:
        return None
    age_ms = now_ms - task.began_ms if task.began_ms else 0
    if step.saves_progress:
        if age_ms < LEAST_RUN_MS:
            return None
    elif age_ms > YOUNG_MS:
        return None
    held = jobs.get_held(step)
    cores = step.size.millicores / 1000 + GPU_CORES * step.size.accelerators
    return Victim(name, held, cores)
