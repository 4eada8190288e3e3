"""Reservations and backfill, so that large requests are not starved.

Load pattern: many small requests take resources as soon as they are free, so
that a large request never finds enough of them at once. A reservation keeps
workers for it and states the time at which they are expected to have room.
Other requests may use these workers only if they are expected to end before
that time, or if they fit beside the reserved resources (backfill).
"""

import collections
from collections.abc import Iterator

from nutmegknot._internal.decisions import allocations
from nutmegknot._internal.decisions import estimates
from nutmegknot._internal.decisions import queues
from nutmegknot._internal.decisions import states
from nutmegknot._internal.models import resources

# A request is large if one of its members needs at least this fraction of the
# largest worker in any resource.
_LARGE_SHARE = 0.25
# Number of workers considered for one reservation, in addition to two for each
# member.
_EXTRA_SAMPLED_WORKERS = 128
# A reservation may start later by the expected wait divided by this number, so
# that it needs fewer workers.
_DELAY_DIVISOR = 4
# Fraction of the workers of a partition that may be reserved at the same time.
_MAX_RESERVED_SHARE = 0.3
# Time in ms after its planned start from which a reservation counts as late.
_LATE_AFTER_MS = 2_000
# Run time in ms that is assumed for tasks without any estimate.
_DEFAULT_RUN_MS = 60_000


def update_reservations(sched: states.Scheduler, now_ms: int) -> None:
    """Updates the reservations, and makes one more if the policy allows it.

    A reservation is dropped if its request no longer waits or if one of its
    workers may be given no more tasks. A late one gets a new start. The new one
    goes to a large request of the most urgent class, the oldest first.
    """
    for key, reservation in list(sched.reservations.items()):
        has_left_queue = key not in sched.waiting
        lost_workers = (
            reservation.reserved.keys() - sched.schedulable_workers.keys()
        )
        if has_left_queue or lost_workers:
            drop(sched, key)
        elif now_ms > reservation.start_ms + _LATE_AFTER_MS:
            _reschedule(sched, key, now_ms)
    if len(sched.reservations) >= sched.policy.reservations:
        return
    longest = _find_longest_waiting(sched, now_ms)
    if longest is not None:
        _plan_reservation(sched, longest, now_ms)


def _reschedule(sched: states.Scheduler, key: str, now_ms: int) -> None:
    """Gives a late reservation a new start on the same workers.

    On other workers, it would lose the resources that are already free for it.
    """
    reserved = sched.reservations[key].reserved
    shape = queues.get_shape(sched.queue, key)
    start_times = [now_ms]
    for worker_id, kept in reserved.items():
        count = resources.count_fitting(shape.size, kept)
        found = _list_room_times(sched, worker_id, shape, now_ms)[:count]
        start_times += [start for start, _ in found]
    drop(sched, key)
    reserve(sched, key, reserved, max(start_times), now_ms)


def is_ready(sched: states.Scheduler, request_key: str) -> bool:
    """Returns whether all members of a request fit on its reserved workers."""
    shape = queues.get_shape(sched.queue, request_key)
    member_count = sum(
        resources.count_fitting(shape.size, free)
        for _, free in list_reserved_room(sched, request_key)
    )
    return member_count >= shape.members


def list_reserved_room(
    sched: states.Scheduler, request_key: str
) -> list[tuple[str, resources.Resources]]:
    """Returns the free resources of each worker reserved for a request."""
    reservation = sched.reservations.get(request_key)
    if reservation is None:
        return []
    return [
        (worker_id, sched.free[worker_id])
        for worker_id in reservation.reserved
        if worker_id in sched.schedulable_workers
    ]


def drop(sched: states.Scheduler, request_key: str) -> None:
    """Drops the reservation of a request, if it has one."""
    reservation = sched.reservations.pop(request_key, None)
    if reservation is None:
        return
    for worker_id in reservation.reserved:
        del sched.reserved_workers[worker_id]
        allocations.refresh_index(sched, worker_id)
        allocations.unblock_requests(sched, worker_id)


