"""Reservations for requests that many small ones would keep waiting.

A reservation names workers and the instant at which they are expected to have
room. Other requests use these workers only if they are expected to end
before, or if they fit beside what is reserved (backfill).
"""

import collections
from collections.abc import Iterator

from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import holdings
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import resources

# Part of a worker from which on a request counts as large.
_LARGE = 0.25
# Workers looked at for one reservation, beyond twice its members.
_SAMPLE = 128
# Part of its wait by which an all-at-once job may be delayed to keep fewer
# workers reserved.
_DELAY_DIVISOR = 4
# Part of the workers that all reservations together may take.
_MOST_WORKERS = 0.3
# How long in ms after its instant a reservation is taken to be late.
_REPLAN_MS = 2_000
# Run time assumed for tasks of which nothing is known, in ms.
_UNKNOWN_RUN_MS = 60_000


def keep_reservations(sched: states.Scheduler, now_ms: int) -> None:
    """Drops reservations that are over or late, and makes the next one."""
    for key, reservation in list(sched.reservations.items()):
        gone = key not in sched.waiting
        lost = reservation.rooms.keys() - sched.machines.keys()
        if gone or lost:
            drop(sched, key)
        elif now_ms > reservation.start_ms + _REPLAN_MS:
            _postpone(sched, key, now_ms)
    if len(sched.reservations) >= sched.policy.reservations:
        return
    longest = _find_longest_waiting(sched, now_ms)
    if longest is not None:
        _reserve(sched, longest, now_ms)


def _postpone(sched: states.Scheduler, key: str, now_ms: int) -> None:
    """Gives a late reservation a new instant; it keeps its workers.

    To plan it on others would lose the room that it has gathered so far.
    """
    rooms = sched.reservations[key].rooms
    shape = queues.get_shape(sched.queue, key)
    instants = [now_ms]
    for worker_id, kept in rooms.items():
        count = resources.count_fitting(shape.size, kept)
        found = _find_rooms(sched, worker_id, shape, now_ms)[:count]
        instants += [instant for instant, _ in found]
    drop(sched, key)
    earmark(sched, key, rooms, max(instants), now_ms)


def is_ready(sched: states.Scheduler, request_key: str) -> bool:
    """Tells whether the reserved workers have room for the whole request."""
    shape = queues.get_shape(sched.queue, request_key)
    rooms = sum(
        resources.count_fitting(shape.size, free)
        for _, free in list_reserved(sched, request_key)
    )
    return rooms >= shape.members


def list_reserved(
    sched: states.Scheduler, request_key: str
) -> list[tuple[str, resources.Resources]]:
    """Returns what is free on the workers that are kept for a request."""
    reservation = sched.reservations.get(request_key)
    if reservation is None:
        return []
    return [
        (worker_id, sched.free[worker_id])
        for worker_id in reservation.rooms
        if worker_id in sched.machines
    ]


def drop(sched: states.Scheduler, request_key: str) -> None:
    """Drops a reservation; one that is not there changes nothing."""
    reservation = sched.reservations.pop(request_key, None)
    if reservation is None:
        return
    for worker_id in reservation.rooms:
        del sched.earmarks[worker_id]
        holdings.refresh_index(sched, worker_id)
        holdings.reopen(sched, worker_id)


def earmark(
    sched: states.Scheduler,
    request_key: str,
    rooms: dict[str, resources.Resources],
    start_ms: int,
    now_ms: int,
) -> None:
    """Keeps room on workers for a request.

    Args:
      sched: The state.
      request_key: The request; it must have no reservation.
      rooms: What is kept, by worker; no worker may be earmarked already.
      start_ms: Instant in ms at which there is expected to be room.
      now_ms: Wall clock instant in ms.
    """
    spare = {}
    for worker_id, kept in rooms.items():
        free = _project(sched, worker_id, start_ms, now_ms)
        spare[worker_id] = resources.subtract(free, kept)
        sched.earmarks[worker_id] = request_key
    sched.reservations[request_key] = states.Reservation(start_ms, rooms, spare)
    for worker_id in rooms:
        holdings.refresh_index(sched, worker_id)


def find_backfill(
    sched: states.Scheduler, shape: queues.Shape, key: str, now_ms: int
) -> Iterator[str]:
    """Yields earmarked workers that a request may use."""
    for worker_id, free in list_reserved(sched, key):
        if resources.fits(shape.size, free):
            yield worker_id
    for worker_id, owner in sched.earmarks.items():
        if owner == key or worker_id in shape.avoided:
            continue
        if worker_id not in sched.machines:
            continue
        if not resources.fits(shape.size, _get_room(sched, worker_id, shape)):
            continue
        reservation = sched.reservations[owner]
        end_ms = now_ms + shape.run_ms if shape.run_ms else None
        if (
            end_ms is not None
            and end_ms <= reservation.start_ms
            or resources.fits(shape.size, reservation.spare[worker_id])
        ):
            yield worker_id


def _get_room(
    sched: states.Scheduler, worker_id: str, shape: queues.Shape
) -> resources.Resources:
    if shape.size.accelerators:
        return sched.free[worker_id]
    return holdings.compute_other_room(sched, sched.machines[worker_id])


