"""Amounts of processor time, memory, accelerators and task slots."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Resources:
    """Amounts of the resources that workers have and tasks take.

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


ZERO = Resources()


def format_amount(amount: Resources) -> str:
    """Returns an amount as millicores/MiB/accelerators."""
    return f'{amount.millicores}/{amount.memory_mib}/{amount.accelerators}'


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two amounts."""
    return Resources(
        left.millicores + right.millicores,
        left.memory_mib + right.memory_mib,
        left.accelerators + right.accelerators,
        left.slots + right.slots,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns the difference of two amounts; its parts may be negative."""
    return Resources(
        left.millicores - right.millicores,
        left.memory_mib - right.memory_mib,
        left.accelerators - right.accelerators,
        left.slots - right.slots,
    )


def multiply(amount: Resources, count: int) -> Resources:
    """Returns count times an amount."""
    return Resources(
        amount.millicores * count,
        amount.memory_mib * count,
        amount.accelerators * count,
        amount.slots * count,
    )


def fits(amount: Resources, free: Resources) -> bool:
    """Tells whether an amount fits into the free resources in every part."""
    return (
        amount.millicores <= free.millicores
        and amount.memory_mib <= free.memory_mib
        and amount.accelerators <= free.accelerators
        and amount.slots <= free.slots
    )


def compute_dominant_share(amount: Resources, total: Resources) -> float:
    """Returns the dominant share of an amount in a total.

    That is the largest of its shares in the total's processor time, memory,
    accelerators and slots: from 0.0, up to 1.0 if the amount fits into the
    total. Resources of which the total is 0 are left out.
    """
    parts = (
        (amount.millicores, total.millicores),
        (amount.memory_mib, total.memory_mib),
        (amount.accelerators, total.accelerators),
        (amount.slots, total.slots),
    )
    return max(
        (used / whole for used, whole in parts if whole > 0), default=0.0
    )


def count_fitting(amount: Resources, free: Resources) -> int:
    """Returns how many times an amount fits into the free resources.

    The amount must be above 0 in at least one part.
    """
    parts = (
        (amount.millicores, free.millicores),
        (amount.memory_mib, free.memory_mib),
        (amount.accelerators, free.accelerators),
        (amount.slots, free.slots),
    )
    return max(
        0, min(available // part for part, available in parts if part > 0)
    )


def compute_minimum(left: Resources, right: Resources) -> Resources:
    """Returns the lower value of two amounts for each resource."""
    return Resources(
        min(left.millicores, right.millicores),
        min(left.memory_mib, right.memory_mib),
        min(left.accelerators, right.accelerators),
        min(left.slots, right.slots),
    )


def compute_maximum(left: Resources, right: Resources) -> Resources:
    """Returns the higher value of two amounts for each resource."""
    return Resources(
        max(left.millicores, right.millicores),
        max(left.memory_mib, right.memory_mib),
        max(left.accelerators, right.accelerators),
        max(left.slots, right.slots),
    )
