"""Index of workers by their free resources.

Workers are grouped by their number of free accelerators, and within a group
into buckets by the magnitude (the number of binary digits) of their free
processors and memory. A search visits the buckets from the least free
resources upwards. So its cost depends on the number of buckets and on the few
workers of the same magnitude as the request, not on the number of workers.
"""

from collections.abc import Iterator
import dataclasses

import sortedcontainers

from nutmegknot._internal.models import resources

# Group of the workers that have no accelerators, neither free nor in use.
NO_ACCELERATOR_GROUP = -1

# Magnitudes of free resources: sum of the next two, processors, memory.
_BucketKey = tuple[int, int, int]
_Bucket = dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class WorkerIndex:
    """Workers on which work may be placed, by their free resources.

    Attributes:
      groups: Buckets by group, then by magnitude of the free resources.
      positions: Group and key of the bucket of each worker, by worker id.
      without_slots: Free resources of the workers without a free task slot, by
        worker id; only a task that needs no slot fits there.
    """

    groups: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    positions: dict[str, tuple[int, _BucketKey]] = dataclasses.field(
        default_factory=dict
    )
    without_slots: _Bucket = dataclasses.field(default_factory=dict)


def put(
    index: WorkerIndex,
    worker_id: str,
    free: resources.Resources,
    group: int,
) -> None:
    """Adds a worker, or moves it to the bucket for its free resources.

    Args:
      index: The index.
      worker_id: The worker.
      free: Its free resources.
      group: Its number of free accelerators, or NO_ACCELERATOR_GROUP.
    """
    if free.slots <= 0:
        remove(index, worker_id)
        index.without_slots[worker_id] = free
        return
    index.without_slots.pop(worker_id, None)
    cores = _compute_magnitude(free.millicores)
    memory = _compute_magnitude(free.memory_mib)
    position = (group, (cores + memory, cores, memory))
    before = index.positions.get(worker_id)
    if before is not None and before != position:
        _remove_from_bucket(index, worker_id, before)
    buckets = index.groups.get(group)
    if buckets is None:
        buckets = index.groups[group] = sortedcontainers.SortedDict()
    bucket = buckets.get(position[1])
    if bucket is None:
        bucket = buckets[position[1]] = {}
    bucket[worker_id] = free
    index.positions[worker_id] = position


def remove(index: WorkerIndex, worker_id: str) -> None:
    """Removes a worker; does nothing if it is not in the index."""
    index.without_slots.pop(worker_id, None)
    before = index.positions.pop(worker_id, None)
    if before is not None:
        _remove_from_bucket(index, worker_id, before)


def _remove_from_bucket(
    index: WorkerIndex, worker_id: str, position: tuple[int, _BucketKey]
) -> None:
    group, key = position
    bucket = index.groups[group][key]
    del bucket[worker_id]
    if not bucket:
        del index.groups[group][key]


def _compute_magnitude(amount: int) -> int:
    return amount.bit_length() if amount > 0 else 0


def find_workers(
    index: WorkerIndex, size: resources.Resources, first_group: int
) -> Iterator[tuple[str, resources.Resources]]:
    """Yields workers on which size fits, with their free resources.

    Workers without accelerators come first, then those with few free
    accelerators before those with many. Within a group, workers with less free
    come roughly before those with more.

    Args:
      index: The index, which must not change during the search.
      size: The resources that must fit.
      first_group: The lowest group to search: a number of free accelerators,
        or NO_ACCELERATOR_GROUP for all groups.
    """
    cores = _compute_magnitude(size.millicores)
    memory = _compute_magnitude(size.memory_mib)
    for group in index.groups.irange(minimum=first_group):
        buckets = index.groups[group]
        for key in buckets.irange(minimum=(cores + memory, 0, 0)):
            if key[1] < cores or key[2] < memory:
                continue
            for worker_id, free in buckets[key].items():
                if resources.fits(size, free):
                    yield worker_id, free
    if size.slots <= 0:
        for worker_id, free in index.without_slots.items():
            if resources.fits(size, free):
                yield worker_id, free