def note_backfill(
    sched: states.Scheduler, worker_id: str, shape: queues.Shape, now_ms: int
) -> None:
    """Takes note that a task was placed on an earmarked worker."""
    owner = sched.earmarks.get(worker_id)
    if owner is None:
        return
    reservation = sched.reservations[owner]
    if not shape.run_ms or now_ms + shape.run_ms > reservation.start_ms:
        spare = reservation.spare[worker_id]
        reservation.spare[worker_id] = resources.subtract(spare, shape.size)


def is_large(sched: states.Scheduler, shape: queues.Shape) -> bool:
    """Tells whether small requests could keep a shape waiting for ever."""
    if shape.members > 1:
        return True
    part = resources.compute_dominant_share(shape.size, sched.largest)
    return part >= _LARGE


def _find_longest_waiting(sched: states.Scheduler, now_ms: int) -> str | None:
    best = None
    for (priority, team), line in sched.queue.lines.items():
        if now_ms - line.oldest[0] < sched.policy.reserve_after_ms:
            continue
        for shape, part in line.parts.items():
            accepted_ms, key = part[0]
            if now_ms - accepted_ms < sched.policy.reserve_after_ms:
                continue
            # All-at-once jobs are tried at intervals, so their mark is late.
            is_kept_out = shape.blocked or shape.members > 1
            if not is_kept_out or key in sched.reservations:
                continue
            whole = resources.multiply(shape.size, shape.members)
            if not is_large(sched, shape):
                continue
            if not holdings.is_granted(sched, team, whole):
                continue
            rank = (priority, accepted_ms, key)
            if best is None or rank < best:
                best = rank
    return best[2] if best is not None else None


def _reserve(sched: states.Scheduler, key: str, now_ms: int) -> None:
    shape = queues.get_shape(sched.queue, key)
    names = [
        worker_id
        for worker_id, worker in sched.machines.items()
        if worker_id not in sched.earmarks
        and worker_id not in shape.avoided
        and resources.fits(shape.size, worker.capacity)
    ]
    most = _SAMPLE + 2 * shape.members
    if len(names) > most:
        names = sched.rng.sample(names, most)
    rooms: list[tuple[int, str]] = []
    for worker_id in names:
        rooms += _find_rooms(sched, worker_id, shape, now_ms)
    rooms.sort()
    if len(rooms) < shape.members:
        return
    start_ms = _delay(rooms[shape.members - 1][0], now_ms)
    counts = _choose_few(
        [worker_id for at_ms, worker_id in rooms if at_ms <= start_ms],
        shape.members,
    )
    taken = len(sched.earmarks) + len(counts)
    if sched.earmarks and taken > _MOST_WORKERS * len(sched.machines):
        return
    kept = {
        worker_id: resources.multiply(shape.size, count)
        for worker_id, count in counts.items()
    }
    earmark(sched, key, kept, start_ms, now_ms)


def _delay(start_ms: int, now_ms: int) -> int:
    """Returns an instant a little later, when fewer workers have the room."""
    return start_ms + (start_ms - now_ms) // _DELAY_DIVISOR


def _choose_few(rooms: list[str], members: int) -> dict[str, int]:
    """Returns how many members go to each worker, so that few are needed."""
    counts = collections.Counter(rooms)
    chosen: dict[str, int] = {}
    missing = members
    for worker_id, count in counts.most_common():
        if missing <= 0:
            break
        chosen[worker_id] = min(count, missing)
        missing -= count
    return chosen


def _find_rooms(
    sched: states.Scheduler, worker_id: str, shape: queues.Shape, now_ms: int
) -> list[tuple[int, str]]:
    """Returns from when on a worker has room for each further member."""
    free = sched.free[worker_id]
    most = resources.count_fitting(shape.size, free)
    rooms = [(now_ms, worker_id)] * min(most, shape.members)
    ends = sorted(
        (end_ms, task.request_key, task.member, held.size)
        for task, held in sched.tasks.get(worker_id, {}).items()
        if (end_ms := expect_end(sched, task.request_key, now_ms)) is not None
    )
    for end_ms, _, _, size in ends:
        if len(rooms) >= shape.members:
            break
        free = resources.add(free, size)
        more = resources.count_fitting(shape.size, free) - len(rooms)
        rooms += [(end_ms, worker_id)] * more
    return rooms[: shape.members]


def expect_end(
    sched: states.Scheduler, request_key: str, now_ms: int
) -> int | None:
    """Returns when a running request is expected to end, None if never."""
    run = sched.running.get(request_key)
    if run is None:
        return now_ms + _UNKNOWN_RUN_MS
    if run.stopping:
        return now_ms
    if run.given.req.service:
        return None
    ran_ms = now_ms - run.started_ms
    req = run.given.req
    mean_ms = estimates.expect_run(
        sched.learned.get(req.queue), req.run_ms, deviations=0.0
    )
    for expected_ms in (mean_ms, run.run_ms):
        if expected_ms > ran_ms:
            return run.started_ms + expected_ms
    return now_ms + max(ran_ms, 1_000 if run.run_ms else _UNKNOWN_RUN_MS)


def _project(
    sched: states.Scheduler, worker_id: str, at_ms: int, now_ms: int
) -> resources.Resources:
    """Returns what a worker is expected to have free at an instant."""
    free = sched.free[worker_id]
    for task, held in sched.tasks.get(worker_id, {}).items():
        end_ms = expect_end(sched, task.request_key, now_ms)
        if end_ms is not None and end_ms <= at_ms:
            free = resources.add(free, held.size)
    return free