def reserve(
    sched: states.Scheduler,
    request_key: str,
    reserved: dict[str, resources.Resources],
    start_ms: int,
    now_ms: int,
) -> None:
    """Reserves workers for a request.

    Args:
      sched: The scheduler.
      request_key: The request; it must not have a reservation.
      reserved: Resources to keep, by worker; none of the workers may be
        reserved already.
      start_ms: Wall-clock time in ms at which these resources are expected to
        be free.
      now_ms: Wall-clock time in ms.
    """
    spare = {}
    for worker_id, kept in reserved.items():
        free = _project_free(sched, worker_id, start_ms, now_ms)
        spare[worker_id] = resources.subtract(free, kept)
        sched.reserved_workers[worker_id] = request_key
    sched.reservations[request_key] = states.Reservation(
        start_ms, reserved, spare
    )
    for worker_id in reserved:
        allocations.refresh_index(sched, worker_id)


def find_backfill_workers(
    sched: states.Scheduler, shape: queues.RequestShape, key: str, now_ms: int
) -> Iterator[str]:
    """Yields the reserved workers that a request may use now.

    These are the workers reserved for the request itself, then workers that
    are reserved for others but have room for backfill.
    """
    for worker_id, free in list_reserved_room(sched, key):
        if resources.fits(shape.size, free):
            yield worker_id
    for worker_id, holder_key in sched.reserved_workers.items():
        if holder_key == key or worker_id in shape.avoided:
            continue
        if worker_id not in sched.schedulable_workers:
            continue
        if not resources.fits(
            shape.size, _get_usable_room(sched, worker_id, shape)
        ):
            continue
        reservation = sched.reservations[holder_key]
        end_ms = now_ms + shape.run_ms if shape.run_ms else None
        if (
            end_ms is not None
            and end_ms <= reservation.start_ms
            or resources.fits(shape.size, reservation.spare[worker_id])
        ):
            yield worker_id


def _get_usable_room(
    sched: states.Scheduler, worker_id: str, shape: queues.RequestShape
) -> resources.Resources:
    if shape.size.accelerators:
        return sched.free[worker_id]
    return allocations.compute_free_for_cpu_work(
        sched, sched.schedulable_workers[worker_id]
    )


def record_backfill(
    sched: states.Scheduler,
    worker_id: str,
    shape: queues.RequestShape,
    now_ms: int,
) -> None:
    """Updates the spare resources of a reserved worker for a new task.

    Only a task that may still run when the reservation starts uses up spare
    resources. Does nothing if the worker is not reserved.
    """
    holder_key = sched.reserved_workers.get(worker_id)
    if holder_key is None:
        return
    reservation = sched.reservations[holder_key]
    if not shape.run_ms or now_ms + shape.run_ms > reservation.start_ms:
        spare = reservation.spare[worker_id]
        reservation.spare[worker_id] = resources.subtract(spare, shape.size)


def is_large(sched: states.Scheduler, shape: queues.RequestShape) -> bool:
    """Returns whether small requests could starve requests of a shape."""
    if shape.members > 1:
        return True
    share = resources.compute_dominant_share(shape.size, sched.largest_capacity)
    return share >= _LARGE_SHARE


def _find_longest_waiting(sched: states.Scheduler, now_ms: int) -> str | None:
    """Returns the key of the next request to get a reservation, if any."""
    best = None
    for (priority, team), team_queue in sched.queue.team_queues.items():
        if now_ms - team_queue.oldest[0] < sched.policy.reserve_after_ms:
            continue
        for shape, age_keys in team_queue.by_shape.items():
            accepted_ms, key = age_keys[0]
            if now_ms - accepted_ms < sched.policy.reserve_after_ms:
                continue
            # Requests with several members are tried only at intervals, so
            # they may be waiting for room without being marked as blocked.
            is_kept_out = shape.blocked or shape.members > 1
            if not is_kept_out or key in sched.reservations:
                continue
            total_size = resources.multiply(shape.size, shape.members)
            if not is_large(sched, shape):
                continue
            if not allocations.is_granted(sched, team, total_size):
                continue
            rank = (priority, accepted_ms, key)
            if best is None or rank < best:
                best = rank
    return best[2] if best is not None else None


