"""Straight lines through measurements, with their residual."""

from collections.abc import Callable
import dataclasses
import statistics


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A line value = base + slope * size.

    Attributes:
      name: What was measured.
      unit: Unit of the slope.
      slope: Growth for each unit of size.
      base: Value at size 0.
      residual: Largest distance of a point from the line, as a part of the
        largest value.
      sizes: Sizes that were measured.
    """

    name: str
    unit: str
    slope: float
    base: float
    residual: float
    sizes: tuple[int, ...]


def fit(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
    repeats: int = 3,
) -> Slope:
    """Measures at each size and fits a line.

    Args:
      name: What is measured.
      unit: Unit of the measured value for each unit of size.
      sizes: Three or more sizes.
      measure: Returns the value at a size; the least of repeats runs counts.
      repeats: Runs at each size.
    """
    values = [min(measure(size) for _ in range(repeats)) for size in sizes]
    line = statistics.linear_regression(sizes, values)
    distance = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    highest = max(abs(value) for value in values) or 1.0
    return Slope(
        name, unit, line.slope, line.intercept, distance / highest, sizes
    )


def format_slope(slope: Slope) -> str:
    """Returns one line for a slope."""
    sizes = ','.join(str(size) for size in slope.sizes)
    return (
        f'slope name={slope.name} value={slope.slope:.6g} unit={slope.unit} '
        f'base={slope.base:.6g} residual={slope.residual:.3f} sizes={sizes}'
    )
