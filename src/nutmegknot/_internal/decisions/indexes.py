"""Index of workers by what they have left.

Workers stand in buckets by the magnitude of their free processors and memory,
and by their free accelerators. A search visits the buckets from the tightest
upwards, so that its cost depends on the number of buckets and on the few
workers at the edge, not on the number of workers.
"""

from collections.abc import Iterator
import dataclasses

import sortedcontainers

from nutmegknot._internal.models import resources

# Group of the workers that have no accelerator at all.
PLAIN_GROUP = -1

_BucketKey = tuple[int, int, int]
_Bucket = dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Index:
    """Workers that may be given work, by what they have left.

    Attributes:
      groups: Buckets by number of free accelerators, then by magnitude.
      positions: Group and bucket of each worker.
      full: Workers without a free slot; only a task that needs none fits.
    """

    groups: sortedcontainers.SortedDict = dataclasses.field(
        default_factory=sortedcontainers.SortedDict
    )
    positions: dict[str, tuple[int, _BucketKey]] = dataclasses.field(
        default_factory=dict
    )
    full: _Bucket = dataclasses.field(default_factory=dict)


def put(
    index: Index,
    worker_id: str,
    free: resources.Resources,
    group: int,
) -> None:
    """Adds a worker, or moves it to where its free resources belong.

    Args:
      index: The index.
      worker_id: The worker.
      free: What it has left.
      group: Its free accelerators, or PLAIN_GROUP.
    """
    if free.slots <= 0:
        remove(index, worker_id)
        index.full[worker_id] = free
        return
    index.full.pop(worker_id, None)
    cores = _compute_level(free.millicores)
    memory = _compute_level(free.memory_mib)
    position = (group, (cores + memory, cores, memory))
    before = index.positions.get(worker_id)
    if before is not None and before != position:
        _drop(index, worker_id, before)
    buckets = index.groups.get(group)
    if buckets is None:
        buckets = index.groups[group] = sortedcontainers.SortedDict()
    bucket = buckets.get(position[1])
    if bucket is None:
        bucket = buckets[position[1]] = {}
    bucket[worker_id] = free
    index.positions[worker_id] = position


def remove(index: Index, worker_id: str) -> None:
    """Removes a worker; one that is not there changes nothing."""
    index.full.pop(worker_id, None)
    before = index.positions.pop(worker_id, None)
    if before is not None:
        _drop(index, worker_id, before)


def _drop(
    index: Index, worker_id: str, position: tuple[int, _BucketKey]
) -> None:
    group, key = position
    bucket = index.groups[group][key]
    del bucket[worker_id]
    if not bucket:
        del index.groups[group][key]


def _compute_level(amount: int) -> int:
    return amount.bit_length() if amount > 0 else 0


def find(
    index: Index, size: resources.Resources, first_group: int
) -> Iterator[tuple[str, resources.Resources]]:
    """Yields workers that have room for size, roughly the tightest first.

    Workers without accelerators come before the others, and those with few
    free accelerators before those with many.

    Args:
      index: The index, which must not change during the search.
      size: What has to fit.
      first_group: Group from which on the search goes, as the free
        accelerators or PLAIN_GROUP.
    """
    cores = _compute_level(size.millicores)
    memory = _compute_level(size.memory_mib)
    for group in index.groups.irange(minimum=first_group):
        buckets = index.groups[group]
        for key in buckets.irange(minimum=(cores + memory, 0, 0)):
            if key[1] < cores or key[2] < memory:
                continue
            for worker_id, free in buckets[key].items():
                if resources.fits(size, free):
                    yield worker_id, free
    if size.slots <= 0:
        for worker_id, free in index.full.items():
            if resources.fits(size, free):
                yield worker_id, free