def _plan_reservation(sched: states.Scheduler, key: str, now_ms: int) -> None:
    """Makes a reservation for a request if enough workers can be reserved."""
    shape = queues.get_shape(sched.queue, key)
    worker_ids = [
        worker_id
        for worker_id, worker in sched.schedulable_workers.items()
        if worker_id not in sched.reserved_workers
        and worker_id not in shape.avoided
        and resources.fits(shape.size, worker.capacity)
    ]
    max_count = _EXTRA_SAMPLED_WORKERS + 2 * shape.members
    if len(worker_ids) > max_count:
        worker_ids = sched.rng.sample(worker_ids, max_count)
    room_times: list[tuple[int, str]] = []
    for worker_id in worker_ids:
        room_times += _list_room_times(sched, worker_id, shape, now_ms)
    room_times.sort()
    if len(room_times) < shape.members:
        return
    start_ms = _add_delay(room_times[shape.members - 1][0], now_ms)
    counts = _choose_fewest_workers(
        [worker_id for at_ms, worker_id in room_times if at_ms <= start_ms],
        shape.members,
    )
    taken = len(sched.reserved_workers) + len(counts)
    if sched.reserved_workers and taken > _MAX_RESERVED_SHARE * len(
        sched.schedulable_workers
    ):
        return
    kept = {
        worker_id: resources.multiply(shape.size, count)
        for worker_id, count in counts.items()
    }
    reserve(sched, key, kept, start_ms, now_ms)


def _add_delay(start_ms: int, now_ms: int) -> int:
    """Returns a later start, at which fewer workers may hold the request."""
    return start_ms + (start_ms - now_ms) // _DELAY_DIVISOR


def _choose_fewest_workers(
    room_worker_ids: list[str], members: int
) -> dict[str, int]:
    """Returns how many members go on each worker, using as few as possible.

    Args:
      room_worker_ids: Ids of workers, each repeated for every member that the
        worker has room for.
      members: Number of members.
    """
    counts = collections.Counter(room_worker_ids)
    chosen: dict[str, int] = {}
    missing = members
    for worker_id, count in counts.most_common():
        if missing <= 0:
            break
        chosen[worker_id] = min(count, missing)
        missing -= count
    return chosen


def _list_room_times(
    sched: states.Scheduler,
    worker_id: str,
    shape: queues.RequestShape,
    now_ms: int,
) -> list[tuple[int, str]]:
    """Returns when a worker is expected to have room for each member.

    The entry for a member is the wall-clock time in ms at which one more member
    fits, and the worker id. There are at most as many entries as the shape has
    members.
    """
    free = sched.free[worker_id]
    max_count = resources.count_fitting(shape.size, free)
    room_times = [(now_ms, worker_id)] * min(max_count, shape.members)
    ends = sorted(
        (end_ms, task.request_key, task.member, held.size)
        for task, held in sched.tasks.get(worker_id, {}).items()
        if (end_ms := estimate_end(sched, task.request_key, now_ms)) is not None
    )
    for end_ms, _, _, size in ends:
        if len(room_times) >= shape.members:
            break
        free = resources.add(free, size)
        more = resources.count_fitting(shape.size, free) - len(room_times)
        room_times += [(end_ms, worker_id)] * more
    return room_times[: shape.members]


def estimate_end(
    sched: states.Scheduler, request_key: str, now_ms: int
) -> int | None:
    """Returns when a request is expected to end, None for a service.

    The result is a wall-clock time in ms. A request that has run for longer
    than estimated is expected to take as long again as it has run so far, but
    at least 1 s, or _DEFAULT_RUN_MS if there is no estimate.
    """
    run = sched.running.get(request_key)
    if run is None:
        return now_ms + _DEFAULT_RUN_MS
    if run.stop_reason:
        return now_ms
    if run.assignment.req.service:
        return None
    ran_ms = now_ms - run.started_ms
    req = run.assignment.req
    mean_ms = estimates.estimate_run_ms(
        sched.queue_estimates.get(req.queue), req.run_ms, deviations=0.0
    )
    for expected_ms in (mean_ms, run.run_ms):
        if expected_ms > ran_ms:
            return run.started_ms + expected_ms
    return now_ms + max(ran_ms, 1_000 if run.run_ms else _DEFAULT_RUN_MS)


def _project_free(
    sched: states.Scheduler, worker_id: str, at_ms: int, now_ms: int
) -> resources.Resources:
    """Returns the resources expected to be free on a worker at a given time."""
    free = sched.free[worker_id]
    for task, held in sched.tasks.get(worker_id, {}).items():
        end_ms = estimate_end(sched, task.request_key, now_ms)
        if end_ms is not None and end_ms <= at_ms:
            free = resources.add(free, held.size)
    return free
