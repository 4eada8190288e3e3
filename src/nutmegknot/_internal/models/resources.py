"""Amounts of processors, memory, accelerators and slots."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Resources:
    """An amount of each resource that a worker has.

    Attributes:
      millicores: Processor time in thousandths of a core.
      memory_mib: Memory in MiB.
      accelerators: Whole accelerator cards.
      slots: Task slots; every running task takes at least one.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0


NOTHING = Resources()


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two amounts."""
    return Resources(
        left.millicores + right.millicores,
        left.memory_mib + right.memory_mib,
        left.accelerators + right.accelerators,
        left.slots + right.slots,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns left less right; parts may become negative."""
    return Resources(
        left.millicores - right.millicores,
        left.memory_mib - right.memory_mib,
        left.accelerators - right.accelerators,
        left.slots - right.slots,
    )


def multiply(amount: Resources, count: int) -> Resources:
    """Returns amount taken count times."""
    return Resources(
        amount.millicores * count,
        amount.memory_mib * count,
        amount.accelerators * count,
        amount.slots * count,
    )


def fits(amount: Resources, room: Resources) -> bool:
    """Tells whether amount is at most room in every part."""
    return (
        amount.millicores <= room.millicores
        and amount.memory_mib <= room.memory_mib
        and amount.accelerators <= room.accelerators
        and amount.slots <= room.slots
    )


def compute_dominant_share(amount: Resources, total: Resources) -> float:
    """Returns the largest part of total that amount takes, from 0.0 to 1.0.

    Resources that total does not have are left out.
    """
    parts = (
        (amount.millicores, total.millicores),
        (amount.memory_mib, total.memory_mib),
        (amount.accelerators, total.accelerators),
        (amount.slots, total.slots),
    )
    return max((used / have for used, have in parts if have > 0), default=0.0)


def count_fitting(amount: Resources, room: Resources) -> int:
    """Returns how many times amount, not nothing, fits into room."""
    parts = (
        (amount.millicores, room.millicores),
        (amount.memory_mib, room.memory_mib),
        (amount.accelerators, room.accelerators),
        (amount.slots, room.slots),
    )
    return max(0, min(have // part for part, have in parts if part > 0))


def take_least(left: Resources, right: Resources) -> Resources:
    """Returns the lower of two amounts in each part."""
    return Resources(
        min(left.millicores, right.millicores),
        min(left.memory_mib, right.memory_mib),
        min(left.accelerators, right.accelerators),
        min(left.slots, right.slots),
    )


def take_most(left: Resources, right: Resources) -> Resources:
    """Returns the higher of two amounts in each part."""
    return Resources(
        max(left.millicores, right.millicores),
        max(left.memory_mib, right.memory_mib),
        max(left.accelerators, right.accelerators),
        max(left.slots, right.slots),
    )
